//! Runs this gateway's membership in the relaying of its zone or region: it
//! either watches the store for the other members or follows the member that
//! does. Steps [`Member`] and makes the calls that it requests.

mod tier;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use threadledge_coordination::action::{Freshness, ReadResult, Versioned, WriteResult};
use threadledge_net::timer;
use threadledge_ports::{Entry, Ports};
use threadledge_relay::{Action, Member, PollOutcome, RelayRecord};
use threadledge_types::Timestamp;
use threadledge_types::deployment::Topology;

use super::dispatch::Dispatch;
use super::followers::Followers;
use super::messages::{FollowAnswer, FollowPoll, FollowUpdate};
use super::peers::PeerClient;
use super::publisher::StatePublisher;
use super::relay_records::RelayRecords;
use super::sources::Sources;
use super::store_health::StoreHealth;
use super::suspects::neighbours::Neighbours;
use super::watcher::Update;
use crate::proxy::Clock;

pub(super) use tier::{MemberConfig, Tier};

/// Part of the gateways that a relay serves directly, up to which it starts to
/// follow the region's relay. It stops at all of them, so that a zone of about
/// that size does not join and leave repeatedly.
const JOIN_REGION_FRACTION: f64 = 0.75;
/// Longest wait for a member's next step.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// One gateway's membership in the relaying of its zone or region.
pub(super) struct RelayTask {
    pub(super) tier: Tier,
    /// Name of the relay record in the store.
    pub(super) record: String,
    pub(super) topology: Topology,
    pub(super) member_config: MemberConfig,
    pub(super) member: Member,
    pub(super) ports: Ports,
    pub(super) clock: Clock,
    pub(super) sources: Arc<Sources>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) publisher: StatePublisher,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) client: PeerClient,
    pub(super) followers: Arc<Followers>,
    pub(super) neighbours: Arc<Neighbours>,
}

/// The outcome of a poll.
enum PollResult {
    Answered(FollowAnswer),
    /// The relay did not answer.
    Silent,
    /// The member stopped waiting.
    Late,
}

impl RelayTask {
    /// Spawns the task, which ends when this gateway leaves.
    pub(super) fn start(self) {
        self.publish();
        match self.tier {
            Tier::Zone => task::spawn(self.run()),
            Tier::Region => task::spawn(self.run_while_relay()),
        };
    }

    async fn run(mut self) {
        while !self.followers.is_leaving() {
            self.step().await;
        }
        self.member.leave();
        self.publish();
    }

    /// Takes part in the region's relaying while this gateway is its zone's
    /// relay and serves all of the zone directly.
    async fn run_while_relay(mut self) {
        while !self.followers.is_leaving() {
            self.sources.until_is_relay().await;
            let most = f64::from(self.followers.max_direct_members()) * JOIN_REGION_FRACTION;
            if f64::from(self.followers.members()) > most {
                timer::sleep(MAX_WAIT).await;
                continue;
            }
            self.member = self.member_config.start_member(self.clock.now());
            while self.may_join_region() && !self.followers.is_leaving() {
                self.step().await;
            }
            self.member.leave();
            self.publish();
        }
    }

    /// Whether this gateway may take part in the region's relaying. In a larger
    /// zone followers follow other followers: below the region's relay the last
    /// ones would get data older than
    /// [`max_age`](threadledge_relay::Settings::max_age), and each would watch
    /// the store.
    fn may_join_region(&self) -> bool {
        self.sources.is_relay() && self.followers.members() <= self.followers.max_direct_members()
    }

    /// Performs the member's next action.
    async fn step(&mut self) {
        self.publish();
        self.member.set_members(self.members());
        self.member.set_complete(self.publisher.is_complete());
        let now = self.clock.now();
        match self.member.poll(now) {
            Some(Action::Read) => self.read().await,
            Some(Action::Claim(record, condition)) => {
                let relayed = self.member.is_relay();
                let claim = self.ports.relays.write(&self.record, &record, condition);
                let result = claim.await;
                self.record_store_call(now, matches!(result, WriteResult::Accepted(_)));
                self.member.on_claim(self.clock.now(), result);
                self.tier
                    .log_role_change(&self.record, relayed, &self.member);
            }
            Some(Action::Poll(address)) => self.poll_source(now, address).await,
            None => self.wait(now).await,
        }
    }

    /// Publishes where this gateway gets its updates from.
    fn publish(&self) {
        let source = self.member.source(self.clock.now());
        if self.tier == Tier::Region {
            let takes_part = self.member.next_wake().is_some() || self.member.is_calling();
            self.sources.set_region_source(takes_part.then_some(source));
            self.sources.notify_if_fresher();
            return;
        }
        self.sources.set(source, self.member.is_relay());
        self.sources.notify_if_fresher();
        self.neighbours
            .set_position(self.member.upstream(), self.member.is_relay());
        let (fleet, until) = self.sources.fleet_shared_until();
        if let Some(fleet) = fleet {
            self.dispatch
                .with(|dispatcher, now| dispatcher.set_router_count(now, fleet, Some(until)));
        }
    }

    /// The number of gateways to write into the record. A region's record
    /// counts none, because each gateway is counted in its zone.
    fn members(&self) -> u32 {
        match self.tier {
            Tier::Zone => self.followers.members(),
            Tier::Region => 0,
        }
    }

    /// Waits until the member's next wake-up or until this gateway starts to
    /// leave.
    async fn wait(&self, now: Timestamp) {
        let longest = now + MAX_WAIT;
        let wake = self.member.next_wake().unwrap_or(longest).min(longest);
        let leaving = self.followers.until_leaving();
        // The caller's loop checks whether this gateway is leaving.
        let _ = timer::timeout_at(self.clock.instant(wake), leaving).await;
    }

    /// Reads the relay records from the store.
    async fn read(&mut self) {
        let started = self.clock.now();
        let relayed = self.member.is_relay();
        let listed = self.ports.relays.list(Freshness::Stale).await;
        if listed.is_ok() {
            self.health
                .record_call_time(self.clock.now().since(started));
        }
        let result = match listed {
            Ok(listing) => ReadResult::Found(self.apply_records(started, listing.entries)),
            Err(_) => ReadResult::Failed,
        };
        self.record_store_call(started, result != ReadResult::Failed);
        self.member.on_read(self.clock.now(), result);
        self.tier
            .log_role_change(&self.record, relayed, &self.member);
    }

    /// Counts the gateways of all zones and returns this member's own record.
    fn apply_records(
        &self,
        started: Timestamp,
        entries: Vec<Entry<RelayRecord>>,
    ) -> Option<Versioned<RelayRecord>> {
        let records = RelayRecords::parse(entries, &self.record, &self.topology);
        if self.tier == Tier::Region {
            return records.own;
        }
        self.sources.set_recorded_gateways(records.members());
        for relay in &records.neighbours {
            self.client.note_peer(*relay);
        }
        self.neighbours.set_other_relays(records.neighbours);
        if self.member.is_relay() {
            // A new relay has not been polled by all its followers yet; the
            // record still holds the previous count.
            let recorded = records.own.as_ref().map_or(0, |own| own.value.members);
            let zone = self.followers.members().max(recorded);
            let fleet = records.members_elsewhere.saturating_add(zone);
            self.sources.set_fleet_size(fleet, started, None);
        }
        records.own
    }

    fn record_store_call(&self, started: Timestamp, answered: bool) {
        if answered {
            self.health.record_answer(started);
        } else {
            self.health.record_failure();
        }
    }

    /// Polls the relay at `address` and passes the result to the member.
    async fn poll_source(&mut self, started: Timestamp, address: SocketAddr) {
        let before = self.member.active_upstream();
        let poll = FollowPoll {
            from: self.client.own_address(),
            position: self.publisher.position(),
            members: self.members(),
            load: self.sources.drain_load(),
            at_once: self.member.is_joining(),
            hold_ms: self.tier.hold_ms(&self.member_config.settings),
            for_zone: self.tier == Tier::Region,
        };
        let polled = self.poll(address, &poll).await;
        if matches!(polled, PollResult::Silent | PollResult::Late) {
            // Keeps the load reports for the next relay.
            for (service, load) in poll.load {
                self.sources.queue_load(&service, load);
            }
        }
        let outcome = match polled {
            PollResult::Answered(FollowAnswer::News(update)) => {
                self.apply_update(started, address, *update).await
            }
            PollResult::Answered(FollowAnswer::Full { followers }) => {
                PollOutcome::AtCapacity(followers)
            }
            PollResult::Answered(FollowAnswer::Leaving) | PollResult::Silent => PollOutcome::Failed,
            PollResult::Late => PollOutcome::TimedOut,
        };
        let failed = outcome == PollOutcome::Failed;
        self.member.set_complete(self.publisher.is_complete());
        self.member.on_poll(self.clock.now(), outcome);
        self.publish();
        self.tier
            .log_source_change(before, self.member.active_upstream(), failed);
    }

    /// Polls the relay for as long as the member waits.
    async fn poll(&self, address: SocketAddr, poll: &FollowPoll) -> PollResult {
        let settings = &self.member_config.settings;
        let polling = self.client.poll_relay(address, poll, settings);
        let answer = match self.member.poll_deadline() {
            None => polling.await,
            Some(deadline) => {
                let deadline = self.clock.instant(deadline);
                match timer::timeout_at(deadline, polling).await {
                    Ok(answer) => answer,
                    Err(_) => return PollResult::Late,
                }
            }
        };
        answer.map_or(PollResult::Silent, PollResult::Answered)
    }

    /// Applies a relay's answer to a poll that was sent at `started`.
    async fn apply_update(
        &mut self,
        started: Timestamp,
        address: SocketAddr,
        update: FollowUpdate,
    ) -> PollOutcome {
        let now = self.clock.now();
        // Transit time counts as age: the poll may have been answered long
        // before its answer arrived.
        let transit = now
            .since(started)
            .saturating_sub(from_millis(update.held_ms));
        let age = from_millis(update.age_ms) + transit;
        let seen = now - age;
        if let Some(fleet) = update.fleet {
            self.sources.set_fleet_size(fleet, seen, Some(address));
        }
        for known in update.leases {
            let lease = Versioned {
                value: known.lease,
                revision: known.revision,
            };
            self.sources.observe_lease(&known.service, &lease);
        }
        self.client.note_peer(address);
        for peer in update.peers {
            self.client.note_peer(peer);
        }
        let has_changes = !update.delta.is_empty();
        let fetch = update.delta.fetch_configuration;
        self.publisher.apply_delta(address, update.delta);
        if fetch {
            self.fetch_configuration(address).await;
        }
        self.health.record_contact(seen);
        PollOutcome::Answered { seen, has_changes }
    }

    /// Fetches the configuration if the relay no longer has its changes, or if
    /// it is too large to send to each follower. Asks the store first and the
    /// relay only if the store does not answer.
    async fn fetch_configuration(&self, relay: SocketAddr) {
        let started = self.clock.now();
        let listed = self.ports.configurations.list(Freshness::Linearizable);
        match listed.await {
            Ok(listing) => {
                self.health.record_answer(started);
                self.publisher
                    .update_configurations(Update::Listed(listing));
            }
            Err(_) => {
                let position = self.publisher.position();
                if let Some(update) = self.client.fetch_updates(relay, &position).await {
                    self.publisher.apply_peer_update(relay, update);
                }
            }
        }
    }
}

fn from_millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
