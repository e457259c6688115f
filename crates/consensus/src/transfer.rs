//! Leadership transfer.
//!
//! The target of a transfer is elected without waiting until the voters'
//! promises to the current leader expire. The current leader therefore gives up
//! its lease before it asks the target to campaign. If the transfer is
//! cancelled, the leader regains its lease only after the target has confirmed
//! that it will ignore the request, because the request may be delayed
//! arbitrarily.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::error::ProposeError;
use crate::message::Body;
use crate::node::{Node, State};

/// Leadership transfer in progress, as tracked by the leader.
#[derive(Clone, Debug, PartialEq, Hash)]
pub(crate) struct Transfer {
    target: RouterId,
    number: u64,
    deadline: Timestamp,
    phase: TransferPhase,
}

/// Phase of a leadership transfer.
#[derive(Clone, Copy, Debug, PartialEq, Hash)]
enum TransferPhase {
    /// The target still lacks entries.
    CatchingUp,
    /// The target was asked to campaign.
    CampaignRequested,
    /// The transfer was cancelled after the target was asked to campaign.
    Cancelled { at: Timestamp },
}

impl Transfer {
    /// Returns whether proposals must be refused because of the transfer.
    pub(crate) fn blocks_proposals(&self) -> bool {
        !matches!(self.phase, TransferPhase::Cancelled { .. })
    }

    /// Returns whether another leader may be elected at any moment because of
    /// the transfer, so that this node's lease is void.
    pub(crate) fn voids_lease(&self) -> bool {
        !matches!(self.phase, TransferPhase::CatchingUp)
    }

    /// Returns when the current phase times out.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Starts a transfer of leadership to voter `to`, or to the most caught-up
    /// voter if `to` is `None`. Returns the target. Proposals are refused until
    /// the target leads. If it does not within the shortest election timeout,
    /// the transfer is cancelled and this node continues to lead.
    pub fn transfer_leadership(
        &mut self,
        now: Timestamp,
        to: Option<RouterId>,
    ) -> Result<RouterId, ProposeError> {
        self.check_can_propose(now)?;
        let target = self.transfer_target(to)?;
        let deadline = self.clock + self.settings.timing.election_min();
        let Some(leader) = self.leader_state_mut() else {
            return Err(ProposeError::NoTransferTarget);
        };
        if leader.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        leader.last_transfer += 1;
        leader.transfer = Some(Transfer {
            target,
            number: leader.last_transfer,
            deadline,
            phase: TransferPhase::CatchingUp,
        });
        self.request_campaign_if_caught_up();
        Ok(target)
    }

    /// Returns the voter to transfer leadership to.
    fn transfer_target(&self, to: Option<RouterId>) -> Result<RouterId, ProposeError> {
        let Some(id) = to else {
            let best = self.most_caught_up_voter();
            return best
                .map(|identity| identity.id)
                .ok_or(ProposeError::NoTransferTarget);
        };
        if !self.members().is_voter(id) {
            return Err(ProposeError::UnknownMember(id));
        }
        let is_responsive = self
            .responsive_voters()
            .iter()
            .any(|(voter, _)| voter.id == id);
        if is_responsive {
            Ok(id)
        } else {
            Err(ProposeError::NoTransferTarget)
        }
    }

    /// Returns the responsive voter with the highest match index.
    pub(crate) fn most_caught_up_voter(&self) -> Option<RouterIdentity> {
        let mut best: Option<(RouterIdentity, u64)> = None;
        for (voter, match_index) in self.responsive_voters() {
            let better = best.as_ref().is_none_or(|(_, most)| match_index > *most);
            if better {
                best = Some((voter, match_index));
            }
        }
        best.map(|(voter, _)| voter)
    }

    /// Asks the target of the transfer to campaign, if it holds the whole log.
    pub(crate) fn request_campaign_if_caught_up(&mut self) {
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
        if transfer.phase != TransferPhase::CatchingUp || !caught_up {
            return;
        }
        // From here on `voids_lease` holds.
        transfer.phase = TransferPhase::CampaignRequested;
        let target = transfer.target;
        let body = Body::TimeoutNow {
            transfer: transfer.number,
        };
        self.send_to_member(target, body);
    }

    /// Cancels a transfer at its deadline. If the target does not confirm the
    /// cancellation in time, steps down, because the request is void in a later
    /// term.
    pub(crate) fn tick_transfer(&mut self) {
        let clock = self.clock;
        let timeout = self.settings.timing.election_max();
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
            TransferPhase::CatchingUp => leader.transfer = None,
            TransferPhase::CampaignRequested => {
                transfer.phase = TransferPhase::Cancelled { at: clock };
                transfer.deadline = clock + timeout;
                leader.last_cancelled = transfer.number;
                leader.heartbeat_due = clock;
            }
            TransferPhase::Cancelled { .. } => self.step_down(),
        }
    }

    /// Ends a cancelled transfer, which restores the lease, if the target
    /// answers a heartbeat that carried the cancellation. The target is then
    /// still in this term, so it has not campaigned and will not do so.
    pub(crate) fn confirm_cancelled_transfer(&mut self, from: RouterId, echo: Timestamp) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let confirmed = leader.transfer.as_ref().is_some_and(|transfer| {
            let notified = matches!(transfer.phase, TransferPhase::Cancelled { at } if echo >= at);
            transfer.target == from && notified
        });
        if confirmed {
            leader.transfer = None;
        }
    }

    /// Starts an election because the leader asked this node to campaign.
    pub(crate) fn handle_timeout_now(&mut self, sender: &RouterIdentity, transfer: u64) {
        let from_leader = self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.id == sender.id);
        let cancelled = transfer <= self.cancelled_transfer;
        let leads_or_campaigns = matches!(self.state, State::Leader(_) | State::Candidate { .. });
        if from_leader && !cancelled && !leads_or_campaigns && self.may_campaign() {
            self.start_election(true);
        }
    }
}
