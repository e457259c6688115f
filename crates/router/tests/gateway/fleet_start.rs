//! A zone whose gateways all start at the same moment, as after the loss of all
//! of them: members and states in virtual time, over links that carry one
//! answer after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge::gateway::cluster_state::ClusterState;
use threadledge::gateway::followers::follower_capacity;
use threadledge::gateway::sync::Delta;
use threadledge::gateway::takeover_delay;
use threadledge::gateway::watcher::Update;
use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_ports::Listing;
use threadledge_relay::{Action, HeldPoll, Member, PollOutcome, RelayRecord, Settings, Source};
use threadledge_types::deployment::{BackEnd, BackEndName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

use super::samples::{back_end, empty_state, entry};

const STEP_MS: u64 = 5;
/// Reading of all clocks at the start.
const START_MS: u64 = 3_600_000;
/// Time of a call to the store.
const STORE_MS: u64 = 6;
/// Minimum and maximum one-way delay between two gateways.
const LATENCY_MS: [u64; 2] = [1, 10];
/// Time without a poll after which a follower is dropped.
const FOLLOWER_TIMEOUT_MS: u64 = 2_500;
/// A quarter of the back ends of the largest deployment, over links a quarter
/// as fast: an answer takes as long, and the test a quarter of the time.
const SCALE: f64 = 0.25;
const BACK_ENDS: u64 = 2_500;
const FAST_MBPS: f64 = 200.0 * SCALE;
const SLOW_MBPS: f64 = 20.0 * SCALE;
/// Gateways of a zone that have a fast link.
const FAST_GATEWAYS: usize = 10;
/// Back ends in one page of the store's list.
const PAGE: u64 = 50;
/// Size of a registration in the store's list, in bytes.
const REGISTRATION_BYTES: f64 = 350.0;
/// Time after which all gateways serve again.
const AIM_MS: u64 = 5_000;
const END_MS: u64 = 60_000;

/// Call in flight.
enum Call {
    /// Call to the store, with the time of its response.
    Store(u64, Action),
    /// Poll on its way to a gateway.
    Polling(u64, usize),
    /// Poll held by a gateway.
    Held(HeldPoll, usize),
    /// Response on its way back, with the freshness of its sender.
    Responding(u64, Timestamp, Box<Delta>),
    /// Refusal of a gateway at capacity on its way back.
    Refused(u64, Vec<SocketAddr>),
}

struct Gateway {
    member: Member,
    state: ClusterState,
    mbps: f64,
    /// When the link has sent all earlier answers.
    link_free_ms: f64,
    call: Option<Call>,
    /// Followers with the time of their last poll.
    followers: BTreeMap<usize, u64>,
    /// Start of the last call that the store answered.
    store_answered: Timestamp,
    /// Pages of the store's list that were read, and when the next one arrives.
    pages: u64,
    page_due_ms: u64,
    complete_ms: Option<u64>,
}

struct Zone {
    random: ChaCha8Rng,
    now: u64,
    gateways: Vec<Gateway>,
    record: Option<Versioned<RelayRecord>>,
    registered: Listing<BackEnd>,
    /// Mean size of a back end in an answer, in bytes.
    back_end_bytes: f64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number as u16 + 1))
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn identity(number: usize, incarnation: u64) -> NodeIdentity {
    NodeIdentity {
        node: MachineName(format!("node-{number}")),
        incarnation: Incarnation(incarnation),
        address: Some(address(number)),
    }
}

fn link_mbps(number: usize) -> f64 {
    if number < FAST_GATEWAYS {
        FAST_MBPS
    } else {
        SLOW_MBPS
    }
}

fn gateway(number: usize, random: &mut ChaCha8Rng) -> Gateway {
    let mbps = link_mbps(number);
    // The delay depends on the real speed of the link.
    let claim_delay = takeover_delay::for_relay(mbps / SCALE, random.random());
    let me = identity(number, 2);
    let settings = Settings::default();
    let mut state = empty_state();
    state.set_link_speed(mbps);
    Gateway {
        member: Member::new(
            Timestamp::from_millis(START_MS),
            me,
            settings,
            claim_delay,
            number as u64,
        ),
        state,
        mbps,
        link_free_ms: 0.0,
        call: None,
        followers: BTreeMap::new(),
        store_answered: Timestamp::ZERO,
        pages: 0,
        page_due_ms: 0,
        complete_ms: None,
    }
}

/// All registrations, as processes that may restart under their id have them.
fn registrations() -> Listing<BackEnd> {
    let entries = (1..=BACK_ENDS).map(|number| {
        let id = format!("i-{:08x}", number * 7_919);
        let name = BackEndName::new(&id, Some(1_780_000_000_000 + number));
        let value = BackEnd {
            name,
            registration: number,
            ..back_end(&id, false)
        };
        entry(&id, number, value)
    });
    Listing {
        entries: entries.collect(),
        at: BACK_ENDS,
    }
}

/// Mean size of a back end in an answer, in bytes.
fn back_end_bytes(registered: &Listing<BackEnd>) -> f64 {
    let mut state = empty_state();
    state.set_link_speed(10_000.0);
    state.set_follower_count(1);
    state.apply_back_ends(Update::Listed(registered.clone()), Timestamp::ZERO);
    let delta = state.delta_since(&empty_state().position(), Timestamp::ZERO);
    let bytes = serde_json::to_vec(&delta).expect("serialized").len();
    bytes as f64 / delta.back_ends.len() as f64
}

impl Zone {
    /// A zone whose record names the former life of the gateway `relay`.
    fn new(gateways: usize, relay: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(gateways as u64);
        let registered = registrations();
        let value = RelayRecord {
            holder: identity(relay, 1),
            members: gateways as u32,
        };
        Zone {
            now: START_MS,
            gateways: (0..gateways)
                .map(|each| gateway(each, &mut random))
                .collect(),
            random,
            record: Some(Versioned { value, revision: 1 }),
            back_end_bytes: back_end_bytes(&registered),
            registered,
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    /// Returns when a short message sent now arrives.
    fn arrival(&mut self) -> u64 {
        self.now + self.random.random_range(LATENCY_MS[0]..=LATENCY_MS[1])
    }

    fn seen(&self, index: usize) -> Timestamp {
        match self.gateways[index].member.source(self.time()) {
            Source::Relay { seen, .. } => seen,
            Source::Store => self.gateways[index].store_answered,
            _ => Timestamp::ZERO,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for index in 0..self.gateways.len() {
            if let Some(call) = self.gateways[index].call.take() {
                self.gateways[index].call = self.advance_call(index, call);
            }
            if self.gateways[index].call.is_none() {
                self.start_call(index);
            }
            self.read_store(index);
            let gateway = &mut self.gateways[index];
            if gateway.complete_ms.is_none() && !gateway.state.is_partial() {
                gateway.complete_ms = Some(self.now);
            }
        }
    }

    /// Reads the next page of the store's list at a gateway that watches the
    /// store itself.
    fn read_store(&mut self, index: usize) {
        let (time, now) = (self.time(), self.now);
        let gateway = &mut self.gateways[index];
        let watches = gateway.member.source(time) == Source::Store;
        if !watches || !gateway.state.is_partial() || now < gateway.page_due_ms {
            return;
        }
        if gateway.page_due_ms > 0 {
            gateway.pages += 1;
        }
        if gateway.pages * PAGE >= BACK_ENDS {
            let listed = Update::Listed(self.registered.clone());
            gateway.state.apply_back_ends(listed, time);
            return;
        }
        let page_bits = PAGE as f64 * REGISTRATION_BYTES * 8.0;
        let transfer_ms = page_bits / (gateway.mbps * 1e3);
        gateway.page_due_ms = now + STORE_MS + transfer_ms as u64;
    }

    fn start_call(&mut self, index: usize) {
        let (time, now) = (self.time(), self.now);
        let arrival = self.arrival();
        let gateway = &mut self.gateways[index];
        gateway.member.set_complete(!gateway.state.is_partial());
        let Some(action) = gateway.member.poll(time) else {
            return;
        };
        gateway.call = Some(match action {
            Action::Poll(to) => Call::Polling(arrival, number(to)),
            action => Call::Store(now + STORE_MS, action),
        });
    }

    fn advance_call(&mut self, index: usize, call: Call) -> Option<Call> {
        let (time, now) = (self.time(), self.now);
        let deadline = self.gateways[index].member.poll_deadline();
        let late = deadline.is_some_and(|deadline| time >= deadline);
        match call {
            Call::Store(due, _) if now < due => return Some(call),
            Call::Store(_, action) => self.answer_store(index, action),
            _ if late => {
                let member = &mut self.gateways[index].member;
                member.on_poll(time, PollOutcome::TimedOut);
            }
            Call::Polling(due, _) | Call::Responding(due, ..) | Call::Refused(due, _)
                if now < due =>
            {
                return Some(call);
            }
            Call::Polling(_, to) => return Some(self.deliver_poll(index, to)),
            Call::Held(held, to) => return Some(self.answer_poll(index, held, to)),
            Call::Refused(_, others) => {
                let member = &mut self.gateways[index].member;
                member.on_poll(time, PollOutcome::AtCapacity(others));
            }
            Call::Responding(_, seen, delta) => {
                let gateway = &mut self.gateways[index];
                let has_changes = !delta.is_empty();
                gateway.state.apply_delta(*delta, time);
                gateway.member.set_complete(!gateway.state.is_partial());
                let outcome = PollOutcome::Answered { seen, has_changes };
                gateway.member.on_poll(time, outcome);
            }
        }
        None
    }

    /// Delivers a poll.
    fn deliver_poll(&mut self, index: usize, to: usize) -> Call {
        let now = self.now;
        let capacity = follower_capacity(self.gateways[to].mbps / SCALE);
        let followers = &mut self.gateways[to].followers;
        followers.retain(|_, at| now < *at + FOLLOWER_TIMEOUT_MS);
        if followers.len() >= capacity && !followers.contains_key(&index) {
            let others = followers.keys().map(|each| address(*each)).collect();
            return Call::Refused(self.arrival(), others);
        }
        followers.insert(index, now);
        let hold = if self.gateways[index].member.is_joining() {
            Duration::ZERO
        } else {
            Settings::default().max_hold
        };
        Call::Held(HeldPoll::new(self.time(), self.seen(to), hold), to)
    }

    /// Answers a poll as soon as there is something to send, over the link that
    /// all followers of the gateway `to` share.
    fn answer_poll(&mut self, index: usize, held: HeldPoll, to: usize) -> Call {
        let (time, seen) = (self.time(), self.seen(to));
        let known = self.gateways[index].state.position();
        let has_news = self.gateways[to].state.position().back_ends > known.back_ends;
        if !has_news && !held.is_due(time, seen) {
            return Call::Held(held, to);
        }
        let arrival = self.arrival();
        let sender = &mut self.gateways[to];
        let followers = sender.followers.len();
        sender.state.set_follower_count(followers);
        let delta = sender.state.delta_since(&known, time);
        let bits = delta.back_ends.len() as f64 * self.back_end_bytes * 8.0;
        let begin = sender.link_free_ms.max(self.now as f64);
        sender.link_free_ms = begin + bits / (sender.mbps * 1e3);
        let due = arrival.max(sender.link_free_ms as u64);
        Call::Responding(due, seen, Box::new(delta))
    }

    fn answer_store(&mut self, index: usize, action: Action) {
        let time = self.time();
        self.gateways[index].store_answered = Timestamp::from_millis(self.now - STORE_MS);
        match action {
            Action::Read => {
                let found = ReadResult::Found(self.record.clone());
                self.gateways[index].member.on_read(time, found);
            }
            Action::Claim(value, condition) => {
                let known = self.record.as_ref().map(|known| known.revision);
                let result = match condition {
                    Condition::Absent if known.is_none() => self.write(value, 1),
                    Condition::Revision(wanted) if known == Some(wanted) => {
                        self.write(value, wanted + 1)
                    }
                    _ => WriteResult::Conflict(self.record.clone()),
                };
                self.gateways[index].member.on_claim(time, result);
            }
            Action::Poll(_) => {}
        }
    }

    fn write(&mut self, value: RelayRecord, revision: u64) -> WriteResult<RelayRecord> {
        self.record = Some(Versioned { value, revision });
        WriteResult::Accepted(revision)
    }

    fn is_complete(&self) -> bool {
        let mut gateways = self.gateways.iter();
        gateways.all(|gateway| gateway.complete_ms.is_some())
    }
}

/// Starts all gateways of a zone at once, after a life in which the gateway
/// `relay` was the relay, and returns when each has its first complete list, in
/// ascending order.
fn times_to_complete_list(gateways: usize, relay: usize) -> Vec<u64> {
    let mut zone = Zone::new(gateways, relay);
    while zone.now < START_MS + END_MS && !zone.is_complete() {
        zone.step();
    }
    let times = zone.gateways.iter();
    let times = times.map(|gateway| gateway.complete_ms.unwrap_or(START_MS + END_MS) - START_MS);
    let mut times: Vec<u64> = times.collect();
    times.sort_unstable();
    times
}

/// Guards against lists that go to all gateways of a zone over one link:
/// after the loss of all gateways they refused requests for a minute.
#[test]
fn all_gateways_know_the_back_ends_soon_after_all_were_lost() {
    let mut late = Vec::new();
    for (gateways, relay) in [(50, 49), (200, 199), (400, 0)] {
        let times = times_to_complete_list(gateways, relay);
        let (half, last) = (times[gateways / 2], times[gateways - 1]);
        let case = format!("{gateways} gateways, formerly the relay: {relay}");
        let times = format!("half after {half} ms, the last after {last} ms");
        println!("{case}: {times}");
        if last > AIM_MS {
            late.push(format!("{case}: {times}"));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}
