//! Keys that their owner refused because it does not hold them.
//!
//! An owner refuses a key while the key is being handed over to the next owner,
//! or before the grant for it has arrived. One refusal stops all requests for
//! the key: they wait for the next owner, and one of them retries after a
//! delay. The others keep waiting until it has a response.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Fence;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{ServiceName, ShardKey};

/// Longest delay before an owner is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Log2 of the number of neighbouring keys that share a refusal, because they
/// are assumed to have the same owner. Ranges that move can be cut anywhere; a
/// key on the other side of a cut only waits a little longer than needed.
const KEY_BUCKET_BITS: u32 = 2;

/// The bucket of keys that share a refusal.
fn key_bucket(key: ShardKey) -> u16 {
    key.0 >> KEY_BUCKET_BITS
}

#[derive(Clone, Copy, Debug)]
struct KeyRefusal {
    fence: Fence,
    retry_at: Timestamp,
    retry_delay: Duration,
    /// One request is testing whether the owner holds the key now.
    probe_in_flight: bool,
}

/// Refusals by service and bucket of neighbouring keys.
#[derive(Debug, Default)]
pub(crate) struct KeyRefusals {
    refusals: BTreeMap<(ServiceName, u16), KeyRefusal>,
}

impl KeyRefusals {
    /// Records that the owner identified by the fencing token `fence` refused
    /// `key`.
    pub(crate) fn on_refused(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
        initial_delay: Duration,
    ) {
        let bucket = (service.clone(), key_bucket(key));
        let retry_delay = match self.refusals.get(&bucket) {
            // Requests that were sent together are refused together; only the
            // first refusal counts.
            Some(before)
                if before.fence == fence && now < before.retry_at && !before.probe_in_flight =>
            {
                return;
            }
            Some(before) if before.fence == fence => (before.retry_delay * 2).min(MAX_RETRY_DELAY),
            _ => initial_delay,
        };
        let retry_at = now + retry_delay;
        self.refusals.insert(
            bucket,
            KeyRefusal {
                fence,
                retry_at,
                retry_delay,
                probe_in_flight: false,
            },
        );
    }

    /// Records that a request for `key` is sent to the owner identified by
    /// `fence`. If that owner refused the key before, the other requests wait
    /// for its response.
    pub(crate) fn on_sent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
    ) {
        if self.refusals.is_empty() {
            return;
        }
        let bucket = (service.clone(), key_bucket(key));
        let Some(refusal) = self.refusals.get_mut(&bucket) else {
            return;
        };
        if refusal.fence == fence {
            refusal.retry_at = now + refusal.retry_delay;
            refusal.probe_in_flight = true;
        }
    }

    /// Records that the owner answered a request and thus holds the key.
    pub(crate) fn on_answered(&mut self, service: &ServiceName, key: ShardKey) {
        if !self.refusals.is_empty() {
            self.refusals.remove(&(service.clone(), key_bucket(key)));
        }
    }

    /// When the owner identified by `fence` may be tried again for `key`;
    /// `None` if it may be tried now.
    pub(crate) fn retry_at(
        &self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
    ) -> Option<Timestamp> {
        if self.refusals.is_empty() {
            return None;
        }
        let refusal = self.refusals.get(&(service.clone(), key_bucket(key)))?;
        (refusal.fence == fence && now < refusal.retry_at).then_some(refusal.retry_at)
    }

    /// Removes refusals that ended some time ago.
    pub(crate) fn forget_old(&mut self, now: Timestamp) {
        self.refusals
            .retain(|_, refusal| now < refusal.retry_at + MAX_RETRY_DELAY);
    }
}
