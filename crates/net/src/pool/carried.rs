//! Requests that a connection has carried.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Requests that one connection remembers. A surplus response stands in the
/// place of the next one due, and any other request tells it apart by its id,
/// so that a few later exchanges suffice.
const MAX_REMEMBERED: usize = 16;

/// Identity of a request that may be sent more than once: a hash of the id that
/// all its copies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity(u64);

impl RequestIdentity {
    /// Returns the identity of the request with this id.
    pub fn of(request_id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        RequestIdentity(hasher.finish())
    }
}

/// The last requests that a connection has carried.
#[derive(Clone, Debug, Default)]
pub(super) struct CarriedRequests {
    /// The last one is the latest.
    recent: VecDeque<CarriedRequest>,
}

/// A request that a connection has carried.
#[derive(Clone, Copy, Debug)]
pub(super) struct CarriedRequest {
    identity: RequestIdentity,
    /// Whether its method says that no body follows the response's head,
    /// whatever length the head announces.
    pub(super) bodiless: bool,
}

impl CarriedRequests {
    pub(super) fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    /// Returns the latest copy of the request that the connection has carried.
    pub(super) fn find(&self, request: RequestIdentity) -> Option<CarriedRequest> {
        let mut latest_first = self.recent.iter().rev();
        latest_first
            .find(|carried| carried.identity == request)
            .copied()
    }

    pub(super) fn contains(&self, request: RequestIdentity) -> bool {
        self.find(request).is_some()
    }

    pub(super) fn add(&mut self, identity: RequestIdentity, bodiless: bool) {
        if self.recent.len() == MAX_REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(CarriedRequest { identity, bodiless });
    }
}
