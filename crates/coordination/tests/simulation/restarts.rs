//! Back ends that restart under their ids.
//!
//! A restarted back end holds nothing and has seen no fencing token, so it
//! accepts orders that were meant for its previous process. The checker panics
//! if two back ends hold the same keys.

use std::time::Duration;

use super::world::{FaultChances, World};

const SECOND: Duration = Duration::from_secs(1);
/// Delay until a registration is known to all nodes, longer than the usual few
/// tenths of a second.
const REGISTRATION_DELAY: Duration = Duration::from_millis(900);

/// Between its start and its registration, the new process accepts renewals
/// that were meant for the previous one.
#[test]
fn keys_of_a_restarted_back_end_stay_with_it_under_a_higher_fence() {
    let mut world = World::settled_with_restarts(1);
    let owner = world.owner(100).expect("owned");
    let moves = world.moves;
    let restarted = world.restart_back_end(&owner, REGISTRATION_DELAY);
    let took = world.until_served(SECOND * 5).expect("served again");
    assert!(took < SECOND / 2, "took {took:?}");
    assert_eq!(world.owner(100), Some(restarted));
    assert_eq!(world.moves, moves, "nobody else is given its keys");
    world.run(SECOND * 5);
    assert!(world.all_served(), "{}", world.diagnostics());
}

/// The keys of the crashed process went to others. Releases to it must not take
/// back keys that the new process was granted.
#[test]
fn back_end_restarted_after_losing_its_keys_gets_a_share_and_keeps_it() {
    let mut world = World::settled_with_restarts(2);
    let owner = world.owner(100).expect("owned");
    world.back_ends.get_mut(&owner).expect("known").crash();
    world.until_served(SECOND * 8).expect("served by others");
    let restarted = world.restart_back_end(&owner, REGISTRATION_DELAY);
    world.run(SECOND * 5);
    let view = world.view().expect("a record");
    assert!(view.owned().any(|(_, name)| *name == restarted));
    for _ in 0..400 {
        world.step();
        assert!(world.all_served(), "{}", world.diagnostics());
    }
}

#[test]
fn coordinator_elected_during_a_restart_knows_the_new_process() {
    for registration_delay in [SECOND / 10, REGISTRATION_DELAY, SECOND * 3] {
        let mut world = World::settled_with_restarts(3);
        let owner = world.owner(100).expect("owned");
        let coordinator = world.coordinator().expect("a coordinator");
        world.nodes[coordinator].up = false;
        world.restart_back_end(&owner, registration_delay);
        let took = world.until_served(SECOND * 8).expect("served again");
        assert!(took < SECOND * 5, "took {took:?}");
        world.run(SECOND * 3);
        assert!(world.all_served(), "{}", world.diagnostics());
    }
}

#[test]
fn back_ends_that_restart_repeatedly_never_share_keys() {
    for seed in 0..40 {
        let mut world = World::settled_with_restarts(100 + seed);
        world.chances = FaultChances {
            order_lost: 20,
            order_late: 20,
            write_lost: 20,
            write_late: 0,
            ..FaultChances::default()
        };
        for _ in 0..8 {
            let names: Vec<_> = world.registered.keys().cloned().collect();
            let index = world.random(names.len() as u32) as usize;
            let registration_delay = Duration::from_millis(u64::from(world.random(1_500)));
            world.restart_back_end(&names[index], registration_delay);
            let pause = Duration::from_millis(u64::from(world.random(2_500)));
            world.run(pause);
        }
        world.chances = FaultChances::default();
        let took = world.until_served(SECOND * 20);
        assert!(took.is_some(), "seed {seed}: {}", world.diagnostics());
    }
}
