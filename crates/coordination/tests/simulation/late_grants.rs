//! Owners that answer no release and may take their last grant late.

use std::time::Duration;

use threadledge_types::deployment::{BackEndName, ShardKey};

use super::world::World;

const KEY: u16 = 100;
/// Longest time for which a request waits in the queue of an owner in these
/// tests.
const LONGEST_QUEUE: Duration = Duration::from_millis(1_500);

/// Lets the owner of [`KEY`] leave while it answers no order.
fn leaving_without_answers(seed: u64) -> (World, BackEndName) {
    let mut world = World::settled(seed);
    let owner = world.owner(KEY).expect("owned");
    let silent_until = world.now + Duration::from_secs(9);
    let back_end = world.back_ends.get_mut(&owner).expect("known");
    back_end.unresponsive_until = silent_until;
    let entry = world.registered.get_mut(&owner).expect("registered");
    entry.draining = true;
    world.notify_back_ends();
    (world, owner)
}

/// Returns whether a back end other than `owner` holds [`KEY`].
fn next_owner_holds(world: &World, owner: &BackEndName) -> bool {
    let mut others = world.back_ends.iter().filter(|(name, _)| *name != owner);
    others.any(|(_, other)| {
        let mut holds = other.holds.iter();
        holds.any(|hold| !hold.late && hold.range.contains(ShardKey(KEY)))
    })
}

/// Guards against two back ends that both begin requests on the same keys: the
/// former owner those left in its queue, under a grant that it took late.
#[test]
fn queue_of_a_silent_owner_runs_dry_before_the_next_one_holds_its_keys() {
    for seed in 0..20 {
        let (mut world, owner) = leaving_without_answers(800 + seed);
        let started = world.now;
        let mut last_request = world.now;
        while !next_owner_holds(&world, &owner) {
            if world.owner(KEY).as_ref() == Some(&owner) {
                last_request = world.now;
            }
            world.step();
        }
        let dry = world.now.since(last_request);
        let took = world.now.since(started);
        assert!(dry >= LONGEST_QUEUE, "seed {seed}: {dry:?}");
        assert!(took <= Duration::from_secs(4), "seed {seed}: {took:?}");
    }
}

/// Guards against keys that nobody is sent requests for, because the
/// coordinator that took them back stopped before it could give them on.
#[test]
fn owner_is_sent_requests_again_after_the_coordinator_of_its_release_stopped() {
    for seed in 0..20 {
        let (mut world, owner) = leaving_without_answers(900 + seed);
        let end = world.now + Duration::from_secs(9);
        while world.owner(KEY).is_some() {
            assert!(
                world.now < end,
                "seed {seed}: requests are sent until the end"
            );
            world.step();
        }
        world
            .back_ends
            .get_mut(&owner)
            .expect("known")
            .unresponsive_until = world.now;
        world.registered.get_mut(&owner).expect("known").draining = false;
        world.notify_back_ends();
        let coordinator = world.coordinator().expect("a coordinator");
        world.nodes[coordinator].up = false;
        while world.owner(KEY).is_none() {
            world.step();
        }
        assert_eq!(world.owner(KEY), Some(owner), "seed {seed}");
    }
}
