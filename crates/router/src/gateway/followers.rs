//! Answers the polls of gateways that follow this one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::select;
use parking_lot::Mutex;
use threadledge_coordination::action::Versioned;
use threadledge_net::stop::Stopped;
use threadledge_net::timer;
use threadledge_relay::HeldPoll;
use threadledge_types::Timestamp;

use super::messages::{FollowAnswer, FollowUpdate, KnownLease};
use super::notifier::Notifier;
use super::publisher::StatePublisher;
use super::sources::Sources;
use super::sync::SyncPosition;
use crate::proxy::Clock;

/// Most followers that any gateway serves; further ones are redirected to
/// these.
pub(super) const MAX_FOLLOWERS: usize = 32;
/// Followers that a gateway serves however slow its link is. With fewer, the
/// tree of a zone would be deeper than the age of its data allows.
const MIN_FOLLOWERS: usize = 8;
/// Followers per Mbit/s of the link. They share it when a list of all back ends
/// goes to each of them after a start.
const FOLLOWERS_PER_MBPS: f64 = 0.4;
/// A follower that has not polled for this long is removed.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A gateway that polls this one, and the data that it already has.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollingFollower<'a> {
    pub(super) address: Option<SocketAddr>,
    /// Gateways that get their updates through it, including itself.
    pub(super) members: u32,
    /// Whether it polls as the relay of another zone of the region.
    pub(super) for_zone: bool,
    pub(super) position: &'a SyncPosition,
}

/// The last poll of a follower.
#[derive(Clone, Copy, Debug)]
struct FollowerEntry {
    at: Timestamp,
    members: u32,
    for_zone: bool,
}

/// The followers of this gateway, and whether it is leaving.
pub(super) struct Followers {
    clock: Clock,
    sources: Arc<Sources>,
    /// Most followers that this gateway serves.
    capacity: usize,
    entries: Mutex<BTreeMap<SocketAddr, FollowerEntry>>,
    leaving: AtomicBool,
    leaving_notice: Notifier,
}

impl Followers {
    /// Starts without followers, on a gateway with a link of `link_mbps`.
    pub(super) fn new(clock: Clock, sources: Arc<Sources>, link_mbps: f64) -> Self {
        Followers {
            clock,
            sources,
            capacity: follower_capacity(link_mbps),
            entries: Mutex::default(),
            leaving: AtomicBool::new(false),
            leaving_notice: Notifier::default(),
        }
    }

    /// Resolves when this gateway starts to leave.
    pub(super) fn until_leaving(&self) -> Stopped {
        self.leaving_notice.next()
    }

    /// Makes every follower look for another relay.
    pub(super) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.leaving_notice.notify();
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Answers a poll as soon as there are updates, at the latest after `hold`.
    /// An additional follower above the capacity is refused, and a gateway
    /// that is leaving says so.
    pub(super) async fn answer(
        &self,
        publisher: &StatePublisher,
        follower: &PollingFollower<'_>,
        peers: Vec<SocketAddr>,
        hold: Duration,
    ) -> FollowAnswer {
        if let Err(followers) = self.admit(follower) {
            return FollowAnswer::Full { followers };
        }
        let received = self.clock.now();
        let held = HeldPoll::new(received, self.sources.fresh_as_of(), hold);
        let deadline = self.clock.instant(held.until());
        let holders = self.sources.holder_changes();
        loop {
            let lease_changed = self.sources.lease_changes().next();
            let fresher = self.sources.freshness_changes().next();
            let changed = publisher.changed.next();
            let leaving_notice = self.leaving_notice.next();
            if self.is_leaving() {
                return FollowAnswer::Leaving;
            }
            let followers = self.entries.lock().len();
            let delta = publisher.delta_since(follower.position, followers);
            let now = self.clock.now();
            // A new lease holder is sent at once: callers that wait for it must
            // not wait until the poll is due.
            let has_news = !delta.is_empty() || self.sources.holder_changes() != holders;
            let seen = self.sources.fresh_as_of();
            if has_news || held.is_due(now, seen) {
                return FollowAnswer::News(Box::new(FollowUpdate {
                    age_ms: millis(now.since(seen)),
                    held_ms: millis(now.since(received)),
                    delta,
                    fleet: self.sources.fleet_size(),
                    leases: self.leases(),
                    peers,
                }));
            }
            // The next iteration finds out which of them happened.
            let changed = select(changed, select(lease_changed, fresher));
            let _ = timer::timeout_at(deadline, select(changed, leaving_notice)).await;
        }
    }

    /// Registers a follower, or returns the current followers if there are too
    /// many.
    fn admit(&self, follower: &PollingFollower<'_>) -> Result<(), Vec<SocketAddr>> {
        let Some(from) = follower.address else {
            return Ok(());
        };
        let now = self.clock.now();
        let mut entries = self.entries.lock();
        entries.retain(|_, entry| now.since(entry.at) < FOLLOWER_TIMEOUT);
        // Relays of zones do not count: a region has few zones, and each zone's
        // relay follows the region's relay directly.
        let in_zone = entries.iter().filter(|(_, entry)| !entry.for_zone);
        let crowded = in_zone.clone().count() >= self.capacity;
        if crowded && !follower.for_zone && !entries.contains_key(&from) {
            return Err(in_zone.map(|(follower, _)| *follower).collect());
        }
        let members = if follower.for_zone {
            0
        } else {
            follower.members
        };
        let for_zone = follower.for_zone;
        entries.insert(
            from,
            FollowerEntry {
                at: now,
                members,
                for_zone,
            },
        );
        Ok(())
    }

    /// Most gateways of a zone that get their updates directly from this one,
    /// including itself.
    pub(super) fn max_direct_members(&self) -> u32 {
        u32::try_from(self.capacity).map_or(u32::MAX, |capacity| capacity.saturating_add(1))
    }

    /// Time since this gateway's state was last confirmed.
    pub(super) fn confirmed_age(&self) -> Duration {
        self.clock.now().since(self.sources.confirmed_at())
    }

    /// Addresses of the current followers.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let entries = self.entries.lock();
        let current = entries
            .iter()
            .filter(|(_, entry)| now.since(entry.at) < FOLLOWER_TIMEOUT);
        current.map(|(follower, _)| *follower).collect()
    }

    /// Gateways that get their updates through this one, including itself.
    pub(super) fn members(&self) -> u32 {
        let now = self.clock.now();
        let entries = self.entries.lock();
        let current = entries
            .values()
            .filter(|entry| now.since(entry.at) < FOLLOWER_TIMEOUT);
        current.fold(1, |sum, entry| sum.saturating_add(entry.members))
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

/// Most followers that a gateway with a link of `link_mbps` serves.
pub fn follower_capacity(link_mbps: f64) -> usize {
    // The cast saturates for very fast links.
    let by_link = (link_mbps * FOLLOWERS_PER_MBPS) as usize;
    by_link.clamp(MIN_FOLLOWERS, MAX_FOLLOWERS)
}

/// The duration in whole milliseconds; saturates.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
