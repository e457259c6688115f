//! Whether the platform's object API can be used, as a state that changes,
//! so that the log has one line for each change and none for each attempt.

use std::collections::BTreeSet;

use parking_lot::Mutex;
use threadledge_object_api::{PlatformError, PlatformErrorKind};

use crate::events::{EventId, emit};

/// What the object API is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformUse {
    /// Watching the back ends.
    WatchBackEnds,
    /// Watching the services.
    WatchServices,
    /// A single request. Nothing tells whether another one will follow, so
    /// that the success of any use ends its failure.
    Single,
}

/// A change of the availability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvailabilityChange {
    /// The object API can no longer be used.
    Lost,
    /// It can be used again.
    Restored,
}

/// Availability of the object API, from what its uses report.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    failing: BTreeSet<PlatformUse>,
    is_lost: bool,
}

impl Availability {
    /// A use failed.
    pub fn record_failure(&mut self, of: PlatformUse) -> Option<AvailabilityChange> {
        self.failing.insert(of);
        let was_lost = std::mem::replace(&mut self.is_lost, true);
        (!was_lost).then_some(AvailabilityChange::Lost)
    }

    /// A use succeeded. While another one still fails, nothing is restored:
    /// a store that answers one of two watches would fill the log.
    pub fn record_success(&mut self, of: PlatformUse) -> Option<AvailabilityChange> {
        self.failing.remove(&of);
        self.failing.remove(&PlatformUse::Single);
        let is_restored = self.is_lost && self.failing.is_empty();
        self.is_lost &= !is_restored;
        is_restored.then_some(AvailabilityChange::Restored)
    }

    /// A use ended without telling more. The next success restores.
    pub fn clear(&mut self, of: PlatformUse) {
        self.failing.remove(&of);
    }
}

/// Whether a failure means that the object API cannot be used, rather than
/// that it answered with a refusal of one request.
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

/// Writes the changes of the availability to the log.
#[derive(Debug, Default)]
pub(super) struct AvailabilityLog {
    availability: Mutex<Availability>,
}

impl AvailabilityLog {
    /// A use succeeded.
    pub fn record_success(&self, of: PlatformUse) {
        if self.availability.lock().record_success(of).is_some() {
            emit!(EventId::PlatformRestored);
        }
    }

    /// A use failed. An answer that refuses one request is a success here.
    pub fn record_failure(&self, of: PlatformUse, error: &PlatformError) {
        if !means_unavailable(&error.kind) {
            return self.record_success(of);
        }
        if self.availability.lock().record_failure(of).is_some() {
            emit!(EventId::PlatformUnavailable, %error);
        }
    }

    /// The watches ended.
    pub fn watches_ended(&self) {
        let mut availability = self.availability.lock();
        availability.clear(PlatformUse::WatchBackEnds);
        availability.clear(PlatformUse::WatchServices);
    }
}
