//! Tells other gateways what this one learns of suspects, at once and to each
//! along the tree of relays.
//!
//! A gateway tells the one that it follows and, as a relay, the relays of the
//! other zones of every crash; it tells those that follow it of requests with
//! more than one. Each passes on what is new to it. What
//! was told twice changes nothing, so that loops end by themselves. Who is new above this gateway, or beside it as a relay, is asked for
//! all that it knows: a gateway that has just started learns it so.

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

/// Wait before a gateway that did not answer is told again. The fleet has to
/// know of a crash within 3 s.
const RETRY: Duration = Duration::from_millis(250);
/// Wait after everyone was told, for what comes next to be told together. The
/// first news after a quiet time goes at once; when a zone of 97 back ends fell
/// silent, 74 gateways told each other of 2,589 crashes one by one, and late
/// configuration broke a bound.
const GATHER: Duration = Duration::from_millis(300);
/// Peers that are told where there is no gateway to follow.
const MOST_PEERS: usize = 4;

/// How much of what is known here each other gateway knows: the number of the
/// last change that it was told of, or told of itself.
#[derive(Debug, Default)]
pub(super) struct Cursors {
    known: Mutex<BTreeMap<SocketAddr, u64>>,
}

impl Cursors {
    /// What `from` told led from one change to another: it need not be told of
    /// that again.
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

/// Tells other gateways.
pub(super) struct Spreader {
    pub(super) service: SuspectService,
    pub(super) client: PeerClient,
    pub(super) followers: Arc<Followers>,
}

/// A gateway that is to be told.
#[derive(Clone, Copy, Debug)]
struct Target {
    address: SocketAddr,
    /// It may know what this gateway does not, and is asked when it is new.
    asked: bool,
    scope: UpdateScope,
}

impl Spreader {
    /// Runs for ever.
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
                // Either way everyone is looked at again.
                let _ = timer::timeout(RETRY, news).await;
            }
        }
    }

    /// Says whether everyone knows now.
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
        // Below a relay the tree is enough; relays and those that look for one
        // bridge the gap while another relay is being lost.
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

    /// Tells one gateway what it lacks. Says whether it knows all now, or need
    /// not be told again.
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
            // A peer beside the tree that does not answer is not waited for.
            return !target.asked && !self.followers.addresses().contains(&target.address);
        };
        self.service.cursors.told(target.address, changes);
        let source = target.address.to_string();
        self.service
            .merge_update(Some(target.address), &source, &answer);
        true
    }
}
