//! The state of one request that is being processed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use threadledge_suspects::RequestIdentity;
use threadledge_types::deployment::{BackEndName, Route, ServiceName, ShardKey, Topology};
use threadledge_types::{RegionName, Timestamp, ZoneName};

use crate::budget::Permit;
use crate::outcome::UnknownReason;
use crate::request::AttemptId;

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) back_end: BackEndName,
    pub(crate) chosen_at: Timestamp,
    /// Requests per slot at the back end when it was chosen; see
    /// [`crate::back_ends::BackEndState::load_factor`].
    pub(crate) load_factor: f64,
    /// [`crate::Dispatcher::may_send`] has allowed to send it.
    pub(crate) sent: bool,
    /// The permit taken from the retry budget, if this is a retry.
    pub(crate) retry_permit: Option<Permit>,
    /// If the back end has a rate limit, the time until which the attempt may
    /// be sent.
    pub(crate) send_by: Option<Timestamp>,
}

/// One request of a caller, from its start to its outcome.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Priority among waiting requests; 0 goes first.
    pub(crate) rank: u32,
    /// The only regions whose back ends may serve it; `None` means all.
    pub(crate) allowed_regions: Option<BTreeSet<RegionName>>,
    /// The key of the request, if its service assigns keys to owners.
    pub(crate) key: Option<ShardKey>,
    pub(crate) started: Timestamp,
    pub(crate) deadline: Timestamp,
    /// The request is refused if it has found no back end by this time, or
    /// somewhat later if its key is being handed over.
    pub(crate) queue_deadline: Timestamp,
    /// The request can be sent more than once.
    pub(crate) replayable: bool,
    /// The body turned out to be unavailable for another attempt.
    pub(crate) body_unavailable: bool,
    pub(crate) attempts_started: u32,
    /// Number of attempts for which there was no way to the back end.
    pub(crate) cut_off_attempts: u32,
    /// Number of attempts that may have run.
    pub(crate) possibly_run: u32,
    /// Number of attempts that may have reached a back end, including refused
    /// ones.
    pub(crate) possibly_arrived: u32,
    pub(crate) in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Back ends at which an attempt failed.
    pub(crate) tried_back_ends: BTreeSet<BackEndName>,
    /// If an attempt may have run, how the last such attempt ended.
    pub(crate) may_have_run: Option<UnknownReason>,
    /// A hedged attempt has been tried.
    pub(crate) hedged: bool,
    pub(crate) identity: RequestIdentity,
    /// Description of the request for operators.
    pub(crate) label: String,
}

impl Exchange {
    /// Whether another attempt may be started after those that ended, apart
    /// from the retry budget. Invariant: a request that must not be repeated is
    /// sent again only if no attempt can have run.
    pub(crate) fn may_repeat(&self) -> bool {
        if self.possibly_run >= self.route.max_attempts {
            return false;
        }
        if self.body_unavailable || self.possibly_run > 0 && !self.replayable {
            return false;
        }
        self.may_have_run.is_none() || self.route.repeatable
    }

    /// Whether back ends of a zone may serve the request.
    pub(crate) fn may_run_in(&self, zone: &ZoneName, topology: &Topology) -> bool {
        let allowed = self.allowed_regions.as_ref();
        allowed.is_none_or(|allowed| topology.is_within(zone, allowed))
    }

    /// When a second, hedged attempt is worth its cost; `None` if none is
    /// allowed.
    pub(crate) fn hedge_at(&self, hedge_delay_ratio: f64) -> Option<Timestamp> {
        let is_single = self.in_flight.len() == 1 && !self.hedged;
        let allowed = is_single && self.route.repeatable && self.key.is_none() && self.may_repeat();
        if !allowed {
            return None;
        }
        let first = self.in_flight.values().next()?;
        let wait = self.route.target_latency.mul_f64(hedge_delay_ratio);
        Some(first.chosen_at + wait)
    }

    /// Time left until the route's target latency is exceeded.
    pub(crate) fn target_left(&self, now: Timestamp) -> Duration {
        (self.started + self.route.target_latency).since(now)
    }
}
