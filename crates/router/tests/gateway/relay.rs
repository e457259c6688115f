//! Gateways of one zone, of which one watches the store for the others.

use async_std::task::block_on;
use threadledge_platform_stand_in::Fault;

use super::process::{Gateway, TestRequest, World, configuration, eventually};

fn metrics_contain(gateway: &Gateway, line: &str) -> Option<()> {
    gateway.metrics().contains(line).then_some(())
}

fn follows_relay(gateway: &Gateway) -> Option<()> {
    metrics_contain(gateway, "threadledge_gateway_follows_relay 1\n")
}

fn version_metric(number: u64) -> String {
    format!("threadledge_gateway_configuration_version {number}\n")
}

/// Updates reach followers without a watch of their own.
#[test]
fn followers_get_updates_from_the_relay_without_watching_the_store() {
    let world = World::start();
    let endpoint = block_on(world.store.open_endpoint()).expect("another address");
    let mut follower = Gateway::start_named("router-2", endpoint.address());
    follower.await_ready();
    eventually(|| follows_relay(&follower));
    let watches = endpoint.watches();
    for number in 2..=5 {
        world.store.put("config", "main", configuration(number));
        eventually(|| metrics_contain(&follower, &version_metric(number)));
    }
    let leaving = &world.plain[0];
    let entry = leaving.registration("plain", "draining");
    world.store.put("servers", &leaving.id, entry);
    world.store.remove("servers", &world.plain[1].id);
    let count = "threadledge_gateway_back_ends 3\n";
    eventually(|| metrics_contain(&follower, count));
    assert_eq!(TestRequest::default().send(&follower).status(), 503);
    assert_eq!(endpoint.watches(), watches);
}

/// A relay that ends is replaced, and no update is missed meanwhile.
#[test]
fn followers_of_a_lost_relay_watch_the_store_at_once() {
    let World { store, gateway, .. } = World::start();
    let mut second = Gateway::start_named("router-2", store.address());
    let mut third = Gateway::start_named("router-3", store.address());
    second.await_ready();
    third.await_ready();
    eventually(|| follows_relay(&second));
    eventually(|| follows_relay(&third));
    drop(gateway);
    store.put("config", "main", configuration(2));
    eventually(|| metrics_contain(&second, &version_metric(2)));
    eventually(|| metrics_contain(&third, &version_metric(2)));
    eventually(|| follows_relay(&second).or_else(|| follows_relay(&third)));
}

/// If the store refuses the relay, its followers leave it for another.
#[test]
fn relay_that_the_store_refuses_is_replaced() {
    let world = World::start();
    let endpoint = block_on(world.store.open_endpoint()).expect("another address");
    let mut second = Gateway::start_named("router-2", endpoint.address());
    second.await_ready();
    eventually(|| follows_relay(&second));
    world.store.set_fault(Fault::Busy);
    eventually(|| metrics_contain(&second, "threadledge_gateway_follows_relay 0\n"));
    // The stand-in's own calls do not go through its address and its fault.
    world.store.put("config", "main", configuration(2));
    eventually(|| metrics_contain(&second, &version_metric(2)));
    world.store.set_fault(Fault::None);
    eventually(|| follows_relay(&world.gateway).or_else(|| follows_relay(&second)));
}
