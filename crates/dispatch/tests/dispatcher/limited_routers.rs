//! A simulation of many routers in front of one back end that reports a rate
//! limit.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::tokens::TokenBuckets;
use threadledge_coordination::{
    Fence, Owner, OwnershipRecord, OwnershipView, Slice, SliceState, Term, TokenRequest,
};
use threadledge_dispatch::{
    Attempt, Dispatcher, ReportedLimit, RequestHead, RequestInfo, Settings, Signals,
    StartedExchange, Step,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange, ServiceName, ShardKey, Topology};

use super::support::{HOST, answered, back_end, configuration, identity, route};

const WINDOW: Duration = Duration::from_secs(4);
/// Time that a back end takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Time from a token request to its answer.
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Time after which a limit must be kept once it was first reported.
pub const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Time from when a router learns of the limit until its requests are counted.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Signals that report `limit` and nothing else.
pub fn limit(limit: ReportedLimit) -> Signals {
    Signals {
        limit,
        ..Signals::default()
    }
}

/// Largest number of requests within one window that keeps `limit`.
pub fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// A token request that has not been answered.
struct PendingTokenRequest {
    number: usize,
    service: ServiceName,
    asks: Vec<TokenRequest>,
    at: Timestamp,
}

/// Routers in front of one back end with a rate limit, and the coordinator that
/// grants its tokens.
pub struct Routers {
    routers: Vec<Dispatcher>,
    keyed: bool,
    limit: f64,
    ledger: TokenBuckets,
    /// Whether routers reach the coordinator.
    pub reachable: bool,
    now: Timestamp,
    pub begun: Timestamp,
    in_flight: Vec<(Timestamp, usize, StartedExchange, Attempt)>,
    waiting: Vec<(Timestamp, usize, StartedExchange)>,
    token_requests: Vec<PendingTokenRequest>,
    /// When each router first learned of the limit.
    limit_known_at: BTreeMap<usize, Timestamp>,
    /// Arrivals from routers that learned of the limit at least half a second
    /// before.
    pub arrivals: Vec<Timestamp>,
    /// Number of requests so far.
    pub requests: usize,
}

impl Routers {
    /// `count` routers in front of one back end with `limit`.
    pub fn new(count: usize, keyed: bool, limit: f64, seed: u64) -> Self {
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
            in_flight: Vec::new(),
            waiting: Vec::new(),
            token_requests: Vec::new(),
            limit_known_at: BTreeMap::new(),
            arrivals: Vec::new(),
            requests: 0,
        }
    }

    fn request(&mut self, number: usize) {
        self.requests += 1;
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
                    let known_at = self.limit_known_at.get(&number);
                    let counts =
                        known_at.is_some_and(|known_at| self.now >= *known_at + SETTLING_TIME);
                    self.arrivals.extend(counts.then_some(self.now));
                }
                self.in_flight
                    .push((self.now + SERVICE_TIME, number, begun, attempt));
            }
            Step::Wait(until) => self.waiting.push((until, number, begun)),
            Step::Finish(_) | Step::Ended => {}
        }
    }

    /// Simulates `length` with `per_second` requests, each through a random
    /// router.
    pub fn run(&mut self, length: Duration, per_second: u64, random: &mut ChaCha8Rng) {
        let step = Duration::from_millis(2);
        let until = self.now + length;
        while self.now < until {
            self.now = self.now + step;
            self.complete_requests();
            self.answer_token_requests();
            self.wake();
            if random.random_bool(per_second as f64 * step.as_secs_f64()) {
                self.request(random.random_range(0..self.routers.len()));
            }
            self.send_token_requests();
        }
    }

    fn complete_requests(&mut self) {
        let now = self.now;
        let (over, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(end, ..)| *end <= now);
        self.in_flight = rest;
        for (_, number, begun, attempt) in over {
            let router = &mut self.routers[number];
            let reported = ReportedLimit::Rate(self.limit);
            router.on_response_head(now, begun.id, attempt.id, &limit(reported));
            self.limit_known_at.entry(number).or_insert(now);
            router.on_attempt_end(now, begun.id, attempt.id, &answered());
        }
    }

    fn send_token_requests(&mut self) {
        for number in 0..self.routers.len() {
            for (service, asks) in self.routers[number].take_token_requests() {
                self.token_requests.push(PendingTokenRequest {
                    number,
                    service,
                    asks,
                    at: self.now,
                });
            }
        }
    }

    fn answer_token_requests(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.token_requests)
            .into_iter()
            .partition(|asked| asked.at + ROUND_TRIP <= now);
        self.token_requests = rest;
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

    /// Largest number of requests that arrived within one window, counted from
    /// when the limit must be kept.
    pub fn max_in_window(&self) -> usize {
        let from = self.begun + LIMIT_GRACE;
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
