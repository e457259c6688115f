//! Records of the simulation, the real owners, and how both change.

use threadledge_routing::Attempt;
use threadledge_types::objects::{Priority, RouteRule};
use threadledge_types::records::RecordChange;
use threadledge_types::{Point, Slice};

use super::{BACK_ENDS, CONNECTIONS, Event, SERVICES, SLICES, World};
use crate::common::*;

impl World {
    /// Changes an owner at random: a slice moves or loses its owner, or a back
    /// end restarts.
    pub fn inject_record_fault(&mut self) {
        if self.draw(100) >= self.faults.records {
            return;
        }
        let service = self.draw(2) as usize;
        let choices: &[usize] = if service == 0 { &[0, 1] } else { &[2] };
        let back_end = choices[self.draw(choices.len() as u64) as usize];
        let number = self.draw(u64::from(SLICES)) as u32;
        match self.draw(4) {
            0 => self.restart(back_end),
            1 => self.assign(service, number, None),
            _ => self.assign(service, number, Some(back_end)),
        }
    }

    pub(super) fn first_records(&mut self) -> Vec<RecordChange> {
        let mut changes = Vec::new();
        for name in BACK_ENDS {
            changes.push(back_end(name, 2, CONNECTIONS));
            changes.push(session(name, 1, false));
        }
        for (service_number, (name, host)) in SERVICES.into_iter().enumerate() {
            changes.push(service(name, host, routes()));
            for (number, part) in (0..).zip(Slice::divide(SLICES)) {
                let owner = if service_number == 1 {
                    2
                } else {
                    number as usize % 2
                };
                self.owners.insert((service_number, number), (owner, 1, 1));
                changes.push(slice(name, part, Some((BACK_ENDS[owner], 1)), 1));
            }
        }
        changes
    }

    pub(super) fn is_owner(&self, attempt: &Attempt) -> bool {
        let service = usize::from(attempt.service.namespace == "b");
        let number = slice_number(attempt.point);
        let (back_end, incarnation, epoch) = self.owners[&(service, number)];
        BACK_ENDS[back_end] == attempt.back_end.to_string()
            && self.incarnations[back_end] == incarnation
            && attempt.incarnation.0 == incarnation
            && attempt.epoch.0.index == epoch
    }

    fn assign(&mut self, service: usize, number: u32, owner: Option<usize>) {
        let part = Slice::divide(SLICES)[number as usize];
        let epoch = self.event_count + 10;
        let incarnation = owner.map_or(0, |owner| self.incarnations[owner]);
        let truth = (owner.unwrap_or(0), incarnation, epoch);
        self.owners.insert((service, number), truth);
        let owner = owner.map(|owner| (BACK_ENDS[owner], incarnation));
        let change = slice(SERVICES[service].0, part, owner, epoch);
        self.deliver_records_later(vec![change]);
    }

    /// Restarts a back-end process. It owns nothing until it is assigned again.
    fn restart(&mut self, back_end: usize) {
        let old = self.incarnations[back_end];
        self.incarnations[back_end] += 1;
        let name = BACK_ENDS[back_end];
        self.deliver_records_later(vec![
            RecordChange::SessionRemoved(session_id(name, old)),
            session(name, old + 1, false),
        ]);
        let owned: Vec<(usize, u32)> = self
            .owners
            .iter()
            .filter(|(_, (owner, incarnation, _))| *owner == back_end && *incarnation == old)
            .map(|(slice, _)| *slice)
            .collect();
        for (service, number) in owned {
            self.assign(service, number, Some(back_end));
        }
    }

    /// Delivers record changes to the router 20 ms after they happen.
    fn deliver_records_later(&mut self, changes: Vec<RecordChange>) {
        self.schedule(20_000, Event::Records(changes));
    }
}

fn routes() -> Vec<RouteRule> {
    let critical = RouteRule {
        priority: Priority::Critical,
        may_queue: true,
        ..route("critical", "/critical")
    };
    let background = RouteRule {
        priority: Priority::Background,
        may_queue: true,
        deadline_ms: 10_000,
        ..route("background", "/background")
    };
    vec![critical, background, route("normal", "/")]
}

fn slice_number(point: Point) -> u32 {
    let slices = Slice::divide(SLICES);
    let position = slices.iter().position(|part| part.contains(point));
    position.expect("slices cover every point") as u32
}
