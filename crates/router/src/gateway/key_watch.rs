//! Tells the request path until when it is sure which callers' keys there are,
//! and operators when it is not.

use std::sync::Arc;
use std::time::Duration;

use threadledge_net::timer;

use super::dispatch::Dispatch;
use super::sources::Sources;
use crate::events::{EventId, emit};

/// Time between two looks: a tenth of the shortest time that deployments
/// state for a key that is taken away.
const INTERVAL: Duration = Duration::from_millis(500);

/// Runs for ever. Where no configuration has tenants a look is all it costs.
pub(super) async fn watch_keys(dispatch: Arc<Dispatch>, sources: Arc<Sources>) {
    let mut unsure = false;
    loop {
        timer::sleep(INTERVAL).await;
        let confirmed = sources.confirmed();
        let now_unsure = dispatch.with(|dispatcher, now| {
            dispatcher.confirm_keys(confirmed);
            dispatcher.keys() > 0 && dispatcher.keys_unsure(now)
        });
        if std::mem::replace(&mut unsure, now_unsure) == now_unsure {
            continue;
        }
        if now_unsure {
            let since = sources.now().since(confirmed);
            emit!(
                EventId::KeysUnsure,
                unconfirmed_ms = since.as_millis() as u64
            );
        } else {
            emit!(EventId::KeysSure);
        }
    }
}
