//! Gateways that get updates from peers instead of the store.

use async_std::task::block_on;
use threadledge_platform_stand_in::Fault;

use super::process::{Gateway, TestRequest, World, configuration, eventually};

/// The store refuses one gateway but answers the operator and the other
/// gateway. Without peers the refused one would keep its old configuration.
#[test]
fn gateway_refused_by_the_store_catches_up_from_peers() {
    let world = World::start();
    let endpoint = block_on(world.store.open_endpoint()).expect("another address");
    let mut refused = Gateway::start_named("router-2", endpoint.address());
    refused.await_ready();
    let shows = |gateway: &Gateway, version: u64| {
        let line = format!("threadledge_gateway_configuration_version {version}\n");
        gateway.metrics().contains(&line).then_some(())
    };
    eventually(|| shows(&refused, 1));
    // It learns of the coordinator from the lease.
    let request = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(5),
        ..TestRequest::default()
    };
    eventually(|| (request.send(&refused).status() == 200).then_some(()));
    endpoint.set_fault(Fault::Busy);
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
    assert_eq!(TestRequest::default().send(&refused).status(), 503);
    endpoint.set_fault(Fault::None);
    world.store.put("config", "main", configuration(3));
    eventually(|| shows(&refused, 3));
}
