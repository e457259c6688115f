//! One request on its way.

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
pub(crate) struct InFlight {
    pub(crate) back_end: BackEndName,
    pub(crate) chosen_at: Timestamp,
    /// Rounds of work at the back end when it was chosen.
    pub(crate) crowding: f64,
    /// The shell has leave to send it.
    pub(crate) sent: bool,
    /// What it took from the retry budget.
    pub(crate) retry: Option<Permit>,
    /// Until when it may be sent to its back end, if that names a limit.
    pub(crate) send_by: Option<Timestamp>,
}

/// One request of one caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    /// Its rank among those that wait; 0 goes first.
    pub(crate) rank: u32,
    /// The only regions whose back ends may have it; `None`: all.
    pub(crate) allowed_regions: Option<BTreeSet<RegionName>>,
    /// The key, if the service is divided by key.
    pub(crate) key: Option<ShardKey>,
    pub(crate) started: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) patience_until: Timestamp,
    pub(crate) replayable: bool,
    /// Its body turned out not to be there for another attempt.
    pub(crate) body_gone: bool,
    pub(crate) next_attempt: u32,
    /// Attempts that may have run.
    pub(crate) sent: u32,
    /// Attempts that may have arrived at a back end, refused ones included.
    pub(crate) arrived: u32,
    pub(crate) in_flight: BTreeMap<AttemptId, InFlight>,
    pub(crate) tried: BTreeSet<BackEndName>,
    /// An attempt may have run; how the last such one ended.
    pub(crate) may_have_run: Option<UnknownReason>,
    pub(crate) hedged: bool,
    pub(crate) identity: RequestIdentity,
    /// Method, host and path, as operators are told of it.
    pub(crate) label: String,
}

impl Exchange {
    /// Whether another attempt may be made after those that ended, the retry
    /// budget aside. Invariant: a request that must not be repeated is sent
    /// again only if nothing of it can have run.
    pub(crate) fn may_repeat(&self) -> bool {
        if self.sent >= self.route.max_attempts {
            return false;
        }
        if self.body_gone || self.sent > 0 && !self.replayable {
            return false;
        }
        self.may_have_run.is_none() || self.route.repeatable
    }

    /// Whether back ends of a zone may have it.
    pub(crate) fn may_run_in(&self, zone: &ZoneName, topology: &Topology) -> bool {
        let allowed = self.allowed_regions.as_ref();
        allowed.is_none_or(|allowed| topology.is_within(zone, allowed))
    }

    /// When a second attempt beside the first is worth its price; `None` when
    /// there may be none.
    pub(crate) fn hedge_at(&self, hedge_delay_ratio: f64) -> Option<Timestamp> {
        let single = self.in_flight.len() == 1 && !self.hedged;
        let allowed = single && self.route.repeatable && self.key.is_none() && self.may_repeat();
        if !allowed {
            return None;
        }
        let first = self.in_flight.values().next()?;
        let wait = self.route.target_latency.mul_f64(hedge_delay_ratio);
        Some(first.chosen_at + wait)
    }

    /// What is left of the time in which an answer is worth most.
    pub(crate) fn target_left(&self, now: Timestamp) -> Duration {
        (self.started + self.route.target_latency).since(now)
    }
}
