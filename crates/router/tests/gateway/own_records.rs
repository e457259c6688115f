//! Records of gateways that another writer has replaced while no gateway ran.

use async_std::task::block_on;
use serde_json::json;
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, configuration};

use super::process::{Gateway, eventually};

/// Starts gateways while a record of theirs holds something else. Both services
/// are served.
#[track_caller]
fn check(kind: &str, name: &str) {
    let store = block_on(StandInStore::start()).expect("a store");
    let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
    let (keyed, plain) = (start("k-1", true), start("p-1", false));
    store.put("servers", &keyed.id, keyed.registration("keyed", "ready"));
    store.put("servers", &plain.id, plain.registration("plain", "ready"));
    store.put("config", "main", configuration(1));
    store.put(kind, name, json!({"note": "not ours"}));
    let mut gateways =
        ["router-1", "router-2"].map(|name| Gateway::start_named(name, store.address()));
    for gateway in &mut gateways {
        gateway.await_ready();
        eventually(|| {
            gateway
                .serves("plain.example", "/safe/x", None)
                .then_some(())
        });
        eventually(|| {
            gateway
                .serves("keyed.example", "/k/x", Some(5))
                .then_some(())
        });
    }
}

#[test]
fn replaced_relay_record_ends_no_service() {
    check("threadledge-relays", "zone-a");
}

#[test]
fn replaced_held_requests_end_no_service() {
    check("threadledge-held-requests", "all");
}

#[test]
fn replaced_limit_holders_end_no_service() {
    check("threadledge-limit-holders", "holders");
}

#[test]
fn replaced_lease_ends_no_service() {
    check("threadledge-leases", "keyed");
}

#[test]
fn replaced_ownership_record_ends_no_service() {
    check("threadledge-ownership", "keyed");
}
