//! Fetches updates from other gateways while the store does not answer this
//! one. The store may still answer the others.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::select;
use threadledge_net::timer;

use super::peers::PeerClient;
use super::publisher::StatePublisher;
use super::sources::Sources;
use super::store_health::StoreHealth;

/// Interval between two rounds.
const INTERVAL: Duration = Duration::from_millis(400);
/// Peers asked in each round.
const PEERS_PER_ROUND: usize = 2;

/// Asks peers for updates while a collection cannot be watched or no source is
/// known. Never returns.
pub(super) async fn catch_up(
    publisher: StatePublisher,
    client: PeerClient,
    health: Arc<StoreHealth>,
    sources: Arc<Sources>,
) {
    let mut turn = 0;
    loop {
        if !health.has_lost_collections() {
            select(health.next_failure(), pin!(sources.until_waiting())).await;
        }
        timer::sleep(INTERVAL).await;
        if health.has_lost_collections() || sources.is_waiting() {
            ask_peers(&publisher, &client, &sources, turn).await;
            turn += PEERS_PER_ROUND;
        }
    }
}

/// Asks the next peers for updates, in rotation.
async fn ask_peers(
    publisher: &StatePublisher,
    client: &PeerClient,
    sources: &Sources,
    turn: usize,
) {
    let peers = client.most_recent();
    let chosen = peers.iter().cycle().skip(turn % peers.len().max(1));
    for peer in chosen.take(PEERS_PER_ROUND.min(peers.len())) {
        let asked = sources.now();
        if let Some(update) = client.fetch_updates(*peer, &publisher.position()).await {
            let age = update.age_ms.map(Duration::from_millis);
            publisher.apply_peer_update(*peer, update);
            if let Some(age) = age {
                sources.confirm(asked, age);
            }
        }
    }
}
