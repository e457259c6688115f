//! Keeps the time at which the tenants' API keys were last confirmed, for the
//! request path, and logs when they become too old or are confirmed again.

use std::sync::Arc;
use std::time::Duration;

use threadledge_coordination::action::Freshness;
use threadledge_net::timer;
use threadledge_ports::Collection;
use threadledge_relay::Source;
use threadledge_types::deployment::Configuration;

use super::publisher::StatePublisher;
use super::sources::Sources;
use super::store_health::StoreHealth;
use super::watcher::Update;
use crate::events::{EventId, emit};

/// Interval between checks: a tenth of the shortest time that deployments
/// promise for revoking a key.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The task that keeps the API keys of one gateway confirmed.
pub(super) struct KeyConfirmation {
    pub(super) publisher: StatePublisher,
    pub(super) sources: Arc<Sources>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) configurations: Arc<dyn Collection<Configuration>>,
    /// How long unconfirmed keys remain valid.
    pub(super) keys_valid_for: Duration,
}

impl KeyConfirmation {
    /// Runs the checks. Never returns. Without tenants in the configuration a
    /// check costs almost nothing.
    pub(super) async fn run(self) {
        let mut unsure = false;
        loop {
            timer::sleep(CHECK_INTERVAL).await;
            if self.needs_refresh() {
                self.refresh().await;
            }
            let confirmed = self.sources.confirmed_at();
            let now_unsure = self.publisher.dispatch.with(|dispatcher, now| {
                dispatcher.confirm_api_keys(confirmed);
                dispatcher.api_key_count() > 0 && dispatcher.api_keys_stale(now)
            });
            if std::mem::replace(&mut unsure, now_unsure) == now_unsure {
                continue;
            }
            if now_unsure {
                let since = self.sources.now().since(confirmed);
                let unconfirmed_ms = since.as_millis() as u64;
                emit!(EventId::KeysUnsure, unconfirmed_ms = unconfirmed_ms);
            } else {
                emit!(EventId::KeysSure);
            }
        }
    }

    /// Whether the configuration has to be read: the store is watched without
    /// errors but has not answered for half the validity of the keys. Watches
    /// wait longer than keys stay valid. A relay and its followers get
    /// confirmations more often.
    fn needs_refresh(&self) -> bool {
        let followed =
            self.sources.current() == Source::Store && !self.health.has_lost_collections();
        let unconfirmed = self.sources.now().since(self.sources.confirmed_at());
        let has_keys = self
            .publisher
            .dispatch
            .with(|dispatcher, _now| dispatcher.api_key_count() > 0);
        followed && has_keys && unconfirmed > self.keys_valid_for / 2
    }

    /// Reads the configuration from the store, which confirms the keys.
    async fn refresh(&self) {
        let started = self.sources.now();
        match self.configurations.list(Freshness::Linearizable).await {
            Ok(listing) => {
                self.health.record_answer(started);
                self.publisher
                    .update_configurations(Update::Listed(listing));
            }
            // Makes the watches check whether the store still knows them.
            Err(_) => self.health.record_failure(),
        }
    }
}
