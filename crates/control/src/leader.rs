//! The work of the group's leader: sessions and grants, placement,
//! configuration intake and changes of the group's membership.

use std::time::Duration;

use threadledge_consensus::{MemberChange, Node};
use threadledge_membership::group_members::{self, GroupChange};
use threadledge_membership::{Member, Membership};
use threadledge_ownership::grantor::{Grantor, GrantorInput, GrantorOutput, GrantorSettings};
use threadledge_ownership::{Command, LeaderTerm, Snapshot};
use threadledge_placement::{Action, Planner};
use threadledge_types::records::RecordChange;
use threadledge_types::{Revision, Timestamp};

use crate::group_member::GroupMember;
use crate::input::ConfigurationEvent;
use crate::intake::{ConfigurationIntake, IntakeActions};
use crate::output::{Observation, Output};
use crate::service_alerts::ServiceAlerts;
use crate::settings::ControlSettings;
use crate::slice_changes::SliceChanges;

/// Interval between checks of the group's membership.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between placement rounds while nothing changes.
const PLANNING_INTERVAL: Duration = Duration::from_millis(50);
/// Time after an election after which a group that has not reached its target
/// size may assign slices, provided that it includes every router that is
/// visible.
const GROUP_FORMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after an election in which back ends without a session may still
/// register. Assigning earlier would give too much to the first ones to answer,
/// and keys would have to move again.
const SESSION_WAIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of placement actions proposed in one round.
const MAX_ACTIONS: usize = 256;

/// Commands and outputs that follow from the leader's work.
#[derive(Debug, Default)]
pub struct LeaderActions {
    /// Commands to propose, in order.
    pub commands: Vec<Command>,
    /// Outputs for the shell.
    pub outputs: Vec<Output>,
}

/// The leader's state beyond the replicated log. It is not persisted: a new
/// leader starts from the applied state.
pub struct Leader {
    term: LeaderTerm,
    grantor: Grantor,
    planner: Planner,
    intake: ConfigurationIntake,
    alerts: ServiceAlerts,
    /// Whether the group has enough members for slices to be assigned.
    is_group_formed: bool,
    /// Time at which there was first a configuration to plan for.
    configured_at: Option<Timestamp>,
    /// Whether back ends have had time to register.
    back_ends_ready: bool,
    started: Timestamp,
    next_membership: Timestamp,
    next_planning: Timestamp,
}

impl Leader {
    /// Starts the work of the term in which `member` was elected.
    pub fn start(settings: &ControlSettings, member: &GroupMember, now: Timestamp) -> Self {
        let node = member.node();
        let machine = member.machine();
        let term = LeaderTerm {
            generation: node.generation(),
            term: node.term(),
        };
        let elected_at = node.elected_at().unwrap_or(now);
        let grantor = Grantor::start(
            GrantorSettings::from(settings.timing.clone()),
            settings.group,
            term,
            elected_at,
            now,
            machine,
        );
        let mut planner = Planner::new(
            threadledge_placement::PlannerSettings::default(),
            settings.seed,
        );
        for change in machine.records() {
            planner.observe(&change);
        }
        Leader {
            term,
            grantor,
            planner,
            intake: ConfigurationIntake::new(node.identity().region.clone(), machine),
            alerts: ServiceAlerts::default(),
            is_group_formed: false,
            configured_at: None,
            back_ends_ready: false,
            started: now,
            next_membership: now,
            next_planning: now,
        }
    }

    /// The leader's term.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// The placement planner, for status pages.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Does the periodic work.
    pub fn tick(
        &mut self,
        now: Timestamp,
        in_force: Revision,
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        self.step_grantor(now, GrantorInput::Tick, member, actions);
        self.tick_intake(now, in_force, member, actions);
        self.plan(now, member, actions);
    }

    /// Handles the changes of one applied log entry. `in_force` is the revision
    /// of a copy of the records that holds everything applied; it stays below
    /// the entry's own revision when the entry changed nothing.
    pub fn applied(
        &mut self,
        now: Timestamp,
        in_force: Revision,
        changes: &[RecordChange],
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        let mut slice_changes = SliceChanges::default();
        for change in changes {
            slice_changes.count(change, &self.planner);
            self.planner.observe(change);
            report_session_change(change, actions);
        }
        let observations = slice_changes.into_observations().map(Output::Observe);
        actions.outputs.extend(observations);
        // The grantor is stepped even without changes, because the first
        // command of its term is such an entry.
        let input = GrantorInput::Applied(changes.to_vec());
        self.step_grantor(now, input, member, actions);
        if !changes.is_empty() {
            self.next_planning = now;
        }
        self.tick_intake(now, in_force, member, actions);
    }

    fn tick_intake(
        &mut self,
        now: Timestamp,
        in_force: Revision,
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        if self.intake.has_pending() {
            let intake = self.intake.tick(now, in_force, member.machine());
            apply_intake(intake, actions);
        }
    }

    /// Handles the answer of a back end to a lease request, or its failure.
    pub fn lease_input(
        &mut self,
        now: Timestamp,
        input: GrantorInput,
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        self.step_grantor(now, input, member, actions);
    }

    /// Handles a configuration event of the watcher. `in_force` is the revision
    /// of a copy of the records that holds everything applied.
    pub fn configuration(
        &mut self,
        now: Timestamp,
        event: ConfigurationEvent,
        in_force: Revision,
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        let intake = self.intake.observe(now, event, in_force, member.machine());
        apply_intake(intake, actions);
    }

    /// Returns the next changes of the group's membership, if any are due.
    pub fn member_change(
        &mut self,
        now: Timestamp,
        settings: &ControlSettings,
        node: &Node<Command, Snapshot>,
        membership: &Membership,
    ) -> Vec<MemberChange> {
        if now < self.next_membership {
            return Vec::new();
        }
        self.next_membership = now + MEMBERSHIP_INTERVAL;
        self.update_group_formed(now, settings, node, membership);
        next_member_changes(settings, node, membership)
    }

    /// Enforces an invariant: *an assignment that is done survives the losses
    /// claimed*. Nothing is assigned before the group has the members over
    /// which it promises to replicate.
    fn update_group_formed(
        &mut self,
        now: Timestamp,
        settings: &ControlSettings,
        node: &Node<Command, Snapshot>,
        membership: &Membership,
    ) {
        let voters = node.members().voters.len();
        let waited = now.since(self.started) >= GROUP_FORMATION_TIMEOUT;
        let visible = membership.alive().count().max(1);
        let complete = voters >= settings.group_size;
        self.is_group_formed |= complete || (waited && voters >= visible.min(settings.group_size));
    }

    /// Steps the grantor and distributes its outputs.
    fn step_grantor(
        &mut self,
        now: Timestamp,
        input: GrantorInput,
        member: &GroupMember,
        actions: &mut LeaderActions,
    ) {
        let lease = member.node().has_leader_lease(now);
        let outputs = self.grantor.step(now, input, member.machine(), lease);
        for output in outputs {
            match output {
                GrantorOutput::Send { to, request } => {
                    actions.outputs.push(Output::SendLease { to, request });
                }
                GrantorOutput::Propose(command) => actions.commands.push(command),
                GrantorOutput::Load { back_end, report } => {
                    self.planner.observe_load(now, &back_end, &report);
                }
                GrantorOutput::Reachability {
                    back_end,
                    reachable,
                } => {
                    self.planner.set_reachable(&back_end, reachable);
                }
                GrantorOutput::Observed(observation) => {
                    let observation = Observation::Session(observation);
                    actions.outputs.push(Output::Observe(observation));
                }
            }
        }
    }

    /// Whether the existing back ends have had time to register.
    fn are_back_ends_ready(&mut self, now: Timestamp, member: &GroupMember) -> bool {
        let configured = self.configured_at.get_or_insert(now);
        let waited = now.since(*configured) >= SESSION_WAIT_TIMEOUT;
        self.back_ends_ready |= waited || every_back_end_has_session(member);
        self.back_ends_ready
    }

    /// Runs a placement round if one is due, and proposes its actions.
    fn plan(&mut self, now: Timestamp, member: &GroupMember, actions: &mut LeaderActions) {
        let machine = member.machine();
        let configured = machine.services().next().is_some();
        let may_assign = configured
            && self.is_group_formed
            && !machine.is_recovering()
            && self.are_back_ends_ready(now, member);
        if !may_assign || now < self.next_planning {
            return;
        }
        let alerts = self.alerts.check(now, &self.planner, machine.services());
        actions
            .outputs
            .extend(alerts.into_iter().map(Output::Observe));
        self.next_planning = now + PLANNING_INTERVAL;
        let placement_actions = self.planner.plan(now, MAX_ACTIONS);
        if placement_actions.is_empty() {
            return;
        }
        let commands = placement_actions.into_iter().map(command_for).collect();
        actions.commands.push(Command::Batch(commands));
    }
}

/// Whether every back end eligible for a service has a session.
fn every_back_end_has_session(member: &GroupMember) -> bool {
    let machine = member.machine();
    // Back ends that no service here selects are left to other regions.
    let mut services = machine.services();
    services.all(|service| {
        let mut eligible = machine.eligible_back_ends(&service.id);
        eligible.all(|back_end| machine.session(back_end).is_some())
    })
}

/// Returns the promotions of learners and the next addition or removal.
fn next_member_changes(
    settings: &ControlSettings,
    node: &Node<Command, Snapshot>,
    membership: &Membership,
) -> Vec<MemberChange> {
    let members = node.members();
    let mut changes: Vec<MemberChange> = members
        .learners
        .keys()
        .map(|id| MemberChange::Promote(*id))
        .collect();
    let view = group_members::GroupView {
        voters: members.voters.keys().copied().collect(),
        learners: members.learners.keys().copied().collect(),
        leader: Some(node.identity().id),
    };
    let known: Vec<&Member> = membership.members().collect();
    match group_members::next_change(&view, known.iter().copied(), settings.group_size) {
        GroupChange::Add(identity) => changes.push(MemberChange::AddLearner(identity)),
        GroupChange::Remove(id) => changes.push(MemberChange::Remove(id)),
        GroupChange::None => {}
    }
    changes
}

fn apply_intake(intake: IntakeActions, actions: &mut LeaderActions) {
    actions.commands.extend(intake.commands);
    let statuses = intake.statuses.into_iter().map(Output::WriteStatus);
    actions.outputs.extend(statuses);
    let observations = intake.observations.into_iter().map(Output::Observe);
    actions.outputs.extend(observations);
}

fn report_session_change(change: &RecordChange, actions: &mut LeaderActions) {
    let observation = match change {
        RecordChange::Session(record) if record.draining => {
            Observation::SessionDraining(record.id.clone())
        }
        RecordChange::Session(record) => Observation::SessionOpened(record.id.clone()),
        RecordChange::SessionRemoved(id) => Observation::SessionClosed(id.clone()),
        _ => return,
    };
    actions.outputs.push(Output::Observe(observation));
}

fn command_for(action: Action) -> Command {
    match action {
        Action::Assign {
            service,
            slice,
            to,
            expected_epoch,
        } => Command::Assign {
            service,
            slice,
            to,
            expected_epoch,
        },
        Action::BeginMove {
            service,
            slice,
            to,
            expected_epoch,
        } => Command::BeginMove {
            service,
            slice,
            to,
            expected_epoch,
        },
        Action::CancelMove {
            service,
            slice,
            expected_epoch,
        } => Command::CancelMove {
            service,
            slice,
            expected_epoch,
        },
        Action::Split {
            service,
            slice,
            at,
            expected_epoch,
        } => Command::Split {
            service,
            slice,
            at,
            expected_epoch,
        },
        Action::Merge {
            service,
            first,
            second,
            expected_first_epoch,
            expected_second_epoch,
        } => Command::Merge {
            service,
            first,
            second,
            expected_first_epoch,
            expected_second_epoch,
        },
    }
}
