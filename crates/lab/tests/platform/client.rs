//! Tests of the client's lists, reads and typed errors.

use std::time::Duration;

use serde_json::json;
use threadledge_lab::stand_in::object_api::operation::Write;
use threadledge_lab::stand_in::object_api::path::{Collection, RESOURCES};
use threadledge_lab::stand_in::object_api::{FaultCommand, ObjectApiSettings, ObjectStore};
use threadledge_object_api::{
    ObjectClient, PlatformErrorKind, Scope, TransportSettings, WriteEffect,
};
use threadledge_types::objects::{AcceptanceStatus, BackEndObject, KeyedServiceObject};

use super::support::{
    back_end, back_end_json, content, create, key, listener, read, run_with_timeout, start_empty,
    start_object_api, with_slots,
};

#[test]
fn object_is_created_updated_read_and_deleted() {
    run_with_timeout(async {
        let (_api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        let replaced = client
            .replace(&with_slots(created, 5))
            .await
            .expect("current");
        assert_eq!((replaced.generation, replaced.resource_version), (2, 3));
        let mut object = content(replaced);
        object.status = Some(AcceptanceStatus {
            revision: Some("1.7".to_owned()),
            ..AcceptanceStatus::default()
        });
        let with_status = client.replace_status(&object).await.expect("current");
        assert_eq!(with_status.generation, 2);
        let found = read(&client, "a").await;
        assert_eq!(found.spec.slots, 5);
        assert_eq!(
            found.status.and_then(|status| status.revision).as_deref(),
            Some("1.7")
        );
        client
            .delete::<BackEndObject>(&key("a"))
            .await
            .expect("there");
        let gone = client.get::<BackEndObject>(&key("a")).await;
        assert_eq!(gone.expect_err("deleted").kind, PlatformErrorKind::NotFound);
    });
}

#[test]
fn failed_preconditions_are_typed_errors_without_effect() {
    run_with_timeout(async {
        let (_api, client) = start_empty().await;
        let created = create(&client, "a", 1_000).await;
        let taken = client
            .create(&back_end("a", 1_000))
            .await
            .expect_err("taken");
        assert_eq!(taken.kind, PlatformErrorKind::AlreadyExists);
        client
            .replace(&with_slots(created.clone(), 5))
            .await
            .expect("current");
        let older = client
            .replace(&with_slots(created, 6))
            .await
            .expect_err("older");
        assert_eq!(older.kind, PlatformErrorKind::Conflict);
        assert_eq!(older.effect, WriteEffect::None);
    });
}

const TIME: &str = "2026-01-01T00:00:00Z";

/// Creates more objects than fit on a page, so that the client has to
/// paginate.
fn many_objects(count: usize) -> ObjectStore {
    let mut store = ObjectStore::new();
    let collection = Collection {
        resource: RESOURCES[0],
        namespace: None,
    };
    for number in 0..count {
        let object = back_end_json("kauri", &format!("a-{number:05}"), 1_000);
        let write = Write::create(&collection, object, TIME.to_owned()).expect("conventional");
        store.write(&write).expect("free");
    }
    store
}

#[test]
fn list_of_many_pages_is_complete() {
    run_with_timeout(async {
        let settings = ObjectApiSettings {
            store: many_objects(1_203),
            ..ObjectApiSettings::default()
        };
        let api = start_object_api(settings).await;
        let client = ObjectClient::new(api.address(), TransportSettings::default());
        let listed = client.list::<BackEndObject>(&Scope::All).await.expect("up");
        assert_eq!(listed.items.len(), 1_203);
        assert_eq!(listed.resource_version, api.version());
        assert!(listed.items.is_sorted_by_key(|item| item.key.clone()));
        let other = Scope::Namespace("other".to_owned());
        let listed = client.list::<BackEndObject>(&other).await.expect("up");
        assert!(listed.items.is_empty());
        let services = client.list::<KeyedServiceObject>(&Scope::All).await;
        assert!(services.expect("up").items.is_empty());
    });
}

#[test]
fn unreadable_object_hides_no_other() {
    run_with_timeout(async {
        let mut store = many_objects(1);
        let collection = Collection {
            resource: RESOURCES[0],
            namespace: None,
        };
        let mut object = back_end_json("other", "bad", 1_000);
        object["spec"]["address"] = json!("db.example.org:80");
        let write = Write::create(&collection, object, TIME.to_owned()).expect("conventional");
        store.write(&write).expect("free");
        let settings = ObjectApiSettings {
            store,
            ..ObjectApiSettings::default()
        };
        let api = start_object_api(settings).await;
        let client = ObjectClient::new(api.address(), TransportSettings::default());
        let listed = client.list::<BackEndObject>(&Scope::All).await.expect("up");
        assert!(listed.items[0].content.is_ok());
        let problem = listed.items[1].content.as_ref().expect_err("no IP address");
        assert_eq!(problem.field, "spec.address");
    });
}

#[test]
fn missing_platform_is_unreachable_and_writes_have_no_effect() {
    run_with_timeout(async {
        let listener = listener().await;
        let address = listener.local_addr().expect("bound");
        drop(listener);
        let client = ObjectClient::new(address, TransportSettings::default());
        let error = client
            .create(&back_end("a", 1_000))
            .await
            .expect_err("gone");
        assert!(
            matches!(error.kind, PlatformErrorKind::Unreachable(_)),
            "{error}"
        );
        assert_eq!(error.effect, WriteEffect::None);
    });
}

#[test]
fn platform_that_is_down_loses_the_connection_until_it_is_up() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        api.inject_fault(&FaultCommand::Down(true)).expect("set");
        let error = client
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect_err("down");
        assert!(
            matches!(error.kind, PlatformErrorKind::ConnectionLost(_)),
            "{error}"
        );
        let error = client
            .create(&back_end("a", 1_000))
            .await
            .expect_err("down");
        assert_eq!(
            error.effect,
            WriteEffect::Ambiguous,
            "the client cannot know"
        );
        api.inject_fault(&FaultCommand::Down(false)).expect("set");
        create(&client, "a", 1_000).await;
    });
}

#[test]
fn platform_that_is_slow_times_out_with_unknown_effect() {
    run_with_timeout(async {
        let (api, _) = start_empty().await;
        let settings = TransportSettings {
            response_timeout: Duration::from_millis(50),
            ..TransportSettings::default()
        };
        let client = ObjectClient::new(api.address(), settings);
        api.inject_fault(&FaultCommand::Slow(60_000)).expect("set");
        let error = client
            .create(&back_end("a", 1_000))
            .await
            .expect_err("slow");
        assert!(
            matches!(error.kind, PlatformErrorKind::TimedOut(_)),
            "{error}"
        );
        assert_eq!(error.effect, WriteEffect::Ambiguous);
        let error = client
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect_err("slow");
        assert_eq!(error.effect, WriteEffect::None, "reads have none");
    });
}

#[test]
fn rate_limited_read_reports_when_to_retry() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        api.inject_fault(&FaultCommand::RefuseReads(1))
            .expect("set");
        let error = client
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect_err("limited");
        assert_eq!(error.retry_after(), Some(Duration::from_secs(1)));
        client
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect("one only");
    });
}

#[test]
fn response_above_the_size_limit_is_rejected() {
    run_with_timeout(async {
        let settings = ObjectApiSettings {
            store: many_objects(50),
            ..ObjectApiSettings::default()
        };
        let api = start_object_api(settings).await;
        let settings = TransportSettings {
            max_response_bytes: 1_000,
            ..TransportSettings::default()
        };
        let client = ObjectClient::new(api.address(), settings);
        let error = client
            .list::<BackEndObject>(&Scope::All)
            .await
            .expect_err("large");
        assert_eq!(error.kind, PlatformErrorKind::TooLarge(1_000));
    });
}
