//! Two tiers of relays: the state of a follower in a zone stays fresh, even
//! while the region's relay is being lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_relay::{Action, Member, PollOutcome, RelayRecord, Settings, Source};
use threadledge_types::{Incarnation, MachineName, Timestamp};

/// Duration of a call to a store in another region.
const STORE_MS: u64 = 28;
/// Round trip of a poll between zones.
const POLL_RTT_MS: u64 = 2;
const SETTLED_MS: u64 = 3_000;
const END_MS: u64 = 30_000;

/// Node numbers of the region's relay, the relay of another of its zones, and a
/// follower of the latter.
const REGION_RELAY: u16 = 1;
const ZONE_RELAY: u16 = 2;
const FOLLOWER: u16 = 3;

struct Node {
    member: Member,
    settings: Settings,
    record: &'static str,
    /// Call in flight: its start, its end and its action.
    call: Option<(u64, u64, Action)>,
    /// Start of the last call that the store answered.
    store_answered: u64,
    /// The same time for the node's relay, as last reported.
    relay_seen: u64,
    frozen: bool,
    cut_off: bool,
}

struct Fleet {
    now: u64,
    nodes: BTreeMap<u16, Node>,
    records: BTreeMap<&'static str, Versioned<RelayRecord>>,
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn identity(number: u16) -> NodeIdentity {
    NodeIdentity {
        node: MachineName(format!("node-{number}")),
        incarnation: Incarnation(1),
        address: Some(address(number)),
    }
}

fn node(number: u16, settings: Settings, record: &'static str) -> Node {
    let start = Timestamp::ZERO;
    let claim_delay = Duration::from_millis(50 * u64::from(number));
    let seed = u64::from(number);
    Node {
        member: Member::new(start, identity(number), settings, claim_delay, seed),
        settings,
        record,
        call: None,
        store_answered: 0,
        relay_seen: 0,
        frozen: false,
        cut_off: false,
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Fleet {
    fn new() -> Self {
        let nodes = [
            (
                REGION_RELAY,
                node(REGION_RELAY, Settings::for_region(), "region"),
            ),
            (
                ZONE_RELAY,
                node(ZONE_RELAY, Settings::for_region(), "region"),
            ),
            (FOLLOWER, node(FOLLOWER, Settings::default(), "zone")),
        ];
        let holder = identity(ZONE_RELAY);
        let value = RelayRecord { holder, members: 2 };
        let zone = Versioned { value, revision: 1 };
        Fleet {
            now: 0,
            nodes: nodes.into(),
            records: BTreeMap::from([("zone", zone)]),
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn source(&self, number: u16) -> Source {
        self.nodes[&number].member.source(self.time())
    }

    /// Returns the time as of which the store is known to have responded.
    fn seen(&self, number: u16) -> u64 {
        match self.source(number) {
            Source::Relay { seen, .. } => seen.as_micros() / 1_000,
            Source::Store => self.nodes[&number].store_answered,
            // The node watches nothing, and a read alone does not refresh its
            // state.
            _ => self.nodes[&number].relay_seen,
        }
    }

    fn step(&mut self) {
        self.now += 1;
        for number in [REGION_RELAY, ZONE_RELAY, FOLLOWER] {
            if self.nodes[&number].frozen {
                continue;
            }
            self.end_call(number);
            if let Source::Relay { seen, .. } = self.source(number) {
                self.nodes.get_mut(&number).expect("a node").relay_seen = seen.as_micros() / 1_000;
            }
            let now = self.time();
            let node = self.nodes.get_mut(&number).expect("a node");
            let Some(action) = node.member.poll(now) else {
                continue;
            };
            let takes = match &action {
                Action::Read | Action::Claim(..) => STORE_MS,
                Action::Poll(_) if node.member.is_joining() => POLL_RTT_MS,
                Action::Poll(_) => millis(node.settings.max_hold) + POLL_RTT_MS,
            };
            node.call = Some((self.now, self.now + takes, action));
        }
    }

    fn end_call(&mut self, number: u16) {
        let Some((asked, ends, action)) = self.nodes[&number].call.clone() else {
            return;
        };
        let silence = millis(self.nodes[&number].settings.poll_timeout);
        let deadline = self.nodes[&number].member.poll_deadline();
        let (now, time) = (self.now, self.time());
        if let Action::Poll(upstream) = action {
            let upstream = upstream.port();
            let silent = self.nodes[&upstream].frozen;
            let outcome = if !silent && now >= ends {
                let seen = Timestamp::from_millis(self.seen(upstream));
                PollOutcome::Answered {
                    seen,
                    has_changes: false,
                }
            } else if now >= asked + silence {
                PollOutcome::Failed
            } else if deadline.is_some_and(|deadline| time >= deadline) {
                PollOutcome::TimedOut
            } else {
                return;
            };
            let node = self.nodes.get_mut(&number).expect("a node");
            node.call = None;
            node.member.on_poll(time, outcome);
            return;
        }
        if now < ends {
            return;
        }
        let node = self.nodes.get_mut(&number).expect("a node");
        node.call = None;
        let known = self.records.get(node.record).cloned();
        if !node.cut_off {
            node.store_answered = asked;
        }
        match action {
            Action::Read if node.cut_off => node.member.on_read(time, ReadResult::Failed),
            Action::Read => node.member.on_read(time, ReadResult::Found(known)),
            Action::Claim(value, condition) => {
                let revision = known.as_ref().map(|known| known.revision);
                let holds = match condition {
                    Condition::Absent => revision.is_none(),
                    Condition::Revision(wanted) => revision == Some(wanted),
                };
                let result = if node.cut_off {
                    WriteResult::NotDone
                } else if holds {
                    let revision = revision.unwrap_or(1) + 1;
                    let record = node.record;
                    self.records.insert(record, Versioned { value, revision });
                    WriteResult::Accepted(revision)
                } else {
                    WriteResult::Conflict(known)
                };
                node.member.on_claim(time, result);
            }
            Action::Poll(_) => {}
        }
    }

    /// Runs until `until` and checks in each step that the follower follows its
    /// relay.
    fn run_fresh(&mut self, until: u64) {
        while self.now < until {
            self.step();
            let source = self.source(FOLLOWER);
            let told = matches!(source, Source::Relay { .. });
            assert!(told, "at {} ms: {source:?}", self.now);
        }
    }

    fn settled() -> Self {
        let mut fleet = Fleet::new();
        while fleet.now < SETTLED_MS {
            fleet.step();
        }
        assert!(fleet.nodes[&REGION_RELAY].member.is_relay());
        assert!(matches!(fleet.source(ZONE_RELAY), Source::Relay { .. }));
        fleet
    }

    fn region_is_relayed_by(&self, number: u16) -> bool {
        self.records["region"].value.holder == identity(number)
    }
}

#[test]
fn tree_is_stable_without_faults() {
    let mut fleet = Fleet::settled();
    fleet.run_fresh(END_MS);
    assert!(fleet.region_is_relayed_by(REGION_RELAY));
    assert_eq!(fleet.records["region"].revision, 2, "written once");
}

#[test]
fn followers_stay_fresh_while_the_relay_of_the_region_is_lost() {
    for lost_at in (SETTLED_MS..SETTLED_MS + 700).step_by(7) {
        let mut fleet = Fleet::settled();
        fleet.run_fresh(lost_at);
        fleet.nodes.get_mut(&REGION_RELAY).expect("it").frozen = true;
        fleet.run_fresh(lost_at + 5_000);
        assert!(fleet.region_is_relayed_by(ZONE_RELAY));
        fleet.nodes.get_mut(&REGION_RELAY).expect("it").frozen = false;
        fleet.run_fresh(lost_at + 10_000);
        assert!(fleet.region_is_relayed_by(ZONE_RELAY));
        assert!(matches!(fleet.source(REGION_RELAY), Source::Relay { .. }));
    }
}

#[test]
fn followers_stay_fresh_while_the_store_rejects_the_relay_of_the_region() {
    for cut_at in (SETTLED_MS..SETTLED_MS + 700).step_by(7) {
        let mut fleet = Fleet::settled();
        fleet.run_fresh(cut_at);
        fleet.nodes.get_mut(&REGION_RELAY).expect("it").cut_off = true;
        fleet.run_fresh(cut_at + 5_000);
        assert!(fleet.region_is_relayed_by(ZONE_RELAY));
    }
}
