//! Operators' edits, and the time until accepted configuration is in force.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use threadledge_control::{ConfigurationEvent, ObjectRef};
use threadledge_types::{Revision, Timestamp};

use super::probes::ReadyRouters;
use super::{RouterIndex, World};
use crate::invariants::Violation;
use crate::scenario;
use crate::store::Acceptance;

/// Time within which accepted configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(5);
/// Deadlines between which the edits of a service alternate, in milliseconds.
const DEADLINES_MS: [u64; 2] = [2_000, 2_001];

/// Edits and acceptances that are not in force everywhere yet.
#[derive(Debug, Default)]
pub(super) struct ConfigurationTracker {
    edits: Vec<PendingEdit>,
    /// Acceptances younger than the bound, ordered by time.
    recent_acceptances: VecDeque<(ObjectRef, Acceptance)>,
    /// For each region, the latest revision that must be in force by now and
    /// the object that it contains.
    due: BTreeMap<usize, (Revision, ObjectRef)>,
}

/// An operator's edit that is not in force everywhere yet.
#[derive(Debug)]
struct PendingEdit {
    object: ObjectRef,
    generation: i64,
    region: usize,
    at: Timestamp,
    /// Revision at which it is in force, once it is accepted.
    revision: Option<Revision>,
}

impl World {
    /// Edits a service as an operator does. Returns whether the service exists.
    pub fn edit_service(&mut self, name: &str) -> bool {
        let Some(mut object) = self.store.service(name).cloned() else {
            return false;
        };
        let [one, other] = DEADLINES_MS;
        for route in &mut object.spec.routes {
            route.deadline_ms = if route.deadline_ms == one { other } else { one };
        }
        let region = object.spec.region.clone();
        let event = self.store.put_service(object);
        if let ConfigurationEvent::ServiceChanged(observed) = &event {
            let region = (0..self.scenario.regions)
                .find(|number| scenario::region_name(*number) == region)
                .unwrap_or_default();
            self.configuration.edits.push(PendingEdit {
                object: observed.object.clone(),
                generation: observed.generation,
                region,
                at: self.now,
                revision: None,
            });
        }
        self.notify_watchers(&event);
        true
    }

    /// Number of edits that are not in force on every router that accepts
    /// requests.
    pub fn pending_edits(&self) -> usize {
        self.configuration.edits.len()
    }

    /// Checks the invariant that accepted configuration is in force on every
    /// router that accepts requests within the bound, and never reverts.
    pub(super) fn check_configuration(&mut self, ready: &[ReadyRouters]) {
        self.record_acceptances();
        self.complete_edits(ready);
        let mut missing = Vec::new();
        for (region, (revision, object)) in &self.configuration.due {
            for index in &ready[*region].all {
                let Some(process) = &self.routers[index.0].process else {
                    continue;
                };
                if process.revision < *revision {
                    missing.push(Violation::ConfigurationMissing {
                        at: self.now,
                        router: process.node.identity().id,
                        object: object.describe(),
                    });
                }
            }
        }
        for violation in missing {
            self.invariants.report(violation);
        }
    }

    fn record_acceptances(&mut self) {
        let tracker = &mut self.configuration;
        for (object, acceptance) in self.store.take_acceptances() {
            let edits = tracker.edits.iter_mut().filter(|edit| {
                edit.object == object
                    && edit.region == acceptance.region
                    && edit.generation <= acceptance.generation
            });
            for edit in edits {
                edit.revision.get_or_insert(acceptance.revision);
            }
            tracker.recent_acceptances.push_back((object, acceptance));
        }
        let now = self.now;
        let is_due =
            |(_, one): &mut (ObjectRef, Acceptance)| now.since(one.at) >= CONFIGURATION_BOUND;
        while let Some((object, acceptance)) = tracker.recent_acceptances.pop_front_if(is_due) {
            let due = tracker.due.entry(acceptance.region);
            let due = due.or_insert_with(|| (acceptance.revision, object.clone()));
            if due.0 < acceptance.revision {
                *due = (acceptance.revision, object);
            }
        }
    }

    fn complete_edits(&mut self, ready: &[ReadyRouters]) {
        if self.configuration.edits.is_empty() {
            return;
        }
        let lowest: Vec<Option<Revision>> = ready
            .iter()
            .map(|region| self.lowest_revision(&region.all))
            .collect();
        let (now, metrics) = (self.now, &mut self.metrics);
        self.configuration.edits.retain(|edit| {
            let in_force = edit.revision.is_some() && edit.revision <= lowest[edit.region];
            if in_force {
                metrics.record_time_in_force(now.since(edit.at));
            }
            !in_force
        });
    }

    fn lowest_revision(&self, routers: &[RouterIndex]) -> Option<Revision> {
        let processes = routers
            .iter()
            .filter_map(|index| self.routers[index.0].process.as_ref());
        processes.map(|process| process.revision).min()
    }
}
