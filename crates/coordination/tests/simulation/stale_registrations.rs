//! Registrations of processes that the coordinator sends no order to.
//!
//! Guards against a stale registration that keeps the running process at the
//! same address from being assigned keys for as long as the registration
//! exists.

use std::time::Duration;

use threadledge_types::deployment::BackEndName;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// The only back end crashed and another process starts at its address. Returns
/// the running process, which owns nothing yet, and the crashed one.
fn restarted(seed: u64) -> (World, [BackEndName; 2]) {
    let mut world = World::new(seed, 3, 1);
    assert!(world.until_served(SECOND * 5).is_some());
    let crashed = world.owner(100).expect("owned");
    world.back_ends.get_mut(&crashed).expect("known").crash();
    world.registered.remove(&crashed);
    world.notify_back_ends();
    // Longer than the coordinator repeats releases to former owners.
    world.run(SECOND * 20);
    let living = world.add_back_end(0);
    (world, [living, crashed])
}

/// The last write of the crashed back end said that it was leaving.
#[test]
fn late_registration_of_a_leaving_back_end_leaves_no_keys_unserved() {
    let (mut world, [_, crashed]) = restarted(600);
    world.register_again(&crashed);
    let entry = world.registered.get_mut(&crashed);
    entry.expect("registered").draining = true;
    world.notify_back_ends();
    let took = world.until_served(SECOND * 20);
    assert!(took.is_some(), "{}", world.diagnostics());
}

/// A back end of another service used the address before, and its last write
/// came late.
#[test]
fn late_registration_of_another_service_leaves_no_keys_unserved() {
    let (mut world, [living, _]) = restarted(601);
    world.register_elsewhere(&living, "another");
    let took = world.until_served(SECOND * 20);
    assert!(took.is_some(), "{}", world.diagnostics());
}
/// Control: a back end of this service that is not leaving receives orders, so
/// its registration does not block the other.
#[test]
fn late_registration_of_this_service_leaves_no_keys_unserved() {
    let (mut world, [_, crashed]) = restarted(602);
    world.register_again(&crashed);
    let took = world.until_served(SECOND * 20);
    println!("took {took:?}");
    assert!(took.is_some(), "{}", world.diagnostics());
}
