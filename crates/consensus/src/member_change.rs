//! Single-step membership changes.
//!
//! A change takes effect on each node as soon as its log holds the entry.
//! Successive configurations have overlapping quorums, so a change needs no
//! joint consensus. This requires that a change starts only after the previous
//! one is committed, and that the leader has first committed an entry of its
//! own term. Otherwise two leaders could change the same configuration in
//! different ways, and the resulting quorums need not overlap.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::entry::Payload;
use crate::error::ProposeError;
use crate::members::{MemberChange, Members};
use crate::message::Body;
use crate::node::{Node, State};
use crate::progress::{Progress, ReplicationState};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Appends a member change to the log and returns the index of its entry.
    /// Fails if this node does not lead or the change is not possible now. The
    /// change is complete when [`Node::ready`] returns the entry as committed.
    pub fn propose_member_change(
        &mut self,
        now: Timestamp,
        change: MemberChange,
    ) -> Result<u64, ProposeError> {
        self.check_can_propose(now)?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::TermNotCommitted);
        }
        if self.log.members_index() > self.commit_index {
            return Err(ProposeError::MemberChangeInProgress);
        }
        let members = self.members_after(&change)?;
        self.track_change(&change);
        let index = self.append(Payload::Members(members));
        Ok(index)
    }

    /// Returns the member list that results from `change`.
    fn members_after(&self, change: &MemberChange) -> Result<Members, ProposeError> {
        let mut members = self.members().clone();
        match change {
            MemberChange::AddLearner(identity) => {
                if members.contains(identity.id) {
                    return Err(ProposeError::AlreadyMember(identity.id));
                }
                members.learners.insert(identity.id, identity.clone());
                return Ok(members);
            }
            MemberChange::Promote(id) => {
                if members.is_voter(*id) {
                    return Err(ProposeError::AlreadyMember(*id));
                }
                let identity = members
                    .learners
                    .remove(id)
                    .ok_or(ProposeError::UnknownMember(*id))?;
                if !self.has_caught_up(*id) {
                    return Err(ProposeError::NotCaughtUp(*id));
                }
                members.voters.insert(*id, identity);
            }
            MemberChange::Remove(id) => {
                if !members.contains(*id) {
                    return Err(ProposeError::UnknownMember(*id));
                }
                members.learners.remove(id);
                members.voters.remove(id);
            }
        }
        if !self.has_responsive_quorum(&members) {
            return Err(ProposeError::WouldLoseQuorum);
        }
        Ok(members)
    }

    /// Returns whether a learner is responsive and lacks at most one append
    /// message's worth of entries. A voter that lags further would delay
    /// commits.
    fn has_caught_up(&self, id: RouterId) -> bool {
        let Some(progress) = self.follower(id) else {
            return false;
        };
        let since = self.clock - self.settings.timing.election_max();
        let is_responsive = progress.acked_sent_at >= Some(since);
        let is_replicating = matches!(progress.state, ReplicationState::Replicate { .. });
        let lag = self.log.last_index() - progress.match_index;
        is_responsive && is_replicating && lag <= self.settings.max_batch_entries as u64
    }

    /// Returns whether the responsive voters among `members` form a quorum.
    /// This node and newly promoted voters count as responsive.
    fn has_responsive_quorum(&self, members: &Members) -> bool {
        let answering = self.responsive_voters();
        members.has_quorum(|id| {
            id == self.identity.id
                || members.is_voter(id) && !self.members().is_voter(id)
                || answering.iter().any(|(voter, _)| voter.id == id)
        })
    }

    /// Starts or stops tracking the replication progress of the changed member.
    fn track_change(&mut self, change: &MemberChange) {
        let clock = self.clock;
        let index = self.log.last_index() + 1;
        let removed = match change {
            MemberChange::Remove(id) => self.members().identity(*id).cloned(),
            _ => None,
        };
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if let MemberChange::AddLearner(identity) = change {
            let progress = Progress::new(index, clock);
            leader.followers.insert(identity.id, progress);
        }
        if let Some(identity) = removed {
            leader.followers.remove(&identity.id);
            leader.removed = Some((index, identity));
        }
    }

    /// Completes a removal that has been committed: notifies the removed
    /// member, or steps down if this node was removed.
    pub(crate) fn on_members_committed(&mut self) {
        let commit_index = self.commit_index;
        let is_committed = self.log.members_index() <= commit_index;
        if is_committed && !self.members().contains(self.identity.id) {
            self.step_down_after_removal();
            return;
        }
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let Some((members_index, removed)) = leader
            .removed
            .take_if(|(members_index, _)| *members_index <= commit_index)
        else {
            return;
        };
        self.send(removed, Body::NotMember { members_index });
    }

    /// Steps down after this node's removal and asks the most caught-up voter
    /// to campaign, so that the group does not wait for an election timeout.
    fn step_down_after_removal(&mut self) {
        self.flush();
        let successor = self.most_caught_up_voter();
        let transfer = self
            .leader_state()
            .map_or(1, |leader| leader.last_transfer + 1);
        self.step_down();
        if let Some(identity) = successor {
            self.send(identity, Body::TimeoutNow { transfer });
        }
    }

    /// Tells a candidate that it was removed, if a committed entry that the
    /// candidate lacks says so, and returns whether it did. Without this, a
    /// removed member would campaign forever.
    pub(crate) fn notify_if_removed(
        &mut self,
        candidate: &RouterIdentity,
        last_index: u64,
    ) -> bool {
        let (members_index, members) = self.log.members_at(self.commit_index);
        let listed = members.contains(candidate.id) || self.members().contains(candidate.id);
        if members.is_empty() || listed || members_index <= last_index {
            return false;
        }
        self.send(candidate.clone(), Body::NotMember { members_index });
        true
    }

    /// Stops campaigning because this node was removed. If a leader adds the
    /// node again, its first message makes the node a follower.
    pub(crate) fn handle_not_member(&mut self, members_index: u64) {
        let is_leader = matches!(self.state, State::Leader(_));
        if !is_leader && members_index > self.log.last_index() {
            self.state = State::Removed;
            self.leader = None;
        }
    }
}
