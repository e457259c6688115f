//! Cold back ends, and how much many routers send them in total.

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

use super::support::{HOST, Harness, answered, back_end, configuration, identity, route};

const COLD: Duration = Duration::from_secs(3);
/// Sustainable rate of a cold back end in requests per second, and the most
/// that it may get in any second with an overage of 1.5 and a slack of 8.
const SUSTAINABLE_RATE: f64 = 4.2;
const MAX_PER_SECOND: usize = 14;
const ROUTERS: usize = 74;

fn configuration_with_cold_starts(services: &[&str]) -> Configuration {
    let routes = vec![route("safe", "plain", true), route("keyed", "keyed", true)];
    let mut configuration = configuration(2, routes);
    for name in services {
        let service = configuration.services.get_mut(&(*name).into());
        let service = service.expect("the service");
        service.cold_start = COLD;
        service.cold_rate = Some(SUSTAINABLE_RATE);
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

/// Routers that know the same back ends and share nothing else.
struct Routers {
    routers: Vec<Dispatcher>,
    back_ends: Vec<BackEnd>,
    now: Timestamp,
    /// Requests in flight, in the order of their ends.
    in_flight: VecDeque<(
        Timestamp,
        usize,
        StartedExchange,
        threadledge_dispatch::Attempt,
    )>,
    /// Times at which requests reached the cold back end.
    arrivals: Vec<Timestamp>,
}

impl Routers {
    fn new(seed: u64, back_ends: Vec<BackEnd>) -> Self {
        let now = Timestamp::from_millis(50_000);
        let configuration = Arc::new(configuration_with_cold_starts(&["plain"]));
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
            in_flight: VecDeque::new(),
            arrivals: Vec::new(),
        }
    }

    /// Sends one request through a router. Returns whether it was sent to a
    /// back end.
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
        self.in_flight.push_back((end, number, begun, attempt));
        true
    }

    /// Simulates `length` with this many requests per second, each through a
    /// random router.
    fn run(&mut self, length: Duration, per_second: u64, random: &mut ChaCha8Rng) {
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + Duration::from_micros(1_000_000 / per_second);
            while let Some((end, ..)) = self.in_flight.front()
                && *end <= self.now
            {
                let (_, number, begun, attempt) = self.in_flight.pop_front().expect("one");
                let router = &mut self.routers[number];
                router.on_attempt_end(self.now, begun.id, attempt.id, &answered());
            }
            self.request(random.random_range(0..ROUTERS));
        }
    }

    /// Largest number of requests that reached the cold back end within one
    /// second.
    fn busiest_second(&self) -> usize {
        let within = |last: &Timestamp| {
            let second =
                |at: &&Timestamp| **at <= *last && last.since(**at) < Duration::from_secs(1);
            self.arrivals.iter().filter(second).count()
        };
        self.arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Invariant: under any load, the routers together stay below the most that a
/// cold back end may get in any second, and it gets some requests.
#[test]
fn many_routers_together_do_not_overload_a_cold_back_end() {
    let mut total = 0;
    for seed in 1..=30 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut back_ends = vec![cold("cold", "plain", 1)];
        for number in 2..4 {
            back_ends.push(back_end(&format!("p-{number}"), "plain", "near", number));
        }
        let mut routers = Routers::new(seed, back_ends);
        routers.run(COLD - Duration::from_millis(10), 400, &mut random);
        let busiest = routers.busiest_second();
        assert!(
            busiest <= MAX_PER_SECOND,
            "seed {seed}: {busiest} in one second"
        );
        total += routers.arrivals.len();
    }
    assert!(total > 30, "{total} requests in 30 runs");
}

/// Every change of any back end reports the cold one again. That must not open
/// additional turns.
#[test]
fn turns_stay_the_same_when_back_ends_are_reported_again() {
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
    assert!(busiest <= MAX_PER_SECOND, "{busiest} in one second");
}

#[test]
fn warm_back_end_takes_requests_as_others_do() {
    let mut random = ChaCha8Rng::seed_from_u64(8);
    let mut routers = Routers::new(8, vec![cold("cold", "plain", 1)]);
    routers.now = routers.now + COLD;
    routers.run(Duration::from_secs(1), 10, &mut random);
    assert!(routers.arrivals.len() >= 9, "{:?}", routers.arrivals);
}

/// If all back ends are cold, callers are told when to retry.
#[test]
fn request_for_which_there_are_only_cold_back_ends_is_refused_in_time() {
    let mut harness = Harness::new();
    harness
        .dispatcher
        .set_router_count(harness.now, 1_000_000, None);
    harness.configure(configuration_with_cold_starts(&["plain"]));
    harness.back_ends = vec![cold("p-cold", "plain", 1)];
    harness.publish_back_ends();
    let begun = harness.begin("safe").expect("admitted");
    assert!(matches!(harness.next(&begun), Step::Wait(_)));
    harness.advance(100);
    let step = harness.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert!(refusal.retry_after.is_some());
}

#[test]
fn key_of_a_cold_owner_waits_for_a_turn_and_is_served_once_it_is_warm() {
    let mut harness = Harness::new();
    harness
        .dispatcher
        .set_router_count(harness.now, 1_000_000, None);
    harness.configure(configuration_with_cold_starts(&["keyed"]));
    harness.back_ends = vec![cold("k-1", "keyed", 3), back_end("k-2", "keyed", "far", 4)];
    harness.publish_back_ends();
    let lower = harness.begin_with("keyed", Some(5)).expect("admitted");
    assert!(matches!(harness.next(&lower), Step::Wait(_)));
    let upper = harness.begin_with("keyed", Some(60_000)).expect("admitted");
    assert_eq!(harness.send(&upper).back_end.as_str(), "k-2");
    harness.advance(3_000);
    let later = harness.begin_with("keyed", Some(5)).expect("admitted");
    assert_eq!(harness.send(&later).back_end.as_str(), "k-1");
}

#[test]
fn cold_back_end_gets_no_requests_while_the_number_of_routers_is_unknown() {
    let mut harness = Harness::with(Settings::default(), 1);
    harness.configure(configuration_with_cold_starts(&["plain"]));
    harness.back_ends = vec![cold("p-cold", "plain", 1)];
    harness.publish_back_ends();
    for _ in 0..20 {
        let begun = harness.begin("safe").expect("admitted");
        assert!(!matches!(harness.next(&begun), Step::Send(_)));
        harness.advance(100);
    }
}

/// At the start of a turn, rounding may place the turn slightly later than now.
/// Computing its age must not panic on a negative duration.
#[test]
fn age_of_a_turn_that_has_just_started_does_not_panic() {
    for routers in 1..=40 {
        let settings = Settings {
            cold_slack: 1_000.0,
            ..Settings::default()
        };
        let mut harness = Harness::with(settings, u64::from(routers));
        harness
            .dispatcher
            .set_router_count(harness.now, routers, None);
        let mut configuration = configuration_with_cold_starts(&["plain"]);
        let service = configuration.services.get_mut(&"plain".into());
        // Makes turns start whole milliseconds apart.
        service.expect("the service").cold_rate = Some(2.5);
        harness.configure(configuration);
        let cold_for = Duration::from_secs(3_600);
        harness.back_ends = vec![BackEnd {
            cold_for,
            ..cold("p-cold", "plain", 1)
        }];
        harness.publish_back_ends();
        for _ in 0..2_000 {
            let begun = harness.begin("safe").expect("admitted");
            if let Step::Wait(until) = harness.next(&begun) {
                harness.now = until;
                harness.next(&begun);
            }
            harness.dispatcher.abandon(harness.now, begun.id);
            harness.advance(20);
        }
    }
}
