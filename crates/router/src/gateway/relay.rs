//! Watches the store for the other gateways of the zone, or follows the one
//! that does: steps [`Member`] and makes the calls that it asks for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_coordination::action::{Freshness, ReadResult, Versioned, WriteResult};
use threadledge_net::timer;
use threadledge_ports::{Entry, Ports};
use threadledge_relay::{Action, Followed, Member, RelayRecord};
use threadledge_types::Timestamp;

use super::directory::Directory;
use super::dispatch::Dispatch;
use super::follow::Update;
use super::knowledge::Marks;
use super::notifier::Notifier;
use super::peers::{FollowAnswer, FollowNews, FollowPoll, KnownLease, PeerClient};
use super::sources::Sources;
use super::store_health::StoreHealth;
use crate::events::{EventId, emit};
use crate::proxy::Clock;

/// Followers that one gateway serves; more are passed on to these.
const MOST_FOLLOWERS: usize = 32;
/// A follower that has not polled for so long is gone.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(2_500);
/// Longest wait for a member's next step.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Who asks, and what it knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Follower<'a> {
    pub(super) address: Option<SocketAddr>,
    /// Gateways that learn through it, itself included.
    pub(super) members: u32,
    pub(super) marks: &'a Marks,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Timestamp,
    members: u32,
}

/// Serves the gateways that follow this one.
pub(super) struct Followers {
    clock: Clock,
    sources: Arc<Sources>,
    heard: Mutex<BTreeMap<SocketAddr, Heard>>,
    leaving: AtomicBool,
    left: Notifier,
}

impl Followers {
    pub(super) fn new(clock: Clock, sources: Arc<Sources>) -> Self {
        Followers {
            clock,
            sources,
            heard: Mutex::default(),
            leaving: AtomicBool::new(false),
            left: Notifier::default(),
        }
    }

    /// Tells every follower to look for another relay.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.left.notify();
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Answers a poll once there is something to tell, at the latest after
    /// `hold`.
    pub(super) async fn answer(
        &self,
        directory: &Directory,
        follower: &Follower<'_>,
        peers: Vec<SocketAddr>,
        hold: Duration,
    ) -> FollowAnswer {
        if let Err(followers) = self.admit(follower) {
            return FollowAnswer::Full { followers };
        }
        let asked = self.clock.now();
        let deadline = self.clock.instant(asked + hold);
        loop {
            let changed = directory.changed.next();
            let left = self.left.next();
            if self.is_leaving() {
                return FollowAnswer::Leaving;
            }
            let differences = directory.differences_since(follower.marks);
            let now = self.clock.now();
            if !differences.is_empty() || now >= asked + hold {
                return FollowAnswer::News(Box::new(FollowNews {
                    age_ms: millis(now.since(self.sources.seen())),
                    held_ms: millis(now.since(asked)),
                    differences,
                    fleet: self.sources.fleet(),
                    leases: self.leases(),
                    peers,
                }));
            }
            // The loop finds out which of them it was.
            let _ = timer::timeout_at(deadline, futures::future::select(changed, left)).await;
        }
    }

    /// Lets a follower in, or names some of those that are.
    fn admit(&self, follower: &Follower<'_>) -> Result<(), Vec<SocketAddr>> {
        let Some(from) = follower.address else {
            return Ok(());
        };
        let now = self.clock.now();
        let mut heard = self.heard.lock();
        heard.retain(|_, heard| now.since(heard.at) < FOLLOWER_SILENCE);
        if heard.len() >= MOST_FOLLOWERS && !heard.contains_key(&from) {
            return Err(heard.keys().copied().collect());
        }
        let members = follower.members;
        heard.insert(from, Heard { at: now, members });
        Ok(())
    }

    /// Gateways that learn through this one, itself included.
    fn members(&self) -> u32 {
        let now = self.clock.now();
        let heard = self.heard.lock();
        let lately = heard
            .values()
            .filter(|heard| now.since(heard.at) < FOLLOWER_SILENCE);
        lately.fold(1, |sum, heard| sum.saturating_add(heard.members))
    }

    fn leases(&self) -> Vec<KnownLease> {
        let leases = self.sources.leases().into_iter();
        leases
            .map(|(service, Versioned { value, revision })| KnownLease {
                service,
                revision,
                lease: value,
            })
            .collect()
    }
}

/// One gateway's part in the relaying of its zone.
pub(super) struct Relaying {
    pub(super) zone: String,
    pub(super) member: Member,
    pub(super) ports: Ports,
    pub(super) clock: Clock,
    pub(super) sources: Arc<Sources>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) directory: Directory,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) client: PeerClient,
    pub(super) followers: Arc<Followers>,
}

impl Relaying {
    /// Begins; ends when this gateway leaves.
    pub(super) fn start(self) {
        self.publish();
        task::spawn(self.run());
    }

    async fn run(mut self) {
        loop {
            if self.followers.is_leaving() {
                self.member.leave();
                self.publish();
                return;
            }
            self.publish();
            self.member.set_members(self.followers.members());
            let now = self.clock.now();
            match self.member.poll(now) {
                Some(Action::Read) => self.read().await,
                Some(Action::Claim(record, condition)) => {
                    let claim = self.ports.relays.write(&self.zone, &record, condition);
                    let result = claim.await;
                    self.heard_from_store(now, matches!(result, WriteResult::Accepted(_)));
                    self.member.on_claim(self.clock.now(), result);
                }
                Some(Action::Follow(address)) => self.follow(now, address).await,
                None => self.wait(now).await,
            }
        }
    }

    /// Tells everyone whom it concerns where this gateway learns from.
    fn publish(&self) {
        self.sources.set(self.member.source(self.clock.now()));
        if let Some(fleet) = self.sources.fleet() {
            self.dispatch
                .with(|dispatcher, _now| dispatcher.set_fleet(fleet));
        }
    }

    async fn wait(&self, now: Timestamp) {
        let longest = now + LONGEST_WAIT;
        let wake = self.member.next_wake().unwrap_or(longest).min(longest);
        let left = self.followers.left.next();
        // Whoever leaves is found out by the caller.
        let _ = timer::timeout_at(self.clock.instant(wake), left).await;
    }

    async fn read(&mut self) {
        let started = self.clock.now();
        let relayed = self.member.relays();
        let listed = self.ports.relays.list(Freshness::Stale).await;
        let result = match listed {
            Ok(listing) => ReadResult::Found(self.take_records(listing.entries)),
            Err(_) => ReadResult::Failed,
        };
        self.heard_from_store(started, result != ReadResult::Failed);
        self.member.on_read(self.clock.now(), result);
        self.tell_change(relayed);
    }

    /// Counts the gateways of all zones; the record of this one.
    fn take_records(&self, entries: Vec<Entry<RelayRecord>>) -> Option<Versioned<RelayRecord>> {
        // A relay that is new has not heard of all its followers yet; the
        // record counts them as they were.
        let mut zone = self.followers.members();
        let mut fleet: u32 = 0;
        let mut own = None;
        for entry in entries {
            let Ok(value) = entry.value else {
                continue;
            };
            if entry.name == self.zone {
                zone = zone.max(value.members);
                let revision = entry.revision;
                own = Some(Versioned { value, revision });
            } else {
                fleet = fleet.saturating_add(value.members);
            }
        }
        if self.member.relays() {
            self.sources.set_fleet(fleet.saturating_add(zone));
        }
        own
    }

    fn heard_from_store(&self, started: Timestamp, answered: bool) {
        if answered {
            self.health.answered(started);
        } else {
            self.health.failed();
        }
    }

    fn tell_change(&self, relayed: bool) {
        match (relayed, self.member.relays()) {
            (false, true) => emit!(EventId::RelayTaken, zone = self.zone),
            (true, false) => emit!(EventId::RelayPassedOn, zone = self.zone),
            _ => {}
        }
    }

    async fn follow(&mut self, asked: Timestamp, address: SocketAddr) {
        let before = self.sources.relayed();
        let poll = FollowPoll {
            from: self.client.own(),
            marks: self.directory.marks(),
            members: self.followers.members(),
            load: self.sources.take_load(),
        };
        let followed = match self.client.follow(address, &poll).await {
            Some(FollowAnswer::News(news)) => self.take(asked, address, *news).await,
            Some(FollowAnswer::Full { followers }) => Followed::Full(followers),
            Some(FollowAnswer::Leaving) => Followed::Failed,
            None => {
                for (service, load) in poll.load {
                    self.sources.put_load(&service, load);
                }
                Followed::Failed
            }
        };
        let failed = followed == Followed::Failed;
        self.member.on_follow(self.clock.now(), followed);
        self.publish();
        match (before, self.sources.relayed()) {
            (false, true) => emit!(EventId::RelayFollowed, relay = %address),
            (true, false) => emit!(EventId::RelayLost, relay = %address, silent = failed),
            _ => {}
        }
    }

    async fn take(&mut self, asked: Timestamp, address: SocketAddr, news: FollowNews) -> Followed {
        let now = self.clock.now();
        // The time on the way counts as age: a poll may have been answered
        // long before its answer came.
        let on_the_way = now.since(asked).saturating_sub(from_millis(news.held_ms));
        let age = from_millis(news.age_ms) + on_the_way;
        for known in news.leases {
            let lease = Versioned {
                value: known.lease,
                revision: known.revision,
            };
            self.sources.take_lease(&known.service, &lease);
        }
        if let Some(fleet) = news.fleet {
            self.sources.set_fleet(fleet);
        }
        self.client.heard_of(address);
        for peer in news.peers {
            self.client.heard_of(peer);
        }
        let told = !news.differences.is_empty();
        let fetch = news.differences.fetch_configuration;
        self.directory.take_differences(news.differences);
        if fetch {
            self.fetch_configuration(address).await;
        }
        let micros = now.as_micros().saturating_sub(micros(age));
        Followed::Answered {
            seen: Timestamp::from_micros(micros),
            news: told,
        }
    }

    /// What changed is forgotten, or more than the link should carry for each
    /// follower: the store is asked, and only if it does not answer, the relay.
    async fn fetch_configuration(&self, relay: SocketAddr) {
        let started = self.clock.now();
        let listed = self.ports.configurations.list(Freshness::Linearizable);
        match listed.await {
            Ok(listing) => {
                self.health.answered(started);
                self.directory.configurations(Update::Listed(listing));
            }
            Err(_) => {
                let marks = self.directory.marks();
                if let Some(news) = self.client.news(relay, &marks).await {
                    self.directory.take_news(news);
                }
            }
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn from_millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time before a gateway claims to relay: machines with fast links come first,
/// and of the others each at a time of its own.
pub(super) fn patience(link_mbps: f64, spread: f64) -> Duration {
    /// Longest part by the link.
    const LINK_PART: f64 = 0.5;
    /// Speed at which the part by the link is a second, in Mbit/s.
    const LINK_MBPS: f64 = 5.0;
    /// Part by chance.
    const CHANCE_PART: f64 = 0.25;
    let by_link = (LINK_MBPS / link_mbps.max(1.0)).min(LINK_PART);
    Duration::try_from_secs_f64(by_link + CHANCE_PART * spread).unwrap_or_default()
}
