//! Tests of a single watch connection.

use threadledge_lab::stand_in::object_api::{FaultCommand, ObjectApi};
use threadledge_object_api::{Event, EventStream, ObjectClient, PlatformErrorKind, Scope};
use threadledge_types::objects::BackEndObject;

use super::support::{create, key, run_with_timeout, start_empty, with_slots};

async fn watch(client: &ObjectClient, from: u64) -> EventStream<BackEndObject> {
    let watch = client.watch(&Scope::All, from).await;
    watch.expect("the version is kept")
}

/// Returns the next event other than a bookmark, as text.
async fn next(stream: &mut EventStream<BackEndObject>) -> String {
    loop {
        let event = stream.next().await.expect("not ended").expect("not broken");
        let (name, object) = match event {
            Event::Added(object) => ("added", object),
            Event::Modified(object) => ("modified", object),
            Event::Deleted(object) => ("deleted", object),
            Event::Bookmark(_) => continue,
            Event::Gone => return "gone".to_owned(),
        };
        return format!("{name} {} {}", object.key.name, object.resource_version);
    }
}

/// Starts an object API with one object at version 2.
async fn one_object() -> (ObjectApi, ObjectClient, BackEndObject) {
    let (api, client) = start_empty().await;
    let object = create(&client, "a", 1_000).await;
    (api, client, object)
}

#[test]
fn watch_delivers_every_change_after_its_version_in_order() {
    run_with_timeout(async {
        let (_api, client, object) = one_object().await;
        let mut early = watch(&client, 1).await;
        let mut late = watch(&client, 2).await;
        client
            .replace(&with_slots(object, 5))
            .await
            .expect("current");
        create(&client, "b", 2_000).await;
        client
            .delete::<BackEndObject>(&key("a"))
            .await
            .expect("there");
        assert_eq!(next(&mut early).await, "added a 2");
        for stream in [&mut early, &mut late] {
            assert_eq!(next(stream).await, "modified a 3");
            assert_eq!(next(stream).await, "added b 4");
            assert_eq!(next(stream).await, "deleted a 5");
        }
    });
}

#[test]
fn bookmarks_carry_the_current_version() {
    run_with_timeout(async {
        let (_api, client, _) = one_object().await;
        let mut stream = watch(&client, 2).await;
        let event = stream.next().await.expect("not ended").expect("not broken");
        assert!(matches!(event, Event::Bookmark(2)));
    });
}

#[test]
fn compacted_version_is_gone() {
    run_with_timeout(async {
        let (api, client, _) = one_object().await;
        api.inject_fault(&FaultCommand::Compact).expect("done");
        let error = client.watch::<BackEndObject>(&Scope::All, 1).await;
        let error = error.err().expect("compacted");
        assert_eq!(error.kind, PlatformErrorKind::Gone);
        watch(&client, 2).await;
    });
}

#[test]
fn version_newer_than_the_store_is_reported() {
    run_with_timeout(async {
        let (_api, client, _) = one_object().await;
        let error = client.watch::<BackEndObject>(&Scope::All, 99).await;
        let error = error.err().expect("ahead");
        assert_eq!(error.kind, PlatformErrorKind::StoreBehind);
    });
}

#[test]
fn watch_cut_by_a_fault_ends_or_fails() {
    run_with_timeout(async {
        let (api, client, _) = one_object().await;
        let mut stream = watch(&client, 2).await;
        api.inject_fault(&FaultCommand::CutWatches { abruptly: false })
            .expect("done");
        while let Some(event) = stream.next().await {
            assert!(matches!(event, Ok(Event::Bookmark(_))));
        }
        let mut stream = watch(&client, 2).await;
        api.inject_fault(&FaultCommand::CutWatches { abruptly: true })
            .expect("done");
        let error = loop {
            match stream.next().await.expect("an error comes before the end") {
                Ok(_) => {}
                Err(error) => break error,
            }
        };
        assert!(
            matches!(error.kind, PlatformErrorKind::ConnectionLost(_)),
            "{error}"
        );
    });
}

#[test]
fn watches_above_the_limit_are_refused_until_one_ends() {
    run_with_timeout(async {
        let (api, client, _) = one_object().await;
        api.inject_fault(&FaultCommand::LimitWatches(Some(1)))
            .expect("set");
        let first = watch(&client, 2).await;
        assert_eq!(api.watch_count(), 1);
        let refused = client.watch::<BackEndObject>(&Scope::All, 2).await;
        let error = refused.err().expect("limited");
        assert!(
            matches!(error.kind, PlatformErrorKind::TooManyRequests(_)),
            "{error}"
        );
        drop(first);
        while api.watch_count() > 0 {
            async_std::task::yield_now().await;
        }
        watch(&client, 2).await;
    });
}
