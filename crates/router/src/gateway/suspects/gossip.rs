//! Sends what this gateway learns of suspects to other gateways, at once and
//! along the tree of relays.
//!
//! A gateway sends every crash to the gateway that it follows and, as a relay,
//! to the relays of the other zones; it sends requests with more than one crash
//! to its followers. Each gateway passes on what is new to it. Merging the same
//! update twice changes nothing, so loops end by themselves. A gateway that is
//! new upstream, or beside this one as a relay, is asked for all that it knows:
//! a gateway that has just started catches up this way.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{join_all, select};
use parking_lot::Mutex;
use threadledge_net::timer;
use threadledge_suspects::UpdateScope;

use super::super::followers::Followers;
use super::super::messages::SuspectExchange;
use super::super::peers::PeerClient;
use super::SuspectService;

/// Delay before a gateway that did not answer is sent the update again. The
/// whole fleet has to know of a crash within 3 s.
const RETRY: Duration = Duration::from_millis(250);
/// Delay after each round, so that later changes are sent together. The first
/// update after a quiet time is sent at once. Without the delay, when a zone of
/// 97 back ends stopped answering, 74 gateways sent each other 2,589 crashes
/// one by one, and a configuration arrived later than its bound allows.
const GATHER: Duration = Duration::from_millis(300);
/// Maximum number of peers that are informed while there is no gateway to
/// follow.
const MOST_PEERS: usize = 4;

/// Progress of each other gateway: the number of the last local change that it
/// was sent or itself sent here.
#[derive(Debug, Default)]
pub(super) struct Cursors {
    known: Mutex<BTreeMap<SocketAddr, u64>>,
}

impl Cursors {
    /// Records that an update from `from` moved the local state from change
    /// `before` to `after`, so that it need not be sent back.
    pub(super) fn heard(&self, from: SocketAddr, before: u64, after: u64) {
        let mut known = self.known.lock();
        if known.get(&from) == Some(&before) {
            known.insert(from, after);
        }
    }

    fn get(&self, of: SocketAddr) -> Option<u64> {
        self.known.lock().get(&of).copied()
    }

    fn told(&self, to: SocketAddr, changes: u64) {
        let mut known = self.known.lock();
        let cursor = known.entry(to).or_default();
        *cursor = (*cursor).max(changes);
    }

    fn keep_only(&self, targets: &BTreeSet<SocketAddr>) {
        self.known
            .lock()
            .retain(|target, _| targets.contains(target));
    }
}

/// Task that sends updates to other gateways.
pub(super) struct Spreader {
    pub(super) service: SuspectService,
    pub(super) client: PeerClient,
    pub(super) followers: Arc<Followers>,
}

/// A gateway to which updates are sent.
#[derive(Clone, Copy, Debug)]
struct Target {
    address: SocketAddr,
    /// Whether it may know what this gateway does not; it is then asked for
    /// everything when it is new.
    asked: bool,
    scope: UpdateScope,
}

impl Spreader {
    /// Sends updates as changes occur; never returns.
    pub(super) async fn run(self) {
        loop {
            let changed = self.service.dispatch.suspect_signals().changed.next();
            let moved = self.service.neighbours.changed.next();
            let all_told = self.tell_all().await;
            timer::sleep(GATHER).await;
            let news = select(changed, moved);
            if all_told {
                news.await;
            } else {
                // The loop checks all targets again whether it was notified or
                // timed out.
                let _ = timer::timeout(RETRY, news).await;
            }
        }
    }

    /// Sends updates to all targets. Returns whether all are up to date.
    async fn tell_all(&self) -> bool {
        let targets = self.targets();
        let addresses = targets.iter().map(|target| target.address).collect();
        self.service.cursors.keep_only(&addresses);
        let told = join_all(targets.into_iter().map(|target| self.tell(target))).await;
        told.into_iter().all(|told| told)
    }

    fn targets(&self) -> Vec<Target> {
        let position = self.service.neighbours.position();
        let mut seen: BTreeSet<SocketAddr> = self.client.own_address().into_iter().collect();
        let mut targets = Vec::new();
        let beside = if position.is_relay {
            position.other_relays
        } else {
            Vec::new()
        };
        for address in position.upstream.into_iter().chain(beside) {
            if seen.insert(address) {
                targets.push(Target {
                    address,
                    asked: true,
                    scope: UpdateScope::All,
                });
            }
        }
        // Below a relay the tree is enough. Relays, and gateways that are
        // looking for one, also inform peers, to bridge the gap while another
        // relay is being lost.
        let most = if position.upstream.is_some() {
            0
        } else {
            MOST_PEERS
        };
        let peers = self.client.most_recent().into_iter().take(most);
        let peers = peers.map(|peer| (peer, UpdateScope::All));
        let followers = self.followers.addresses().into_iter();
        let followers = followers.map(|follower| (follower, UpdateScope::Repeated));
        for (address, scope) in followers.chain(peers) {
            if seen.insert(address) {
                targets.push(Target {
                    address,
                    asked: false,
                    scope,
                });
            }
        }
        targets
    }

    /// Sends one gateway what it lacks. Returns whether it is up to date, or
    /// need not be tried again.
    async fn tell(&self, target: Target) -> bool {
        let cursor = self.service.cursors.get(target.address);
        let (news, changes) = self.service.dispatch.with(|dispatcher, now| {
            let suspects = dispatcher.suspects();
            let news = suspects.updates_since(cursor.unwrap_or_default(), target.scope, now);
            (news, suspects.changes())
        });
        let whole = target.asked && cursor.is_none();
        if news.is_empty() && !whole {
            return true;
        }
        let exchange = SuspectExchange {
            from: self.client.own_address(),
            news,
            whole,
        };
        let Some(answer) = self
            .client
            .exchange_suspects(target.address, &exchange)
            .await
        else {
            // A peer outside the tree that does not answer is not retried.
            return !target.asked && !self.followers.addresses().contains(&target.address);
        };
        self.service.cursors.told(target.address, changes);
        let source = target.address.to_string();
        self.service
            .merge_update(Some(target.address), &source, &answer);
        true
    }
}
