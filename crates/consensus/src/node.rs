//! The node: its state, how it begins, and what its owner can read from it.

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

/// Term in which a founder leads.
const FOUNDING_TERM: u64 = 1;
/// Index of the snapshot that a group is founded with.
const FOUNDING_INDEX: u64 = 1;

/// One member of one group, stepped by its owner.
///
/// `C` is the application's command and `S` its snapshot. After each call
/// that may change the node, the owner calls [`Node::ready`] and carries out
/// what it returns.
#[derive(Clone, Debug)]
pub struct Node<C, S> {
    pub(crate) settings: Settings,
    pub(crate) identity: RouterIdentity,
    pub(crate) generation: Generation,
    /// Generations up to this one are not joined.
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
    /// When a leader was last heard from, in whatever term. Never reset: the
    /// promise not to elect another leader outlives the term.
    pub(crate) heard_leader_at: Option<Timestamp>,
    /// Transfers of this term up to this number are called off.
    pub(crate) cancelled_transfer: u64,
    pub(crate) timer: ElectionTimer,
    /// Latest time passed in.
    pub(crate) clock: Timestamp,
    pub(crate) outbox: Vec<Outgoing<C, S>>,
}

/// What the node does at the moment, with the data that only then exists.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) enum State {
    /// Not contacted by any leader yet.
    Joining,
    /// Voter, learner or removed member that follows.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate { granted: BTreeSet<RouterId> },
    /// Asks for votes.
    Candidate { granted: BTreeSet<RouterId> },
    /// Leads.
    Leader(Box<LeaderState>),
    /// Was told that it is no member any more.
    Removed,
    /// The group was founded again as generation `by`.
    Retired { by: Generation },
}

/// What only a leader knows.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Timestamp,
    /// Index of the entry appended on election.
    pub(crate) term_start_index: u64,
    pub(crate) followers: BTreeMap<RouterId, Progress>,
    /// Member whose removal is not committed yet, and the entry's index.
    pub(crate) removed: Option<(u64, RouterIdentity)>,
    pub(crate) heartbeat_due: Timestamp,
    pub(crate) transfer: Option<Transfer>,
    /// Number of the latest transfer of this term.
    pub(crate) transfers_started: u64,
    /// Highest transfer number called off.
    pub(crate) transfers_cancelled: u64,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Founds the group in a new generation, with this router as the only
    /// voter, and leads it at once. `snapshot` is recovered state of the
    /// application; [`Node::ready`] hands it out as state to restore.
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
            // At an index above 0, so that a joiner, whose empty log matches
            // at 0, cannot go on without the state.
            node.log = Log::after(Snapshot {
                index: FOUNDING_INDEX,
                term: FOUNDING_TERM,
                members: members.clone(),
                state: Some(state),
            });
            node.commit_index = FOUNDING_INDEX;
            node.delivered_index = FOUNDING_INDEX;
            node.restore_pending = true;
        }
        node.lead(Payload::Members(members));
        node
    }

    /// A router that waits to be added. It takes no part until a leader of
    /// some generation contacts it.
    ///
    /// To be called once in the life of a process for each group: a second
    /// node under the same router id would not know how the first one voted.
    /// After a retirement, [`Node::rejoin`] takes its place; a member that was
    /// removed can be added again as it is.
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
            heard_leader_at: None,
            cancelled_transfer: 0,
            timer,
            clock: now,
            outbox: Vec::new(),
        }
    }

    /// Appends `command` to the log if this node leads. The command is
    /// committed when [`Node::ready`] hands it out at the index returned and
    /// in the same term; until then it may still be lost.
    pub fn propose(&mut self, now: Timestamp, command: C) -> Result<u64, ProposeError> {
        self.check_may_propose(now)?;
        if self.is_log_full() {
            return Err(ProposeError::Busy);
        }
        Ok(self.append(Payload::Command(command)))
    }

    /// Tells the node that `state` is the application's at `applied_index`;
    /// the log up to there may be dropped. An index that was not handed out,
    /// or lies before the present snapshot, changes nothing.
    pub fn compact(&mut self, state: S, applied_index: u64) {
        let handed_out = applied_index <= self.delivered_index && !self.restore_pending;
        if handed_out && applied_index > self.log.snapshot().index {
            let retained = self.settings.retained_entries;
            self.log.compact(state, applied_index, retained);
        }
    }

    /// Whether proposals have to wait: too many entries are not committed, or
    /// the application has not compacted the log.
    fn is_log_full(&self) -> bool {
        let uncommitted = self.log.last_index() - self.commit_index;
        uncommitted >= self.settings.max_uncommitted_entries as u64
            || self.log.len() >= self.settings.max_log_entries()
    }

    /// Whether proposals are taken at `now`. A leader that was paused finds out
    /// here, and not only at its next tick, that no quorum answers it.
    pub(crate) fn check_may_propose(&mut self, now: Timestamp) -> Result<(), ProposeError> {
        self.observe(now);
        self.check_quorum();
        let State::Leader(leader) = &self.state else {
            return Err(ProposeError::NotLeader {
                leader: self.leader.clone().map(Box::new),
            });
        };
        if leader.transfer.as_ref().is_some_and(Transfer::is_active) {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    /// Appends an entry of the current term; commits it if this node alone is
    /// a quorum.
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

    /// Takes over the caller's time; time never goes back.
    pub(crate) fn observe(&mut self, now: Timestamp) {
        self.clock = self.clock.max(now);
    }
}
