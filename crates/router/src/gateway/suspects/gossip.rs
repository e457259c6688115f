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
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, join_all, select};
use parking_lot::Mutex;
use threadledge_net::timer;
use threadledge_suspects::UpdateScope;

use super::super::followers::Followers;
use super::super::messages::SuspectExchange;
use super::super::peers::PeerClient;
use super::SuspectService;
use super::neighbours::TreePosition;

/// Delay before a gateway that did not answer is sent the update again. The
/// whole fleet has to know of a crash within 3 s.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after each round, so that later first crashes are sent together. The
/// first update after a quiet time is sent at once. Without the delay, when a
/// zone of 97 back ends stopped answering, 74 gateways sent each other 2,589
/// crashes one by one, and a configuration arrived later than its bound allows.
/// A delay of every change would bring a third crash up to 0.3 s later to each
/// next gateway, and the caller's next try could crash a fourth back end.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of peers that are informed while there is no gateway to
/// follow.
const MAX_PEERS: usize = 4;

/// Progress of each other gateway: the number of the last local change that it
/// was sent or itself sent here.
#[derive(Debug, Default)]
pub(super) struct Cursors {
    cursors: Mutex<BTreeMap<SocketAddr, u64>>,
}

impl Cursors {
    /// Records that an update from `from` moved the local state from change
    /// `before` to `after`, so that it need not be sent back.
    pub(super) fn record_received(&self, from: SocketAddr, before: u64, after: u64) {
        let mut cursors = self.cursors.lock();
        if cursors.get(&from) == Some(&before) {
            cursors.insert(from, after);
        }
    }

    fn get(&self, target: SocketAddr) -> Option<u64> {
        self.cursors.lock().get(&target).copied()
    }

    fn record_sent(&self, to: SocketAddr, changes: u64) {
        let mut cursors = self.cursors.lock();
        let cursor = cursors.entry(to).or_default();
        *cursor = (*cursor).max(changes);
    }

    fn retain_targets(&self, targets: &BTreeSet<SocketAddr>) {
        self.cursors
            .lock()
            .retain(|target, _| targets.contains(target));
    }
}

/// Task that sends updates to other gateways.
pub(super) struct GossipTask {
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
    is_source: bool,
    scope: UpdateScope,
}

impl GossipTask {
    /// Sends updates as changes occur; never returns.
    pub(super) async fn run(self) {
        loop {
            let changed = self.service.dispatch.suspect_signals().changed.next();
            let position_changed = self.service.neighbours.changed.next();
            let sent = self.changes();
            let position = self.service.neighbours.position();
            let all_up_to_date = self.send_to_all().await;
            self.wait_for_batch(sent, &position).await;
            let any_change = select(changed, position_changed);
            if all_up_to_date {
                any_change.await;
            } else {
                // The loop checks all targets again whether it was notified or
                // timed out.
                let _ = timer::timeout(RETRY_DELAY, any_change).await;
            }
        }
    }

    fn changes(&self) -> u64 {
        let dispatch = &self.service.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.suspects().changes())
    }

    /// Waits for further changes to be sent together, until one after the change
    /// with number `sent` is urgent, or until the position is another one: a
    /// gateway that has just started knows nothing before it has asked upstream.
    async fn wait_for_batch(&self, sent: u64, position: &TreePosition) {
        let dispatch = &self.service.dispatch;
        let neighbours = &self.service.neighbours;
        let mut delay = pin!(timer::sleep(BATCH_DELAY));
        loop {
            let changed = dispatch.suspect_signals().changed.next();
            let position_changed = neighbours.changed.next();
            let urgent = dispatch
                .with(|dispatcher, _now| dispatcher.suspects().has_urgent_changes_since(sent));
            if urgent || neighbours.position() != *position {
                return;
            }
            let any_change = select(changed, position_changed);
            if let Either::Left(_) = select(delay.as_mut(), any_change).await {
                return;
            }
        }
    }

    /// Sends updates to all targets. Returns whether all are up to date.
    async fn send_to_all(&self) -> bool {
        let targets = self.targets();
        let addresses = targets.iter().map(|target| target.address).collect();
        self.service.cursors.retain_targets(&addresses);
        let results = join_all(targets.into_iter().map(|target| self.send_update(target))).await;
        results.into_iter().all(|up_to_date| up_to_date)
    }

    fn targets(&self) -> Vec<Target> {
        let position = self.service.neighbours.position();
        let mut seen: BTreeSet<SocketAddr> = self.client.own_address().into_iter().collect();
        let mut targets = Vec::new();
        let other_relays = if position.is_relay {
            position.other_relays
        } else {
            Vec::new()
        };
        for address in position.upstream.into_iter().chain(other_relays) {
            if seen.insert(address) {
                targets.push(Target {
                    address,
                    is_source: true,
                    scope: UpdateScope::All,
                });
            }
        }
        // Below a relay the tree is enough. Relays, and gateways that are
        // looking for one, also inform peers, to bridge the gap while another
        // relay is being lost.
        let max_peers = if position.upstream.is_some() {
            0
        } else {
            MAX_PEERS
        };
        let peers = self.client.most_recent().into_iter().take(max_peers);
        let peers = peers.map(|peer| (peer, UpdateScope::All));
        let followers = self.followers.addresses().into_iter();
        let followers = followers.map(|follower| (follower, UpdateScope::Repeated));
        for (address, scope) in followers.chain(peers) {
            if seen.insert(address) {
                targets.push(Target {
                    address,
                    is_source: false,
                    scope,
                });
            }
        }
        targets
    }

    /// Sends one gateway what it lacks. Returns whether it is up to date, or
    /// need not be tried again.
    async fn send_update(&self, target: Target) -> bool {
        let cursor = self.service.cursors.get(target.address);
        let (update, changes) = self.service.dispatch.with(|dispatcher, now| {
            let suspects = dispatcher.suspects();
            let update = suspects.updates_since(cursor.unwrap_or_default(), target.scope, now);
            (update, suspects.changes())
        });
        let request_all = target.is_source && cursor.is_none();
        if update.is_empty() && !request_all {
            return true;
        }
        let exchange = SuspectExchange {
            from: self.client.own_address(),
            news: update,
            whole: request_all,
        };
        let Some(answer) = self
            .client
            .exchange_suspects(target.address, &exchange)
            .await
        else {
            // A peer outside the tree that does not answer is not retried.
            return !target.is_source && !self.followers.addresses().contains(&target.address);
        };
        self.service.cursors.record_sent(target.address, changes);
        let source = target.address.to_string();
        self.service
            .merge_update(Some(target.address), &source, &answer);
        true
    }
}
