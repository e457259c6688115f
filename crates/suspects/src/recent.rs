//! Requests that recently succeeded, so that the first crash of a request finds
//! callers for whom it succeeded before.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::identity::{CallerId, RequestHash, RequestIdentity};

/// Number of remembered requests, at 32 bytes each. A later request replaces an
/// earlier one with the same lowest bits.
const SLOTS: usize = 1_024;
/// How long a success counts as evidence. After that, the back ends may have
/// been replaced by others that the same request crashes.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Success {
    identity: RequestIdentity,
    at: Timestamp,
}

/// Most recent success per slot of a fixed-size hash table.
#[derive(Debug, Default)]
pub(crate) struct RecentSuccesses {
    slots: Vec<Option<Success>>,
}

impl RecentSuccesses {
    pub(crate) fn record(&mut self, at: Timestamp, identity: RequestIdentity) {
        if self.slots.is_empty() {
            self.slots.resize(SLOTS, None);
        }
        let slot = slot(identity.request);
        self.slots[slot] = Some(Success { identity, at });
    }

    /// Returns the last caller for whom this request succeeded, and when.
    pub(crate) fn find(
        &self,
        now: Timestamp,
        request: RequestHash,
    ) -> Option<(CallerId, Timestamp)> {
        let success = self.slots.get(slot(request))?.as_ref()?;
        let same = success.identity.request == request;
        let lately = now.since(success.at) < RETENTION;
        (same && lately).then_some((success.identity.caller, success.at))
    }
}

fn slot(request: RequestHash) -> usize {
    request.0 as usize % SLOTS
}
