//! A registration that nobody asks after: it keeps the process that lives at
//! the address from being given keys for as long as it stands.

use std::time::Duration;

use threadledge_types::deployment::BackEndName;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// The only back end crashed, and another process starts at its address.
/// Returns the one that lives, which owns nothing yet, and the one that
/// crashed.
fn restarted(seed: u64) -> (World, [BackEndName; 2]) {
    let mut world = World::new(seed, 3, 1);
    assert!(world.until_served(SECOND * 5).is_some());
    let crashed = world.owner(100).expect("owned");
    world.back_ends.get_mut(&crashed).expect("known").crash();
    world.registered.remove(&crashed);
    world.tell_back_ends();
    // Longer than former owners are asked.
    world.run(SECOND * 20);
    let living = world.add_back_end(0);
    (world, [living, crashed])
}

/// The last write of the one that crashed said that it was leaving.
#[test]
fn late_registration_of_one_that_was_leaving_keeps_no_keys_unserved() {
    let (mut world, [_, crashed]) = restarted(600);
    world.register_again(&crashed);
    let entry = world.registered.get_mut(&crashed);
    entry.expect("registered").draining = true;
    world.tell_back_ends();
    let took = world.until_served(SECOND * 20);
    assert!(took.is_some(), "{}", world.story());
}

/// The address had a back end of another service before, whose last write
/// came late.
#[test]
fn late_registration_of_another_service_keeps_no_keys_unserved() {
    let (mut world, [living, _]) = restarted(601);
    world.register_elsewhere(&living, "another");
    let took = world.until_served(SECOND * 20);
    assert!(took.is_some(), "{}", world.story());
}
/// Control: one of this service that is not leaving is asked, and does not.
#[test]
fn late_registration_of_this_service_keeps_no_keys_unserved() {
    let (mut world, [_, crashed]) = restarted(602);
    world.register_again(&crashed);
    let took = world.until_served(SECOND * 20);
    println!("took {took:?}");
    assert!(took.is_some(), "{}", world.story());
}
