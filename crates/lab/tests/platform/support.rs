//! Helpers: an object API on loopback and a client for it.

use std::future::Future;
use std::time::Duration;

use async_std::net::TcpListener;
use serde_json::{Value, json};
use threadledge_lab::stand_in::object_api::{ObjectApi, ObjectApiSettings};
use threadledge_object_api::backoff::BackoffSettings;
use threadledge_object_api::{
    ObjectClient, ObjectKey, ResolveSettings, StoredObject, TransportSettings,
};
use threadledge_types::objects::BackEndObject;

pub const NAMESPACE: &str = "kauri";

/// Timeout that ends a hanging test. No test depends on durations.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test with a timeout. The future is boxed, because the executor copies
/// it several times on the stack.
pub fn run_with_timeout(test: impl Future<Output = ()>) {
    let bounded = async_std::future::timeout(TEST_TIMEOUT, Box::pin(test));
    let ended = async_std::task::block_on(bounded);
    ended.expect("the test hangs");
}

pub async fn listener() -> TcpListener {
    let bound = TcpListener::bind("127.0.0.1:0").await;
    bound.expect("a free port on loopback")
}

pub async fn start_object_api(settings: ObjectApiSettings) -> ObjectApi {
    ObjectApi::serve(listener().await, settings).expect("the listener has an address")
}

/// Starts an object API without objects, and returns it with a client.
pub async fn start_empty() -> (ObjectApi, ObjectClient) {
    let settings = ObjectApiSettings {
        bookmark_interval: Duration::from_millis(20),
        ..ObjectApiSettings::default()
    };
    let api = start_object_api(settings).await;
    let client = ObjectClient::new(api.address(), TransportSettings::default());
    (api, client)
}

pub fn back_end_json(namespace: &str, name: &str, port: u16) -> Value {
    json!({
        "apiVersion": "threadledge.dev/v1",
        "kind": "BackEnd",
        "metadata": { "namespace": namespace, "name": name },
        "spec": {
            "address": format!("127.0.0.1:{port}"),
            "controlAddress": format!("127.0.0.1:{}", port + 1),
            "zone": "nz-north-a", "slots": 3, "connections": 50,
        },
    })
}

pub fn back_end(name: &str, port: u16) -> BackEndObject {
    let object = back_end_json(NAMESPACE, name, port);
    serde_json::from_value(object).expect("a back end")
}

pub fn key(name: &str) -> ObjectKey {
    ObjectKey::new(NAMESPACE, name)
}

/// Returns the content of a valid object.
pub fn content(object: StoredObject<BackEndObject>) -> BackEndObject {
    object.content.expect("readable")
}

/// Returns the object with another number of slots.
pub fn with_slots(mut object: BackEndObject, slots: u32) -> BackEndObject {
    object.spec.slots = slots;
    object
}

pub async fn create(client: &ObjectClient, name: &str, port: u16) -> BackEndObject {
    let created = client.create(&back_end(name, port)).await;
    content(created.expect("the name is free"))
}

pub async fn read(client: &ObjectClient, name: &str) -> BackEndObject {
    let found = client.get::<BackEndObject>(&key(name)).await;
    content(found.expect("it exists"))
}

pub fn fast_backoff() -> BackoffSettings {
    BackoffSettings {
        initial: Duration::from_millis(5),
        max: Duration::from_millis(20),
    }
}

pub fn resolve_settings() -> ResolveSettings {
    ResolveSettings {
        max_attempts: 50,
        backoff: fast_backoff(),
        seed: 1,
    }
}
