//! Tells the request path until when it is sure which callers' keys there are,
//! and operators when it is not.

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

/// Time between two looks: a tenth of the shortest time that deployments
/// state for a key that is taken away.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Looks after the keys of one gateway.
pub(super) struct KeyConfirmation {
    pub(super) publisher: StatePublisher,
    pub(super) sources: Arc<Sources>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) configurations: Arc<dyn Collection<Configuration>>,
    /// How long keys are sure that nobody has confirmed.
    pub(super) keys_valid_for: Duration,
}

impl KeyConfirmation {
    /// Runs for ever. Where no configuration has tenants a look is all it
    /// costs.
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

    /// Whether the store is followed without trouble and has said nothing for
    /// long: its watches wait longer than keys are sure. A gateway that relays
    /// or follows a relay hears more often.
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

    async fn refresh(&self) {
        let started = self.sources.now();
        match self.configurations.list(Freshness::Linearizable).await {
            Ok(listing) => {
                self.health.record_answer(started);
                self.publisher
                    .update_configurations(Update::Listed(listing));
            }
            // Makes the watches look whether the store still knows of them.
            Err(_) => self.health.record_failure(),
        }
    }
}
