//! Handing leadership over.
//!
//! The next leader is elected without waiting for the voters' promises to run
//! out, so the present leader gives up its lease before it asks the target to
//! campaign. If the transfer is called off, the lease returns only once the
//! target has confirmed that it will ignore the request: the request may be
//! delayed by any time.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::error::ProposeError;
use crate::message::Body;
use crate::node::{Node, State};

/// A transfer of leadership, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) struct Transfer {
    target: RouterId,
    number: u64,
    deadline: Timestamp,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum Phase {
    /// The target lacks entries.
    CatchingUp,
    /// The target was asked to campaign.
    Asked,
    /// Called off after the target was asked.
    Cancelled { at: Timestamp },
}

impl Transfer {
    /// Whether proposals have to wait for it.
    pub(crate) fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Cancelled { .. })
    }

    /// Whether another leader may be elected at any moment because of it.
    pub(crate) fn voids_lease(&self) -> bool {
        !matches!(self.phase, Phase::CatchingUp)
    }

    /// When the leader has to look at it again.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Starts handing leadership to voter `to`, or to the voter that has most
    /// of the log. Returns the target. Proposals are refused until the target
    /// leads; if it does not within the shortest election timeout, the
    /// transfer is called off and this node goes on leading.
    pub fn transfer_leadership(
        &mut self,
        now: Timestamp,
        to: Option<RouterId>,
    ) -> Result<RouterId, ProposeError> {
        self.check_may_propose(now)?;
        let target = self.transfer_target(to)?;
        let deadline = self.clock + self.settings.timing.election_min();
        let Some(leader) = self.leader_state_mut() else {
            return Err(ProposeError::NoTransferTarget);
        };
        if leader.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        leader.transfers_started += 1;
        leader.transfer = Some(Transfer {
            target,
            number: leader.transfers_started,
            deadline,
            phase: Phase::CatchingUp,
        });
        self.hand_over_when_caught_up();
        Ok(target)
    }

    fn transfer_target(&self, to: Option<RouterId>) -> Result<RouterId, ProposeError> {
        let Some(id) = to else {
            let best = self.best_successor();
            return best
                .map(|identity| identity.id)
                .ok_or(ProposeError::NoTransferTarget);
        };
        if !self.members().is_voter(id) {
            return Err(ProposeError::UnknownMember(id));
        }
        let answers = self
            .answering_voters()
            .iter()
            .any(|(voter, _)| voter.id == id);
        if answers {
            Ok(id)
        } else {
            Err(ProposeError::NoTransferTarget)
        }
    }

    /// The answering voter that has most of the log.
    pub(crate) fn best_successor(&self) -> Option<RouterIdentity> {
        let mut best: Option<(RouterIdentity, u64)> = None;
        for (voter, match_index) in self.answering_voters() {
            let better = best.as_ref().is_none_or(|(_, most)| match_index > *most);
            if better {
                best = Some((voter, match_index));
            }
        }
        best.map(|(voter, _)| voter)
    }

    /// Asks the target to campaign once it holds the whole log.
    pub(crate) fn hand_over_when_caught_up(&mut self) {
        let last_index = self.log.last_index();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let caught_up = leader
            .followers
            .get(&transfer.target)
            .is_some_and(|progress| progress.match_index == last_index);
        if transfer.phase != Phase::CatchingUp || !caught_up {
            return;
        }
        // From here on `voids_lease` holds.
        transfer.phase = Phase::Asked;
        let target = transfer.target;
        let body = Body::TimeoutNow {
            transfer: transfer.number,
        };
        self.send_to_member(target, body);
    }

    /// Calls a transfer off at its deadline. If the target then does not
    /// confirm, steps down: in a later term the request is void.
    pub(crate) fn tick_transfer(&mut self) {
        let clock = self.clock;
        let patience = self.settings.timing.election_max();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        if clock < transfer.deadline {
            return;
        }
        match transfer.phase {
            Phase::CatchingUp => leader.transfer = None,
            Phase::Asked => {
                transfer.phase = Phase::Cancelled { at: clock };
                transfer.deadline = clock + patience;
                leader.transfers_cancelled = transfer.number;
                leader.heartbeat_due = clock;
            }
            Phase::Cancelled { .. } => self.step_down(),
        }
    }

    /// Takes the lease back when the target answers a heartbeat that told it
    /// of the cancellation: it is still in this term, so it has not
    /// campaigned, and it will not.
    pub(crate) fn confirm_cancelled_transfer(&mut self, from: RouterId, echo: Timestamp) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let confirmed = leader.transfer.as_ref().is_some_and(|transfer| {
            let told = matches!(transfer.phase, Phase::Cancelled { at } if echo >= at);
            transfer.target == from && told
        });
        if confirmed {
            leader.transfer = None;
        }
    }

    /// Campaigns because the leader asked for it.
    pub(crate) fn handle_timeout_now(&mut self, sender: &RouterIdentity, transfer: u64) {
        let of_leader = self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.id == sender.id);
        let called_off = transfer <= self.cancelled_transfer;
        let leads = matches!(self.state, State::Leader(_) | State::Candidate { .. });
        if of_leader && !called_off && !leads && self.may_campaign() {
            self.start_election(true);
        }
    }
}
