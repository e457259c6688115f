//! Tests of the store without a server: versions, generations, preconditions,
//! compaction and restore.

use serde_json::{Value, json};
use threadledge_lab::stand_in::object_api::operation::{Write, WriteTarget};
use threadledge_lab::stand_in::object_api::path::{
    Collection, ObjectPath, RESOURCES, Resource, Target,
};
use threadledge_lab::stand_in::object_api::store::ChangeKind;
use threadledge_lab::stand_in::object_api::{ApiError, ObjectStore};

use super::support::back_end_json;

const TIME: &str = "2026-01-01T00:00:00Z";

fn resource() -> Resource {
    RESOURCES[0]
}

fn collection(namespace: Option<&str>) -> Collection {
    Collection {
        resource: resource(),
        namespace: namespace.map(str::to_owned),
    }
}

fn path(name: &str) -> ObjectPath {
    ObjectPath {
        resource: resource(),
        namespace: "kauri".to_owned(),
        name: name.to_owned(),
    }
}

fn create(store: &mut ObjectStore, name: &str) -> Result<Value, ApiError> {
    let object = back_end_json("kauri", name, 1_000);
    let write = Write::create(&collection(Some("kauri")), object, TIME.to_owned())?;
    store.write(&write)
}

fn replace(store: &mut ObjectStore, target: WriteTarget, object: Value) -> Result<Value, ApiError> {
    let name = object["metadata"]["name"]
        .as_str()
        .expect("a name")
        .to_owned();
    let write = Write::replace(path(&name), target, object, TIME.to_owned())?;
    store.write(&write)
}

fn delete(store: &mut ObjectStore, name: &str, options: &Value) -> Result<Value, ApiError> {
    store.write(&Write::delete(path(name), options, TIME.to_owned()))
}

fn with_slots(object: &Value, slots: u32) -> Value {
    let mut object = object.clone();
    object["spec"]["slots"] = json!(slots);
    object
}

fn names(store: &ObjectStore) -> Vec<String> {
    let page = store.list(&collection(None), None, None).expect("current");
    let name = |object: &Value| {
        object["metadata"]["name"]
            .as_str()
            .expect("a name")
            .to_owned()
    };
    page.items.iter().map(name).collect()
}

#[test]
fn creation_sets_identity_generation_and_version() {
    let mut store = ObjectStore::new();
    let first = create(&mut store, "a").expect("free");
    let second = create(&mut store, "b").expect("free");
    assert_eq!(first["metadata"]["generation"], 1);
    assert_eq!(first["metadata"]["resourceVersion"], "2");
    assert_eq!(second["metadata"]["resourceVersion"], "3");
    assert_ne!(first["metadata"]["uid"], second["metadata"]["uid"]);
    assert_eq!(
        create(&mut store, "a").expect_err("taken").reason,
        "AlreadyExists"
    );
}

#[test]
fn only_a_change_of_the_spec_increments_the_generation() {
    let mut store = ObjectStore::new();
    let created = create(&mut store, "a").expect("free");
    let mut labelled = created.clone();
    labelled["metadata"]["labels"] = json!({ "app": "quote" });
    let labelled = replace(&mut store, WriteTarget::Spec, labelled).expect("current");
    assert_eq!(labelled["metadata"]["generation"], 1);
    let mut status = labelled.clone();
    status["status"] = json!({ "revision": "1.1" });
    status["spec"]["slots"] = json!(9);
    let status = replace(&mut store, WriteTarget::Status, status).expect("current");
    assert_eq!(status["metadata"]["generation"], 1);
    assert_eq!(
        status["spec"]["slots"], 3,
        "status writes do not change the spec"
    );
    let changed = replace(&mut store, WriteTarget::Spec, with_slots(&status, 4)).expect("current");
    assert_eq!(changed["metadata"]["generation"], 2);
    assert_eq!(changed["status"]["revision"], "1.1");
}

#[test]
fn write_on_an_older_version_conflicts_and_changes_nothing() {
    let mut store = ObjectStore::new();
    let created = create(&mut store, "a").expect("free");
    replace(&mut store, WriteTarget::Spec, with_slots(&created, 4)).expect("current");
    let version = store.version();
    let late = replace(&mut store, WriteTarget::Spec, with_slots(&created, 5));
    assert_eq!(late.expect_err("older").code, 409);
    assert_eq!(store.version(), version);
    let conditions = json!({ "preconditions": { "resourceVersion": "2" } });
    assert_eq!(
        delete(&mut store, "a", &conditions)
            .expect_err("older")
            .code,
        409
    );
}

#[test]
fn write_that_changes_nothing_creates_no_version() {
    let mut store = ObjectStore::new();
    let created = create(&mut store, "a").expect("free");
    replace(&mut store, WriteTarget::Spec, created).expect("current");
    assert_eq!(store.version(), 2);
}

#[test]
fn invalid_writes_are_rejected() {
    let wrong_kind = json!({ "apiVersion": "threadledge.dev/v1", "kind": "Pod",
        "metadata": { "name": "a" }, "spec": {} });
    let write = Write::create(&collection(Some("kauri")), wrong_kind, TIME.to_owned());
    assert_eq!(write.expect_err("kind").code, 422);
    let mut bad_labels = back_end_json("kauri", "a", 1);
    bad_labels["metadata"]["labels"] = json!({ "app": 3 });
    let write = Write::create(&collection(Some("kauri")), bad_labels, TIME.to_owned());
    assert_eq!(write.expect_err("labels are texts").code, 422);
    let elsewhere = back_end_json("other", "a", 1);
    let write = Write::create(&collection(Some("kauri")), elsewhere, TIME.to_owned());
    assert_eq!(write.expect_err("namespace").code, 422);
    let mut with_version = back_end_json("kauri", "a", 1);
    with_version["metadata"]["resourceVersion"] = json!("1");
    let write = Write::create(&collection(None), with_version, TIME.to_owned());
    let refused = ObjectStore::new().write(&write.expect("conventional"));
    assert_eq!(refused.expect_err("a new object has no version").code, 400);
}

#[test]
fn pages_of_one_list_show_one_version() {
    let mut store = ObjectStore::new();
    for name in ["a", "b", "c", "d"] {
        create(&mut store, name).expect("free");
    }
    let first = store
        .list(&collection(None), Some(2), None)
        .expect("current");
    let token = first.continue_token.expect("more to come");
    delete(&mut store, "d", &Value::Null).expect("there");
    create(&mut store, "bb").expect("free");
    let second = store
        .list(&collection(None), Some(2), Some(&token))
        .expect("kept");
    let name = |object: &Value| object["metadata"]["name"].clone();
    assert_eq!(
        second.items.iter().map(name).collect::<Vec<_>>(),
        ["c", "d"]
    );
    assert_eq!(
        (second.version, second.continue_token),
        (first.version, None)
    );
    store.compact(store.version());
    let late = store.list(&collection(None), Some(2), Some(&token));
    assert_eq!(late.expect_err("compacted").code, 410);
}

#[test]
fn changes_come_in_order_of_their_versions_from_the_collection_only() {
    let mut store = ObjectStore::new();
    create(&mut store, "a").expect("free");
    let b = create(&mut store, "b").expect("free");
    replace(&mut store, WriteTarget::Spec, with_slots(&b, 4)).expect("current");
    delete(&mut store, "a", &Value::Null).expect("there");
    let changes = store
        .changes_after(&collection(Some("kauri")), 2)
        .expect("kept");
    let brief = |change: &&threadledge_lab::stand_in::object_api::store::StoreChange| {
        (change.version, change.kind)
    };
    let expected = [
        (3, ChangeKind::Added),
        (4, ChangeKind::Modified),
        (5, ChangeKind::Deleted),
    ];
    assert_eq!(changes.iter().map(brief).collect::<Vec<_>>(), expected);
    assert_eq!(changes[2].object["metadata"]["resourceVersion"], "5");
    let other = store
        .changes_after(&collection(Some("other")), 2)
        .expect("kept");
    assert!(other.is_empty());
}

#[test]
fn compacted_and_future_versions_are_refused() {
    let mut store = ObjectStore::new();
    create(&mut store, "a").expect("free");
    create(&mut store, "b").expect("free");
    store.compact(2);
    let gone = store.changes_after(&collection(None), 1);
    assert_eq!(gone.expect_err("compacted").code, 410);
    assert_eq!(
        store
            .changes_after(&collection(None), 2)
            .expect("kept")
            .len(),
        1
    );
    let ahead = store
        .changes_after(&collection(None), 9)
        .expect_err("ahead");
    assert_eq!(ahead.code, 504);
    assert!(ahead.message.starts_with("Too large resource version"));
}

#[test]
fn restored_store_has_the_earlier_state_and_may_continue_at_higher_versions() {
    let mut store = ObjectStore::new();
    create(&mut store, "a").expect("free");
    create(&mut store, "b").expect("free");
    delete(&mut store, "a", &Value::Null).expect("there");
    let mut bumped = store.clone();
    store.restore(2, None).expect("kept");
    assert_eq!((names(&store), store.version()), (vec!["a".to_owned()], 2));
    let reused = create(&mut store, "c").expect("free");
    assert_eq!(reused["metadata"]["resourceVersion"], "3");
    bumped.restore(2, Some(1_000)).expect("kept");
    assert_eq!(
        (names(&bumped), bumped.version()),
        (vec!["a".to_owned()], 1_004)
    );
    let gone = bumped.changes_after(&collection(None), 4);
    assert_eq!(gone.expect_err("marked compacted").code, 410);
    assert_eq!(bumped.restore(2, None).expect_err("compacted").code, 410);
}

#[test]
fn paths_identify_collections_objects_and_statuses() {
    let api = "/apis/threadledge.dev/v1";
    let parse = |path: String| Target::parse(&path);
    let all = parse(format!("{api}/backends")).expect("a path");
    assert_eq!(all, Target::Collection(collection(None)));
    let object = parse(format!("{api}/namespaces/kauri/backends/a")).expect("a path");
    assert_eq!(object, Target::Object(path("a")));
    let status = parse(format!("{api}/namespaces/kauri/backends/a/status")).expect("a path");
    assert_eq!(status, Target::Status(path("a")));
    for wrong in [
        "/pods",
        "/backends/a",
        "/namespaces/kauri",
        "/namespaces/kauri/backends/a/scale",
    ] {
        assert_eq!(
            parse(format!("{api}{wrong}")).expect_err("no path").code,
            404,
            "{wrong}"
        );
    }
}
