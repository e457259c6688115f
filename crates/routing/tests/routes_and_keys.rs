//! Matching of requests to routes, and extraction of their keys.

mod common;

use common::*;
use threadledge_routing::host::normalize_host;
use threadledge_routing::{MatchedRoute, RequestHead, RoutingTable};
use threadledge_types::objects::{KeySource, RouteRule};
use threadledge_types::{NotRunReason, hash_key};

fn table(routes: Vec<RouteRule>) -> RoutingTable {
    let mut table = RoutingTable::new();
    let records = full(1, vec![service("a/s", "S.test", routes)]);
    table.apply(&records).expect("fits");
    table
}

fn find(
    table: &RoutingTable,
    method: &str,
    path: &str,
    query: Option<&str>,
) -> Result<MatchedRoute, NotRunReason> {
    let request = RequestHead {
        query,
        ..head(method, path, &[("X-Key", " 7 ")])
    };
    table.match_request(&request)
}

fn with_key(key: KeySource) -> RoutingTable {
    table(vec![RouteRule {
        key,
        ..route("r", "/")
    }])
}

#[test]
fn hosts_are_matched_without_case_port_and_final_dot() {
    for host in ["a.Test", "a.test:8080", "A.TEST.", "a.test.:1"] {
        assert_eq!(normalize_host(host), "a.test");
    }
    assert_eq!(normalize_host("[::1]:80"), "[::1]");
}

#[test]
fn an_unknown_host_has_no_route() {
    let table = table(vec![route("r", "/")]);
    let request = RequestHead {
        host: "other.test",
        ..head("GET", "/", &NO_HEADERS)
    };
    assert_eq!(table.match_request(&request), Err(NotRunReason::NoRoute));
}

#[test]
fn prefixes_match_whole_segments_and_the_first_route_wins() {
    let table = table(vec![route("orders", "/orders/"), route("rest", "/o")]);
    let name = |path| find(&table, "GET", path, Some("key=k")).map(|found| found.route);
    assert_eq!(name("/orders").as_deref(), Ok("orders"));
    assert_eq!(name("/orders/7").as_deref(), Ok("orders"));
    assert_eq!(name("/o/orders").as_deref(), Ok("rest"));
    assert_eq!(name("/orders-old"), Err(NotRunReason::NoRoute));
}

#[test]
fn services_of_one_host_share_it_by_the_longest_prefix() {
    let mut table = RoutingTable::new();
    let all = service("a/all", "s.test", vec![route("all", "/")]);
    let mail = service("a/mail", "s.test", vec![route("mail", "/mail")]);
    table.apply(&full(1, vec![all, mail])).expect("fits");
    let name = |path| find(&table, "GET", path, Some("key=k")).map(|found| found.route);
    assert_eq!(name("/mail/1").as_deref(), Ok("mail"));
    assert_eq!(name("/other").as_deref(), Ok("all"));
}

#[test]
fn only_safe_methods_are_repeatable_unless_the_route_says_so() {
    let by_default = table(vec![route("r", "/")]);
    let repeatable = |table: &RoutingTable, method| {
        let found = find(table, method, "/", Some("key=k"));
        found.map(|found| found.repeatable)
    };
    assert_eq!(repeatable(&by_default, "GET"), Ok(true));
    assert_eq!(repeatable(&by_default, "POST"), Ok(false));
    let never = table(vec![RouteRule {
        repeatable: Some(false),
        ..route("r", "/")
    }]);
    assert_eq!(repeatable(&never, "GET"), Ok(false));
}

#[test]
fn a_route_with_methods_covers_only_those() {
    let table = table(vec![RouteRule {
        methods: vec!["POST".to_owned()],
        ..route("r", "/")
    }]);
    assert!(find(&table, "POST", "/", Some("key=k")).is_ok());
    let refused = find(&table, "GET", "/", Some("key=k"));
    assert_eq!(refused, Err(NotRunReason::NoRoute));
}

#[test]
fn keys_are_found_in_headers_segments_and_queries() {
    let point = |table: &RoutingTable, path, query| {
        let found = find(table, "GET", path, query);
        found.map(|found| found.point)
    };
    let header = with_key(KeySource::Header("x-key".to_owned()));
    assert_eq!(point(&header, "/", None), Ok(hash_key(b"7")));
    let segment = with_key(KeySource::PathSegment(1));
    assert_eq!(point(&segment, "/m/a%20b/c", None), Ok(hash_key(b"a b")));
    let query = with_key(KeySource::QueryParameter("key".to_owned()));
    for spelling in ["x=1&key=a+b", "key=a%20b", "k%65y=a%20b&y"] {
        assert_eq!(point(&query, "/", Some(spelling)), Ok(hash_key(b"a b")));
    }
}

#[test]
fn a_missing_or_empty_key_is_refused() {
    let query = with_key(KeySource::QueryParameter("key".to_owned()));
    for spelling in [None, Some(""), Some("key"), Some("key="), Some("keys=1")] {
        let found = find(&query, "GET", "/", spelling);
        assert_eq!(found, Err(NotRunReason::MissingKey), "{spelling:?}");
    }
    let segment = with_key(KeySource::PathSegment(2));
    for path in ["/", "/a/b", "/a/b/", "/a//"] {
        let found = find(&segment, "GET", path, None);
        assert_eq!(found, Err(NotRunReason::MissingKey), "{path}");
    }
    let header = with_key(KeySource::Header("absent".to_owned()));
    let found = find(&header, "GET", "/", None);
    assert_eq!(found, Err(NotRunReason::MissingKey));
}

#[test]
fn a_key_that_can_be_read_in_two_ways_is_refused() {
    let query = with_key(KeySource::QueryParameter("key".to_owned()));
    for spelling in ["key=1&key=2", "key=%", "key=%4", "key=%zz"] {
        let found = find(&query, "GET", "/", Some(spelling));
        assert_eq!(found, Err(NotRunReason::Malformed), "{spelling}");
    }
    assert!(find(&query, "GET", "/", Some("key=1&key=%31")).is_ok());
}
