//! Changing the members, one at a time.
//!
//! A change is in force on each node as soon as its log holds the entry. Two
//! neighbouring configurations have overlapping quorums, so a change needs no
//! joint phase, provided that the next one begins only when the last one is
//! committed, and that the leader has committed an entry of its own term
//! first (otherwise two leaders may change the same configuration in two
//! ways, and their quorums need not overlap).

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::entry::Payload;
use crate::error::ProposeError;
use crate::members::{MemberChange, Members};
use crate::message::Body;
use crate::node::{Node, State};
use crate::progress::{Progress, ReplicationState};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Appends a member change to the log if this node leads and the change
    /// is possible now. It is done when [`Node::ready`] hands out the members
    /// at the index returned.
    pub fn propose_member_change(
        &mut self,
        now: Timestamp,
        change: MemberChange,
    ) -> Result<u64, ProposeError> {
        self.check_may_propose(now)?;
        if !self.has_committed_in_term() {
            return Err(ProposeError::TermNotCommitted);
        }
        if self.log.members_index() > self.commit_index {
            return Err(ProposeError::MemberChangeInProgress);
        }
        let members = self.changed_members(&change)?;
        self.track_change(&change);
        let index = self.append(Payload::Members(members));
        Ok(index)
    }

    fn changed_members(&self, change: &MemberChange) -> Result<Members, ProposeError> {
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
        if !self.would_have_quorum(&members) {
            return Err(ProposeError::WouldLoseQuorum);
        }
        Ok(members)
    }

    /// Whether a learner answers and lacks no more than one message's worth of
    /// entries. A voter that lags further would hold up commits.
    fn has_caught_up(&self, id: RouterId) -> bool {
        let Some(progress) = self.follower(id) else {
            return false;
        };
        let since = self.clock - self.settings.timing.election_max();
        let answers = progress.acked_sent_at >= Some(since);
        let streams = matches!(progress.state, ReplicationState::Replicate { .. });
        let lag = self.log.last_index() - progress.match_index;
        answers && streams && lag <= self.settings.max_batch_entries as u64
    }

    fn would_have_quorum(&self, members: &Members) -> bool {
        let answering = self.answering_voters();
        members.has_quorum(|id| {
            id == self.identity.id
                || members.is_voter(id) && !self.members().is_voter(id)
                || answering.iter().any(|(voter, _)| voter.id == id)
        })
    }

    /// Begins or ends tracking of the member that changes.
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

    /// Ends a removal once it is committed: tells the member that was taken
    /// out, or steps down if it was this node.
    pub(crate) fn members_committed(&mut self) {
        let commit_index = self.commit_index;
        let settled = self.log.members_index() <= commit_index;
        if settled && !self.members().contains(self.identity.id) {
            self.leave();
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

    /// Steps down after this node's removal and asks the best follower to
    /// lead, which saves the election timeout.
    fn leave(&mut self) {
        self.flush();
        let successor = self.best_successor();
        let transfer = self
            .leader_state()
            .map_or(1, |leader| leader.transfers_started + 1);
        self.step_down();
        if let Some(identity) = successor {
            self.send(identity, Body::TimeoutNow { transfer });
        }
    }

    /// Tells a candidate that it was taken out, if a committed entry that it
    /// lacks says so. Keeps removed members from campaigning for ever.
    pub(crate) fn tell_removed(&mut self, candidate: &RouterIdentity, last_index: u64) -> bool {
        let (members_index, members) = self.log.members_at(self.commit_index);
        let listed = members.contains(candidate.id) || self.members().contains(candidate.id);
        if members.is_empty() || listed || members_index <= last_index {
            return false;
        }
        self.send(candidate.clone(), Body::NotMember { members_index });
        true
    }

    /// Stops campaigning on being told of the removal. A leader that adds the
    /// node again wakes it by its first message.
    pub(crate) fn handle_not_member(&mut self, members_index: u64) {
        let leads = matches!(self.state, State::Leader(_));
        if !leads && members_index > self.log.last_index() {
            self.state = State::Removed;
            self.leader = None;
        }
    }
}
