//! Keys that their owner said it does not hold.
//!
//! An owner refuses a key while it is on its way to the next one, or before
//! its grant has arrived. One refusal is enough for all requests of that key:
//! they wait for the next owner, and one of them asks again after a pause.
//! While it waits for the answer, the others go on waiting.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Fence;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{ServiceName, ShardKey};

/// Longest pause before the owner is asked again.
const LONGEST_PAUSE: Duration = Duration::from_millis(120);

/// Neighbouring keys that are taken to have the same owner, as a power of
/// two: ranges that move are cut anywhere, and a key on the wrong side waits
/// a little for nothing.
const NEIGHBOURS_BITS: u32 = 2;

/// Where a refusal is remembered.
fn neighbourhood(key: ShardKey) -> u16 {
    key.0 >> NEIGHBOURS_BITS
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    fence: Fence,
    until: Timestamp,
    pause: Duration,
    /// One request is asking the owner again.
    asking: bool,
}

/// Refusals by small ranges of keys.
#[derive(Debug, Default)]
pub(crate) struct NotHeld {
    refused: BTreeMap<(ServiceName, u16), Refused>,
}

impl NotHeld {
    /// The owner under `fence` refused `key`.
    pub(crate) fn refused(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
        first_pause: Duration,
    ) {
        let place = (service.clone(), neighbourhood(key));
        let pause = match self.refused.get(&place) {
            // Requests that were sent together are refused together.
            Some(before) if before.fence == fence && now < before.until && !before.asking => return,
            Some(before) if before.fence == fence => (before.pause * 2).min(LONGEST_PAUSE),
            _ => first_pause,
        };
        let until = now + pause;
        self.refused.insert(
            place,
            Refused {
                fence,
                until,
                pause,
                asking: false,
            },
        );
    }

    /// A request of `key` is being sent to the owner under `fence`: if the
    /// owner refused the key before, the others wait for what it says now.
    pub(crate) fn asked(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
    ) {
        if self.refused.is_empty() {
            return;
        }
        let place = (service.clone(), neighbourhood(key));
        let Some(refused) = self.refused.get_mut(&place) else {
            return;
        };
        if refused.fence == fence {
            refused.until = now + refused.pause;
            refused.asking = true;
        }
    }

    /// The owner answered: it holds the key.
    pub(crate) fn held(&mut self, service: &ServiceName, key: ShardKey) {
        if !self.refused.is_empty() {
            self.refused.remove(&(service.clone(), neighbourhood(key)));
        }
    }

    /// Until when the owner under `fence` is not to be asked for `key`.
    pub(crate) fn until(
        &self,
        now: Timestamp,
        service: &ServiceName,
        key: ShardKey,
        fence: Fence,
    ) -> Option<Timestamp> {
        if self.refused.is_empty() {
            return None;
        }
        let refused = self.refused.get(&(service.clone(), neighbourhood(key)))?;
        (refused.fence == fence && now < refused.until).then_some(refused.until)
    }

    /// Forgets what was refused long ago.
    pub(crate) fn forget_old(&mut self, now: Timestamp) {
        self.refused
            .retain(|_, refused| now < refused.until + LONGEST_PAUSE);
    }
}
