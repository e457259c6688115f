//! Back ends that start again under their ids. They hold nothing and refuse
//! nothing, so that they take what was meant for the life before; the checker
//! panics where two back ends hold the same keys.

use std::time::Duration;

use super::world::{Chances, World};

const SECOND: Duration = Duration::from_secs(1);
/// A registration is known to all after a few tenths of a second.
const UNTOLD: Duration = Duration::from_millis(900);

/// Between the start and its registration the next life takes renewals of the
/// one before it.
#[test]
fn keys_of_a_back_end_that_starts_again_stay_with_it_under_a_higher_fence() {
    let mut world = World::settled_with_lives(1);
    let owner = world.owner(100).expect("owned");
    let moves = world.moves;
    let life = world.restart_back_end(&owner, UNTOLD);
    let took = world.until_served(SECOND * 5).expect("served again");
    assert!(took < SECOND / 2, "took {took:?}");
    assert_eq!(world.owner(100), Some(life));
    assert_eq!(world.moves, moves, "nobody else is given its keys");
    world.run(SECOND * 5);
    assert!(world.all_served(), "{}", world.story());
}

/// The lost one's keys went to others; releases that ask the life before it
/// must not take back what the next life was given.
#[test]
fn back_end_that_starts_again_after_its_keys_have_gone_gets_a_share_and_keeps_it() {
    let mut world = World::settled_with_lives(2);
    let owner = world.owner(100).expect("owned");
    world.back_ends.get_mut(&owner).expect("known").crash();
    world.until_served(SECOND * 8).expect("served by others");
    let life = world.restart_back_end(&owner, UNTOLD);
    world.run(SECOND * 5);
    let view = world.view().expect("a record");
    assert!(view.owned().any(|(_, name)| *name == life));
    for _ in 0..400 {
        world.step();
        assert!(world.all_served(), "{}", world.story());
    }
}

#[test]
fn coordinator_elected_between_two_lives_knows_the_later_one() {
    for untold in [SECOND / 10, UNTOLD, SECOND * 3] {
        let mut world = World::settled_with_lives(3);
        let owner = world.owner(100).expect("owned");
        let coordinator = world.coordinator().expect("one coordinates");
        world.nodes[coordinator].up = false;
        world.restart_back_end(&owner, untold);
        let took = world.until_served(SECOND * 8).expect("served again");
        assert!(took < SECOND * 5, "took {took:?}");
        world.run(SECOND * 3);
        assert!(world.all_served(), "{}", world.story());
    }
}

#[test]
fn back_ends_that_start_again_and_again_never_share_keys() {
    for seed in 0..40 {
        let mut world = World::settled_with_lives(100 + seed);
        world.chances = Chances {
            order_lost: 20,
            order_late: 20,
            write_lost: 20,
            write_late: 0,
        };
        for _ in 0..8 {
            let names: Vec<_> = world.registered.keys().cloned().collect();
            let index = world.random(names.len() as u32) as usize;
            let untold = Duration::from_millis(u64::from(world.random(1_500)));
            world.restart_back_end(&names[index], untold);
            let pause = Duration::from_millis(u64::from(world.random(2_500)));
            world.run(pause);
        }
        world.chances = Chances::default();
        let took = world.until_served(SECOND * 20);
        assert!(took.is_some(), "seed {seed}: {}", world.story());
    }
}
