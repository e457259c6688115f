//! Owners to which every connection is accepted and reset at once.

use std::time::Duration;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);
/// Time within which the keys of an owner that has ended are served again.
const SERVED_AGAIN: Duration = Duration::from_secs(4);
const SEEDS: u64 = 40;

/// Resets connections to the owner of key 100 for `duration`, from another part
/// of its renewal interval in each seed.
fn with_resets(seed: u64, duration: Duration) -> World {
    let mut world = World::settled(seed);
    world.run(SECOND + Duration::from_millis(18 * seed));
    let owner = world.owner(100).expect("owned");
    let until = world.now + duration;
    let back_end = world.back_ends.get_mut(&owner).expect("known");
    back_end.reset_until = until;
    world
}

/// Returns how long the keys of owners that end are unserved, in order, if a
/// proxy in front of them resets connections for `duration`.
fn unserved_after_ends(duration: Duration) -> Vec<Duration> {
    let mut took = Vec::new();
    for seed in 0..SEEDS {
        let mut world = with_resets(seed, duration);
        let owner = world.owner(100).expect("owned");
        world.back_ends.get_mut(&owner).expect("known").crash();
        let served = world.until_served(SECOND * 10);
        took.push(served.expect("served again"));
    }
    took.sort();
    println!(
        "median {:?}, longest {:?}",
        took[took.len() / 2],
        took.last()
    );
    took
}

#[test]
fn keys_of_an_owner_that_ended_behind_a_proxy_are_served_within_four_seconds() {
    let took = unserved_after_ends(SECOND * 60);
    assert!(took.last() <= Some(&SERVED_AGAIN), "{took:?}");
}

#[test]
fn keys_of_an_owner_that_ended_are_served_within_four_seconds() {
    let took = unserved_after_ends(Duration::ZERO);
    assert!(took.last() <= Some(&SERVED_AGAIN), "{took:?}");
}

#[test]
fn owner_whose_connections_are_reset_for_fifty_milliseconds_keeps_its_keys() {
    for seed in 0..SEEDS {
        let mut world = with_resets(seed, Duration::from_millis(50));
        let moves = world.moves;
        world.run(SECOND * 5);
        let lost = |notice: &&String| notice.contains("HolderLost");
        let lost = world.notices.iter().find(lost);
        assert_eq!((lost, world.moves), (None, moves), "seed {seed}");
    }
}
