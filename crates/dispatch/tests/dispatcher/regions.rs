//! Back ends of other regions, and requests that must not leave some.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::{Fault, Outcome, RefusalReason, Step};
use threadledge_types::RegionName;
use threadledge_types::deployment::{KeyDigest, Route, Tenant, Topology};

use super::support::{Station, answered, back_end, configuration, fault, is_refused, route};

/// A router in `zone`; zones `near` and `beside` lie in `home`, `far` and
/// `farther` in `away`.
fn station_in(zone: &str) -> Station {
    let regions = [
        ("near", "home"),
        ("beside", "home"),
        ("far", "away"),
        ("farther", "away"),
    ];
    let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
    let topology = Topology::new(zone.into(), None, BTreeMap::from(regions));
    let mut station = Station::at(topology, 1);
    station
        .back_ends
        .push(back_end("p-beside", "plain", "beside", 5));
    station.publish();
    station
}

fn only(regions: &[&str]) -> Option<BTreeSet<RegionName>> {
    Some(regions.iter().map(|region| (*region).into()).collect())
}

fn restrict(station: &mut Station, regions: &[&str]) {
    let restricted = |name, service| Route {
        allowed_regions: only(regions),
        ..route(name, service, true)
    };
    let routes = vec![
        restricted("safe", "plain"),
        restricted("keyed", "keyed"),
        route("free", "plain", true),
    ];
    assert!(station.configure(configuration(2, routes)));
}

/// Begins and sends requests until one is not sent at once. Says who got them.
fn fill(station: &mut Station, route: &str) -> Vec<String> {
    let mut sent = Vec::new();
    while sent.len() < 100 {
        let begun = station.begin(route).expect("admitted");
        let Step::Send(attempt) = station.next(&begun) else {
            break;
        };
        let now = station.now;
        assert!(station.dispatcher.may_send(now, begun.id, attempt.id));
        sent.push(attempt.back_end.as_str().to_owned());
    }
    sent
}

#[test]
fn other_region_is_for_what_the_own_one_cannot_answer_in_time() {
    let mut station = station_in("near");
    station.answer_one("safe", 60);
    let sent = fill(&mut station, "safe");
    let first_far = sent.iter().position(|name| name == "p-far");
    let first_far = first_far.expect("the other region helps out");
    let (home, away) = sent.split_at(first_far);
    assert!(home.iter().any(|name| name == "p-near"), "{sent:?}");
    assert!(home.iter().any(|name| name == "p-beside"), "{sent:?}");
    assert!(away.iter().all(|name| name == "p-far"), "{sent:?}");
}

#[test]
fn without_regions_zones_are_alike() {
    let mut station = Station::new();
    station.answer_one("safe", 60);
    let sent = fill(&mut station, "safe");
    let first_far = sent.iter().position(|name| name == "p-far").expect("used");
    let later = &sent[first_far..];
    assert!(later.iter().any(|name| name == "p-near"), "{sent:?}");
}

#[test]
fn repeats_and_hedges_stay_in_the_region_while_it_serves() {
    let mut station = station_in("near");
    for _ in 0..20 {
        station.answer_one("safe", 20);
    }
    let begun = station.begin("safe").expect("admitted");
    let first = station.send(&begun);
    assert_eq!(
        station.end(&begun, &first, fault(Fault::Unreachable)),
        NextAction::CallNext
    );
    let second = station.send(&begun);
    let names = [first.back_end.as_str(), second.back_end.as_str()];
    assert!(!names.contains(&"p-far"), "{names:?}");
    station.end(&begun, &second, answered());
}

#[test]
fn restricted_requests_go_to_their_regions_only() {
    for (zone, region, allowed) in [
        ("near", "home", vec!["p-near", "p-beside"]),
        ("near", "away", vec!["p-far"]),
        ("far", "home", vec!["p-near", "p-beside"]),
    ] {
        let mut station = station_in(zone);
        restrict(&mut station, &[region]);
        let sent = fill(&mut station, "safe");
        assert!(!sent.is_empty());
        for name in &sent {
            assert!(allowed.contains(&name.as_str()), "{zone} {region} {sent:?}");
        }
    }
}

#[test]
fn nothing_but_the_allowed_region_is_repeated_or_hedged_to() {
    let mut station = station_in("near");
    restrict(&mut station, &["away"]);
    let begun = station.begin("safe").expect("admitted");
    let first = station.send(&begun);
    assert_eq!(first.back_end, "p-far".into());
    let Step::Wait(hedge_at) = station.next(&begun) else {
        panic!("it waits for the answer");
    };
    station.now = hedge_at;
    let step = station.next(&begun);
    assert!(matches!(step, Step::Wait(_)), "no other there: {step:?}");
    station.end(&begun, &first, fault(Fault::Unreachable));
    for _ in 0..5 {
        match station.next(&begun) {
            Step::Send(again) => {
                assert_eq!(again.back_end, "p-far".into());
                station.end(&begun, &again, fault(Fault::Unreachable));
            }
            Step::Wait(until) => station.now = until,
            step => {
                assert!(is_refused(&step), "{step:?}");
                return;
            }
        }
    }
}

#[test]
fn route_and_tenant_must_both_allow_a_region() {
    let mut station = station_in("near");
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
    assert!(station.configure(restricted));
    let key = KeyDigest::of(b"in-both");
    for name in ["safe", "free"] {
        let begun = station
            .begin_by(name, None, Duration::ZERO, Some(&key))
            .expect("admitted");
        assert_eq!(station.send(&begun).back_end, "p-far".into());
    }
    let key = KeyDigest::of(b"in-none");
    let refusal = station.begin_by("safe", None, Duration::ZERO, Some(&key));
    let refusal = refusal.expect_err("no region is left");
    assert_eq!(refusal.reason, RefusalReason::OutsideRegions);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn key_held_in_another_region_is_refused_at_once() {
    let mut station = station_in("near");
    restrict(&mut station, &["away"]);
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Finish(Outcome::Refused(refusal)) = station.next(&begun) else {
        panic!("its owner is k-1, at home");
    };
    assert_eq!(refusal.reason, RefusalReason::OutsideRegions);
    let begun = station.begin_with("keyed", Some(60_000)).expect("admitted");
    assert_eq!(station.send(&begun).back_end, "k-2".into());
}

#[test]
fn zone_without_a_region_is_allowed_to_nothing_restricted() {
    let mut station = station_in("near");
    station.back_ends = vec![back_end("p-lost", "plain", "nowhere", 6)];
    station.publish();
    restrict(&mut station, &["home", "away"]);
    let begun = station.begin("safe").expect("admitted");
    let Step::Wait(until) = station.next(&begun) else {
        panic!("one of its regions may come");
    };
    station.now = until;
    assert!(is_refused(&station.next(&begun)));
    let begun = station.begin("free").expect("admitted");
    assert_eq!(station.send(&begun).back_end, "p-lost".into());
}

#[test]
fn gateway_of_another_region_keeps_nothing_of_the_request() {
    for (zone, in_transit) in [("near", true), ("far", false)] {
        let mut station = station_in(zone);
        restrict(&mut station, &["away"]);
        assert_eq!(
            station.begin("safe").expect("admitted").in_transit,
            in_transit
        );
        assert!(!station.begin("free").expect("admitted").in_transit);
    }
}

#[test]
fn what_is_told_of_a_crash_names_the_route_only() {
    let mut station = station_in("near");
    restrict(&mut station, &["home"]);
    for (name, told) in [
        ("safe", "GET route safe"),
        ("free", "GET host.example/free/x"),
    ] {
        let begun = station.begin(name).expect("admitted");
        let attempt = station.send(&begun);
        station.end(&begun, &attempt, fault(Fault::Broken));
        station.dispatcher.process_ended(&attempt.back_end);
        let crashes = station.dispatcher.take_crashes();
        let labels: Vec<&str> = crashes.iter().map(|found| found.label.as_str()).collect();
        assert_eq!(labels, [told]);
    }
}
