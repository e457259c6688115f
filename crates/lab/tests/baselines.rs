//! Tests of the baselines: assignment, health, routing, measures and the
//! comparison with the product.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use support::*;
use threadledge_lab::baseline::{
    Assignment, BaselineKind, BaselineReport, BaselineRoute, CpuMeter, HashRing, Health,
    RequestParts, RouterEnd, StaticOwners, SystemMeasures, View, baseline_table, double_owner,
    match_route, release_grants_of_ended_routers,
};
use threadledge_lab::history::Event;
use threadledge_lab::load::{Arrivals, Surge};
use threadledge_lab::measures::{Goodput, goodput_share};
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, Point, Slice, Timestamp};

fn members(count: u32) -> Vec<BackEndId> {
    let numbers = 0..count;
    numbers
        .map(|number| BackEndId::new("kasamahan", format!("gallery-{number:02}")))
        .collect()
}

fn as_set(members: &[BackEndId]) -> BTreeSet<BackEndId> {
    members.iter().cloned().collect()
}

fn covers_all_points(slices: &[(Slice, BackEndId)]) -> bool {
    let begins = slices.first().is_some_and(|(slice, _)| slice.first.0 == 0);
    let ends = slices
        .last()
        .is_some_and(|(slice, _)| slice.last.0 == u64::MAX);
    let joined = slices
        .windows(2)
        .all(|pair| pair[0].0.last.0.checked_add(1) == Some(pair[1].0.first.0));
    begins && ends && joined
}

fn shares(slices: &[(Slice, BackEndId)]) -> BTreeMap<&BackEndId, f64> {
    let mut shares = BTreeMap::new();
    for (slice, owner) in slices {
        *shares.entry(owner).or_default() += slice.share();
    }
    shares
}

#[test]
fn a_ring_covers_all_points_with_any_live_back_ends() {
    let members = members(5);
    let ring = HashRing::new(&members);
    for lost in 0..5 {
        let mut alive = as_set(&members);
        alive.remove(&members[lost]);
        let slices = ring.slices(&alive);
        assert!(covers_all_points(&slices));
        assert!(!shares(&slices).contains_key(&members[lost]));
    }
    assert!(ring.slices(&BTreeSet::new()).is_empty());
}

#[test]
fn losing_a_back_end_moves_only_its_own_keys() {
    let members = members(8);
    let ring = HashRing::new(&members);
    let before = ring.slices(&as_set(&members));
    let mut alive = as_set(&members);
    alive.remove(&members[3]);
    let after = ring.slices(&alive);
    let owner = |slices: &[(Slice, BackEndId)], point: Point| {
        let slice = slices.iter().find(|(slice, _)| slice.contains(point));
        slice.expect("an owner").1.clone()
    };
    for number in 0..1_000 {
        let point = Point(number * (u64::MAX / 1_000));
        let previous = owner(&before, point);
        if previous != members[3] {
            assert_eq!(owner(&after, point), previous);
        }
    }
}

#[test]
fn static_owners_divide_evenly_and_ignore_health() {
    let members = members(6);
    let mut backwards = members.clone();
    backwards.reverse();
    let slices = StaticOwners::new(&backwards).slices();
    assert!(covers_all_points(&slices));
    for share in shares(&slices).values() {
        assert!((share - 1.0 / 6.0).abs() < 1e-9);
    }
    let dead = Assignment::new(BaselineKind::StaticOwners, &members).slices(&BTreeSet::new());
    assert_eq!(dead, slices);
}

#[test]
fn two_failed_polls_in_a_row_mark_a_back_end_dead() {
    let mut health = Health::default();
    assert!(!health.is_alive());
    health.record(Some(session("a")));
    health.record(None);
    assert!(health.is_alive());
    health.record(None);
    assert!(!health.is_alive());
    health.record(Some(session("a")));
    assert!(health.is_alive());
}

#[test]
fn a_view_reports_the_slices_moved_from_a_dead_back_end() {
    let members = vec![
        BackEndId::new("kasamahan", "a"),
        BackEndId::new("kasamahan", "b"),
    ];
    let mut health: BTreeMap<BackEndId, Health> = BTreeMap::new();
    for member in &members {
        let one = health.entry(member.clone()).or_default();
        one.record(Some(session(&member.name)));
    }
    let assignment = Assignment::new(BaselineKind::HashRing, &members);
    let mut view = View::new(service(), Epoch(revision(1)), assignment);
    assert!(view.update(&health).released.is_empty());
    assert_eq!(view.update(&health), Default::default());
    let dead = health.get_mut(&members[0]).expect("a member");
    dead.record(None);
    dead.record(None);
    let change = view.update(&health);
    let taken: f64 = change
        .taken
        .iter()
        .map(|(_, grant)| grant.slice.share())
        .sum();
    let lost = change.released.iter().any(|(one, _)| *one == session("a"));
    assert!(lost && taken > 0.0);
    assert!(change.taken.iter().all(|(one, _)| *one == session("b")));
    assert_eq!(view.owner(Point(77)), Some(&members[1]));
}

#[test]
fn keys_are_found_in_paths_and_headers() {
    let route = |host: &str, path: &str, key_header: Option<&str>| BaselineRoute {
        service: service(),
        host: host.to_owned(),
        path: path.to_owned(),
        key_header: key_header.map(str::to_owned),
    };
    let routes = [
        route("a", "/v1/{key}/view", None),
        route("a", "/v1/greetings", Some("x-member-id")),
    ];
    let header = |name: &str| (name == "x-member-id").then_some("key-2");
    let find = |host, path| {
        let parts = RequestParts {
            host,
            path,
            header: &header,
        };
        match_route(&routes, &parts).map(|(_, key)| key.to_owned())
    };
    assert_eq!(find("a", "/v1/key-1/view").as_deref(), Some("key-1"));
    assert_eq!(find("a", "/v1/greetings").as_deref(), Some("key-2"));
    assert_eq!(find("b", "/v1/greetings"), None);
    assert_eq!(find("a", "/v2/key-1/view"), None);
}

/// Returns events in which router 2 sees the move from `a` to `b` 300 ms later
/// than router 1.
fn slow_second_router() -> Vec<Event> {
    let mut events = ownership("a", 1, 0, 1_000);
    events.extend(ownership("a", 2, 0, 1_300));
    events.extend(ownership("b", 1, 1_000, 5_000));
    events
        .into_iter()
        .map(|event| match event {
            // Baselines have no leases that expire.
            Event::LeaseExtended { at, session, .. } => Event::LeaseExtended {
                at,
                session,
                until: Timestamp::from_micros(u64::MAX),
            },
            other => other,
        })
        .collect()
}

#[test]
fn routers_that_disagree_are_counted_as_double_ownership() {
    let mut events = slow_second_router();
    events.extend(execution("b", 1, 1, 1_100, 1_110));
    events.extend(execution("b", 1, 2, 2_000, 2_010));
    let found = double_owner(&assemble(vec![events]));
    assert_eq!((found.overlaps, found.longest_ms), (1, 300.0));
    assert_eq!(found.runs_beside_another_owner, 1);
}

#[test]
fn a_correct_run_has_no_double_ownership() {
    let found = double_owner(&assemble(correct_run()));
    assert_eq!(found, Default::default());
}

#[test]
fn processor_time_counts_from_the_first_reading() {
    let mut meter = CpuMeter::default();
    meter.record(1, 5.0);
    meter.record(2, 0.5);
    meter.record(1, 5.75);
    assert_eq!(meter.seconds(), 0.75);
    let own = std::process::id();
    assert!(threadledge_lab::baseline::cpu_seconds_of(own).is_some());
}

#[test]
fn ratios_are_product_over_baseline_and_omit_zero_over_zero() {
    let product = SystemMeasures {
        unavailable_ms: 500.0,
        ..SystemMeasures::default()
    };
    let ring = SystemMeasures {
        unavailable_ms: 2_000.0,
        ..SystemMeasures::default()
    };
    let report = BaselineReport::new(product, BTreeMap::from([(BaselineKind::HashRing, ring)]));
    let ratios = &report.ratios[&BaselineKind::HashRing];
    assert_eq!(ratios.get("unavailable ms"), Some(&0.25));
    assert_eq!(ratios.get("churn"), None);
    assert!(baseline_table(&report).contains("hash-ring"));
    let text = serde_json::to_string(&report).expect("JSON");
    let read: BaselineReport = serde_json::from_str(&text).expect("the same");
    assert_eq!(read, report);
}

#[test]
fn a_surge_multiplies_arrivals_while_it_lasts() {
    let surge = Surge {
        from_ms: 10_000,
        until_ms: 20_000,
        factor: 3.0,
    };
    let arrivals = Arrivals::new(Timestamp::ZERO, 100.0, 1).with_surges(&[surge]);
    let mut counts = [0_u32; 3];
    for at in arrivals {
        let second = at.since(Timestamp::ZERO).as_secs();
        match usize::try_from(second / 10) {
            Ok(number) if number < counts.len() => counts[number] += 1,
            _ => break,
        }
    }
    assert!((900..1_100).contains(&counts[0]), "{counts:?}");
    assert!((2_800..3_200).contains(&counts[1]), "{counts:?}");
    assert!((900..1_100).contains(&counts[2]), "{counts:?}");
}

#[test]
fn goodput_is_reported_for_each_interval_of_load() {
    let history = assemble(correct_run());
    let surge = Surge {
        from_ms: 1_000,
        until_ms: 2_000,
        factor: 2.0,
    };
    let intervals = threadledge_lab::measures::goodput(
        &history,
        Timestamp::ZERO,
        Duration::from_secs(3),
        &[surge],
    );
    let factors: Vec<f64> = intervals.iter().map(|one| one.factor).collect();
    assert_eq!(factors, [1.0, 2.0, 1.0]);
    let offered: f64 = intervals.iter().map(|one| one.offered_per_second).sum();
    assert_eq!(offered, history.requests.len() as f64);
}

/// The epoch of a view's grants identifies the router that recorded them.
#[test]
fn a_view_records_grants_under_its_own_epoch() {
    let members = vec![BackEndId::new("kasamahan", "a")];
    let mut health: BTreeMap<BackEndId, Health> = BTreeMap::new();
    let one = health.entry(members[0].clone()).or_default();
    one.record(Some(session("a")));
    let epoch = Epoch(revision(3));
    let assignment = Assignment::new(BaselineKind::StaticOwners, &members);
    let change = View::new(service(), epoch, assignment).update(&health);
    let whole = Grant {
        service: service(),
        slice: Slice::ALL,
        epoch,
    };
    assert_eq!(change.taken, [(session("a"), whole)]);
}

#[test]
fn goodput_share_compares_the_last_interval_with_its_maximum() {
    let goodput = |offered, answered| Goodput {
        offered_per_second: offered,
        answered_per_second: answered,
        ..Goodput::default()
    };
    let overloaded = [goodput(100.0, 90.0), goodput(300.0, 72.0)];
    assert_eq!(goodput_share(&overloaded), Some(0.8));
    let recovered = [goodput(200.0, 100.0), goodput(80.0, 80.0)];
    assert_eq!(goodput_share(&recovered), Some(1.0));
    assert_eq!(goodput_share(&recovered[..1]), None);
}

#[test]
fn grants_of_an_ended_router_are_released() {
    let mut events = slow_second_router();
    // Router 2 never recorded that `a` lost its points.
    events.retain(
        |event| !matches!(event, Event::GrantReleased { grant, .. } if *grant == support::grant(2)),
    );
    assert!(double_owner(&assemble(vec![events.clone()])).overlaps > 0);
    let end = RouterEnd {
        epoch: Epoch(revision(2)),
        at: millis(900),
    };
    release_grants_of_ended_routers(&mut events, &[end]);
    assert_eq!(double_owner(&assemble(vec![events])).overlaps, 0);
}
