//! Operators' edits, and how long accepted configuration takes to be in force.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use threadledge_control::{ConfigurationEvent, ObjectRef};
use threadledge_types::{Revision, Timestamp};

use super::probes::ReadyRouters;
use super::{RouterIndex, World};
use crate::invariants::Violation;
use crate::scenario;
use crate::store::Acceptance;

/// Accepted configuration must be in force within this time.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(5);
/// Deadlines between which edits of a service alternate, in milliseconds.
const DEADLINES_MS: [u64; 2] = [2_000, 2_001];

/// What is known of configuration on its way.
#[derive(Debug, Default)]
pub(super) struct ConfigurationWatch {
    edits: Vec<Edit>,
    /// Acceptances younger than the bound, in order of time.
    recent: VecDeque<(ObjectRef, Acceptance)>,
    /// For each region, the latest revision that must be in force by now, with
    /// the object that it brought.
    due: BTreeMap<usize, (Revision, ObjectRef)>,
}

/// An operator's edit that is not in force everywhere yet.
#[derive(Debug)]
struct Edit {
    object: ObjectRef,
    generation: i64,
    region: usize,
    at: Timestamp,
    /// Where it is in force, once it is accepted.
    revision: Option<Revision>,
}

impl World {
    /// An operator changes a service. Returns whether it exists.
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
            self.configuration.edits.push(Edit {
                object: observed.object.clone(),
                generation: observed.generation,
                region,
                at: self.now,
                revision: None,
            });
        }
        self.announce(&event);
        true
    }

    /// Edits that are not in force on every router that takes requests.
    pub fn open_edits(&self) -> usize {
        self.configuration.edits.len()
    }

    /// Kept everywhere: *accepted configuration is in force on every router
    /// that takes requests within the bound, and never reverts*.
    pub(super) fn check_configuration(&mut self, ready: &[ReadyRouters]) {
        self.note_acceptances();
        self.note_edits_in_force(ready);
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

    fn note_acceptances(&mut self) {
        let watch = &mut self.configuration;
        for (object, acceptance) in self.store.take_acceptances() {
            let edits = watch.edits.iter_mut().filter(|edit| {
                edit.object == object
                    && edit.region == acceptance.region
                    && edit.generation <= acceptance.generation
            });
            for edit in edits {
                edit.revision.get_or_insert(acceptance.revision);
            }
            watch.recent.push_back((object, acceptance));
        }
        let now = self.now;
        let is_due =
            |(_, one): &mut (ObjectRef, Acceptance)| now.since(one.at) >= CONFIGURATION_BOUND;
        while let Some((object, acceptance)) = watch.recent.pop_front_if(is_due) {
            let due = watch.due.entry(acceptance.region);
            let due = due.or_insert_with(|| (acceptance.revision, object.clone()));
            if due.0 < acceptance.revision {
                *due = (acceptance.revision, object);
            }
        }
    }

    fn note_edits_in_force(&mut self, ready: &[ReadyRouters]) {
        if self.configuration.edits.is_empty() {
            return;
        }
        let lowest: Vec<Option<Revision>> = ready
            .iter()
            .map(|region| self.lowest_revision(&region.all))
            .collect();
        let (now, measures) = (self.now, &mut self.measures);
        self.configuration.edits.retain(|edit| {
            let in_force = edit.revision.is_some() && edit.revision <= lowest[edit.region];
            if in_force {
                measures.in_force(now.since(edit.at));
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
