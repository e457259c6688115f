//! Finds, bootstraps and recovers the group.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_consensus::Role;
use threadledge_ownership::Snapshot;
use threadledge_types::{Generation, Revision, RouterId, RouterIdentity, Timestamp};

use super::{ControlNode, consensus_settings};
use crate::bootstrap::{BootstrapStep, GroupObjectState};
use crate::group_member::GroupMember;
use crate::input::GroupWriteResult;
use crate::message::PeerMessage;
use crate::output::{Observation, Output};
use crate::recovery::RecoveryAction;
use crate::view::GroupView;

/// Maximum number of routers asked about the group before it is bootstrapped
/// again.
const MAX_INQUIRIES: usize = 64;
/// Time without a known leader after which a router asks others.
const LEADER_SEARCH_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between two such inquiries.
const SEARCH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a leader checks the group object.
const GENERATION_CHECK_INTERVAL: Duration = Duration::from_secs(2);

impl ControlNode {
    /// Asks the platform about the group while none is known or the known one
    /// is provably lost.
    pub(super) fn find_or_recover_group(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.needs_group() {
            outputs.extend(self.bootstrap.tick(now));
            return;
        }
        if self.follows_leader() {
            self.recovery.record_leader_seen(now);
        }
        if let Some(confirmed) = self.confirmed_as_of() {
            self.recovery.record_leader_seen(confirmed);
        }
        self.search_for_leader(now, outputs);
        if let Some(view) = self.view.as_ref().filter(|_| !self.leaving) {
            let is_member = self.member.node().members().contains(self.identity.id);
            match self.recovery.tick(now, view, is_member, &self.membership) {
                Some(RecoveryAction::AskPeers) => self.ask_peers(outputs),
                Some(RecoveryAction::ReadGroupObject) => outputs.push(Output::ReadGroupObject),
                None => {}
            }
        }
        self.check_generation(now, outputs);
    }

    /// Asks other routers for a later view once no leader has been known for a
    /// while. A router derives its parents from its view, so one that missed a
    /// new generation would otherwise look for records only where nobody knows
    /// of it.
    fn search_for_leader(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let lost = now.since(self.recovery.leader_seen()) >= LEADER_SEARCH_DELAY;
        if lost && now >= self.next_search {
            self.next_search = now + SEARCH_INTERVAL;
            self.ask_peers(outputs);
        }
    }

    /// Whether this router is in regular contact with a leader. A learner keeps
    /// the last leader it heard of, so its knowledge proves nothing.
    fn follows_leader(&self) -> bool {
        let node = self.member.node();
        let detects_leader_loss = matches!(node.role(), Role::Leader | Role::Follower);
        detects_leader_loss && node.leader().is_some()
    }

    /// Asks the voters and some other routers what they know of the group.
    fn ask_peers(&self, outputs: &mut Vec<Output>) {
        let voters = self.view.iter().flat_map(|view| &view.voters);
        let alive = self.membership.alive().map(|member| &member.identity);
        let mut asked: BTreeMap<RouterId, &RouterIdentity> = BTreeMap::new();
        for identity in voters.chain(alive).take(MAX_INQUIRIES) {
            asked.insert(identity.id, identity);
        }
        asked.remove(&self.identity.id);
        for identity in asked.into_values() {
            outputs.push(Output::SendPeer {
                to: identity.peer_address,
                to_id: Some(identity.id),
                message: Box::new(PeerMessage::GroupInquiry {
                    group: self.settings.group,
                }),
            });
        }
    }

    /// Sends another router what this one knows of the group.
    pub(super) fn answer_inquiry(
        &self,
        now: Timestamp,
        asker: &RouterIdentity,
        outputs: &mut Vec<Output>,
    ) {
        let age = now.since(self.recovery.leader_seen()).as_micros();
        let known = self.view.is_some();
        outputs.push(Output::SendPeer {
            to: asker.peer_address,
            to_id: Some(asker.id),
            message: Box::new(PeerMessage::GroupAnswer {
                group: self.settings.group,
                view: self.view.clone().map(Box::new),
                leader_age_micros: known.then(|| u64::try_from(age).unwrap_or(u64::MAX)),
            }),
        });
    }

    /// Handles what another router knows of the group. The transit time of the
    /// message only makes the leader contact seem older than it is.
    pub(super) fn on_group_answer(
        &mut self,
        now: Timestamp,
        view: Option<Box<GroupView>>,
        leader_age_micros: Option<u64>,
    ) {
        self.adopt_view(view);
        if let Some(micros) = leader_age_micros {
            self.recovery
                .record_leader_seen(now - Duration::from_micros(micros));
        }
    }

    /// Makes a leader check regularly whether its group was bootstrapped again.
    ///
    /// Enforces the invariants *one owner* and *accepted configuration never
    /// reverts*. The proof on which another router had the group bootstrapped
    /// again may have been out of date; this group must then end, because the
    /// platform's object decides.
    fn check_generation(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.leader.is_some() && now >= self.next_generation_check {
            self.next_generation_check = now + GENERATION_CHECK_INTERVAL;
            outputs.push(Output::ReadGroupObject);
        }
    }

    /// Retires if the group object names a later generation than this router's.
    fn retire_if_superseded(&mut self, state: &GroupObjectState) {
        if let GroupObjectState::Present { generation, .. } = state {
            self.retire(*generation);
        }
    }

    /// Ends this router's membership of generations before `generation`. A
    /// router that was never added to a group has none to end.
    pub(super) fn retire(&mut self, generation: Generation) {
        let node = self.member.node_mut();
        if node.role() != Role::Joining {
            node.retire(generation);
        }
    }

    /// Whether this router knows no group and may bootstrap one.
    pub(super) fn needs_group(&self) -> bool {
        self.view.is_none() && !self.leaving && self.member.node().role() == Role::Joining
    }

    /// Handles the state of the group object: retires, bootstraps the group or
    /// schedules another attempt.
    pub(super) fn on_group_object(
        &mut self,
        now: Timestamp,
        state: GroupObjectState,
        outputs: &mut Vec<Output>,
    ) {
        self.retire_if_superseded(&state);
        let step = match &self.view {
            Some(view) => self
                .recovery
                .on_group_object(now, state, view, &self.membership),
            None if self.needs_group() => self.bootstrap.on_group_object(now, state),
            None => BootstrapStep::Wait,
        };
        match step {
            BootstrapStep::Wait => {}
            BootstrapStep::Write {
                generation,
                expected,
            } => outputs.push(Output::WriteGroupObject {
                generation,
                expected,
            }),
            BootstrapStep::AlreadyFounder(generation) => {
                self.bootstrap_group(now, generation, outputs)
            }
        }
    }

    /// Handles the result of writing the group object.
    pub(super) fn on_group_object_written(
        &mut self,
        now: Timestamp,
        generation: Generation,
        result: GroupWriteResult,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            GroupWriteResult::Written => self.bootstrap_group(now, generation, outputs),
            GroupWriteResult::Conflict | GroupWriteResult::Unavailable => {
                self.bootstrap.write_failed(now);
                self.recovery.write_failed(now);
            }
        }
    }

    /// Bootstraps the group, at most once per generation: a second time would
    /// start the history of that generation over.
    ///
    /// A later generation starts from the state that this router holds: its
    /// applied state if it was a member, otherwise its copy of the records. The
    /// state machine then treats every session as ended until all leases of
    /// earlier generations have expired, and takes back the slices that back
    /// ends still hold.
    pub(super) fn bootstrap_group(
        &mut self,
        now: Timestamp,
        generation: Generation,
        outputs: &mut Vec<Output>,
    ) {
        let known = self.view.as_ref().map(|view| view.generation);
        if self.bootstrapped_generation >= Some(generation) || known >= Some(generation) {
            return;
        }
        self.bootstrapped_generation = Some(generation);
        let recovered = known.and_then(|_| self.recoverable_state());
        self.member = GroupMember::bootstrap(
            consensus_settings(&self.settings),
            self.identity.clone(),
            generation,
            recovered,
            now,
        );
        self.leader = None;
        outputs.push(Output::Observe(Observation::GroupFounded(generation)));
    }

    /// Returns the newest state that this router holds: its applied state or
    /// its copy of the records.
    pub(super) fn recoverable_state(&self) -> Option<Snapshot> {
        let machine = self.member.machine();
        let copied = self.replica.revision();
        if machine.revision() > Revision::NONE && machine.revision() >= copied {
            return Some(machine.snapshot());
        }
        (copied > Revision::NONE).then(|| Snapshot::from_records(copied, self.replica.records()))
    }
}
