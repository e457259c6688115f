//! Founding the group, at first and after it was lost.

use threadledge_consensus::Role;
use threadledge_ownership::Snapshot;
use threadledge_types::{Generation, Revision, Timestamp};

use super::{ControlNode, consensus_settings};
use crate::founding::{FoundingStep, GroupObjectState};
use crate::group_member::GroupMember;
use crate::input::FoundingResult;
use crate::output::{Observation, Output};

impl ControlNode {
    /// Asks the platform about the group while none is known, or when the one
    /// known is provably lost.
    pub(super) fn look_for_group(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
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

    pub(super) fn needs_group(&self) -> bool {
        self.view.is_none() && !self.leaving && self.member.node().role() == Role::Joining
    }

    pub(super) fn take_group_object(
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

    pub(super) fn take_founding(
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
    pub(super) fn found(
        &mut self,
        now: Timestamp,
        generation: Generation,
        outputs: &mut Vec<Output>,
    ) {
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

    pub(super) fn recoverable_state(&self) -> Option<Snapshot> {
        let machine = self.member.machine();
        let copied = self.replica.revision();
        if machine.revision() > Revision::NONE && machine.revision() >= copied {
            return Some(machine.snapshot());
        }
        (copied > Revision::NONE).then(|| Snapshot::from_records(copied, self.replica.records()))
    }
}
