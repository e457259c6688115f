//! The leader lease, and the promise of the voters that it rests on.
//!
//! A voter that heard from a leader gives no vote for `election_min`
//! afterwards (by its own clock). A leader therefore knows that no other can
//! be elected until `election_min`, less the clock drift, has passed since it
//! *sent* the messages that a quorum answered: any other quorum contains a
//! voter that is still bound.

use threadledge_types::{RouterId, Timestamp};

use crate::node::{LeaderState, Node, State};

impl<C, S> Node<C, S> {
    /// Whether no other node can lead at `now`. False once leadership is being
    /// handed over, because the next leader is then elected without waiting.
    pub fn has_leader_lease(&self, now: Timestamp) -> bool {
        now < self.leader_lease_until()
    }

    /// When the leader lease ends by this node's clock; the origin of the
    /// clock when it holds none.
    pub fn leader_lease_until(&self) -> Timestamp {
        let Some(leader) = self.leader_state() else {
            return Timestamp::ZERO;
        };
        if leader.transfer.as_ref().is_some_and(|it| it.voids_lease()) {
            return Timestamp::ZERO;
        }
        match self.quorum_acknowledged(leader) {
            Some(sent_at) => sent_at + self.settings.timing.leader_lease(),
            None => Timestamp::ZERO,
        }
    }

    /// The latest time such that a quorum answered messages sent then or
    /// later. The quorum is one of the newest members in the log: a candidate
    /// whose log is one change behind needs a quorum that overlaps with it, and
    /// one that is further behind lacks a committed entry.
    fn quorum_acknowledged(&self, leader: &LeaderState) -> Option<Timestamp> {
        self.members().quorum_value(|id| {
            if id == self.identity.id {
                return Some(self.clock);
            }
            leader.followers.get(&id)?.acked_sent_at
        })
    }

    /// Whether a quorum answered anything sent since `since`. A follower that
    /// is tracked only since then counts as having answered.
    pub(crate) fn quorum_answered_since(&self, leader: &LeaderState, since: Timestamp) -> bool {
        self.members()
            .has_quorum(|id| self.has_answered(leader, id, since))
    }

    fn has_answered(&self, leader: &LeaderState, id: RouterId, since: Timestamp) -> bool {
        if id == self.identity.id {
            return true;
        }
        let Some(progress) = leader.followers.get(&id) else {
            return false;
        };
        progress.tracked_since >= since || progress.acked_sent_at >= Some(since)
    }

    /// Whether this node has promised not to help elect another leader yet.
    pub(crate) fn is_bound_to_leader(&self) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return true;
        }
        let election_min = self.settings.timing.election_min();
        self.heard_leader_at
            .is_some_and(|heard| self.clock < heard + election_min)
    }
}
