//! Whether the platform's store answers, as every call to it shows.
//!
//! A watch waits for long, and a store that fell silent leaves it waiting:
//! the connection stands, but the store no longer knows of the call. So a
//! failure of any call makes every watch that waits suspect.

use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::stop::Stopped;

/// Shared by everything that calls the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Given with the next failure.
    next_failure: Mutex<StopSignal>,
}

impl StoreHealth {
    /// Resolves with the next failure of a call.
    pub fn next_failure(&self) -> Stopped {
        self.next_failure.lock().stopped()
    }

    /// A call was not answered.
    pub fn failed(&self) {
        let given = std::mem::take(&mut *self.next_failure.lock());
        given.stop();
    }
}
