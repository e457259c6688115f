//! Tests of object validation: all problems of an object are reported, each
//! with its field.

use serde_json::{Value, json};
use threadledge_types::objects::{BackEndObject, KeyedServiceObject};
use threadledge_types::validation::{
    AddressClaims, HostClaims, ObjectSet, Problem, ProblemKind, is_for_region, parse_object,
    split_document, validate_back_end, validate_service,
};
use threadledge_types::{RegionName, ServiceId};

fn back_end() -> Value {
    json!({
        "apiVersion": "threadledge.dev/v1",
        "kind": "BackEnd",
        "metadata": {
            "namespace": "kauri", "name": "quote-01", "resourceVersion": "7", "generation": 2,
            "labels": { "app": "quote" },
        },
        "spec": {
            "address": "127.0.0.1:22000", "controlAddress": "127.0.0.1:22100",
            "zone": "nz-north-a", "slots": 3, "connections": 50,
        },
    })
}

fn service() -> Value {
    json!({
        "apiVersion": "threadledge.dev/v1",
        "kind": "KeyedService",
        "metadata": { "namespace": "kauri", "name": "quote" },
        "spec": {
            "region": "nz-north",
            "hosts": ["quote.example.org"],
            "backEndSelector": { "matchLabels": { "app": "quote" } },
            "routes": [{ "name": "price", "pathPrefix": "/", "key": { "header": "x-project-id" } }],
        },
    })
}

/// Returns `object` with the value at a JSON pointer replaced.
fn with(mut object: Value, pointer: &str, value: Value) -> Value {
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = object.pointer_mut(parent).expect("the parent exists");
    match parent {
        Value::Array(items) => items[field.parse::<usize>().expect("an index")] = value,
        parent => parent[field] = value,
    }
    object
}

fn back_end_problems(object: &Value) -> Vec<Problem> {
    let object: BackEndObject = parse_object("BackEnd", object).expect("an object that parses");
    validate_back_end(&object).err().unwrap_or_default()
}

fn service_problems(object: &Value) -> Vec<Problem> {
    let object: KeyedServiceObject =
        parse_object("KeyedService", object).expect("an object that parses");
    validate_service(&object).err().unwrap_or_default()
}

/// Returns the field and reason of each problem, in order.
fn summary(problems: &[Problem]) -> Vec<(&str, &str)> {
    let pair = |problem| {
        let Problem { field, kind, .. }: &Problem = problem;
        (field.as_str(), kind.reason())
    };
    problems.iter().map(pair).collect()
}

#[test]
fn valid_back_end_is_converted_to_a_record() {
    let object: BackEndObject =
        parse_object("BackEnd", &back_end()).expect("an object that parses");
    let record = validate_back_end(&object).expect("valid");
    assert_eq!(record.id.to_string(), "kauri/quote-01");
    assert_eq!(record.labels["app"], "quote");
    assert_eq!((record.resource_version, record.object_generation), (7, 2));
}

#[test]
fn all_problems_of_a_back_end_are_reported() {
    let mut object = back_end();
    object["metadata"]["name"] = json!("Quote_01");
    object["metadata"]["labels"] = json!({ "app": "a b" });
    object["metadata"]["resourceVersion"] = json!("x");
    object["spec"] = json!({
        "address": "0.0.0.0:80", "controlAddress": "10.0.0.1:0", "zone": "", "slots": 0,
        "connections": 0,
    });
    let problems = back_end_problems(&object);
    let expected = [
        ("metadata.name", "InvalidName"),
        ("metadata.labels[app]", "InvalidLabel"),
        ("metadata.resourceVersion", "InvalidVersion"),
        ("spec.address", "UnusableAddress"),
        ("spec.controlAddress", "UnusableAddress"),
        ("spec.zone", "MissingField"),
        ("spec.slots", "OutOfRange"),
        ("spec.connections", "OutOfRange"),
    ];
    assert_eq!(summary(&problems), expected);
}

#[test]
fn fewer_connections_than_slots_is_a_problem() {
    let object = with(back_end(), "/spec/connections", json!(2));
    let expected = [("spec.connections", "FewerConnectionsThanSlots")];
    assert_eq!(summary(&back_end_problems(&object)), expected);
}

#[test]
fn objects_in_the_reserved_namespace_are_rejected() {
    let object = with(
        back_end(),
        "/metadata/namespace",
        json!("threadledge-system"),
    );
    let expected = [("metadata.namespace", "ReservedNamespace")];
    assert_eq!(summary(&back_end_problems(&object)), expected);
}

#[test]
fn parse_error_names_the_field() {
    let host_name = with(back_end(), "/spec/address", json!("db.example.org:80"));
    let problem = parse_object::<BackEndObject>("BackEnd", &host_name).expect_err("no IP");
    assert_eq!(problem.field, "spec.address");
    assert_eq!(problem.kind.reason(), "NotAnAddress");
    let unknown = with(back_end(), "/spec/slotz", json!(3));
    let problem = parse_object::<BackEndObject>("BackEnd", &unknown).expect_err("unknown field");
    assert!(
        problem.to_string().contains("kauri/quote-01: spec"),
        "{problem}"
    );
    assert_eq!(problem.kind.reason(), "Unreadable");
}

#[test]
fn valid_service_gets_default_values() {
    let object: KeyedServiceObject =
        parse_object("KeyedService", &service()).expect("an object that parses");
    let record = validate_service(&object).expect("valid");
    assert_eq!(record.spec.routes[0].deadline_ms, 2_000);
    assert!(is_for_region(&record.spec, &RegionName::from("nz-north")));
    assert!(!is_for_region(&record.spec, &RegionName::from("luzon")));
}

#[test]
fn each_service_problem_names_its_field() {
    let cases = [
        ("/spec/region", json!(""), "spec.region", "MissingField"),
        ("/spec/hosts", json!([]), "spec.hosts", "MissingField"),
        (
            "/spec/hosts",
            json!(["a.b:80"]),
            "spec.hosts[0]",
            "InvalidHost",
        ),
        (
            "/spec/hosts",
            json!(["A.b"]),
            "spec.hosts[0]",
            "InvalidHost",
        ),
        (
            "/spec/hosts",
            json!(["a.b", "a.b"]),
            "spec.hosts[1]",
            "Duplicate",
        ),
        ("/spec/routes", json!([]), "spec.routes", "MissingField"),
        (
            "/spec/routes/0/name",
            json!("A"),
            "spec.routes[0].name",
            "InvalidName",
        ),
        (
            "/spec/routes/0/pathPrefix",
            json!("v1"),
            "spec.routes[0].pathPrefix",
            "InvalidPathPrefix",
        ),
        (
            "/spec/routes/0/pathPrefix",
            json!("/a//b"),
            "spec.routes[0].pathPrefix",
            "InvalidPathPrefix",
        ),
        (
            "/spec/routes/0/pathPrefix",
            json!("/a/../b"),
            "spec.routes[0].pathPrefix",
            "InvalidPathPrefix",
        ),
        (
            "/spec/routes/0/pathPrefix",
            json!("/a?b"),
            "spec.routes[0].pathPrefix",
            "InvalidPathPrefix",
        ),
        (
            "/spec/routes/0/methods",
            json!(["get"]),
            "spec.routes[0].methods[0]",
            "InvalidMethod",
        ),
        (
            "/spec/routes/0/methods",
            json!(["GET", "GET"]),
            "spec.routes[0].methods[1]",
            "Duplicate",
        ),
        (
            "/spec/routes/0/key",
            json!({ "header": "x y" }),
            "spec.routes[0].key.header",
            "InvalidHeader",
        ),
        (
            "/spec/routes/0/key",
            json!({ "header": "Connection" }),
            "spec.routes[0].key.header",
            "InvalidHeader",
        ),
        (
            "/spec/routes/0/key",
            json!({ "header": "threadledge-epoch" }),
            "spec.routes[0].key.header",
            "InvalidHeader",
        ),
        (
            "/spec/routes/0/key",
            json!({ "queryParameter": "" }),
            "spec.routes[0].key.queryParameter",
            "MissingField",
        ),
        (
            "/spec/routes/0/key",
            json!({ "pathSegment": 99 }),
            "spec.routes[0].key.pathSegment",
            "OutOfRange",
        ),
        (
            "/spec/routes/0/deadlineMs",
            json!(0),
            "spec.routes[0].deadlineMs",
            "OutOfRange",
        ),
        (
            "/spec/routes/0/deadlineMs",
            json!(600_001),
            "spec.routes[0].deadlineMs",
            "OutOfRange",
        ),
        (
            "/spec/placement",
            json!({ "toleratedImbalance": 0.9 }),
            "spec.placement.toleratedImbalance",
            "OutOfRange",
        ),
        (
            "/spec/placement",
            json!({ "churnBudgetPerMinute": 1.5 }),
            "spec.placement.churnBudgetPerMinute",
            "OutOfRange",
        ),
        (
            "/spec/placement",
            json!({ "slicesPerBackEnd": 0 }),
            "spec.placement.slicesPerBackEnd",
            "OutOfRange",
        ),
    ];
    for (pointer, value, field, reason) in cases {
        let object = with(service(), pointer, value.clone());
        let problems = service_problems(&object);
        assert_eq!(summary(&problems), [(field, reason)], "{pointer} = {value}");
    }
}

#[test]
fn each_selector_problem_names_its_field() {
    let expressions = json!({ "matchExpressions": [
        { "key": "app", "operator": "In", "values": [] },
        { "key": "app", "operator": "Exists", "values": ["x"] },
        { "key": "app", "operator": "Near", "values": ["x"] },
        { "key": "-", "operator": "Exists" },
    ], "matchLabels": { "a": "b c" } });
    let problems = service_problems(&with(service(), "/spec/backEndSelector", expressions));
    let expected = [
        ("spec.backEndSelector.matchLabels[a]", "InvalidLabel"),
        (
            "spec.backEndSelector.matchExpressions[0]",
            "InvalidSelector",
        ),
        (
            "spec.backEndSelector.matchExpressions[1]",
            "InvalidSelector",
        ),
        (
            "spec.backEndSelector.matchExpressions[2]",
            "InvalidSelector",
        ),
        ("spec.backEndSelector.matchExpressions[3]", "InvalidLabel"),
    ];
    assert_eq!(summary(&problems), expected);
}

#[test]
fn route_shadowed_by_an_earlier_one_is_reported() {
    let key = json!({ "header": "x-id" });
    let routes = json!([
        { "name": "reads", "pathPrefix": "/v1", "methods": ["GET"], "key": key },
        { "name": "writes", "pathPrefix": "/v1", "methods": ["POST"], "key": key },
        { "name": "beside", "pathPrefix": "/v10", "methods": ["GET"], "key": key },
        { "name": "hidden", "pathPrefix": "/v1/a", "methods": ["GET"], "key": key },
        { "name": "reads", "pathPrefix": "/v2", "key": key },
    ]);
    let problems = service_problems(&with(service(), "/spec/routes", routes));
    let expected = [
        ("spec.routes[3]", "ShadowedRoute"),
        ("spec.routes[4].name", "Duplicate"),
    ];
    assert_eq!(summary(&problems), expected);
}

#[test]
fn host_belongs_to_the_first_claim_until_released() {
    let object: KeyedServiceObject =
        parse_object("KeyedService", &service()).expect("an object that parses");
    let first = validate_service(&object).expect("valid");
    let mut second = first.clone();
    second.id = ServiceId::new("other", "quote");
    let mut claims = HostClaims::new();
    claims.claim(&first).expect("free");
    let problems = claims.claim(&second).expect_err("taken");
    assert_eq!(summary(&problems), [("spec.hosts[0]", "HostClaimed")]);
    claims.claim(&first).expect("already its own");
    let mut moved = first.clone();
    moved.spec.hosts = vec!["new.example.org".to_owned()];
    claims.claim(&moved).expect("free");
    claims.claim(&second).expect("released by the first");
    claims.release(&second.id);
    assert_eq!(claims.owner("quote.example.org"), None);
    assert_eq!(claims.owner("new.example.org"), Some(&first.id));
}

#[test]
fn address_of_another_back_end_is_rejected() {
    let object: BackEndObject =
        parse_object("BackEnd", &back_end()).expect("an object that parses");
    let first = validate_back_end(&object).expect("valid");
    let mut second = first.clone();
    second.id.namespace = "other".to_owned();
    second.spec.address = "127.0.0.1:1".parse().expect("an address");
    let mut claims = AddressClaims::new();
    claims.claim(&first).expect("free");
    let problems = claims.claim(&second).expect_err("taken");
    assert_eq!(
        summary(&problems),
        [("spec.controlAddress", "AddressClaimed")]
    );
    claims.release(&first.id);
    claims.claim(&second).expect("released");
}

#[test]
fn object_set_reports_conflicts_between_objects() {
    let mut set = ObjectSet::new();
    set.add(&back_end()).expect("valid");
    set.add(&service()).expect("valid");
    assert_eq!(set.cross_object_problems(), []);
    let duplicate = set.add(&back_end()).expect_err("the same name");
    assert_eq!(summary(&duplicate), [("metadata.name", "Duplicate")]);
    let mut other = with(service(), "/metadata/name", json!("other"));
    other["spec"]["hosts"] = json!(["other.example.org"]);
    other["spec"]["backEndSelector"] = json!({ "matchLabels": { "app": "other" } });
    set.add(&other).expect("valid by itself");
    let problems = set.cross_object_problems();
    assert_eq!(
        summary(&problems),
        [("spec.backEndSelector", "NothingSelected")]
    );
    let unknown = set.add(&json!({ "apiVersion": "v2", "kind": "Pod" }));
    let unknown = unknown.expect_err("neither is known");
    assert_eq!(
        summary(&unknown),
        [("apiVersion", "UnknownVersion"), ("kind", "UnknownKind")]
    );
}

#[test]
fn service_selects_only_within_its_namespace() {
    let mut set = ObjectSet::new();
    set.add(&with(back_end(), "/metadata/namespace", json!("other")))
        .expect("valid");
    set.add(&service()).expect("valid");
    let service = set.services().next().expect("one service");
    assert_eq!(set.selected(service).count(), 0);
}

#[test]
fn document_is_split_into_its_objects() {
    assert_eq!(split_document(service()), [service()]);
    let list = json!({ "kind": "List", "items": [service(), back_end()] });
    assert_eq!(split_document(list), [service(), back_end()]);
}

#[test]
fn problem_text_ends_with_the_remedy() {
    let problem = Problem {
        object: threadledge_types::validation::ObjectReference::new("BackEnd", "a", "b"),
        field: "spec.zone".to_owned(),
        kind: ProblemKind::Empty,
    };
    assert_eq!(
        problem.to_string(),
        "BackEnd a/b: spec.zone: is missing or empty; give it a value"
    );
}
