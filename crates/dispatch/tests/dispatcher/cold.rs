//! Back ends that are cold, and what many routers send them together.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::{
    Dispatcher, Outcome, RequestHead, RequestInfo, Settings, StartedExchange, Step,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, Configuration, Topology};

use super::support::{HOST, Station, answered, back_end, configuration, identity, route};

const COLD: Duration = Duration::from_secs(3);
/// Requests a second that a cold back end bears, and those that it may get in
/// any second with an overage of 1.5 and a slack of 8.
const BORNE: f64 = 4.2;
const BOUND: usize = 14;
const ROUTERS: usize = 74;

fn with_cold_back_ends(services: &[&str]) -> Configuration {
    let routes = vec![route("safe", "plain", true), route("keyed", "keyed", true)];
    let mut configuration = configuration(2, routes);
    for name in services {
        let service = configuration.services.get_mut(&(*name).into());
        let service = service.expect("the service");
        service.cold_start = COLD;
        service.cold_rate = Some(BORNE);
    }
    configuration
}

fn cold(name: &str, service: &str, number: u16) -> BackEnd {
    BackEnd {
        cold_for: COLD,
        slots: 3,
        ..back_end(name, service, "near", number)
    }
}

/// Routers that each know the same back ends and share nothing else.
struct Routers {
    routers: Vec<Dispatcher>,
    back_ends: Vec<BackEnd>,
    now: Timestamp,
    /// Requests under way, in the order of their ends.
    ends: VecDeque<(
        Timestamp,
        usize,
        StartedExchange,
        threadledge_dispatch::Attempt,
    )>,
    /// When requests reached the cold back end.
    arrivals: Vec<Timestamp>,
}

impl Routers {
    fn new(seed: u64, back_ends: Vec<BackEnd>) -> Self {
        let now = Timestamp::from_millis(50_000);
        let configuration = Arc::new(with_cold_back_ends(&["plain"]));
        let router = |number: usize| {
            let settings = Settings {
                topology: Topology::new("near".into(), None, BTreeMap::new()),
                ..Settings::default()
            };
            let mut router = Dispatcher::new(settings, seed * 1_000 + number as u64);
            router.set_router_count(Timestamp::ZERO, ROUTERS as u32, None);
            router.set_configuration(now, configuration.clone());
            router.set_back_ends(now, &back_ends);
            router
        };
        Routers {
            routers: (0..ROUTERS).map(router).collect(),
            back_ends,
            now,
            ends: VecDeque::new(),
            arrivals: Vec::new(),
        }
    }

    /// One request at one of the routers; says whether it was sent.
    fn request(&mut self, number: usize) -> bool {
        let router = &mut self.routers[number];
        let info = RequestInfo {
            head: RequestHead {
                host: HOST,
                path: "/safe/x",
                api_key: None,
            },
            age: Duration::ZERO,
            time_left: Some(Duration::from_secs(5)),
            key: None,
            replayable: true,
            method: "GET",
            identity: identity("/safe/x", 0),
        };
        let begun = router.begin(self.now, &info).expect("admitted");
        let Step::Send(attempt) = router.next(self.now, begun.id) else {
            router.abandon(self.now, begun.id);
            return false;
        };
        assert!(router.may_send(self.now, begun.id, attempt.id));
        if attempt.back_end.as_str() == "cold" {
            self.arrivals.push(self.now);
        }
        let end = self.now + Duration::from_millis(150);
        self.ends.push_back((end, number, begun, attempt));
        true
    }

    /// Lets requests come for `length`, so many a second, at any router.
    fn run(&mut self, length: Duration, per_second: u64, random: &mut ChaCha8Rng) {
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + Duration::from_micros(1_000_000 / per_second);
            while let Some((end, ..)) = self.ends.front()
                && *end <= self.now
            {
                let (_, number, begun, attempt) = self.ends.pop_front().expect("one");
                let router = &mut self.routers[number];
                router.on_attempt_end(self.now, begun.id, attempt.id, &answered());
            }
            self.request(random.random_range(0..ROUTERS));
        }
    }

    /// Most requests that reached the cold back end within one second.
    fn busiest_second(&self) -> usize {
        let within = |last: &Timestamp| {
            let second =
                |at: &&Timestamp| **at <= *last && last.since(**at) < Duration::from_secs(1);
            self.arrivals.iter().filter(second).count()
        };
        self.arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Invariant: whatever the load, routers together stay below what a cold back
/// end may get in any second, and it gets some.
#[test]
fn many_routers_together_spare_a_cold_back_end() {
    let mut all = 0;
    for seed in 1..=30 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut back_ends = vec![cold("cold", "plain", 1)];
        for number in 2..4 {
            back_ends.push(back_end(&format!("p-{number}"), "plain", "near", number));
        }
        let mut routers = Routers::new(seed, back_ends);
        routers.run(COLD - Duration::from_millis(10), 400, &mut random);
        let busiest = routers.busiest_second();
        assert!(busiest <= BOUND, "seed {seed}: {busiest} in one second");
        all += routers.arrivals.len();
    }
    assert!(all > 30, "{all} requests in 30 runs");
}

/// Being told of it again, as every change of any back end does, opens no
/// further turns.
#[test]
fn turns_stay_the_same_when_back_ends_are_told_again() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut routers = Routers::new(7, vec![cold("cold", "plain", 1)]);
    for step in 1..=20_u32 {
        routers.run(Duration::from_millis(100), 400, &mut random);
        let mut back_ends = routers.back_ends.clone();
        back_ends[0].cold_for = COLD - Duration::from_millis(100) * step;
        let now = routers.now;
        for router in &mut routers.routers {
            router.set_back_ends(now, &back_ends);
        }
    }
    let busiest = routers.busiest_second();
    assert!(busiest <= BOUND, "{busiest} in one second");
}

#[test]
fn warm_back_end_takes_requests_as_others_do() {
    let mut random = ChaCha8Rng::seed_from_u64(8);
    let mut routers = Routers::new(8, vec![cold("cold", "plain", 1)]);
    routers.now = routers.now + COLD;
    routers.run(Duration::from_secs(1), 10, &mut random);
    assert!(routers.arrivals.len() >= 9, "{:?}", routers.arrivals);
}

/// Where nothing but cold back ends is left, callers learn when to come back.
#[test]
fn request_for_which_only_cold_back_ends_are_there_is_refused_in_time() {
    let mut station = Station::new();
    station
        .dispatcher
        .set_router_count(station.now, 1_000_000, None);
    station.configure(with_cold_back_ends(&["plain"]));
    station.back_ends = vec![cold("p-cold", "plain", 1)];
    station.publish();
    let begun = station.begin("safe").expect("admitted");
    assert!(matches!(station.next(&begun), Step::Wait(_)));
    station.after(100);
    let step = station.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert!(refusal.retry_after.is_some());
}

#[test]
fn key_of_a_cold_owner_waits_for_a_turn_and_is_served_once_it_is_warm() {
    let mut station = Station::new();
    station
        .dispatcher
        .set_router_count(station.now, 1_000_000, None);
    station.configure(with_cold_back_ends(&["keyed"]));
    station.back_ends = vec![cold("k-1", "keyed", 3), back_end("k-2", "keyed", "far", 4)];
    station.publish();
    let lower = station.begin_with("keyed", Some(5)).expect("admitted");
    assert!(matches!(station.next(&lower), Step::Wait(_)));
    let upper = station.begin_with("keyed", Some(60_000)).expect("admitted");
    assert_eq!(station.send(&upper).back_end.as_str(), "k-2");
    station.after(3_000);
    let later = station.begin_with("keyed", Some(5)).expect("admitted");
    assert_eq!(station.send(&later).back_end.as_str(), "k-1");
}

#[test]
fn cold_back_end_gets_nothing_from_a_router_that_does_not_know_how_many_there_are() {
    let mut station = Station::with(Settings::default(), 1);
    station.configure(with_cold_back_ends(&["plain"]));
    station.back_ends = vec![cold("p-cold", "plain", 1)];
    station.publish();
    for _ in 0..20 {
        let begun = station.begin("safe").expect("admitted");
        assert!(!matches!(station.next(&begun), Step::Send(_)));
        station.after(100);
    }
}

/// At the moment at which a turn begins, rounding may put it a little later.
#[test]
fn moment_at_which_a_turn_begins_is_reckoned_without_a_panic() {
    for routers in 1..=40 {
        let settings = Settings {
            cold_slack: 1_000.0,
            ..Settings::default()
        };
        let mut station = Station::with(settings, u64::from(routers));
        station
            .dispatcher
            .set_router_count(station.now, routers, None);
        let mut configuration = with_cold_back_ends(&["plain"]);
        let service = configuration.services.get_mut(&"plain".into());
        // Turns are whole milliseconds apart.
        service.expect("the service").cold_rate = Some(2.5);
        station.configure(configuration);
        let cold_for = Duration::from_secs(3_600);
        station.back_ends = vec![BackEnd {
            cold_for,
            ..cold("p-cold", "plain", 1)
        }];
        station.publish();
        for _ in 0..2_000 {
            let begun = station.begin("safe").expect("admitted");
            if let Step::Wait(until) = station.next(&begun) {
                station.now = until;
                station.next(&begun);
            }
            station.dispatcher.abandon(station.now, begun.id);
            station.after(20);
        }
    }
}
