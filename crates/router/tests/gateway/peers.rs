//! Gateways that tell each other what the store does not.

use async_std::task::block_on;
use threadledge_platform_stand_in::Fault;

use super::process::{Ask, Gateway, World, configuration, eventually};

/// The store refuses one gateway while it serves the operator and the other.
/// Without other gateways it would stay with the version that it knows.
#[test]
fn gateway_that_the_store_refuses_follows_by_its_peers() {
    let world = World::start();
    let door = block_on(world.store.open_endpoint()).expect("another address");
    let mut refused = Gateway::start_named("router-2", door.address());
    refused.await_ready();
    let shows = |gateway: &Gateway, version: u64| {
        let line = format!("threadledge_gateway_configuration_version {version}\n");
        gateway.metrics().contains(&line).then_some(())
    };
    eventually(|| shows(&refused, 1));
    // It learns of the coordinator by its lease.
    let ask = Ask {
        host: "keyed.example",
        target: "/k/x",
        key: Some(5),
        ..Ask::default()
    };
    eventually(|| (ask.send(&refused).status() == 200).then_some(()));
    door.set_fault(Fault::Busy);
    world.store.put("config", "main", configuration(2));
    eventually(|| shows(&refused, 2));
    let leaving = &world.plain[0];
    world.store.put(
        "servers",
        &leaving.id,
        leaving.registration("plain", "draining"),
    );
    world.store.remove("servers", &world.plain[1].id);
    eventually(|| {
        let line = "threadledge_gateway_back_ends 3\n";
        refused.metrics().contains(line).then_some(())
    });
    assert_eq!(Ask::default().send(&refused).status(), 503);
    door.set_fault(Fault::None);
    world.store.put("config", "main", configuration(3));
    eventually(|| shows(&refused, 3));
}
