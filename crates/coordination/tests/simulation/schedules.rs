//! Random fault schedules, by seed.

use std::time::Duration;

use super::world::{FaultChances, World};

/// Number of seeds in CI; `THREADLEDGE_SEEDS` overrides it.
const SEEDS: u64 = 60;
const FAULTS: u32 = 30;
/// Longest time for which keys may be unserved once faults have ended. A
/// release that is executed late takes keys from a back end that was granted
/// them again, until the next renewal.
const MAX_UNSERVED: Duration = Duration::from_millis(750);

fn seeds() -> u64 {
    let wanted = std::env::var("THREADLEDGE_SEEDS");
    wanted
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

#[test]
fn random_faults_violate_no_invariant_and_service_recovers() {
    let first = std::env::var("THREADLEDGE_FIRST_SEED");
    let first = first.ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for seed in first..first + seeds() {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut world = World::new(seed, 4, 7);
    world.run(Duration::from_secs(3));
    for _ in 0..FAULTS {
        inject_fault(&mut world);
        let pause = u64::from(world.random(1_500));
        world.run(Duration::from_millis(pause));
    }
    end_faults(&mut world);
    let served = world.until_served(Duration::from_secs(40));
    assert!(
        served.is_some(),
        "seed {seed}: not served: {}",
        world.diagnostics()
    );
    // Longer than a node can be frozen, so that the answers waiting for it come
    // first.
    world.run(Duration::from_secs(8));
    let regained = world.until_served(MAX_UNSERVED);
    assert!(
        regained.is_some(),
        "seed {seed}: service did not last: {}",
        world.diagnostics()
    );
    let leading = world
        .nodes
        .iter()
        .filter(|node| node.coordinator.leading_term().is_some())
        .count();
    assert_eq!(leading, 1, "seed {seed}");
}

fn inject_fault(world: &mut World) {
    let count = world.nodes.len() as u32;
    let index = world.random(count) as usize;
    let target = world.coordinator().filter(|_| world.random(2) == 0);
    let index = target.unwrap_or(index);
    let time = Duration::from_millis(200 + u64::from(world.random(7_000)));
    let until = world.now + time;
    match world.random(16) {
        0 => world.nodes[index].up = false,
        1 => world.start_node(index),
        2 => world.nodes[index].frozen_until = until,
        3 => world.nodes[index].unreachable_until = until,
        4 => world.store_down_until = until,
        5 => {
            world.chances = FaultChances {
                write_lost: world.random(400),
                write_late: world.random(400),
                order_lost: world.random(300),
                order_late: world.random(300),
                ..FaultChances::default()
            }
        }
        6 => world.chances = FaultChances::default(),
        7 => {
            for node in &mut world.nodes {
                node.up = false;
            }
        }
        8 => restart_all(world),
        9 => replace_back_end(world),
        10 => drain_back_end(world),
        11 => world.nodes[index].coordinator.stop(),
        12 => register_again(world),
        13 => forget_registration(world),
        14 => make_unresponsive(world, until),
        _ => make_unreachable(world, until),
    }
}

fn restart_all(world: &mut World) {
    for index in 0..world.nodes.len() {
        let stopped = world.nodes[index].coordinator.is_stopped();
        if !world.nodes[index].up || stopped {
            world.start_node(index);
        }
    }
}

fn replace_back_end(world: &mut World) {
    let address = world.random(7) as u16;
    let old: Vec<_> = world
        .back_ends
        .iter()
        .filter(|(_, back_end)| back_end.entry.address.port() == 1_000 + address)
        .map(|(name, _)| name.clone())
        .collect();
    let lingering = world.random(2) == 0;
    for name in old {
        world.back_ends.get_mut(&name).expect("known").crash();
        if !lingering {
            world.registered.remove(&name);
        }
    }
    world.add_back_end(address);
}

fn drain_back_end(world: &mut World) {
    let count = world.registered.len() as u32;
    let index = world.random(count) as usize;
    let entry = world.registered.values_mut().nth(index).expect("in range");
    entry.draining = !entry.draining;
    world.notify_back_ends();
}

/// A random process registers once more, in most cases long after it has ended.
fn register_again(world: &mut World) {
    let names: Vec<_> = world.back_ends.keys().cloned().collect();
    let index = world.random(names.len() as u32) as usize;
    world.register_again(&names[index]);
}

/// A back end that cannot reach the store loses its registration and continues
/// to serve.
fn forget_registration(world: &mut World) {
    let names: Vec<_> = world.registered.keys().cloned().collect();
    if names.len() < 2 {
        return;
    }
    let index = world.random(names.len() as u32) as usize;
    world.registered.remove(&names[index]);
    world.notify_back_ends();
}

fn make_unresponsive(world: &mut World, until: threadledge_types::Timestamp) {
    let count = world.back_ends.len() as u32;
    let index = world.random(count) as usize;
    let back_end = world.back_ends.values_mut().nth(index).expect("in range");
    back_end.unresponsive_until = until;
}

fn make_unreachable(world: &mut World, until: threadledge_types::Timestamp) {
    let count = world.back_ends.len() as u32;
    let index = world.random(count) as usize;
    let back_end = world.back_ends.values_mut().nth(index).expect("in range");
    back_end.unreachable_until = until;
}

fn end_faults(world: &mut World) {
    world.chances = FaultChances::default();
    world.store_down_until = world.now;
    restart_all(world);
    for node in &mut world.nodes {
        node.unreachable_until = world.now;
        // A frozen node cannot learn that another node is the coordinator.
        node.frozen_until = world.now;
    }
    for back_end in world.back_ends.values_mut() {
        back_end.unreachable_until = world.now;
        back_end.unresponsive_until = world.now;
    }
    for entry in world.registered.values_mut() {
        entry.draining = false;
    }
    let gone: Vec<_> = world
        .registered
        .keys()
        .filter(|name| !world.back_ends[*name].up)
        .cloned()
        .collect();
    for name in gone {
        world.registered.remove(&name);
    }
    let living = world.back_ends.values().filter(|back_end| back_end.up);
    let lacking: Vec<_> = living
        .map(|back_end| back_end.entry.name.clone())
        .filter(|name| !world.registered.contains_key(name))
        .collect();
    for name in lacking {
        world.register_again(&name);
    }
    world.notify_back_ends();
}
