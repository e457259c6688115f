//! Wakes everyone who waits for the next time that something happens.

use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::stop::Stopped;

/// Something that happens again and again.
#[derive(Debug, Default)]
pub(super) struct Notifier {
    next: Mutex<StopSignal>,
}

impl Notifier {
    /// Resolves the next time.
    pub(super) fn next(&self) -> Stopped {
        self.next.lock().stopped()
    }

    /// Wakes everyone who waits.
    pub(super) fn notify(&self) {
        let given = std::mem::take(&mut *self.next.lock());
        given.stop();
    }
}
