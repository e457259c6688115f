//! Release of a lease soon after it was taken from a coordinator that cannot
//! reach the store.
//!
//! That coordinator continues to send orders until its lease expires. Guards
//! against a third coordinator that is not told about it and assigns its keys
//! too early.

use std::time::Duration;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn orders_of_the_coordinator_before_the_one_that_resigned_are_waited_out() {
    for seed in 0..10 {
        let mut world = World::settled(500 + seed);
        world.run(SECOND);
        let first = world.coordinator().expect("a coordinator");
        let owner = world.owner(100).expect("owned");
        let until = world.now + SECOND * 12;
        // Only the first coordinator can reach the owner, but it cannot reach
        // the store.
        world.nodes[first].unreachable_until = until;
        let others = (0..3).filter(|node| *node != first).collect();
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.unreachable_from = others;
        back_end.unreachable_until = until;
        let second = loop {
            world.step();
            let leading = (0..3).find(|node| {
                *node != first && world.nodes[*node].coordinator.leading_term().is_some()
            });
            if let Some(second) = leading {
                break second;
            }
        };
        world.run(Duration::from_millis(100));
        world.nodes[second].coordinator.stop();
        // The checker panics if others get the keys while the owner holds them.
        world.run(SECOND * 10);
    }
}
