//! The group's log: proposals, applied entries, leadership and membership
//! changes.

use threadledge_consensus::{Outgoing, ProposeError};
use threadledge_ownership::{Command, Snapshot};
use threadledge_spread::SpreadInput;
use threadledge_types::Timestamp;

use super::ControlNode;
use crate::group_member::StateUpdate;
use crate::leader::{Leader, LeaderActions};
use crate::message::PeerMessage;
use crate::output::{Observation, Output};

/// Maximum number of rounds of proposing and applying in one step. A
/// single-member group commits immediately, so each round may lead to another.
const MAX_ROUNDS: usize = 64;

impl ControlNode {
    /// Proposes the membership changes that are due, if this router leads.
    pub(super) fn change_members(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let node = self.member.node();
        let changes = leader.member_change(now, &self.settings, node, &self.membership);
        for change in changes {
            use threadledge_consensus::MemberChange;
            let observation = match &change {
                MemberChange::AddLearner(identity) => Observation::AddingMember(identity.id),
                MemberChange::Promote(id) => Observation::PromotingMember(*id),
                MemberChange::Remove(id) => Observation::RemovingMember(*id),
            };
            let node = self.member.node_mut();
            if node.propose_member_change(now, change).is_ok() {
                outputs.push(Output::Observe(observation));
            }
        }
    }

    /// Proposes commands, applies entries and sends messages until nothing more
    /// follows.
    pub(super) fn advance(
        &mut self,
        now: Timestamp,
        mut actions: LeaderActions,
        outputs: &mut Vec<Output>,
    ) {
        for _ in 0..MAX_ROUNDS {
            outputs.append(&mut actions.outputs);
            for command in actions.commands.drain(..) {
                // A refused proposal is repeated by the component that made it.
                let _: Result<u64, ProposeError> = self.member.node_mut().propose(now, command);
            }
            let ready_output = self.member.process_ready();
            for message in ready_output.messages {
                outputs.push(self.consensus_output(message));
            }
            let progressed = !ready_output.updates.is_empty();
            for advance in &ready_output.updates {
                self.publish(now, advance, outputs);
            }
            self.notify_leader(now, &ready_output.updates, &mut actions);
            self.update_leadership(now, outputs);
            if !progressed && actions.commands.is_empty() {
                break;
            }
        }
        if self.member.rejoin(now) {
            self.parents_changed = true;
        }
        outputs.append(&mut actions.outputs);
    }

    pub(super) fn consensus_output(&self, outgoing: Outgoing<Command, Snapshot>) -> Output {
        Output::SendPeer {
            to: outgoing.to.peer_address,
            to_id: Some(outgoing.to.id),
            message: Box::new(PeerMessage::Consensus {
                group: self.settings.group,
                message: Box::new(outgoing.message),
            }),
        }
    }

    /// Applies a state update to the records that this router and its children
    /// use.
    pub(super) fn publish(
        &mut self,
        now: Timestamp,
        advance: &StateUpdate,
        outputs: &mut Vec<Output>,
    ) {
        let before = self.replica.revision();
        match advance {
            StateUpdate::Entry { changes, .. } if changes.is_empty() => return,
            StateUpdate::Entry { revision, changes } => self.replica.commit(*revision, changes),
            StateUpdate::Replaced { revision, records } => self.replica.replace(*revision, records),
        }
        if self.replica.revision() > before {
            let delta = advance.delta(self.settings.group, before);
            outputs.push(Output::Records(delta));
            self.step_spread(now, SpreadInput::ReplicaAdvanced, None, outputs);
        }
    }

    /// Starts or ends the leader's work after the consensus role changed.
    pub(super) fn update_leadership(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let node = self.member.node();
        let serving = self.member.is_serving_leader();
        let term = serving.then(|| (node.generation(), node.term()));
        let held = self
            .leader
            .as_ref()
            .map(|leader| (leader.term().generation, leader.term().term));
        if held == term {
            return;
        }
        if let Some((_, term)) = held {
            self.leader = None;
            outputs.push(Output::StopWatching);
            outputs.push(Output::Observe(Observation::LostLeadership { term }));
        }
        if let Some((_, term)) = term {
            self.leader = Some(Leader::start(&self.settings, &self.member, now));
            let known = self.member.known_objects();
            outputs.push(Output::WatchConfiguration(known));
            outputs.push(Output::Observe(Observation::BecameLeader { term }));
        }
        self.parents_changed = true;
    }

    /// Passes applied changes to the leader's work.
    pub(super) fn notify_leader(
        &mut self,
        now: Timestamp,
        updates: &[StateUpdate],
        actions: &mut LeaderActions,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let in_force = self.replica.revision();
        for advance in updates {
            if let StateUpdate::Entry { changes, .. } = advance {
                leader.applied(now, in_force, changes, &self.member, actions);
            }
        }
    }
}
