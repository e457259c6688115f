//! Availability of the platform's object API, tracked as a state so that the log
//! has one line for each change instead of one for each failed attempt.

use std::collections::BTreeSet;

use parking_lot::Mutex;
use threadledge_object_api::{PlatformError, PlatformErrorKind};

use crate::events::{EventId, emit};

/// A use of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformUse {
    /// Watching the back ends.
    WatchBackEnds,
    /// Watching the services.
    WatchServices,
    /// A single request. It may not be repeated, so the success of any use
    /// clears its failure.
    Single,
}

/// A change of the availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// The object API became unavailable.
    Lost,
    /// The object API became available again.
    Restored,
}

/// Availability of the object API, derived from the results of its uses.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    failing: BTreeSet<PlatformUse>,
    is_lost: bool,
}

impl Availability {
    /// Records the failure of a use. Returns the change of the availability, if
    /// any.
    pub fn record_failure(&mut self, platform_use: PlatformUse) -> Option<AvailabilityChange> {
        self.failing.insert(platform_use);
        let was_lost = std::mem::replace(&mut self.is_lost, true);
        (!was_lost).then_some(AvailabilityChange::Lost)
    }

    /// Records the success of a use. Returns the change of the availability, if
    /// any. Availability is not restored while another use still fails;
    /// otherwise a store that answers only one of two watches would fill the
    /// log.
    pub fn record_success(&mut self, platform_use: PlatformUse) -> Option<AvailabilityChange> {
        self.failing.remove(&platform_use);
        self.failing.remove(&PlatformUse::Single);
        let is_restored = self.is_lost && self.failing.is_empty();
        self.is_lost &= !is_restored;
        is_restored.then_some(AvailabilityChange::Restored)
    }

    /// Forgets the failure of a use that has ended. The next success restores the
    /// availability.
    pub fn clear(&mut self, platform_use: PlatformUse) {
        self.failing.remove(&platform_use);
    }
}

/// Returns whether an error means that the object API is unavailable, rather
/// than that it refused a single request.
pub fn means_unavailable(kind: &PlatformErrorKind) -> bool {
    match kind {
        PlatformErrorKind::Unreachable(_)
        | PlatformErrorKind::TimedOut(_)
        | PlatformErrorKind::ConnectionLost(_)
        | PlatformErrorKind::TooManyRequests(_)
        | PlatformErrorKind::ServerFailure { .. }
        | PlatformErrorKind::Unauthorized
        | PlatformErrorKind::Forbidden(_)
        | PlatformErrorKind::BadAnswer(_)
        | PlatformErrorKind::TooLarge(_) => true,
        PlatformErrorKind::Conflict
        | PlatformErrorKind::AlreadyExists
        | PlatformErrorKind::NotFound
        | PlatformErrorKind::Gone
        | PlatformErrorKind::StoreBehind
        | PlatformErrorKind::Refused { .. }
        | PlatformErrorKind::BadRequest(_) => false,
    }
}

/// Logs the changes of the availability.
#[derive(Debug, Default)]
pub(super) struct AvailabilityLog {
    availability: Mutex<Availability>,
}

impl AvailabilityLog {
    /// Records the success of a use.
    pub fn record_success(&self, platform_use: PlatformUse) {
        if self
            .availability
            .lock()
            .record_success(platform_use)
            .is_some()
        {
            emit!(EventId::PlatformRestored);
        }
    }

    /// Records the failure of a use. A response that refuses a single request
    /// counts as a success.
    pub fn record_failure(&self, platform_use: PlatformUse, error: &PlatformError) {
        if !means_unavailable(&error.kind) {
            return self.record_success(platform_use);
        }
        if self
            .availability
            .lock()
            .record_failure(platform_use)
            .is_some()
        {
            emit!(EventId::PlatformUnavailable, %error);
        }
    }

    /// Forgets the failures of the watches, which have ended.
    pub fn clear_watches(&self) {
        let mut availability = self.availability.lock();
        availability.clear(PlatformUse::WatchBackEnds);
        availability.clear(PlatformUse::WatchServices);
    }
}
