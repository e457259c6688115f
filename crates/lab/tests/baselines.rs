//! Baselines route, measure and compare as they say.

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

fn all(members: &[BackEndId]) -> BTreeSet<BackEndId> {
    members.iter().cloned().collect()
}

fn covers_the_line(slices: &[(Slice, BackEndId)]) -> bool {
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
fn a_ring_covers_the_line_whoever_is_alive() {
    let members = members(5);
    let ring = HashRing::new(&members);
    for lost in 0..5 {
        let mut alive = all(&members);
        alive.remove(&members[lost]);
        let slices = ring.slices(&alive);
        assert!(covers_the_line(&slices));
        assert!(!shares(&slices).contains_key(&members[lost]));
    }
    assert!(ring.slices(&BTreeSet::new()).is_empty());
}

#[test]
fn a_loss_moves_only_the_keys_of_the_lost_back_end() {
    let members = members(8);
    let ring = HashRing::new(&members);
    let before = ring.slices(&all(&members));
    let mut alive = all(&members);
    alive.remove(&members[3]);
    let after = ring.slices(&alive);
    let owner = |slices: &[(Slice, BackEndId)], point: Point| {
        let slice = slices.iter().find(|(slice, _)| slice.contains(point));
        slice.expect("an owner").1.clone()
    };
    for number in 0..1_000 {
        let point = Point(number * (u64::MAX / 1_000));
        let former = owner(&before, point);
        if former != members[3] {
            assert_eq!(owner(&after, point), former);
        }
    }
}

#[test]
fn static_owners_divide_evenly_and_outlive_everyone() {
    let members = members(6);
    let mut backwards = members.clone();
    backwards.reverse();
    let slices = StaticOwners::new(&backwards).slices();
    assert!(covers_the_line(&slices));
    for share in shares(&slices).values() {
        assert!((share - 1.0 / 6.0).abs() < 1e-9);
    }
    let dead = Assignment::new(BaselineKind::StaticOwners, &members).slices(&BTreeSet::new());
    assert_eq!(dead, slices);
}

#[test]
fn one_lost_poll_is_no_death_and_two_are() {
    let mut health = Health::default();
    assert!(!health.is_alive());
    health.take(Some(session("a")));
    health.take(None);
    assert!(health.is_alive());
    health.take(None);
    assert!(!health.is_alive());
    health.take(Some(session("a")));
    assert!(health.is_alive());
}

#[test]
fn a_view_tells_what_a_death_moved() {
    let members = vec![
        BackEndId::new("kasamahan", "a"),
        BackEndId::new("kasamahan", "b"),
    ];
    let mut health: BTreeMap<BackEndId, Health> = BTreeMap::new();
    for member in &members {
        let one = health.entry(member.clone()).or_default();
        one.take(Some(session(&member.name)));
    }
    let assignment = Assignment::new(BaselineKind::HashRing, &members);
    let mut view = View::new(service(), Epoch(revision(1)), assignment);
    assert!(view.update(&health).released.is_empty());
    assert_eq!(view.update(&health), Default::default());
    let dead = health.get_mut(&members[0]).expect("a member");
    dead.take(None);
    dead.take(None);
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

/// Router 2 sees the move from `a` to `b` 300 ms later than router 1.
fn slow_second_router() -> Vec<Event> {
    let mut events = ownership("a", 1, 0, 1_000);
    events.extend(ownership("a", 2, 0, 1_300));
    events.extend(ownership("b", 1, 1_000, 5_000));
    events
        .into_iter()
        .map(|event| match event {
            // No baseline has leases that end.
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
fn routers_that_disagree_count_as_two_owners() {
    let mut events = slow_second_router();
    events.extend(execution("b", 1, 1, 1_100, 1_110));
    events.extend(execution("b", 1, 2, 2_000, 2_010));
    let found = double_owner(&assemble(vec![events]));
    assert_eq!((found.overlaps, found.longest_ms), (1, 300.0));
    assert_eq!(found.runs_beside_another_owner, 1);
}

#[test]
fn a_sound_run_has_no_two_owners() {
    let found = double_owner(&assemble(sound_run()));
    assert_eq!(found, Default::default());
}

#[test]
fn processor_time_counts_from_the_first_reading_and_survives_a_death() {
    let mut meter = CpuMeter::default();
    meter.take(1, 5.0);
    meter.take(2, 0.5);
    meter.take(1, 5.75);
    assert_eq!(meter.seconds(), 0.75);
    let own = std::process::id();
    assert!(threadledge_lab::baseline::cpu_seconds_of(own).is_some());
}

#[test]
fn ratios_are_product_over_baseline_and_leave_out_nothing_over_nothing() {
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
fn goodput_is_told_for_each_stretch_of_load() {
    let history = assemble(sound_run());
    let surge = Surge {
        from_ms: 1_000,
        until_ms: 2_000,
        factor: 2.0,
    };
    let stretches = threadledge_lab::measures::goodput(
        &history,
        Timestamp::ZERO,
        Duration::from_secs(3),
        &[surge],
    );
    let factors: Vec<f64> = stretches.iter().map(|one| one.factor).collect();
    assert_eq!(factors, [1.0, 2.0, 1.0]);
    let offered: f64 = stretches.iter().map(|one| one.offered_per_second).sum();
    assert_eq!(offered, history.requests.len() as f64);
}

/// Grants of a view carry the router's own number as their epoch.
#[test]
fn a_view_records_grants_under_its_own_epoch() {
    let members = vec![BackEndId::new("kasamahan", "a")];
    let mut health: BTreeMap<BackEndId, Health> = BTreeMap::new();
    let one = health.entry(members[0].clone()).or_default();
    one.take(Some(session("a")));
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
fn the_last_stretch_is_held_against_what_it_could_answer() {
    let stretch = |offered, answered| Goodput {
        offered_per_second: offered,
        answered_per_second: answered,
        ..Goodput::default()
    };
    let overloaded = [stretch(100.0, 90.0), stretch(300.0, 72.0)];
    assert_eq!(goodput_share(&overloaded), Some(0.8));
    let recovered = [stretch(200.0, 100.0), stretch(80.0, 80.0)];
    assert_eq!(goodput_share(&recovered), Some(1.0));
    assert_eq!(goodput_share(&recovered[..1]), None);
}

#[test]
fn the_view_of_a_router_that_ended_ends_with_it() {
    let mut events = slow_second_router();
    // Router 2 never said that `a` lost its points.
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
