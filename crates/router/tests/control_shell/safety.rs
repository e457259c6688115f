//! Tests that routers with different safety settings exchange no messages.

use http_types::Url;
use threadledge::control_shell::PEER_PATH;
use threadledge::control_shell::safety::{SafetyError, SafetySettings};
use threadledge_control::{Input, PeerBatch};
use threadledge_membership::{Machine, MachineList, MachineState};
use threadledge_types::Timing;

use crate::world::{World, eventually, identity};

fn shorter_lease() -> Timing {
    Timing {
        lease_ms: 1_500,
        ..Default::default()
    }
}

fn url(path: &str) -> Url {
    Url::parse(&format!("http://router{path}")).expect("a URL")
}

#[test]
fn each_safety_setting_is_compared() {
    let own = SafetySettings::from_timing(&Timing::default());
    assert_eq!(own.check(&url(&own.add_to_path(PEER_PATH))), Ok(()));
    for theirs in [
        SafetySettings { lease_ms: 1, ..own },
        SafetySettings {
            drift_percent: 1,
            ..own
        },
        SafetySettings {
            election_min_ms: 1,
            ..own
        },
    ] {
        let refused = own.check(&url(&theirs.add_to_path(PEER_PATH)));
        assert_eq!(refused, Err(SafetyError::Differ { theirs, own }));
    }
}

#[test]
fn missing_settings_are_refused() {
    let own = SafetySettings::from_timing(&Timing::default());
    let refused = own.check(&url(PEER_PATH));
    assert_eq!(refused, Err(SafetyError::Missing("lease-ms")));
    let partial = url("/peer?lease-ms=2000&drift-percent=much");
    assert_eq!(
        own.check(&partial),
        Err(SafetyError::Missing("drift-percent"))
    );
}

#[async_std::test]
async fn batch_of_a_differing_router_is_refused() {
    let world = World::start(Timing::default()).await;
    let theirs = SafetySettings::from_timing(&shorter_lease());
    let batch = PeerBatch {
        from: identity(world.peer_address),
        to: None,
        messages: Vec::new(),
    };
    let request = |path: String| {
        http::Request::post(path)
            .body(serde_json::to_vec(&batch).expect("JSON"))
            .expect("a valid request")
    };
    let (status, text) = world.send(request(theirs.add_to_path(PEER_PATH))).await;
    assert_eq!(status, 409);
    assert!(text.contains("lease-ms 1500"), "{text}");
    assert!(text.contains("give every router of the region the same"));
    let own = world.shell.safety();
    let (status, text) = world.send(request(own.add_to_path(PEER_PATH))).await;
    assert_eq!(status, 200, "{text}");
}

/// Adds `other` to the machine list of `world`, as in a deployment.
fn introduce(world: &World, other: &World) {
    let identity = other.shell.identity();
    world.shell.input(Input::Machines(MachineList {
        version: 1,
        machines: vec![Machine {
            name: identity.machine.clone(),
            peer_address: identity.peer_address,
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            state: MachineState::Live,
        }],
    }));
}

fn live_routers(world: &World) -> usize {
    world.shell.with_node(|node| node.live_router_count())
}

#[async_std::test]
async fn differing_routers_learn_only_that_they_differ() {
    let old = World::start(Timing::default()).await;
    let new = World::start(shorter_lease()).await;
    introduce(&new, &old);
    eventually(|| new.shell.has_differing_routers()).await;
    assert_eq!((live_routers(&old), live_routers(&new)), (1, 1));
}

#[async_std::test]
async fn routers_with_the_same_settings_find_each_other() {
    let first = World::start(Timing::default()).await;
    let second = World::start(Timing::default()).await;
    introduce(&second, &first);
    eventually(|| live_routers(&first) == 2).await;
    eventually(|| live_routers(&second) == 2).await;
    assert!(!first.shell.has_differing_routers());
}
