//! What the owner of a node can read from it.

use std::hash::{Hash, Hasher};

use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::log::Log;
use crate::members::Members;
use crate::node::{LeaderState, Node, State};
use crate::progress::Progress;
use crate::role::Role;
use crate::settings::Settings;

impl<C, S> Node<C, S> {
    /// This router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What the node is at the moment.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Joining => Role::Joining,
            State::PreCandidate { .. } => Role::PreCandidate,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
            State::Removed => Role::Removed,
            State::Retired { .. } => Role::Retired,
            State::Follower if self.is_electable() => Role::Follower,
            State::Follower if self.was_removed() => Role::Removed,
            State::Follower => Role::Learner,
        }
    }

    /// Whether this node may lead: it is a voter by its log, or its removal is
    /// not committed yet. In the second case it may be the only one whose log
    /// covers the others', so that no one else can be elected.
    pub(crate) fn is_electable(&self) -> bool {
        let id = self.identity.id;
        let (_, committed) = self.log.members_at(self.commit_index);
        let removal_pending = self.log.members_index() > self.commit_index;
        self.members().is_voter(id) || removal_pending && committed.is_voter(id)
    }

    /// Whether a committed entry lists the members without this node.
    fn was_removed(&self) -> bool {
        let (_, members) = self.log.members_at(self.commit_index);
        let known = !members.is_empty() && !self.members().is_empty();
        known && !members.contains(self.identity.id) && !self.members().contains(self.identity.id)
    }

    /// The leader of the current term, when known.
    pub fn leader(&self) -> Option<&RouterIdentity> {
        self.leader.as_ref()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whom this node voted for in the current term.
    pub fn voted_for(&self) -> Option<RouterId> {
        self.voted_for
    }

    /// Founding of the group that the node belongs to; 0 before it does.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Highest index known to be committed. Never goes back.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The members after the last entry of the log.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// The log.
    pub fn log(&self) -> &Log<C, S> {
        &self.log
    }

    /// When this node was elected in the current term, if it leads.
    pub fn elected_at(&self) -> Option<Timestamp> {
        self.leader_state().map(|leader| leader.elected_at)
    }

    /// Whether this node leads and has committed an entry of its own term. It
    /// then holds everything that earlier leaders committed, so reads and
    /// grants may be based on its state.
    pub fn has_committed_in_term(&self) -> bool {
        self.leader_state()
            .is_some_and(|leader| leader.term_start_index <= self.commit_index)
    }

    /// What the leader knows of each other member; empty on other nodes.
    pub fn progress(&self) -> impl Iterator<Item = (RouterId, &Progress)> {
        self.leader_state()
            .into_iter()
            .flat_map(|leader| &leader.followers)
            .map(|(id, progress)| (*id, progress))
    }

    pub(crate) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.state {
            State::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    pub(crate) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            State::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}

/// Hashes all that decides what the node does next, apart from its settings
/// and the timeouts it has yet to draw: for tools that explore states and skip
/// those they have seen.
impl<C: Hash, S: Hash> Hash for Node<C, S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.identity.id.hash(hasher);
        self.generation.hash(hasher);
        self.generation_floor.hash(hasher);
        self.term.hash(hasher);
        self.voted_for.hash(hasher);
        self.log.hash(hasher);
        self.commit_index.hash(hasher);
        self.delivered_index.hash(hasher);
        self.restore_pending.hash(hasher);
        self.state.hash(hasher);
        let leader = self.leader.as_ref().map(|leader| leader.id);
        leader.hash(hasher);
        self.heard_leader_at.hash(hasher);
        self.cancelled_transfer.hash(hasher);
        self.timer.deadline().hash(hasher);
        self.clock.hash(hasher);
    }
}
