//! The control node: composition of the parts of the control plane.

mod group;
mod log;
mod peers;

use threadledge_consensus::Role;
use threadledge_membership::Membership;
use threadledge_ownership::StateMachine;
use threadledge_ownership::grantor::GrantorInput;
use threadledge_placement::Planner;
use threadledge_spread::{Replica, SpreadInput, SpreadNode};
use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::bootstrap::GroupBootstrap;
use crate::group_member::GroupMember;
use crate::input::Input;
use crate::leader::{Leader, LeaderActions};
use crate::output::Output;
use crate::recovery::GroupRecovery;
use crate::settings::ControlSettings;
use crate::view::GroupView;

/// One router's control plane. See the [crate documentation](crate).
pub struct ControlNode {
    settings: ControlSettings,
    identity: RouterIdentity,
    membership: Membership,
    member: GroupMember,
    leader: Option<Leader>,
    replica: Replica,
    spread: SpreadNode,
    /// Last known view of the group.
    view: Option<GroupView>,
    bootstrap: GroupBootstrap,
    /// Last generation that this router bootstrapped.
    bootstrapped_generation: Option<Generation>,
    recovery: GroupRecovery,
    /// When a leader checks the group object next.
    next_generation_check: Timestamp,
    /// When other routers may be asked for a leader next.
    next_search: Timestamp,
    leaving: bool,
    /// Whether the parents in the spreading tree have to be computed again.
    parents_changed: bool,
}

impl ControlNode {
    /// Creates the control plane of a router that knows no other router yet.
    pub fn new(settings: ControlSettings, identity: RouterIdentity, now: Timestamp) -> Self {
        let membership_settings = threadledge_membership::Settings {
            seed: settings.seed,
            ..Default::default()
        };
        let spread_settings = threadledge_spread::Settings::from_timing(&settings.timing);
        let spread = SpreadNode::new(spread_settings, identity.clone(), settings.group, now);
        let member = GroupMember::join(consensus_settings(&settings), identity.clone(), now);
        ControlNode {
            membership: Membership::new(membership_settings, identity.clone(), now),
            member,
            leader: None,
            replica: Replica::new(settings.group),
            spread,
            view: None,
            bootstrap: GroupBootstrap::new(identity.id, now, settings.group_discovery_time),
            bootstrapped_generation: None,
            recovery: GroupRecovery::new(now),
            next_generation_check: now,
            next_search: now,
            leaving: false,
            parents_changed: true,
            settings,
            identity,
        }
    }

    /// Identity of this router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// Membership of the routers in the region.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The last known view of the group.
    pub fn view(&self) -> Option<&GroupView> {
        self.view.as_ref()
    }

    /// Consensus role of this router.
    pub fn role(&self) -> Role {
        self.member.node().role()
    }

    /// Members of the group that are catching up, as far as this router knows.
    pub fn learners(&self) -> Vec<RouterId> {
        self.member
            .node()
            .members()
            .learners
            .keys()
            .copied()
            .collect()
    }

    /// Consensus term of this router.
    pub fn term(&self) -> u64 {
        self.member.node().term()
    }

    /// The state machine; meaningful on members of the group only.
    pub fn machine(&self) -> &StateMachine {
        self.member.machine()
    }

    /// This router's copy of the records.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The placement planner, if this router leads.
    pub fn planner(&self) -> Option<&Planner> {
        self.leader.as_ref().map(Leader::planner)
    }

    /// Whether this router leads, with its state complete and its leader lease
    /// valid at `now`.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.leader.is_some() && self.member.node().has_leader_lease(now)
    }

    /// Time, by this router's clock, as of which its records are known to be
    /// the latest.
    ///
    /// The caller uses it to enforce *accepted configuration is in force
    /// everywhere within seconds*: a router whose confirmation is older than
    /// the bound takes no new work.
    pub fn confirmed_as_of(&self) -> Option<Timestamp> {
        self.spread.confirmed_as_of()
    }

    /// Number of live routers in the region, including this one.
    pub fn live_router_count(&self) -> usize {
        let others = self.membership.alive();
        others
            .filter(|member| member.identity.id != self.identity.id)
            .count()
            + 1
    }

    /// Whether a planned stop may proceed: this router is neither the leader
    /// nor a voter of the group any more.
    pub fn can_stop(&self) -> bool {
        let node = self.member.node();
        // A removed member learns of its removal by message and may lack the
        // log entry that removed it.
        let outside = matches!(node.role(), Role::Removed | Role::Joining | Role::Retired);
        let voter = !outside && node.members().is_voter(self.identity.id);
        self.leader.is_none() && !voter
    }

    /// Handles one input and returns the outputs for the shell.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut actions = LeaderActions::default();
        self.handle_input(now, input, &mut actions, &mut outputs);
        self.advance(now, actions, &mut outputs);
        self.refresh_view();
        self.refresh_parents(now, &mut outputs);
        outputs
    }

    fn handle_input(
        &mut self,
        now: Timestamp,
        input: Input,
        actions: &mut LeaderActions,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::Tick => self.tick(now, actions, outputs),
            Input::Peer(batch) => self.on_peer_batch(now, batch, outputs),
            Input::Machines(list) => {
                let input = threadledge_membership::Input::MachineList(list);
                self.step_membership(now, input, outputs);
            }
            Input::LeaseAnswered { back_end, response } => {
                let input = GrantorInput::Response {
                    from: back_end,
                    response,
                };
                self.step_leader(now, input, actions);
            }
            Input::LeaseFailed { back_end, order } => {
                self.step_leader(now, GrantorInput::Failed { back_end, order }, actions);
            }
            Input::GroupObject(state) => self.on_group_object(now, state, outputs),
            Input::GroupObjectWritten { generation, result } => {
                self.on_group_object_written(now, generation, result, outputs);
            }
            Input::Configuration(event) => {
                if let Some(leader) = &mut self.leader {
                    let in_force = self.replica.revision();
                    leader.configuration(now, *event, in_force, &self.member, actions);
                }
            }
            Input::Leave => self.leave(now, outputs),
        }
    }

    fn tick(&mut self, now: Timestamp, actions: &mut LeaderActions, outputs: &mut Vec<Output>) {
        self.step_membership(now, threadledge_membership::Input::Tick, outputs);
        self.member.tick(now);
        self.confirm_root(now, outputs);
        self.step_spread(now, SpreadInput::Tick, None, outputs);
        if let Some(leader) = &mut self.leader {
            leader.tick(now, self.replica.revision(), &self.member, actions);
        }
        self.change_members(now, outputs);
        if self.leaving && self.member.node().role() == Role::Leader {
            // Repeated until a voter takes over; refused while none can.
            let _ = self.member.node_mut().transfer_leadership(now, None);
        }
        self.find_or_recover_group(now, outputs);
    }

    fn step_leader(&mut self, now: Timestamp, input: GrantorInput, actions: &mut LeaderActions) {
        if let Some(leader) = &mut self.leader {
            leader.lease_input(now, input, &self.member, actions);
        }
    }

    fn leave(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.leaving = true;
        self.step_membership(now, threadledge_membership::Input::Leave, outputs);
    }
}

fn consensus_settings(settings: &ControlSettings) -> threadledge_consensus::Settings {
    threadledge_consensus::Settings {
        group: settings.group,
        timing: settings.timing.clone(),
        seed: settings.seed,
        ..Default::default()
    }
}
