//! Two tiers of relays: what a follower in a zone is told stays fresh, also
//! while the relay of the region is being lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_relay::{Action, PollOutcome, Member, RelayRecord, Settings, Source};
use threadledge_types::{Incarnation, MachineName, Timestamp};

/// A call to a store in another region.
const STORE_MS: u64 = 28;
/// A poll between zones, both ways.
const WAY_MS: u64 = 2;
const SETTLED_MS: u64 = 3_000;
const END_MS: u64 = 30_000;

/// Numbers of the nodes: the region's relay, the relay of another zone of it,
/// and a follower of that one.
const UPPER: u16 = 1;
const LOWER: u16 = 2;
const FOLLOWER: u16 = 3;

struct Node {
    member: Member,
    settings: Settings,
    record: &'static str,
    /// A call under way: when it was made and ends, and what becomes of it.
    call: Option<(u64, u64, Action)>,
    /// The store last answered a call made then.
    answered: u64,
    /// The same of its relay, as last told.
    told: u64,
    frozen: bool,
    cut: bool,
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
    let patience = Duration::from_millis(50 * u64::from(number));
    let seed = u64::from(number);
    Node {
        member: Member::new(start, identity(number), settings, patience, seed),
        settings,
        record,
        call: None,
        answered: 0,
        told: 0,
        frozen: false,
        cut: false,
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Fleet {
    fn new() -> Self {
        let nodes = [
            (UPPER, node(UPPER, Settings::for_region(), "region")),
            (LOWER, node(LOWER, Settings::for_region(), "region")),
            (FOLLOWER, node(FOLLOWER, Settings::default(), "zone")),
        ];
        let holder = identity(LOWER);
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

    /// What the node knows is as if the store had answered it then.
    fn seen(&self, number: u16) -> u64 {
        match self.source(number) {
            Source::Relay { seen, .. } => seen.as_micros() / 1_000,
            Source::Store => self.nodes[&number].answered,
            // Nothing is watched: a cheap call freshens nothing.
            _ => self.nodes[&number].told,
        }
    }

    fn step(&mut self) {
        self.now += 1;
        for number in [UPPER, LOWER, FOLLOWER] {
            if self.nodes[&number].frozen {
                continue;
            }
            self.end_call(number);
            if let Source::Relay { seen, .. } = self.source(number) {
                self.nodes.get_mut(&number).expect("a node").told = seen.as_micros() / 1_000;
            }
            let now = self.time();
            let node = self.nodes.get_mut(&number).expect("a node");
            let Some(action) = node.member.poll(now) else {
                continue;
            };
            let takes = match &action {
                Action::Read | Action::Claim(..) => STORE_MS,
                Action::Poll(_) if node.member.is_joining() => WAY_MS,
                Action::Poll(_) => millis(node.settings.max_hold) + WAY_MS,
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
            let followed = if !silent && now >= ends {
                let seen = Timestamp::from_millis(self.seen(upstream));
                PollOutcome::Answered { seen, news: false }
            } else if now >= asked + silence {
                PollOutcome::Failed
            } else if deadline.is_some_and(|deadline| time >= deadline) {
                PollOutcome::TimedOut
            } else {
                return;
            };
            let node = self.nodes.get_mut(&number).expect("a node");
            node.call = None;
            node.member.on_poll(time, followed);
            return;
        }
        if now < ends {
            return;
        }
        let node = self.nodes.get_mut(&number).expect("a node");
        node.call = None;
        let known = self.records.get(node.record).cloned();
        if !node.cut {
            node.answered = asked;
        }
        match action {
            Action::Read if node.cut => node.member.on_read(time, ReadResult::Failed),
            Action::Read => node.member.on_read(time, ReadResult::Found(known)),
            Action::Claim(value, condition) => {
                let revision = known.as_ref().map(|known| known.revision);
                let holds = match condition {
                    Condition::Absent => revision.is_none(),
                    Condition::Revision(wanted) => revision == Some(wanted),
                };
                let result = if node.cut {
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

    /// Runs to `until`; the follower is told by its relay all the while.
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
        assert!(fleet.nodes[&UPPER].member.is_relay());
        assert!(matches!(fleet.source(LOWER), Source::Relay { .. }));
        fleet
    }

    fn region_is_relayed_by(&self, number: u16) -> bool {
        self.records["region"].value.holder == identity(number)
    }
}

#[test]
fn calm_leaves_the_tree_as_it_is() {
    let mut fleet = Fleet::settled();
    fleet.run_fresh(END_MS);
    assert!(fleet.region_is_relayed_by(UPPER));
    assert_eq!(fleet.records["region"].revision, 2, "written once");
}

#[test]
fn followers_stay_fresh_while_the_relay_of_the_region_is_lost() {
    for lost_at in (SETTLED_MS..SETTLED_MS + 700).step_by(7) {
        let mut fleet = Fleet::settled();
        fleet.run_fresh(lost_at);
        fleet.nodes.get_mut(&UPPER).expect("it").frozen = true;
        fleet.run_fresh(lost_at + 5_000);
        assert!(fleet.region_is_relayed_by(LOWER));
        fleet.nodes.get_mut(&UPPER).expect("it").frozen = false;
        fleet.run_fresh(lost_at + 10_000);
        assert!(fleet.region_is_relayed_by(LOWER));
        assert!(matches!(fleet.source(UPPER), Source::Relay { .. }));
    }
}

#[test]
fn followers_stay_fresh_while_the_store_turns_the_relay_of_the_region_away() {
    for cut_at in (SETTLED_MS..SETTLED_MS + 700).step_by(7) {
        let mut fleet = Fleet::settled();
        fleet.run_fresh(cut_at);
        fleet.nodes.get_mut(&UPPER).expect("it").cut = true;
        fleet.run_fresh(cut_at + 5_000);
        assert!(fleet.region_is_relayed_by(LOWER));
    }
}
