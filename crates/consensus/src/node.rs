//! Node state, construction, proposals and compaction.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::entry::{Entry, Payload};
use crate::error::ProposeError;
use crate::log::{Log, Snapshot};
use crate::members::Members;
use crate::message::{Body, Message, Outgoing};
use crate::progress::Progress;
use crate::settings::Settings;
use crate::timer::ElectionTimer;
use crate::transfer::Transfer;

/// Term in which the founder of a group leads.
const FOUNDING_TERM: u64 = 1;
/// Index of the snapshot with which a group is founded.
const FOUNDING_INDEX: u64 = 1;

/// Member of one group, driven by its owner.
///
/// `C` is the application's command type and `S` its snapshot type. After each
/// call that may change the node, the owner calls [`Node::ready`] and does the
/// work that it returns.
#[derive(Clone, Debug)]
pub struct Node<C, S> {
    pub(crate) settings: Settings,
    pub(crate) identity: RouterIdentity,
    pub(crate) generation: Generation,
    /// The node joins only generations above this one.
    pub(crate) generation_floor: Generation,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<RouterId>,
    pub(crate) log: Log<C, S>,
    pub(crate) commit_index: u64,
    /// Highest index handed to the application.
    pub(crate) delivered_index: u64,
    pub(crate) restore_pending: bool,
    pub(crate) state: State,
    pub(crate) leader: Option<RouterIdentity>,
    /// When a leader was last heard from, in any term. Never reset, because the
    /// promise to withhold votes outlives the term.
    pub(crate) last_leader_contact: Option<Timestamp>,
    /// Highest number of a leadership transfer cancelled in this term.
    pub(crate) cancelled_transfer: u64,
    pub(crate) timer: ElectionTimer,
    /// Latest time passed in by the owner.
    pub(crate) clock: Timestamp,
    pub(crate) outbox: Vec<Outgoing<C, S>>,
}

/// Role of the node with the data that exists only in that role.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) enum State {
    /// Has not been contacted by any leader yet.
    Joining,
    /// Voter, learner or removed member that follows.
    Follower,
    /// Runs a pre-vote; `granted` holds the voters that agreed.
    PreCandidate { granted: BTreeSet<RouterId> },
    /// Requests votes; `granted` holds the voters that voted for this node.
    Candidate { granted: BTreeSet<RouterId> },
    /// Leads the current term.
    Leader(Box<LeaderState>),
    /// Was told that it is no longer a member.
    Removed,
    /// The group was founded again as generation `newer`.
    Retired { newer: Generation },
}

/// State that only a leader has.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Timestamp,
    /// Index of the entry appended when this node was elected.
    pub(crate) term_start_index: u64,
    pub(crate) followers: BTreeMap<RouterId, Progress>,
    /// Member whose removal is not committed yet, with the index of the
    /// removal.
    pub(crate) removed: Option<(u64, RouterIdentity)>,
    pub(crate) heartbeat_due: Timestamp,
    pub(crate) transfer: Option<Transfer>,
    /// Number of the latest leadership transfer of this term.
    pub(crate) last_transfer: u64,
    /// Highest number of a cancelled transfer of this term.
    pub(crate) last_cancelled: u64,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Founds the group in a new generation, with this router as the only voter
    /// and immediately its leader. `snapshot` is recovered application state;
    /// [`Node::ready`] returns it as state to restore.
    pub fn bootstrap(
        settings: Settings,
        identity: RouterIdentity,
        generation: Generation,
        snapshot: Option<S>,
        now: Timestamp,
    ) -> Self {
        let members = Members::single(identity.clone());
        let mut node = Node::join(settings, identity, now);
        node.generation = generation;
        node.term = FOUNDING_TERM;
        node.voted_for = Some(node.identity.id);
        if let Some(state) = snapshot {
            // The index is above 0 because the empty log of a joining node
            // matches at 0, so the node would never receive the state.
            node.log = Log::from_snapshot(Snapshot {
                index: FOUNDING_INDEX,
                term: FOUNDING_TERM,
                members: members.clone(),
                state: Some(state),
            });
            node.commit_index = FOUNDING_INDEX;
            node.delivered_index = FOUNDING_INDEX;
            node.restore_pending = true;
        }
        node.become_leader(Payload::Members(members));
        node
    }

    /// Creates a node that waits to be added to the group. It takes no part
    /// until a leader of some generation contacts it.
    ///
    /// Call this at most once per group and process: a second node with the
    /// same router id would not know how the first one voted. After a
    /// retirement, use [`Node::rejoin`] instead. A removed member can be added
    /// again without a new node.
    pub fn join(settings: Settings, identity: RouterIdentity, now: Timestamp) -> Self {
        let timer = ElectionTimer::new(&settings.timing, settings.seed, now);
        Node {
            settings,
            identity,
            generation: Generation::default(),
            generation_floor: Generation::default(),
            term: 0,
            voted_for: None,
            log: Log::empty(),
            commit_index: 0,
            delivered_index: 0,
            restore_pending: false,
            state: State::Joining,
            leader: None,
            last_leader_contact: None,
            cancelled_transfer: 0,
            timer,
            clock: now,
            outbox: Vec::new(),
        }
    }

    /// Appends `command` to the log if this node leads, and returns its index.
    /// The command is committed when [`Node::ready`] returns it at that index
    /// within the same term; until then it may still be lost.
    pub fn propose(&mut self, now: Timestamp, command: C) -> Result<u64, ProposeError> {
        self.check_can_propose(now)?;
        if self.is_log_full() {
            return Err(ProposeError::Busy);
        }
        Ok(self.append(Payload::Command(command)))
    }

    /// Compacts the log: `state` is the application state at `applied_index`,
    /// and entries up to there may be removed. Has no effect if the index was
    /// not handed out yet or is not above the current snapshot's index.
    pub fn compact(&mut self, state: S, applied_index: u64) {
        let handed_out = applied_index <= self.delivered_index && !self.restore_pending;
        if handed_out && applied_index > self.log.snapshot().index {
            let retained = self.settings.retained_entries;
            self.log.compact(state, applied_index, retained);
        }
    }

    /// Returns whether proposals must be refused, because too many entries are
    /// uncommitted or the application has not compacted the log.
    fn is_log_full(&self) -> bool {
        let uncommitted = self.log.last_index() - self.commit_index;
        uncommitted >= self.settings.max_uncommitted_entries as u64
            || self.log.len() >= self.settings.max_log_entries()
    }

    /// Returns an error if this node cannot accept proposals at `now`. Checks
    /// the quorum as well, so that a leader that was paused steps down here
    /// instead of accepting proposals until its next tick.
    pub(crate) fn check_can_propose(&mut self, now: Timestamp) -> Result<(), ProposeError> {
        self.advance_clock(now);
        self.check_quorum();
        let State::Leader(leader) = &self.state else {
            return Err(ProposeError::NotLeader {
                leader: self.leader.clone().map(Box::new),
            });
        };
        if leader
            .transfer
            .as_ref()
            .is_some_and(Transfer::blocks_proposals)
        {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    /// Appends an entry of the current term and returns its index. Commits the
    /// entry if this node alone is a quorum.
    pub(crate) fn append(&mut self, payload: Payload<C>) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            index,
            term: self.term,
            payload,
        });
        self.advance_commit();
        index
    }

    /// Queues a message, to be returned by the next call of [`Node::ready`].
    pub(crate) fn send(&mut self, to: RouterIdentity, body: Body<C, S>) {
        let message = Message {
            group: self.settings.group,
            generation: self.generation,
            term: self.term,
            sender: self.identity.clone(),
            body,
        };
        self.outbox.push(Outgoing { to, message });
    }

    /// Advances the clock to `now`. The clock never goes back.
    pub(crate) fn advance_clock(&mut self, now: Timestamp) {
        self.clock = self.clock.max(now);
    }
}
