//! Wakes all tasks that wait for the next occurrence of an event.

use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::stop::Stopped;

/// A repeatable notification.
#[derive(Debug, Default)]
pub(super) struct Notifier {
    next: Mutex<StopSignal>,
}

impl Notifier {
    /// Returns a future that resolves at the next notification.
    pub(super) fn next(&self) -> Stopped {
        self.next.lock().stopped()
    }

    /// Wakes all waiting tasks.
    pub(super) fn notify(&self) {
        let given = std::mem::take(&mut *self.next.lock());
        given.stop();
    }
}
