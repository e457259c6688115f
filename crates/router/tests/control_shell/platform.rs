//! Tests of the control shell with an object API: founding the group, accepting
//! objects, writing statuses and sending the token.

use serde_json::{Value, json};
use threadledge_net::StopSignal;
use threadledge_object_api::TransportSettings;
use threadledge_types::{BackEndId, Timing};

use crate::object_api::ObjectApi;
use crate::world::{Platform, World, eventually};

/// Stops the object API when the test ends.
struct Stop(StopSignal);

impl Drop for Stop {
    fn drop(&mut self) {
        self.0.stop();
    }
}

fn back_end() -> Value {
    json!({
        "apiVersion": "threadledge.dev/v1",
        "kind": "BackEnd",
        "metadata": {
            "namespace": "kasamahan",
            "name": "gallery-1",
            "uid": "uid-1",
            "generation": 1,
        },
        "spec": {
            "address": "127.0.1.1:8000",
            "controlAddress": "127.0.1.2:8000",
            "zone": "luzon-a",
            "slots": 2,
            "connections": 20,
        },
    })
}

async fn start(conflicts: usize) -> (World, ObjectApi, Stop) {
    let stop = Stop(StopSignal::new());
    let api = ObjectApi::start(back_end(), stop.0.clone()).await;
    api.store.lock().conflicts = conflicts;
    let transport = TransportSettings {
        token: Some("secret".to_owned()),
        ..Default::default()
    };
    let platform = Platform {
        address: api.address,
        transport,
    };
    let world = World::start_with(Timing::default(), platform).await;
    (world, api, stop)
}

#[async_std::test]
async fn group_is_founded_and_accepted_object_gets_its_status() {
    let (world, api, _stop) = start(0).await;
    eventually(|| !api.store.lock().statuses.is_empty()).await;
    let id = BackEndId::new("kasamahan", "gallery-1");
    let known = world
        .shell
        .with_node(|node| node.replica().back_end(&id).is_some());
    assert!(known, "the status came before the object was in force");
    let store = api.store.lock();
    let group = store.group.as_ref().expect("founded");
    assert_eq!(group["spec"]["generation"], 1);
    let founder = world.shell.identity().id.to_string();
    assert_eq!(group["spec"]["founder"], founder.as_str());
    let condition = &store.statuses[0]["conditions"][0];
    assert_eq!(condition["type"], "Accepted");
    assert_eq!(condition["status"], "True");
}

#[async_std::test]
async fn status_is_written_again_after_conflicts() {
    let (_world, api, _stop) = start(2).await;
    eventually(|| !api.store.lock().statuses.is_empty()).await;
    assert_eq!(api.store.lock().conflicts, 0);
}

#[async_std::test]
async fn every_request_carries_the_token() {
    let (_world, api, _stop) = start(0).await;
    eventually(|| !api.store.lock().statuses.is_empty()).await;
    let store = api.store.lock();
    let mut authorizations = store.authorizations.iter();
    assert!(authorizations.all(|value| value.as_deref() == Some("Bearer secret")));
}
