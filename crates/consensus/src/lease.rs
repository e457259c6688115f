//! Leader lease.
//!
//! A voter that heard from a leader grants no vote for `election_min`
//! afterwards, measured by its own clock. A leader therefore knows that no
//! other node can be elected until `election_min`, less the allowed clock
//! drift, has passed since it *sent* the messages that a quorum answered: every
//! other quorum contains a voter that still withholds its vote.

use threadledge_types::{RouterId, Timestamp};

use crate::node::{LeaderState, Node, State};

impl<C, S> Node<C, S> {
    /// Returns whether this node holds the leader lease at `now`, so that no
    /// other node can be the leader. False once the target of a leadership
    /// transfer was asked to campaign, because voters then elect it without
    /// waiting for the lease to expire.
    pub fn has_leader_lease(&self, now: Timestamp) -> bool {
        now < self.leader_lease_until()
    }

    /// Returns when the leader lease expires by this node's clock, or
    /// `Timestamp::ZERO` if the node holds none.
    pub fn leader_lease_until(&self) -> Timestamp {
        let Some(leader) = self.leader_state() else {
            return Timestamp::ZERO;
        };
        if leader.transfer.as_ref().is_some_and(|it| it.voids_lease()) {
            return Timestamp::ZERO;
        }
        match self.quorum_acked_sent_at(leader) {
            Some(sent_at) => sent_at + self.settings.timing.leader_lease(),
            None => Timestamp::ZERO,
        }
    }

    /// Returns the latest time such that a quorum answered messages sent then
    /// or later. The quorum is taken from the newest member list in the log. A
    /// candidate whose log is one member change behind needs a quorum that
    /// overlaps with it; a candidate that is further behind lacks a committed
    /// entry and cannot be elected.
    fn quorum_acked_sent_at(&self, leader: &LeaderState) -> Option<Timestamp> {
        self.members().quorum_value(|id| {
            if id == self.identity.id {
                return Some(self.clock);
            }
            leader.followers.get(&id)?.acked_sent_at
        })
    }

    /// Returns whether a quorum answered messages sent at or after `since`. A
    /// follower that has been tracked only since then counts as active.
    pub(crate) fn is_quorum_active_since(&self, leader: &LeaderState, since: Timestamp) -> bool {
        self.members()
            .has_quorum(|id| self.is_active_since(leader, id, since))
    }

    fn is_active_since(&self, leader: &LeaderState, id: RouterId, since: Timestamp) -> bool {
        if id == self.identity.id {
            return true;
        }
        let Some(progress) = leader.followers.get(&id) else {
            return false;
        };
        progress.tracked_since >= since || progress.acked_sent_at >= Some(since)
    }

    /// Returns whether this node must not vote for another leader yet: it leads
    /// itself, or heard from a leader less than `election_min` ago.
    pub(crate) fn withholds_votes(&self) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return true;
        }
        let election_min = self.settings.timing.election_min();
        self.last_leader_contact
            .is_some_and(|heard| self.clock < heard + election_min)
    }
}
