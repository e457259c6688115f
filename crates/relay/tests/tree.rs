//! A zone with more members than its relay can serve: followers poll other
//! followers, and the state of the last of them stays fresh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_relay::{Action, HeldPoll, Member, PollOutcome, RelayRecord, Settings, Source};
use threadledge_types::{Incarnation, MachineName, Timestamp};

const STEP_MS: u64 = 5;
const STORE_MS: u64 = 10;
/// Minimum and maximum one-way delay between two gateways, of which the
/// smallest have a tenth of a core.
const LATENCY_MS: [u64; 2] = [2, 30];
/// Maximum number of followers of a gateway with a fast link, and of another.
const FAN_OUT: [usize; 2] = [32, 8];
/// Gateways with a fast link.
const FAST_GATEWAYS: usize = 10;
/// Time without a poll after which a follower is dropped.
const FOLLOWER_TIMEOUT_MS: u64 = 2_500;
/// Time by which all members have found their place in the tree.
const SETTLED_MS: u64 = 8_000;
const END_MS: u64 = 38_000;

/// Call in flight.
enum Call {
    /// Call to the store, with the time of its response.
    Store(u64, Action),
    /// Poll on its way to a gateway.
    Polling(u64, usize),
    /// Poll held by a gateway.
    Held(HeldPoll, usize),
    /// Response on its way back.
    Responding(u64, PollOutcome),
}

struct Node {
    member: Member,
    call: Option<Call>,
    /// Followers with the time of their last poll.
    followers: BTreeMap<usize, u64>,
    /// Start of the last call that the store answered.
    store_answered: Timestamp,
    /// Calls to the store after [`SETTLED_MS`].
    calls: u64,
}

struct Zone {
    random: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    record: Option<Versioned<RelayRecord>>,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number as u16 + 1))
}

fn number(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn node(number: usize) -> Node {
    let me = NodeIdentity {
        node: MachineName(format!("node-{number}")),
        incarnation: Incarnation(1),
        address: Some(address(number)),
    };
    let start = Timestamp::ZERO;
    let claim_delay = Duration::from_millis(5 * number as u64);
    let seed = number as u64;
    Node {
        member: Member::new(start, me, Settings::default(), claim_delay, seed),
        call: None,
        followers: BTreeMap::new(),
        store_answered: start,
        calls: 0,
    }
}

impl Zone {
    fn new(members: usize) -> Self {
        Zone {
            random: ChaCha8Rng::seed_from_u64(members as u64),
            now: 0,
            nodes: (0..members).map(node).collect(),
            record: None,
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    /// Returns when a message sent now arrives.
    fn arrival(&mut self) -> u64 {
        self.now + self.random.random_range(LATENCY_MS[0]..=LATENCY_MS[1])
    }

    fn seen(&self, index: usize) -> Timestamp {
        match self.nodes[index].member.source(self.time()) {
            Source::Relay { seen, .. } => seen,
            Source::Store => self.nodes[index].store_answered,
            _ => Timestamp::ZERO,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for index in 0..self.nodes.len() {
            if let Some(call) = self.nodes[index].call.take() {
                self.nodes[index].call = self.advance_call(index, call);
            }
            if self.nodes[index].call.is_none() {
                self.start_call(index);
            }
        }
    }

    fn start_call(&mut self, index: usize) {
        let (time, now) = (self.time(), self.now);
        let arrival = self.arrival();
        let node = &mut self.nodes[index];
        let Some(action) = node.member.poll(time) else {
            return;
        };
        node.call = Some(match action {
            Action::Poll(to) => Call::Polling(arrival, number(to)),
            action => {
                node.calls += u64::from(now >= SETTLED_MS);
                Call::Store(now + STORE_MS, action)
            }
        });
    }

    fn advance_call(&mut self, index: usize, call: Call) -> Option<Call> {
        let (time, now) = (self.time(), self.now);
        let deadline = self.nodes[index].member.poll_deadline();
        match call {
            Call::Store(due, _) | Call::Polling(due, _) | Call::Responding(due, _) if now < due => {
                return Some(call);
            }
            Call::Store(_, action) => self.answer_store(index, action),
            Call::Polling(_, to) => return Some(self.deliver_poll(index, to)),
            Call::Held(..) if deadline.is_some_and(|deadline| time >= deadline) => {
                self.nodes[index]
                    .member
                    .on_poll(time, PollOutcome::TimedOut);
            }
            Call::Held(held, to) if held.is_due(time, self.seen(to)) => {
                let seen = self.seen(to);
                let outcome = PollOutcome::Answered {
                    seen,
                    has_changes: false,
                };
                return Some(Call::Responding(self.arrival(), outcome));
            }
            Call::Held(..) => return Some(call),
            Call::Responding(_, outcome) => self.nodes[index].member.on_poll(time, outcome),
        }
        None
    }

    /// Delivers a poll.
    fn deliver_poll(&mut self, index: usize, to: usize) -> Call {
        let now = self.now;
        let followers = &mut self.nodes[to].followers;
        followers.retain(|_, at| now < *at + FOLLOWER_TIMEOUT_MS);
        let fan_out = FAN_OUT[usize::from(to >= FAST_GATEWAYS)];
        if followers.len() >= fan_out && !followers.contains_key(&index) {
            let others = followers.keys().map(|each| address(*each)).collect();
            return Call::Responding(self.arrival(), PollOutcome::AtCapacity(others));
        }
        followers.insert(index, now);
        let hold = if self.nodes[index].member.is_joining() {
            Duration::ZERO
        } else {
            Settings::default().max_hold
        };
        Call::Held(HeldPoll::new(self.time(), self.seen(to), hold), to)
    }

    fn answer_store(&mut self, index: usize, action: Action) {
        let time = self.time();
        self.nodes[index].store_answered = Timestamp::from_millis(self.now - STORE_MS);
        match action {
            Action::Read => {
                let found = ReadResult::Found(self.record.clone());
                self.nodes[index].member.on_read(time, found);
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
                self.nodes[index].member.on_claim(time, result);
            }
            Action::Poll(_) => {}
        }
    }

    fn write(&mut self, value: RelayRecord, revision: u64) -> WriteResult<RelayRecord> {
        self.record = Some(Versioned { value, revision });
        WriteResult::Accepted(revision)
    }

    /// Counts the members by their number of hops to the relay.
    fn depths(&self) -> BTreeMap<usize, usize> {
        let mut depths = BTreeMap::new();
        for mut node in &self.nodes {
            let mut depth = 0;
            while let Some(upstream) = node.member.upstream() {
                node = &self.nodes[number(upstream)];
                depth += 1;
            }
            *depths.entry(depth).or_default() += 1;
        }
        depths
    }
}

/// Runs a zone without faults and returns the number of calls to the store by
/// all members but the relay.
fn calls_of_followers(members: usize) -> u64 {
    let mut zone = Zone::new(members);
    while zone.now < END_MS {
        zone.step();
        if zone.now < SETTLED_MS {
            continue;
        }
        for index in 0..members {
            let source = zone.nodes[index].member.source(zone.time());
            let relays = zone.nodes[index].member.is_relay();
            let told = matches!(source, Source::Relay { .. });
            assert!(relays || told, "{index} at {}: {source:?}", zone.now);
        }
    }
    let depths = zone.depths();
    assert_eq!(depths.get(&0), Some(&1), "{depths:?}");
    let followers = zone.nodes.iter().filter(|node| !node.member.is_relay());
    followers.map(|node| node.calls).sum()
}

/// Guards against hold times that add up along the tree: each member two hops
/// from the relay then lost the relay again and again and watched the store
/// itself, so that calls grew with gateways times changes.
#[test]
fn only_the_relay_of_a_large_calm_zone_calls_the_store() {
    for members in [200, 400] {
        assert_eq!(calls_of_followers(members), 0, "{members} members");
    }
}
