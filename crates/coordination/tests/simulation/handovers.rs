//! Random schedules in which keys move all the time while back ends work on
//! them.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_coordination::{LoadReport, RestingBackEnd, Settings};

use super::world::{FaultChances, World};

/// Number of seeds in CI; `THREADLEDGE_SEEDS` overrides it.
const SEEDS: u64 = 24;
const EVENTS: u32 = 60;
/// Assignments of a seed on average, so that there is something to check.
const MEAN_MOVES: u64 = 10;
const BACK_ENDS: u16 = 6;
/// Addresses that back ends use, some of them one after the other.
const ADDRESSES: u32 = 9;

fn from_environment(name: &str, default: u64) -> u64 {
    let wanted = std::env::var(name);
    let wanted = wanted.ok().and_then(|text| text.parse().ok());
    wanted.unwrap_or(default)
}

#[test]
fn keys_are_never_given_on_while_their_holder_works_on_them_under_its_lease() {
    let first = from_environment("THREADLEDGE_FIRST_SEED", 0);
    let seeds = from_environment("THREADLEDGE_SEEDS", SEEDS);
    let mut moves = 0;
    for seed in first..first + seeds {
        println!("seed {seed}");
        moves += run(seed);
    }
    assert!(moves > MEAN_MOVES * seeds, "{moves} moves");
}

#[test]
fn keys_have_one_holder_while_coordinators_of_two_regions_follow_each_other() {
    let first = from_environment("THREADLEDGE_FIRST_SEED", 0);
    let seeds = from_environment("THREADLEDGE_SEEDS", SEEDS);
    let mut moves = 0;
    for seed in first..first + seeds {
        println!("seed {seed}");
        moves += run_in(World::in_two_regions(seed, 4, BACK_ENDS.into()));
    }
    assert!(moves > MEAN_MOVES * seeds, "{moves} moves");
}

/// Guards against two holders after a restart under one id.
#[test]
fn grant_in_transit_past_a_release_and_a_restart_gives_no_key_a_second_holder() {
    run(10_791);
}

/// Runs one seed and returns the number of assignments. Every other seed has
/// back ends that restart under their ids, and every third one back ends in
/// another region, whose orders stay in flight for seconds.
fn run(seed: u64) -> u64 {
    let settings = Settings {
        near_zones: seed.is_multiple_of(3).then(BTreeSet::new),
        ..Settings::default()
    };
    let restartable = !seed.is_multiple_of(2);
    let world = World::with_settings(seed, 3, BACK_ENDS.into(), settings, restartable);
    run_in(world)
}

/// Runs a schedule of moves and faults in a world that has just started.
fn run_in(mut world: World) -> u64 {
    world.run(Duration::from_secs(3));
    world.chances = random_chances(&mut world);
    for _ in 0..EVENTS {
        match world.random(3) {
            0 => inject_fault(&mut world),
            _ => move_keys(&mut world),
        }
        let pause = u64::from(world.random(700));
        world.run(Duration::from_millis(pause));
    }
    world.moves
}

fn random_chances(world: &mut World) -> FaultChances {
    let forwards = world.two_regions;
    let mut chance = |most| match world.random(2) {
        0 => 0,
        _ => world.random(most),
    };
    FaultChances {
        write_lost: chance(200),
        write_late: chance(200),
        order_lost: chance(300),
        order_late: chance(200),
        order_delayed: chance(600),
        answer_lost: chance(500),
        work: 150,
        forwarder_lost: match forwards {
            true => chance(200),
            false => 0,
        },
    }
}

fn move_keys(world: &mut World) {
    let count = world.registered.len() as u32;
    let index = world.random(count) as usize;
    let name = world
        .registered
        .keys()
        .nth(index)
        .expect("in range")
        .clone();
    match world.random(5) {
        0 => {
            let entry = world.registered.get_mut(&name).expect("known");
            entry.draining = !entry.draining;
            world.notify_back_ends();
        }
        1 => {
            let up = world.back_ends.values().filter(|each| each.up);
            if up.count() < ADDRESSES as usize {
                start_at_free_address(world);
            }
        }
        2 => {
            let left_ms = 200 + u64::from(world.random(1_500));
            let resting = RestingBackEnd {
                back_end: name,
                left_ms,
            };
            report(world, &resting);
        }
        3 if count > 3 => {
            world.registered.remove(&name);
            world.notify_back_ends();
        }
        _ => world.register_again(&name),
    }
}

fn report(world: &mut World, resting: &RestingBackEnd) {
    let now = world.now;
    for node in &mut world.nodes {
        let report = LoadReport {
            resting: vec![resting.clone()],
            ..LoadReport::default()
        };
        node.coordinator.add_load(now, &report);
    }
}

fn start_at_free_address(world: &mut World) {
    let taken: Vec<u16> = world
        .back_ends
        .values()
        .filter(|each| each.up)
        .map(|each| each.entry.address.port() - 1_000)
        .collect();
    let first = world.random(ADDRESSES) as u16;
    let mut free = (first..first + ADDRESSES as u16).map(|each| each % ADDRESSES as u16);
    if let Some(address) = free.find(|each| !taken.contains(each)) {
        world.add_back_end(address);
    }
}

fn inject_fault(world: &mut World) {
    let index = match world.coordinator().filter(|_| world.random(3) > 0) {
        Some(index) => index,
        None => world.random(3) as usize,
    };
    let time = Duration::from_millis(100 + u64::from(world.random(5_000)));
    let until = world.now + time;
    let count = world.back_ends.len() as u32;
    let position = world.random(count) as usize;
    let names: Vec<_> = world.back_ends.keys().cloned().collect();
    let name = &names[position];
    match world.random(12) {
        0 => {
            world.nodes[index].up = false;
            world.run(Duration::from_millis(300));
            world.start_node(index);
        }
        1 => world.nodes[index].frozen_until = until,
        2 | 3 => world.nodes[index].unreachable_until = until,
        4 => world.store_down_until = until,
        5 => {
            for index in 0..world.nodes.len() {
                world.start_node(index);
            }
        }
        6 => {
            world.nodes[index].coordinator.stop();
            world.run(Duration::from_millis(700));
            world.start_node(index);
        }
        7 => {
            let back_end = world.back_ends.get_mut(name).expect("known");
            back_end.unreachable_until = until;
        }
        8 => {
            let back_end = world.back_ends.get_mut(name).expect("known");
            back_end.unreachable_until = until;
            back_end.unreachable_from = BTreeSet::from([index]);
        }
        9 => restart(world),
        10 => reuse_address(world),
        _ => world.chances = random_chances(world),
    }
}

/// A process restarts under its id while orders to it are in flight.
fn restart(world: &mut World) {
    let running = world.registered.keys();
    let running = running.filter(|name| name.started_ms().is_some());
    let names: Vec<_> = running
        .filter(|name| world.back_ends[*name].up)
        .cloned()
        .collect();
    if names.is_empty() {
        return;
    }
    let index = world.random(names.len() as u32) as usize;
    let delay = Duration::from_millis(u64::from(world.random(1_500)));
    world.restart_back_end(&names[index], delay);
}

/// A process crashes, and another one starts at its address, which registers
/// later.
fn reuse_address(world: &mut World) {
    let running = world.back_ends.values().filter(|each| each.up);
    let running: Vec<_> = running.map(|each| each.entry.clone()).collect();
    if running.len() < 3 {
        return;
    }
    let index = world.random(running.len() as u32) as usize;
    let entry = &running[index];
    world.back_ends.get_mut(&entry.name).expect("known").crash();
    if world.random(2) == 0 {
        world.registered.remove(&entry.name);
    }
    let name = world.add_unregistered_back_end(entry.address.port() - 1_000);
    let delay = u64::from(world.random(1_000));
    world.run(Duration::from_millis(delay));
    world.register_again(&name);
}
