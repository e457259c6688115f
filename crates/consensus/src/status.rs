//! Read access to the state of a node.

use std::hash::{Hash, Hasher};

use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::log::Log;
use crate::members::Members;
use crate::node::{LeaderState, Node, State};
use crate::progress::Progress;
use crate::role::Role;
use crate::settings::Settings;

impl<C, S> Node<C, S> {
    /// Returns the identity of this router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the current role.
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

    /// Returns whether this node may be elected: it is a voter according to its
    /// log, or its removal is not committed yet. In the second case its log may
    /// be the only one that is up to date, so that no other node can be
    /// elected.
    pub(crate) fn is_electable(&self) -> bool {
        let id = self.identity.id;
        let (_, committed) = self.log.members_at(self.commit_index);
        let removal_pending = self.log.members_index() > self.commit_index;
        self.members().is_voter(id) || removal_pending && committed.is_voter(id)
    }

    /// Returns whether a committed entry removed this node from the group.
    fn was_removed(&self) -> bool {
        let (_, members) = self.log.members_at(self.commit_index);
        let known = !members.is_empty() && !self.members().is_empty();
        known && !members.contains(self.identity.id) && !self.members().contains(self.identity.id)
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&RouterIdentity> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the candidate that this node voted for in the current term.
    pub fn voted_for(&self) -> Option<RouterId> {
        self.voted_for
    }

    /// Returns the generation that the node belongs to, or 0 if it has not
    /// joined one.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the highest index known to be committed. It never goes back.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the members after the last entry of the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the log.
    pub fn log(&self) -> &Log<C, S> {
        &self.log
    }

    /// Returns when this node was elected, if it leads.
    pub fn elected_at(&self) -> Option<Timestamp> {
        self.leader_state().map(|leader| leader.elected_at)
    }

    /// Returns whether this node leads and has committed an entry of its own
    /// term. Its state then includes everything that earlier leaders committed,
    /// so reads and grants can be based on it.
    pub fn has_committed_in_term(&self) -> bool {
        self.leader_state()
            .is_some_and(|leader| leader.term_start_index <= self.commit_index)
    }

    /// Iterates over the replication progress of each follower. Empty unless
    /// this node leads.
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

/// Hashes everything that determines the node's further behaviour, except its
/// settings and future random timeouts. Meant for tools that explore the state
/// space and skip states that they have seen.
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
        self.last_leader_contact.hash(hasher);
        self.cancelled_transfer.hash(hasher);
        self.timer.deadline().hash(hasher);
        self.clock.hash(hasher);
    }
}
