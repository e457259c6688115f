//! Back ends in other regions, and requests that must not leave certain
//! regions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::{Fault, Outcome, RefusalReason, Step};
use threadledge_types::RegionName;
use threadledge_types::deployment::{KeyDigest, Route, Tenant, Topology};

use super::support::{Harness, answered, back_end, configuration, fault, is_refused, route};

/// A router in `zone`. The zones `near` and `beside` are in the region `home`,
/// `far` and `farther` in `away`.
fn harness_in(zone: &str) -> Harness {
    let regions = [
        ("near", "home"),
        ("beside", "home"),
        ("far", "away"),
        ("farther", "away"),
    ];
    let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
    let topology = Topology::new(zone.into(), None, BTreeMap::from(regions));
    let mut harness = Harness::at(topology, 1);
    harness
        .back_ends
        .push(back_end("p-beside", "plain", "beside", 5));
    harness.publish_back_ends();
    harness
}

fn only(regions: &[&str]) -> Option<BTreeSet<RegionName>> {
    Some(regions.iter().map(|region| (*region).into()).collect())
}

fn restrict(harness: &mut Harness, regions: &[&str]) {
    let restricted = |name, service| Route {
        allowed_regions: only(regions),
        ..route(name, service, true)
    };
    let routes = vec![
        restricted("safe", "plain"),
        restricted("keyed", "keyed"),
        route("free", "plain", true),
    ];
    assert!(harness.configure(configuration(2, routes)));
}

/// Starts and sends requests until one is not sent at once. Returns the back
/// ends that they were sent to.
fn fill(harness: &mut Harness, route: &str) -> Vec<String> {
    let mut sent = Vec::new();
    while sent.len() < 100 {
        let begun = harness.begin(route).expect("admitted");
        let Step::Send(attempt) = harness.next(&begun) else {
            break;
        };
        let now = harness.now;
        assert!(harness.dispatcher.may_send(now, begun.id, attempt.id));
        sent.push(attempt.back_end.as_str().to_owned());
    }
    sent
}

#[test]
fn other_region_is_used_only_if_the_local_one_is_too_slow() {
    let mut harness = harness_in("near");
    harness.answer_one("safe", 60);
    let sent = fill(&mut harness, "safe");
    let first_far = sent.iter().position(|name| name == "p-far");
    let first_far = first_far.expect("the other region helps out");
    let (home, away) = sent.split_at(first_far);
    assert!(home.iter().any(|name| name == "p-near"), "{sent:?}");
    assert!(home.iter().any(|name| name == "p-beside"), "{sent:?}");
    assert!(away.iter().all(|name| name == "p-far"), "{sent:?}");
}

#[test]
fn without_regions_zones_are_alike() {
    let mut harness = Harness::new();
    harness.answer_one("safe", 60);
    let sent = fill(&mut harness, "safe");
    let first_far = sent.iter().position(|name| name == "p-far").expect("used");
    let later = &sent[first_far..];
    assert!(later.iter().any(|name| name == "p-near"), "{sent:?}");
}

#[test]
fn repeats_and_hedges_stay_in_the_region_while_it_serves() {
    let mut harness = harness_in("near");
    for _ in 0..20 {
        harness.answer_one("safe", 20);
    }
    let begun = harness.begin("safe").expect("admitted");
    let first = harness.send(&begun);
    assert_eq!(
        harness.end(&begun, &first, fault(Fault::Unreachable)),
        NextAction::CallNext
    );
    let second = harness.send(&begun);
    let names = [first.back_end.as_str(), second.back_end.as_str()];
    assert!(!names.contains(&"p-far"), "{names:?}");
    harness.end(&begun, &second, answered());
}

#[test]
fn restricted_requests_go_to_their_regions_only() {
    for (zone, region, allowed) in [
        ("near", "home", vec!["p-near", "p-beside"]),
        ("near", "away", vec!["p-far"]),
        ("far", "home", vec!["p-near", "p-beside"]),
    ] {
        let mut harness = harness_in(zone);
        restrict(&mut harness, &[region]);
        let sent = fill(&mut harness, "safe");
        assert!(!sent.is_empty());
        for name in &sent {
            assert!(allowed.contains(&name.as_str()), "{zone} {region} {sent:?}");
        }
    }
}

#[test]
fn retries_and_hedges_of_a_restricted_request_stay_in_its_region() {
    let mut harness = harness_in("near");
    restrict(&mut harness, &["away"]);
    let begun = harness.begin("safe").expect("admitted");
    let first = harness.send(&begun);
    assert_eq!(first.back_end, "p-far".into());
    let Step::Wait(hedge_at) = harness.next(&begun) else {
        panic!("it waits for the answer");
    };
    harness.now = hedge_at;
    let step = harness.next(&begun);
    assert!(matches!(step, Step::Wait(_)), "no other there: {step:?}");
    harness.end(&begun, &first, fault(Fault::Unreachable));
    for _ in 0..5 {
        match harness.next(&begun) {
            Step::Send(again) => {
                assert_eq!(again.back_end, "p-far".into());
                harness.end(&begun, &again, fault(Fault::Unreachable));
            }
            Step::Wait(until) => harness.now = until,
            step => {
                assert!(is_refused(&step), "{step:?}");
                return;
            }
        }
    }
}

#[test]
fn route_and_tenant_must_both_allow_a_region() {
    let mut harness = harness_in("near");
    let mut restricted = configuration(2, Vec::new());
    let home_or_away = Route {
        allowed_regions: only(&["home", "away"]),
        ..route("safe", "plain", true)
    };
    let routes = [home_or_away, route("free", "plain", true)];
    restricted.routes = routes.into_iter().map(Arc::new).collect();
    for (name, region) in [("in-both", "away"), ("in-none", "elsewhere")] {
        let tenant = Tenant {
            keys: BTreeSet::from([KeyDigest::of(name.as_bytes())]),
            allowed_regions: only(&[region]),
            ..Tenant::default()
        };
        restricted.tenants.insert(name.into(), tenant);
    }
    assert!(harness.configure(restricted));
    let key = KeyDigest::of(b"in-both");
    for name in ["safe", "free"] {
        let begun = harness
            .begin_by(name, None, Duration::ZERO, Some(&key))
            .expect("admitted");
        assert_eq!(harness.send(&begun).back_end, "p-far".into());
    }
    let key = KeyDigest::of(b"in-none");
    let refusal = harness.begin_by("safe", None, Duration::ZERO, Some(&key));
    let refusal = refusal.expect_err("no region is left");
    assert_eq!(refusal.reason, RefusalReason::OutsideRegions);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn key_held_in_another_region_is_refused_at_once() {
    let mut harness = harness_in("near");
    restrict(&mut harness, &["away"]);
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Finish(Outcome::Refused(refusal)) = harness.next(&begun) else {
        panic!("its owner is k-1, at home");
    };
    assert_eq!(refusal.reason, RefusalReason::OutsideRegions);
    let begun = harness.begin_with("keyed", Some(60_000)).expect("admitted");
    assert_eq!(harness.send(&begun).back_end, "k-2".into());
}

#[test]
fn restricted_requests_do_not_go_to_a_zone_without_a_region() {
    let mut harness = harness_in("near");
    harness.back_ends = vec![back_end("p-lost", "plain", "nowhere", 6)];
    harness.publish_back_ends();
    restrict(&mut harness, &["home", "away"]);
    let begun = harness.begin("safe").expect("admitted");
    let Step::Wait(until) = harness.next(&begun) else {
        panic!("one of its regions may come");
    };
    harness.now = until;
    assert!(is_refused(&harness.next(&begun)));
    let begun = harness.begin("free").expect("admitted");
    assert_eq!(harness.send(&begun).back_end, "p-lost".into());
}

#[test]
fn gateway_of_another_region_must_not_record_a_restricted_request() {
    for (zone, in_transit) in [("near", true), ("far", false)] {
        let mut harness = harness_in(zone);
        restrict(&mut harness, &["away"]);
        assert_eq!(
            harness.begin("safe").expect("admitted").in_transit,
            in_transit
        );
        assert!(!harness.begin("free").expect("admitted").in_transit);
    }
}

#[test]
fn label_of_a_restricted_request_contains_only_the_route() {
    let mut harness = harness_in("near");
    restrict(&mut harness, &["home"]);
    for (name, expected_label) in [
        ("safe", "GET route safe"),
        ("free", "GET host.example/free/x"),
    ] {
        let begun = harness.begin(name).expect("admitted");
        let attempt = harness.send(&begun);
        harness.end(&begun, &attempt, fault(Fault::Broken));
        harness.dispatcher.process_ended(&attempt.back_end);
        let crashes = harness.dispatcher.take_crashes();
        let labels: Vec<&str> = crashes.iter().map(|found| found.label.as_str()).collect();
        assert_eq!(labels, [expected_label]);
    }
}
