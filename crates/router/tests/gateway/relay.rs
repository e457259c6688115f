//! Gateways of one zone, of which one watches the store for the others.

use async_std::task::block_on;
use threadledge_platform_stand_in::Fault;

use super::process::{Ask, Gateway, World, configuration, eventually};

fn shows(gateway: &Gateway, line: &str) -> Option<()> {
    gateway.metrics().contains(line).then_some(())
}

fn follows(gateway: &Gateway) -> Option<()> {
    shows(gateway, "threadledge_gateway_follows_relay 1\n")
}

fn version(number: u64) -> String {
    format!("threadledge_gateway_configuration_version {number}\n")
}

/// What is new reaches followers without a watch of their own.
#[test]
fn followers_learn_from_the_relay_and_do_not_watch_the_store() {
    let world = World::start();
    let door = block_on(world.store.open_endpoint()).expect("another address");
    let mut follower = Gateway::start_named("router-2", door.address());
    follower.await_ready();
    eventually(|| follows(&follower));
    let watches = door.watches();
    for number in 2..=5 {
        world.store.put("config", "main", configuration(number));
        eventually(|| shows(&follower, &version(number)));
    }
    let leaving = &world.plain[0];
    let entry = leaving.registration("plain", "draining");
    world.store.put("servers", &leaving.id, entry);
    world.store.remove("servers", &world.plain[1].id);
    let count = "threadledge_gateway_back_ends 3\n";
    eventually(|| shows(&follower, count));
    assert_eq!(Ask::default().send(&follower).status(), 503);
    assert_eq!(door.watches(), watches);
}

/// A relay that is gone is replaced, and nothing is missed meanwhile.
#[test]
fn followers_of_a_lost_relay_watch_the_store_at_once() {
    let World { store, gateway, .. } = World::start();
    let mut second = Gateway::start_named("router-2", store.address());
    let mut third = Gateway::start_named("router-3", store.address());
    second.await_ready();
    third.await_ready();
    eventually(|| follows(&second));
    eventually(|| follows(&third));
    drop(gateway);
    store.put("config", "main", configuration(2));
    eventually(|| shows(&second, &version(2)));
    eventually(|| shows(&third, &version(2)));
    eventually(|| follows(&second).or_else(|| follows(&third)));
}

/// The store turns the relay away: its followers leave it for another.
#[test]
fn relay_that_the_store_refuses_is_replaced() {
    let world = World::start();
    let door = block_on(world.store.open_endpoint()).expect("another address");
    let mut second = Gateway::start_named("router-2", door.address());
    second.await_ready();
    eventually(|| follows(&second));
    world.store.set_fault(Fault::Busy);
    eventually(|| shows(&second, "threadledge_gateway_follows_relay 0\n"));
    // The stand-in's own calls are no calls to its address.
    world.store.put("config", "main", configuration(2));
    eventually(|| shows(&second, &version(2)));
    world.store.set_fault(Fault::None);
    eventually(|| follows(&world.gateway).or_else(|| follows(&second)));
}
