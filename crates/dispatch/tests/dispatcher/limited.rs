//! Back ends that name a limit, and what many routers send them together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::tokens::TokenBuckets;
use threadledge_coordination::{
    Fence, Owner, OwnershipRecord, OwnershipView, Slice, SliceState, Term, TokenGrant, TokenRequest,
};
use threadledge_dispatch::{
    Attempt, BackEndEvent, Dispatcher, Outcome, RefusalReason, ReportedLimit, RequestHead,
    RequestInfo, Settings, Signals, StartedExchange, Step,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange, ServiceName, ShardKey, Topology};

use super::support::{
    HOST, Station, answered, back_end, configuration, identity, is_refused, route,
};

const WINDOW: Duration = Duration::from_secs(4);
/// How long a back end takes for a request.
const WORK: Duration = Duration::from_millis(100);
/// Time from an ask for tokens to its answer.
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Limits are kept from then on after they were first named.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from when a router is told until its requests count.
const TOLD: Duration = Duration::from_millis(500);

fn limit(limit: ReportedLimit) -> Signals {
    Signals {
        limit,
        ..Signals::default()
    }
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// An ask under way.
struct Asked {
    number: usize,
    service: ServiceName,
    asks: Vec<TokenRequest>,
    at: Timestamp,
}

/// Routers before one limited back end, with the coordinator that gives out
/// its tokens.
struct Routers {
    routers: Vec<Dispatcher>,
    keyed: bool,
    limit: f64,
    ledger: TokenBuckets,
    /// Routers reach the coordinator.
    reachable: bool,
    now: Timestamp,
    begun: Timestamp,
    ends: Vec<(Timestamp, usize, StartedExchange, Attempt)>,
    waiting: Vec<(Timestamp, usize, StartedExchange)>,
    asked: Vec<Asked>,
    /// When each router was first told of the limit.
    told: BTreeMap<usize, Timestamp>,
    /// Arrivals from routers that were told half a second before or earlier.
    arrivals: Vec<Timestamp>,
}

impl Routers {
    fn new(count: usize, keyed: bool, limit: f64, seed: u64) -> Self {
        let now = Timestamp::from_millis(50_000);
        let routes = vec![route("safe", "plain", true), route("keyed", "keyed", true)];
        let configuration = Arc::new(configuration(1, routes));
        let service = if keyed { "keyed" } else { "plain" };
        let back_ends: Vec<BackEnd> = vec![back_end("limited", service, "near", 1)];
        let router = |number: usize| {
            let settings = Settings {
                topology: Topology::new("near".into(), None, BTreeMap::new()),
                ..Settings::default()
            };
            let mut router = Dispatcher::new(settings, seed * 1_000 + number as u64);
            router.set_router_count(Timestamp::ZERO, count as u32, None);
            router.set_configuration(now, configuration.clone());
            router.set_back_ends(now, &back_ends);
            router.set_ownership(now, "keyed".into(), all_owned("limited"));
            router
        };
        Routers {
            routers: (0..count).map(router).collect(),
            keyed,
            limit,
            ledger: TokenBuckets::default(),
            reachable: true,
            now,
            begun: now,
            ends: Vec::new(),
            waiting: Vec::new(),
            asked: Vec::new(),
            told: BTreeMap::new(),
            arrivals: Vec::new(),
        }
    }

    fn request(&mut self, number: usize) {
        let (path, key) = match self.keyed {
            true => ("/keyed/x", Some(ShardKey(7))),
            false => ("/safe/x", None),
        };
        let info = RequestInfo {
            head: RequestHead {
                host: HOST,
                path,
                api_key: None,
            },
            age: Duration::ZERO,
            time_left: Some(Duration::from_secs(5)),
            key,
            replayable: true,
            method: "GET",
            identity: identity(path, 0),
        };
        let begun = self.routers[number].begin(self.now, &info);
        self.step(number, begun.expect("admitted"));
    }

    fn step(&mut self, number: usize, begun: StartedExchange) {
        let router = &mut self.routers[number];
        match router.next(self.now, begun.id) {
            Step::Send(attempt) => {
                if router.may_send(self.now, begun.id, attempt.id) {
                    let told = self.told.get(&number);
                    let counts = told.is_some_and(|told| self.now >= *told + TOLD);
                    self.arrivals.extend(counts.then_some(self.now));
                }
                self.ends.push((self.now + WORK, number, begun, attempt));
            }
            Step::Wait(until) => self.waiting.push((until, number, begun)),
            Step::Finish(_) | Step::Ended => {}
        }
    }

    /// Lets `per_second` requests come for `length`, at any router.
    fn run(&mut self, length: Duration, per_second: u64, random: &mut ChaCha8Rng) {
        let step = Duration::from_millis(2);
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + step;
            self.end_work();
            self.answer_asks();
            self.wake();
            if random.random_bool(per_second as f64 * step.as_secs_f64()) {
                self.request(random.random_range(0..self.routers.len()));
            }
            self.ask();
        }
    }

    fn end_work(&mut self) {
        let now = self.now;
        let (over, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(end, ..)| *end <= now);
        self.ends = rest;
        for (_, number, begun, attempt) in over {
            let router = &mut self.routers[number];
            let told = ReportedLimit::Rate(self.limit);
            router.on_response_head(now, begun.id, attempt.id, &limit(told));
            self.told.entry(number).or_insert(now);
            router.on_attempt_end(now, begun.id, attempt.id, &answered());
        }
    }

    fn ask(&mut self) {
        for number in 0..self.routers.len() {
            for (service, asks) in self.routers[number].take_token_requests() {
                self.asked.push(Asked {
                    number,
                    service,
                    asks,
                    at: self.now,
                });
            }
        }
    }

    fn answer_asks(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.asked)
            .into_iter()
            .partition(|asked| asked.at + ROUND_TRIP <= now);
        self.asked = rest;
        for asked in due {
            let router = &mut self.routers[asked.number];
            if !self.reachable {
                router.on_token_request_failed(now, &asked.service, &asked.asks);
                continue;
            }
            let ledger = &mut self.ledger;
            let grants = asked.asks.iter().map(|ask| ledger.grant(now, ask, true));
            let grants: Vec<_> = grants.collect();
            router.on_token_grants(now, &asked.service, asked.at, &grants);
        }
    }

    fn wake(&mut self) {
        let mut woken = Vec::new();
        for (number, router) in self.routers.iter_mut().enumerate() {
            woken.extend(router.take_woken().into_iter().map(|id| (number, id)));
        }
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(until, number, begun)| {
                *until <= now || woken.contains(&(*number, begun.id))
            });
        self.waiting = rest;
        for (_, number, begun) in due {
            self.step(number, begun);
        }
    }

    /// Most requests that arrived within one window, from when the limit is to
    /// be kept.
    fn busiest(&self) -> usize {
        let from = self.begun + CONTACT;
        let bound: Vec<Timestamp> = self
            .arrivals
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |last: &Timestamp| {
            let window = |at: &&Timestamp| **at <= *last && last.since(**at) < WINDOW;
            bound.iter().filter(window).count()
        };
        bound.iter().map(within).max().unwrap_or(0)
    }
}

fn all_owned(name: &str) -> OwnershipView {
    OwnershipView::of(&OwnershipRecord {
        term: Term(1),
        next_fence: Fence(2),
        slices: vec![Slice {
            range: KeyRange::ALL,
            fence: Fence(1),
            state: SliceState::Owned {
                owner: Owner {
                    name: name.into(),
                    address: SocketAddr::from(([10, 0, 0, 1], 1)),
                },
                handover: None,
            },
        }],
        former: Vec::new(),
    })
}

/// Runs routers for 20 s after the limit has to be kept; requests a second that
/// those sent that were told of it.
fn sent_within_bound(count: usize, keyed: bool, limit: f64, per_second: u64) -> f64 {
    const LENGTH: Duration = Duration::from_secs(20);
    let seed = count as u64;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut routers = Routers::new(count, keyed, limit, seed);
    routers.run(CONTACT + LENGTH, per_second, &mut random);
    let busiest = routers.busiest();
    let allowed = allowed(limit);
    assert!(
        busiest <= allowed,
        "{count} routers, limit {limit}: {busiest} of {allowed}"
    );
    let from = routers.begun + CONTACT;
    let sent = routers.arrivals.iter().filter(|at| **at >= from);
    sent.count() as f64 / LENGTH.as_secs_f64()
}

/// Invariant: tokens keep routers that were told within the limit, however many
/// there are, and use most of it.
#[test]
fn owner_that_names_a_limit_is_asked_within_it_by_any_number_of_routers() {
    // Of more routers few have been told by then.
    for count in [1, 3, 11, 30] {
        for limit in [0.5, 2.1, 6.0] {
            let sent = sent_within_bound(count, true, limit, 20);
            assert!(sent > 0.8 * limit, "{count} routers: {sent} of {limit}");
        }
    }
}

#[test]
fn back_end_without_keys_that_names_a_limit_is_asked_within_it_by_any_number_of_routers() {
    for count in [1, 3, 11, 30, 80, 300] {
        for limit in [0.5, 2.1, 6.0] {
            sent_within_bound(count, false, limit, 20);
        }
    }
    for count in [1, 3, 11] {
        let sent = sent_within_bound(count, false, 2.1, 20);
        assert!(sent > 1.2, "{count} routers: {sent} of 2.1");
    }
}

#[test]
fn owner_that_names_a_limit_gets_nothing_while_nobody_gives_out_tokens() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut routers = Routers::new(11, true, 2.0, 5);
    routers.reachable = false;
    routers.run(CONTACT * 3, 20, &mut random);
    assert_eq!(routers.busiest(), 0);
}

#[test]
fn limit_that_routers_without_a_count_hear_of_opens_no_turn() {
    let mut station = Station::with(Settings::default(), 1);
    station.back_ends = vec![back_end("p-near", "plain", "near", 1)];
    station.publish();
    name_limit(&mut station, "safe", None, ReportedLimit::Rate(5.0));
    for _ in 0..40 {
        let begun = station.begin("safe").expect("admitted");
        assert!(!matches!(station.next(&begun), Step::Send(_)));
        station.after(100);
    }
}

/// Sends one request, and lets its answer name a limit.
fn name_limit(station: &mut Station, route: &str, key: Option<u16>, told: ReportedLimit) {
    let begun = station.begin_with(route, key).expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    let now = station.now;
    station
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, &limit(told));
    station.end(&begun, &attempt, answered());
}

fn is_limited(station: &mut Station) -> bool {
    let begun = station.begin_with("keyed", Some(7)).expect("admitted");
    let limited = match station.next(&begun) {
        Step::Wait(_) => station.dispatcher.wants_tokens(),
        _ => false,
    };
    station.dispatcher.abandon(station.now, begun.id);
    limited
}

#[test]
fn answer_to_a_request_sent_before_the_limit_was_heard_lifts_and_raises_nothing() {
    let mut station = Station::new();
    let early = station.begin_with("keyed", Some(7)).expect("admitted");
    let attempt = station.send(&early);
    station.after(5);
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(2.0));
    for told in [ReportedLimit::None, ReportedLimit::Rate(50.0)] {
        let now = station.now;
        station
            .dispatcher
            .on_response_head(now, early.id, attempt.id, &limit(told));
    }
    assert!(is_limited(&mut station));
    let asks = station.dispatcher.take_token_requests();
    assert_eq!(asks[&ServiceName::from("keyed")][0].rate, 2.0);
}

/// Gives the router one token, as the coordinator does.
fn give_token(station: &mut Station) {
    let service = ServiceName::from("keyed");
    for asks in station.dispatcher.take_token_requests().into_values() {
        let mut ledger = TokenBuckets::default();
        ledger.grant(station.now, &asks[0], true);
        station.after(2_000);
        let asked = station.now;
        let grant = ledger.grant(asked, &asks[0], true);
        assert_eq!(grant.tokens, 1);
        station
            .dispatcher
            .on_token_grants(asked, &service, asked, &[grant]);
    }
}

#[test]
fn later_answer_without_a_limit_lifts_it() {
    let mut station = Station::new();
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(2.0));
    assert!(is_limited(&mut station));
    give_token(&mut station);
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::None);
    assert!(!is_limited(&mut station));
    let news = station.dispatcher.take_back_end_events();
    assert!(matches!(news[0], BackEndEvent::Limited { rate: 2.0, .. }));
    assert!(matches!(news[1], BackEndEvent::LimitLifted { .. }));
}

#[test]
fn limits_that_are_odd_have_a_defined_meaning() {
    // What is told, and the limit by which tokens are asked for.
    let cases = [
        (ReportedLimit::Rate(0.0), Some(0.1)),
        (ReportedLimit::Rate(0.01), Some(0.1)),
        (ReportedLimit::Rate(1e9), None),
        (ReportedLimit::Unreadable, None),
    ];
    for (told, rate) in cases {
        let mut station = Station::new();
        name_limit(&mut station, "keyed", Some(7), told);
        assert_eq!(is_limited(&mut station), rate.is_some(), "{told:?}");
        let asks = station.dispatcher.take_token_requests();
        let asked = asks.values().next().map(|asks| asks[0].rate);
        assert_eq!(asked, rate, "{told:?}");
    }
}

#[test]
fn limit_that_cannot_be_read_leaves_the_one_before_in_force_and_is_told_once() {
    let mut station = Station::new();
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(2.0));
    station.dispatcher.take_back_end_events();
    assert!(is_limited(&mut station));
    give_token(&mut station);
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Unreadable);
    assert!(is_limited(&mut station));
    let news = station.dispatcher.take_back_end_events();
    assert!(matches!(news[..], [BackEndEvent::LimitUnreadable { .. }]));
}

#[test]
fn list_that_lacks_a_limited_back_end_for_a_moment_lifts_nothing() {
    let mut station = Station::new();
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(2.0));
    let all = std::mem::take(&mut station.back_ends);
    station.publish();
    station.after(1_000);
    station.back_ends = all;
    station.publish();
    assert!(is_limited(&mut station));
}

#[test]
fn request_that_was_chosen_before_the_limit_was_heard_is_not_sent_after() {
    let mut station = Station::new();
    let slow = station.begin_with("keyed", Some(7)).expect("admitted");
    let Step::Send(attempt) = station.next(&slow) else {
        panic!("not sent");
    };
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(2.0));
    let now = station.now;
    assert!(!station.dispatcher.may_send(now, slow.id, attempt.id));
}

#[test]
fn request_beyond_the_limit_is_refused_at_once_with_the_time_of_the_next_token() {
    let mut station = Station::new();
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(1.0));
    let begun = station.begin_with("keyed", Some(7)).expect("admitted");
    assert!(matches!(station.next(&begun), Step::Wait(_)));
    let asked = station.now;
    let mut ledger = TokenBuckets::default();
    for (service, asks) in station.dispatcher.take_token_requests() {
        let grant = ledger.grant(asked, &asks[0], true);
        station.after(5);
        let now = station.now;
        station
            .dispatcher
            .on_token_grants(now, &service, asked, &[grant]);
    }
    assert_eq!(station.dispatcher.take_woken(), vec![begun.id]);
    let step = station.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::BackEndLimited);
    let wait = refusal.retry_after.expect("a time");
    assert!(wait >= Duration::from_millis(900), "{wait:?}");
    let next = station.begin_with("keyed", Some(7)).expect("admitted");
    let at_once = station.next(&next);
    assert!(is_refused(&at_once), "{at_once:?}");
}

#[test]
fn grant_of_any_number_of_tokens_takes_little_memory() {
    let mut station = Station::new();
    name_limit(&mut station, "keyed", Some(7), ReportedLimit::Rate(1.0));
    assert!(is_limited(&mut station));
    let asked = station.now;
    for (service, asks) in station.dispatcher.take_token_requests() {
        let grant = TokenGrant {
            back_end: asks[0].back_end.clone(),
            tokens: u32::MAX,
            wait_ms: 0,
        };
        station
            .dispatcher
            .on_token_grants(asked, &service, asked, &[grant]);
    }
    let mut sent = 0;
    for _ in 0..40 {
        let begun = station.begin_with("keyed", Some(7)).expect("admitted");
        let Step::Send(attempt) = station.next(&begun) else {
            break;
        };
        assert!(
            station
                .dispatcher
                .may_send(station.now, begun.id, attempt.id)
        );
        station.end(&begun, &attempt, answered());
        sent += 1;
    }
    assert_eq!(sent, 16);
}

/// Others have room: callers notice nothing of the limit.
#[test]
fn requests_without_a_key_go_to_back_ends_that_name_no_limit() {
    let mut station = Station::new();
    station.back_ends.push(back_end("p-2", "plain", "near", 9));
    station.publish();
    for _ in 0..8 {
        name_limit_of(&mut station, "p-near");
    }
    for _ in 0..20 {
        let attempt = station.answer_one("safe", 20);
        assert_ne!(attempt.back_end.as_str(), "p-near");
    }
}

/// The same where only answers of one back end name it.
fn name_limit_of(station: &mut Station, name: &str) {
    let begun = station.begin("safe").expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    let told = match attempt.back_end.as_str() == name {
        true => ReportedLimit::Rate(0.1),
        false => ReportedLimit::None,
    };
    let now = station.now;
    station
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, &limit(told));
    station.end(&begun, &attempt, answered());
}
