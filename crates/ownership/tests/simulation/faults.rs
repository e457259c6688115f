//! Injected faults, and the actions of operators and placement.

use std::time::Duration;

use rand::RngExt;
use threadledge_ownership::{Command, ObjectChange};
use threadledge_types::BackEndId;
use threadledge_types::records::{RecordChange, SliceRecord};

use crate::support::{
    address, assign, back_end, back_end_id, begin_move, cancel_move, objects, put_back_end,
    put_service, service,
};
use crate::world::{Event, MILLISECOND, NetworkFaults, POINTS, SECOND, World, point};

pub const BACK_ENDS: u16 = 5;

/// Configuration objects as operators wrote them.
pub struct Operators {
    version: u64,
    next_address: u16,
    /// Address number and pool of each back end; `None` when deleted.
    back_ends: Vec<Option<(u16, &'static str)>>,
    service_exists: bool,
}

fn name(number: u16) -> String {
    format!("server-{number}")
}

impl Operators {
    pub fn new(world: &mut World) -> Self {
        let mut operators = Operators {
            version: 1,
            next_address: BACK_ENDS,
            back_ends: Vec::new(),
            service_exists: true,
        };
        for number in 0..BACK_ENDS {
            operators.back_ends.push(Some((number, "blue")));
            let process = world.process(back_end_id(&name(number)), address(number));
            world.processes.push(process);
        }
        operators
    }

    /// Writes every object again, as a watcher that lists does.
    pub fn publish(&mut self, world: &mut World) {
        self.version += 1;
        let mut changes = Vec::new();
        for (number, known) in self.back_ends.iter().enumerate() {
            let name = name(number as u16);
            changes.push(match known {
                Some((address, pool)) => {
                    let record = back_end(&name, self.version, *address, pool);
                    ObjectChange::PutBackEnd(Box::new(record))
                }
                None => ObjectChange::DeleteBackEnd {
                    id: back_end_id(&name),
                    resource_version: self.version,
                },
            });
        }
        changes.push(if self.service_exists {
            let record = service("s", self.version, "blue", 2);
            ObjectChange::PutService(Box::new(record))
        } else {
            ObjectChange::DeleteService {
                id: world.service.clone(),
                resource_version: self.version,
            }
        });
        world.propose(objects(changes));
    }

    /// Changes one object.
    fn change_objects(&mut self, world: &mut World) {
        self.version += 1;
        let number = world.random.random_range(0..BACK_ENDS);
        let name = name(number);
        let known = &mut self.back_ends[usize::from(number)];
        match world.random.random_range(0..5) {
            0 => self.service_exists = !self.service_exists,
            1 => *known = known.is_none().then_some((number, "blue")),
            2 => {
                if let Some((address, pool)) = known {
                    *pool = if *pool == "blue" { "green" } else { "blue" };
                    let record = back_end(&name, self.version, *address, pool);
                    world.propose(put_back_end(record));
                }
            }
            3 => {
                // The same back end starts at another address while the earlier
                // process still runs.
                if let Some((place, pool)) = known {
                    *place = self.next_address;
                    self.next_address += 1;
                    let process = world.process(back_end_id(&name), address(*place));
                    world.processes.push(process);
                    let record = back_end(&name, self.version, *place, pool);
                    world.propose(put_back_end(record));
                }
            }
            _ => world.propose(put_service(service("s", self.version, "blue", 2))),
        }
        if world.random.random_bool(0.5) {
            self.publish(world);
        }
    }

    /// Injects one fault or change.
    pub fn inject_fault(&mut self, world: &mut World) {
        match world.random.random_range(0..18) {
            0 | 1 => freeze_process(world),
            2 | 3 => restart_process(world),
            4 => drain_process(world),
            5 | 6 => self.change_objects(world),
            7..=9 => change_a_move(world),
            10 | 11 => split_or_merge_a_slice(world),
            12 => lose_leader(world),
            13 => freeze_leader(world),
            14 => change_network_faults(world),
            15 => stall_commits(world),
            16 => lose_leader_while_stalled(world),
            _ => lose_majority(world),
        }
    }

    /// Repairs everything: one process for each back end, and a network without
    /// faults.
    pub fn repair(&mut self, world: &mut World) {
        world.repaired = true;
        world.network_faults = NetworkFaults::NONE;
        self.service_exists = true;
        let found = std::mem::take(&mut world.processes);
        for number in 0..BACK_ENDS {
            let (place, _) = self.back_ends[usize::from(number)].unwrap_or((number, "blue"));
            self.back_ends[usize::from(number)] = Some((place, "blue"));
            let fresh = world.process(back_end_id(&name(number)), address(place));
            world.processes.push(fresh);
        }
        // Some processes survive without a restart.
        for mut survivor in found {
            survivor.frozen_until = 0;
            let slot = world
                .processes
                .iter_mut()
                .find(|process| process.address == survivor.address);
            let Some(slot) = slot.filter(|_| !survivor.holder.is_draining()) else {
                continue;
            };
            if world.random.random_bool(0.7) {
                *slot = survivor;
            }
        }
        world.electing = false;
        world.stalled_until = 0;
        world.elect();
        self.publish(world);
    }
}

fn random_process(world: &mut World) -> Option<usize> {
    let count = world.processes.len();
    (count > 0).then(|| world.random.random_range(0..count))
}

fn freeze_process(world: &mut World) {
    if let Some(number) = random_process(world) {
        let time = world.random.random_range(100 * MILLISECOND..5 * SECOND);
        world.processes[number].frozen_until = world.real + time;
    }
}

fn restart_process(world: &mut World) {
    let Some(number) = random_process(world) else {
        return;
    };
    let gone = world.processes.swap_remove(number);
    let process = world.process(gone.back_end, gone.address);
    let quick = world.random.random_bool(0.5);
    let longest = if quick { 10 * MILLISECOND } else { 4 * SECOND };
    let delay = world.random.random_range(MILLISECOND..longest);
    world.at(delay, Event::Start(Box::new(process)));
}

fn drain_process(world: &mut World) {
    if let Some(number) = random_process(world) {
        world.processes[number].holder.begin_drain();
    }
}

fn slices(world: &World) -> Vec<SliceRecord> {
    world.committed.slices(&world.service).collect()
}

fn random_slice(world: &mut World) -> Option<SliceRecord> {
    let slices = slices(world);
    let number = world.random.random_range(0..slices.len().max(1));
    slices.into_iter().nth(number)
}

fn change_a_move(world: &mut World) {
    let Some(record) = random_slice(world) else {
        return;
    };
    if record.next.is_some() {
        world.propose(cancel_move(&record));
    }
    if let Some(to) = random_session_back_end(world) {
        world.propose(begin_move(&record, &to));
        if world.random.random_bool(0.3) {
            world.propose(cancel_move(&record));
            world.propose(begin_move(&record, &to));
        }
    }
}

fn random_session_back_end(world: &mut World) -> Option<BackEndId> {
    let candidates = world.committed.eligible_sessions(&world.service);
    let candidates: Vec<BackEndId> = candidates.map(|id| id.back_end.clone()).collect();
    let number = world.random.random_range(0..candidates.len().max(1));
    candidates.into_iter().nth(number)
}

fn split_or_merge_a_slice(world: &mut World) {
    let at = point(world.random.random_range(0..POINTS));
    let service = world.service.clone();
    let Some(record) = world.committed.slice_at(&service, at) else {
        return;
    };
    let following = record.slice.last.0.checked_add(1);
    let following = following.map(threadledge_types::Point);
    let following = following.and_then(|first| world.committed.slice_at(&service, first));
    let merge = world.random.random_bool(0.5);
    match following {
        Some(following) if merge => world.propose(Command::Merge {
            service,
            first: record.slice,
            second: following.slice,
            expected_first_epoch: record.epoch,
            expected_second_epoch: following.epoch,
        }),
        _ => world.propose(Command::Split {
            service,
            slice: record.slice,
            at,
            expected_epoch: record.epoch,
        }),
    }
}

fn lose_leader(world: &mut World) {
    let leader = world.leader();
    world.routers[leader].lease_valid = false;
    let delay = world.random.random_range(10 * MILLISECOND..2 * SECOND);
    if world.random.random_bool(0.6) {
        world.electing = true;
        world.at(delay, Event::Elect);
    } else {
        world.at(delay, Event::RegainLease);
    }
}

fn stall_commits(world: &mut World) {
    let time = world.random.random_range(10 * MILLISECOND..2 * SECOND);
    world.stalled_until = world.real + time;
    world.at(time, Event::Commit);
}

/// Loses the leader while commits are stalled. Its last proposals may or may
/// not be in the next leader's log.
fn lose_leader_while_stalled(world: &mut World) {
    stall_commits(world);
    let leader = world.leader();
    world.routers[leader].lease_valid = false;
    world.electing = true;
    let longest = world.stalled_until - world.real;
    let delay = world.random.random_range(0..longest);
    world.at(delay, Event::Elect);
}

fn freeze_leader(world: &mut World) {
    let leader = world.leader();
    let time = world.random.random_range(100 * MILLISECOND..4 * SECOND);
    world.routers[leader].frozen_until = world.real + time;
}

fn change_network_faults(world: &mut World) {
    world.network_faults = match world.random.random_range(0..3) {
        0 => NetworkFaults::NONE,
        1 => NetworkFaults {
            loss: 0.1,
            duplicate: 0.1,
            slow: 0.1,
        },
        _ => NetworkFaults {
            loss: 0.4,
            duplicate: 0.2,
            slow: 0.3,
        },
    };
}

fn lose_majority(world: &mut World) {
    if world.random.random_bool(0.2) {
        world.electing = false;
        world.refound_group();
    }
}

/// A minimal placement: unowned slices are assigned to random eligible
/// sessions, and slices are moved away from owners that must give them up.
pub fn place_slices(world: &mut World) {
    for record in slices(world) {
        let misplaced = world.committed.misplaced().contains(&record.key());
        let Some(to) = random_session_back_end(world) else {
            return;
        };
        let session = world.committed.session(&to).map(|open| open.id.clone());
        match &record.owner {
            None => {
                if let Some(session) = session {
                    world.propose(assign(&record, &session));
                }
            }
            Some(_) if misplaced && record.next.is_none() => {
                world.propose(begin_move(&record, &to));
            }
            Some(_) => {}
        }
    }
}

/// Client requests: some are admitted and some finish, under present and stale
/// epochs.
pub fn run_client_work(world: &mut World) {
    let Some(number) = random_process(world) else {
        return;
    };
    let key = point(world.random.random_range(0..POINTS));
    let believed = world.committed.slice_at(&world.service, key);
    let process = &mut world.processes[number];
    if process.frozen_until > world.real {
        return;
    }
    let now = process.clock.read(world.real);
    let held = process.holder.held_epoch(&world.service, key);
    let believed = believed.map(|record| record.epoch);
    let epoch = held.or(believed).unwrap_or_default();
    let allowed = world.random.random_range(0..SECOND);
    let deadline = Some(now + Duration::from_micros(allowed));
    let holder = &mut process.holder;
    if let Ok(permit) = holder.admit_with_deadline(now, &world.service, key, epoch, deadline) {
        process.permits.push(permit);
    }
    if world.random.random_bool(0.6) && !process.permits.is_empty() {
        let last = process.permits.len();
        let ended = process
            .permits
            .swap_remove(world.random.random_range(0..last));
        process.holder.finish(ended);
    }
}

/// Returns whether the records of the full copy contain every slice.
pub fn records_contain_every_slice(world: &World) -> bool {
    let copies = world.committed.records();
    let slices = copies
        .iter()
        .filter(|change| matches!(change, RecordChange::Slice(_)));
    slices.count() == world.committed.slices(&world.service).count()
}
