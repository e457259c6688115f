//! Handles messages of other routers, and chooses this router's parents in the
//! tree that spreads records.

use threadledge_consensus::Role;
use threadledge_membership::MemberState;
use threadledge_membership::tree::parent_candidates;
use threadledge_spread::{SpreadInput, SpreadMessage, SpreadOutput};
use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use super::ControlNode;
use crate::message::{PeerBatch, PeerMessage};
use crate::output::{Observation, Output};
use crate::view::{GroupView, ViewVersion};

/// Maximum number of routers asked for a first copy of the records and the
/// group's view.
const MAX_FIRST_CONTACTS: usize = 16;
/// Multiplier of a multiplicative hash: an odd number near 2^64 divided by the
/// golden ratio. It spreads neighbouring numbers over the whole range.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl ControlNode {
    /// Handles the messages of another router.
    pub(super) fn on_peer_batch(
        &mut self,
        now: Timestamp,
        batch: PeerBatch,
        outputs: &mut Vec<Output>,
    ) {
        let addressed_to_us = batch.to.is_none_or(|to| to == self.identity.id);
        for message in batch.messages {
            match message {
                PeerMessage::Membership(message) => {
                    let message = Box::new(message);
                    let input = threadledge_membership::Input::Message { message };
                    self.step_membership(now, input, outputs);
                }
                PeerMessage::Consensus { group, message } => {
                    if addressed_to_us && group == self.settings.group {
                        self.member.step(now, batch.from.id, *message);
                    }
                }
                PeerMessage::GroupInquiry { group } => {
                    if addressed_to_us && group == self.settings.group {
                        self.answer_inquiry(now, &batch.from, outputs);
                    }
                }
                PeerMessage::GroupAnswer {
                    group,
                    view,
                    leader_age_micros,
                } => {
                    if addressed_to_us && group == self.settings.group {
                        self.on_group_answer(now, view, leader_age_micros);
                    }
                }
                PeerMessage::Spread {
                    message,
                    view_version,
                    view,
                } => {
                    self.adopt_view(view);
                    let input = SpreadInput::Message {
                        from: batch.from.clone(),
                        message: Box::new(message),
                    };
                    self.step_spread(now, input, Some(view_version), outputs);
                }
            }
        }
    }

    /// Steps the membership protocol and reports its events.
    pub(super) fn step_membership(
        &mut self,
        now: Timestamp,
        input: threadledge_membership::Input,
        outputs: &mut Vec<Output>,
    ) {
        use threadledge_membership::Output as MembershipOutput;
        for output in self.membership.step(now, input) {
            let observation = match output {
                MembershipOutput::Send { to, to_id, message } => {
                    outputs.push(Output::SendPeer {
                        to,
                        to_id,
                        message: Box::new(PeerMessage::Membership(*message)),
                    });
                    continue;
                }
                MembershipOutput::MemberUp(identity) => Observation::RouterUp(identity.id),
                MembershipOutput::MemberSuspect(id) => Observation::RouterSuspected(id),
                MembershipOutput::MemberDown(id, _) => Observation::RouterDown(id),
                MembershipOutput::MemberLeaving(id) => Observation::RouterLeaving(id),
            };
            self.parents_changed = true;
            outputs.push(Output::Observe(observation));
        }
    }

    /// Confirms the records of the leader, the root of the spreading tree,
    /// while its lease is valid.
    pub(super) fn confirm_root(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let confirmed = self.member.is_serving_leader() && self.is_leader(now);
        if confirmed {
            self.step_spread(now, SpreadInput::RootConfirmed, None, outputs);
        }
    }

    /// Steps the spread node. `their_view` is the view version of the router
    /// that sent the input; if it is older, answers carry this router's view.
    pub(super) fn step_spread(
        &mut self,
        now: Timestamp,
        input: SpreadInput,
        their_view: Option<Option<ViewVersion>>,
        outputs: &mut Vec<Output>,
    ) {
        let own_version = self.view.as_ref().map(GroupView::version);
        let behind = their_view.is_some_and(|theirs| theirs < own_version);
        for output in self.spread.step(now, input, &mut self.replica) {
            match output {
                SpreadOutput::Send { to, message } => {
                    let answers = !matches!(*message, SpreadMessage::Pull(_));
                    let view = self.view.clone().filter(|_| behind && answers);
                    outputs.push(Output::SendPeer {
                        to: to.peer_address,
                        to_id: Some(to.id),
                        message: Box::new(PeerMessage::Spread {
                            message: *message,
                            view_version: own_version,
                            view: view.map(Box::new),
                        }),
                    });
                }
                SpreadOutput::Applied(delta) => outputs.push(Output::Records(delta)),
            }
        }
    }

    /// Adopts a view of the group if it is later than the known one.
    pub(super) fn adopt_view(&mut self, view: Option<Box<GroupView>>) {
        let Some(view) = view else { return };
        let newer = self
            .view
            .as_ref()
            .is_none_or(|own| own.version() < view.version());
        if newer {
            self.retire(view.generation);
            self.view = Some(*view);
            self.parents_changed = true;
        }
    }

    /// Updates the view from this router's own consensus state, if it is a
    /// member of the group.
    pub(super) fn refresh_view(&mut self) {
        let node = self.member.node();
        let is_member = matches!(node.role(), Role::Leader | Role::Follower | Role::Learner);
        if !is_member || node.leader().is_none() {
            return;
        }
        let view = GroupView {
            generation: node.generation(),
            term: node.term(),
            index: node.commit_index(),
            leader: node.leader().map(|leader| leader.id),
            voters: node.members().voters.values().cloned().collect(),
        };
        let same = self.view.as_ref().is_some_and(|own| {
            own.generation == view.generation
                && own.leader == view.leader
                && own.term == view.term
                && own.voters == view.voters
        });
        if !same {
            self.adopt_view(Some(Box::new(view)));
        }
    }

    /// Computes this router's parents again if anything they depend on has
    /// changed.
    pub(super) fn refresh_parents(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if !std::mem::take(&mut self.parents_changed) {
            return;
        }
        let parents = self.parents();
        self.step_spread(now, SpreadInput::Parents(parents), None, outputs);
    }

    /// Returns the candidates for this router's parent in the spreading tree,
    /// best first; empty on the leader.
    pub(super) fn parents(&self) -> Vec<RouterIdentity> {
        if self.leader.is_some() {
            return Vec::new();
        }
        let roots = self.view.as_ref().map(GroupView::roots).unwrap_or_default();
        let others = roots.iter().filter(|root| root.id != self.identity.id);
        if roots.iter().any(|root| root.id == self.identity.id) {
            return others.cloned().collect();
        }
        let root_ids: Vec<RouterId> = roots.iter().map(|root| root.id).collect();
        let alive: Vec<RouterId> = self
            .membership
            .alive()
            .map(|member| member.identity.id)
            .collect();
        if roots.is_empty() {
            return self.first_contacts(&alive);
        }
        let candidates =
            parent_candidates(self.identity.id, &root_ids, &alive, self.settings.fanout);
        candidates
            .iter()
            .filter_map(|id| self.identity_of(*id, &roots))
            .collect()
    }

    /// Returns the routers to ask while nothing is known of the group. The
    /// order differs between routers: with a common order the group's view
    /// would spread in one slow wave.
    pub(super) fn first_contacts(&self, alive: &[RouterId]) -> Vec<RouterIdentity> {
        let own = self.identity.id.0;
        let mut order: Vec<RouterId> = alive.to_vec();
        order.sort_by_key(|id| (id.0 ^ own).wrapping_mul(HASH_MULTIPLIER));
        let asked = order.into_iter().filter(|id| *id != self.identity.id);
        asked
            .take(MAX_FIRST_CONTACTS)
            .filter_map(|id| self.identity_of(id, &[]))
            .collect()
    }

    /// Returns the identity of a root or a member that is not dead.
    pub(super) fn identity_of(
        &self,
        id: RouterId,
        roots: &[RouterIdentity],
    ) -> Option<RouterIdentity> {
        let root = roots.iter().find(|root| root.id == id);
        let known = || {
            let mut members = self.membership.members();
            members
                .find(|member| member.identity.id == id && member.state != MemberState::Dead)
                .map(|member| member.identity.clone())
        };
        root.cloned().or_else(known)
    }
}
