//! The composition of the control cores.

use threadledge_consensus::{Outgoing, ProposeError, Role};
use threadledge_membership::tree::parent_candidates;
use threadledge_membership::{MemberState, Membership};
use threadledge_ownership::grantor::GrantorInput;
use threadledge_ownership::{Command, Snapshot, StateMachine};
use threadledge_placement::Planner;
use threadledge_spread::{Replica, SpreadInput, SpreadMessage, SpreadNode, SpreadOutput};
use threadledge_types::{Generation, Revision, RouterId, RouterIdentity, Timestamp};

use crate::founding::{Founding, FoundingStep, GroupObjectState};
use crate::group_member::{Advance, GroupMember};
use crate::input::{FoundingResult, Input};
use crate::leader::{Duties, Leader};
use crate::message::{PeerBatch, PeerMessage};
use crate::output::{Observation, Output};
use crate::refounding::Refounding;
use crate::settings::ControlSettings;
use crate::view::{GroupView, ViewVersion};

/// Bound on rounds of proposing and applying within one step. A single-member
/// group commits at once, so that each round may lead to another.
const MAX_ROUNDS: usize = 64;

/// Routers asked for a first copy of the records and of the group's view.
const FIRST_CONTACTS: usize = 16;

/// One router's control plane.
pub struct ControlNode {
    settings: ControlSettings,
    identity: RouterIdentity,
    membership: Membership,
    member: GroupMember,
    leader: Option<Leader>,
    replica: Replica,
    spread: SpreadNode,
    view: Option<GroupView>,
    founding: Founding,
    founded: Option<Generation>,
    refounding: Refounding,
    leaving: bool,
    parents_changed: bool,
}

impl ControlNode {
    /// A router that knows nobody yet.
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
            founding: Founding::new(identity.id, now, settings.settling),
            founded: None,
            refounding: Refounding::new(now),
            leaving: false,
            parents_changed: true,
            settings,
            identity,
        }
    }

    /// This router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.identity
    }

    /// Who is alive.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The group's members as last heard.
    pub fn view(&self) -> Option<&GroupView> {
        self.view.as_ref()
    }

    /// This router's part in the group.
    pub fn role(&self) -> Role {
        self.member.node().role()
    }

    /// Members of the group that are catching up, as this router knows them.
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

    /// The applied state, meaningful on members of the group.
    pub fn machine(&self) -> &StateMachine {
        self.member.machine()
    }

    /// This router's copy of the records.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The leader's planner.
    pub fn planner(&self) -> Option<&Planner> {
        self.leader.as_ref().map(Leader::planner)
    }

    /// Whether this router leads, with its state complete and its leader
    /// lease valid at `now`.
    pub fn is_leader(&self, now: Timestamp) -> bool {
        self.leader.is_some() && self.member.node().has_leader_lease(now)
    }

    /// When, by this router's clock, its records were last known to be the
    /// latest.
    ///
    /// Kept by the caller: *accepted configuration is in force everywhere
    /// within seconds*. A router whose confirmation is older than the bound
    /// takes no new work.
    pub fn confirmed_as_of(&self) -> Option<Timestamp> {
        self.spread.confirmed_as_of()
    }

    /// Routers of the region that can take requests, this one included.
    pub fn live_routers(&self) -> usize {
        let others = self.membership.alive();
        others
            .filter(|member| member.identity.id != self.identity.id)
            .count()
            + 1
    }

    /// Whether a planned stop may go on: no duty of the group rests on this
    /// router any more.
    pub fn may_stop(&self) -> bool {
        let node = self.member.node();
        // A removed member is told so and may lack the entry that removed it.
        let outside = matches!(node.role(), Role::Removed | Role::Joining | Role::Retired);
        let voter = !outside && node.members().is_voter(self.identity.id);
        self.leader.is_none() && !voter
    }

    /// Takes one input and returns what is to be carried out.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut duties = Duties::default();
        self.take(now, input, &mut duties, &mut outputs);
        self.advance(now, duties, &mut outputs);
        self.refresh_view();
        self.refresh_parents(now, &mut outputs);
        outputs
    }

    fn take(
        &mut self,
        now: Timestamp,
        input: Input,
        duties: &mut Duties,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::Tick => self.tick(now, duties, outputs),
            Input::Peer(batch) => self.take_batch(now, batch, outputs),
            Input::Machines(list) => {
                let input = threadledge_membership::Input::MachineList(list);
                self.step_membership(now, input, outputs);
            }
            Input::LeaseAnswered { back_end, response } => {
                let input = GrantorInput::Response {
                    from: back_end,
                    response,
                };
                self.step_leader(now, input, duties);
            }
            Input::LeaseFailed { back_end, order } => {
                self.step_leader(now, GrantorInput::Failed { back_end, order }, duties);
            }
            Input::GroupObject(state) => self.take_group_object(now, state, outputs),
            Input::Founded { generation, result } => {
                self.take_founding(now, generation, result, outputs);
            }
            Input::Configuration(event) => {
                if let Some(leader) = &mut self.leader {
                    let in_force = self.replica.revision();
                    leader.configuration(now, *event, in_force, &self.member, duties);
                }
            }
            Input::Leave => self.leave(now, outputs),
        }
    }

    fn tick(&mut self, now: Timestamp, duties: &mut Duties, outputs: &mut Vec<Output>) {
        self.step_membership(now, threadledge_membership::Input::Tick, outputs);
        self.member.tick(now);
        self.confirm_root(now, outputs);
        self.step_spread(now, SpreadInput::Tick, None, outputs);
        if let Some(leader) = &mut self.leader {
            leader.tick(now, self.replica.revision(), &self.member, duties);
        }
        self.change_members(now, outputs);
        if self.leaving && self.member.node().role() == Role::Leader {
            // Repeated until some voter takes over; refused while none can.
            let _ = self.member.node_mut().transfer_leadership(now, None);
        }
        self.look_for_group(now, outputs);
    }

    /// Asks the platform about the group while none is known, or when the one
    /// known is provably lost.
    fn look_for_group(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if self.needs_group() {
            outputs.extend(self.founding.tick(now));
            return;
        }
        if self.member.node().leader().is_some() {
            self.refounding.saw_leader(now);
        }
        if let Some(confirmed) = self.confirmed_as_of() {
            self.refounding.saw_leader(confirmed);
        }
        if let Some(view) = self.view.as_ref().filter(|_| !self.leaving) {
            let is_member = self.member.node().members().contains(self.identity.id);
            let asked = self.refounding.tick(now, view, is_member, &self.membership);
            outputs.extend(asked);
        }
    }

    fn needs_group(&self) -> bool {
        self.view.is_none() && !self.leaving && self.member.node().role() == Role::Joining
    }

    fn take_batch(&mut self, now: Timestamp, batch: PeerBatch, outputs: &mut Vec<Output>) {
        let meant = batch.to.is_none_or(|to| to == self.identity.id);
        for message in batch.messages {
            match message {
                PeerMessage::Membership(message) => {
                    let message = Box::new(message);
                    let input = threadledge_membership::Input::Message { message };
                    self.step_membership(now, input, outputs);
                }
                PeerMessage::Consensus { group, message } => {
                    if meant && group == self.settings.group {
                        self.member.step(now, batch.from.id, *message);
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

    fn step_membership(
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

    fn step_leader(&mut self, now: Timestamp, input: GrantorInput, duties: &mut Duties) {
        if let Some(leader) = &mut self.leader {
            leader.lease_input(now, input, &self.member, duties);
        }
    }

    fn confirm_root(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        let confirmed = self.member.is_serving_leader() && self.is_leader(now);
        if confirmed {
            self.step_spread(now, SpreadInput::RootConfirmed, None, outputs);
        }
    }

    /// Steps the spread core. `their_view` is the view version of the router
    /// that asks; if it is behind, the answer carries this router's view.
    fn step_spread(
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

    fn adopt_view(&mut self, view: Option<Box<GroupView>>) {
        let Some(view) = view else { return };
        let newer = self
            .view
            .as_ref()
            .is_none_or(|own| own.version() < view.version());
        if newer {
            self.view = Some(*view);
            self.parents_changed = true;
        }
    }

    /// Members of the group know its view first hand.
    fn refresh_view(&mut self) {
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

    fn refresh_parents(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if !std::mem::take(&mut self.parents_changed) {
            return;
        }
        let parents = self.parents();
        self.step_spread(now, SpreadInput::Parents(parents), None, outputs);
    }

    fn parents(&self) -> Vec<RouterIdentity> {
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

    /// Routers to ask while nothing is known of the group: some that follow
    /// this one in the order of ids, so that not all ask the same.
    fn first_contacts(&self, alive: &[RouterId]) -> Vec<RouterIdentity> {
        let later = alive.iter().filter(|id| **id > self.identity.id);
        let earlier = alive.iter().filter(|id| **id < self.identity.id);
        let asked = later.chain(earlier).take(FIRST_CONTACTS);
        asked.filter_map(|id| self.identity_of(*id, &[])).collect()
    }

    fn identity_of(&self, id: RouterId, roots: &[RouterIdentity]) -> Option<RouterIdentity> {
        let root = roots.iter().find(|root| root.id == id);
        let known = || {
            let mut members = self.membership.members();
            members
                .find(|member| member.identity.id == id && member.state != MemberState::Dead)
                .map(|member| member.identity.clone())
        };
        root.cloned().or_else(known)
    }

    fn change_members(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
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

    fn take_group_object(
        &mut self,
        now: Timestamp,
        state: GroupObjectState,
        outputs: &mut Vec<Output>,
    ) {
        let step = match &self.view {
            Some(view) => self.refounding.observed(now, state, view, &self.membership),
            None if self.needs_group() => self.founding.observed(now, state),
            None => FoundingStep::Wait,
        };
        match step {
            FoundingStep::Wait => {}
            FoundingStep::Write {
                generation,
                expected,
            } => outputs.push(Output::FoundGroup {
                generation,
                expected,
            }),
            FoundingStep::AlreadyFounder(generation) => self.found(now, generation, outputs),
        }
    }

    fn take_founding(
        &mut self,
        now: Timestamp,
        generation: Generation,
        result: FoundingResult,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            FoundingResult::Written => self.found(now, generation, outputs),
            FoundingResult::Conflict | FoundingResult::Unavailable => {
                self.founding.write_failed(now);
                self.refounding.write_failed(now);
            }
        }
    }

    /// Founds the group, at most once for each generation: a second founding
    /// of the same generation would start its history over.
    ///
    /// A later generation starts from what this router holds: its applied
    /// state if it was a member, else its copy of the records. The state
    /// machine then treats every session as over until all leases of earlier
    /// generations have run out, and takes back what back ends still hold.
    fn found(&mut self, now: Timestamp, generation: Generation, outputs: &mut Vec<Output>) {
        let known = self.view.as_ref().map(|view| view.generation);
        if self.founded >= Some(generation) || known >= Some(generation) {
            return;
        }
        self.founded = Some(generation);
        let recovered = known.and_then(|_| self.recoverable_state());
        self.member = GroupMember::found(
            consensus_settings(&self.settings),
            self.identity.clone(),
            generation,
            recovered,
            now,
        );
        self.leader = None;
        outputs.push(Output::Observe(Observation::GroupFounded(generation)));
    }

    fn recoverable_state(&self) -> Option<Snapshot> {
        let machine = self.member.machine();
        let copied = self.replica.revision();
        if machine.revision() > Revision::NONE && machine.revision() >= copied {
            return Some(machine.snapshot());
        }
        (copied > Revision::NONE).then(|| Snapshot::from_records(copied, self.replica.records()))
    }

    fn leave(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.leaving = true;
        self.step_membership(now, threadledge_membership::Input::Leave, outputs);
    }

    /// Proposes, applies and sends until nothing more follows.
    fn advance(&mut self, now: Timestamp, mut duties: Duties, outputs: &mut Vec<Output>) {
        for _ in 0..MAX_ROUNDS {
            outputs.append(&mut duties.outputs);
            for command in duties.commands.drain(..) {
                // A refused proposal is made again by whoever wanted it.
                let _: Result<u64, ProposeError> = self.member.node_mut().propose(now, command);
            }
            let drained = self.member.drain();
            for message in drained.messages {
                outputs.push(self.consensus_output(message));
            }
            let progressed = !drained.advances.is_empty();
            for advance in &drained.advances {
                self.publish(now, advance, outputs);
            }
            self.notify_leader(now, &drained.advances, &mut duties);
            self.update_leadership(now, outputs);
            if !progressed && duties.commands.is_empty() {
                break;
            }
        }
        if self.member.rejoin(now) {
            self.parents_changed = true;
        }
        outputs.append(&mut duties.outputs);
    }

    fn consensus_output(&self, outgoing: Outgoing<Command, Snapshot>) -> Output {
        Output::SendPeer {
            to: outgoing.to.peer_address,
            to_id: Some(outgoing.to.id),
            message: Box::new(PeerMessage::Consensus {
                group: self.settings.group,
                message: Box::new(outgoing.message),
            }),
        }
    }

    /// Brings the records that this router and its children use forward.
    fn publish(&mut self, now: Timestamp, advance: &Advance, outputs: &mut Vec<Output>) {
        let before = self.replica.revision();
        match advance {
            Advance::Entry { changes, .. } if changes.is_empty() => return,
            Advance::Entry { revision, changes } => self.replica.commit(*revision, changes),
            Advance::Replaced { revision, records } => self.replica.replace(*revision, records),
        }
        if self.replica.revision() > before {
            let delta = advance.delta(self.settings.group, before);
            outputs.push(Output::Records(delta));
            self.step_spread(now, SpreadInput::ReplicaAdvanced, None, outputs);
        }
    }

    fn update_leadership(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
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

    fn notify_leader(&mut self, now: Timestamp, advances: &[Advance], duties: &mut Duties) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let in_force = self.replica.revision();
        for advance in advances {
            if let Advance::Entry { changes, .. } = advance {
                leader.applied(now, in_force, changes, &self.member, duties);
            }
        }
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
