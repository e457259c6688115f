//! Results of orders to back ends, and what they show of them.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::Holders;
use crate::order::{Distance, Order, OrderConnection, OrderFault, OrderId};

/// Consecutive failed connection attempts after which a back end counts as
/// lost.
const FAILED_CONNECTS_UNTIL_LOST: u32 = 2;
/// Consecutive unanswered orders after which a back end counts as lost. Some
/// back ends answer requests while they leave orders unanswered.
const UNANSWERED_UNTIL_LOST: u32 = 6;
/// Consecutive new connections that ended soon without an answer after which a
/// back end counts as lost.
const CUTS_UNTIL_LOST: u32 = 2;
/// Time within which failures count as one, because one event ends many
/// connections. Shorter than the delay of a repeated order, whose failure must
/// count: the keys of an ended owner wait for the expiry of its last order.
const SAME_FAILURE: Duration = Duration::from_millis(75);
/// Time after a report of served requests for which unanswered orders do not
/// make a back end count as lost: two intervals of the reports and their way.
const SERVED_WINDOW: Duration = Duration::from_millis(1_200);
/// Longest time after a report of served requests for which a back end of
/// another region may serve while none of its zone is reported: a full link
/// holds reports and orders alike. Shorter than the time in which unanswered
/// orders make a back end count as lost, so that one that answered them until it
/// ended is lost no later.
const MAX_REPORT_GAP: Duration = Duration::from_millis(2_500);
/// Time in which a router that reports has reported: an interval and its way.
const REPORTED_WINDOW: Duration = Duration::from_millis(600);
/// Time after its timeout during which an unanswered release may still be
/// executed. Back ends were seen to execute orders up to 12 seconds late.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

/// Results of recent orders to a back end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    /// Consecutive failed connection attempts.
    failed_connects: u32,
    /// Time at which one of them was last counted.
    connect_failed_at: Option<Timestamp>,
    /// Consecutive unanswered orders.
    unanswered: u32,
    /// The last order that had been sent when one was last counted as
    /// unanswered.
    counted_until: OrderId,
    /// Time at which an order was last counted as unanswered.
    counted_at: Option<Timestamp>,
    /// Consecutive new connections that ended soon without an answer.
    cuts: u32,
    /// Time at which one of them was last counted.
    cut_at: Option<Timestamp>,
    /// Time at which the back end last counted as lost.
    pub(super) lost_since: Option<Timestamp>,
    /// The current period without answers, if any.
    silence: Option<Silence>,
    /// Time at which an overdue grant was last counted as unanswered.
    overdue_counted: Option<Timestamp>,
    /// End of the time in which unanswered releases may still take keys from
    /// the back end.
    late_releases_until: Timestamp,
    /// True if the back end rejected a grant as malformed.
    pub(super) refused: bool,
}

/// A period in which a back end has answered no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Number of orders that failed in this period.
    pub given_up: u32,
    /// Time at which the first of them failed.
    pub since: Timestamp,
}

/// Consequences of a failed order for the state of its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultEffect {
    /// True if this is the first consecutive failure.
    pub first_failure: bool,
    /// True if the back end counts as lost from now on.
    pub lost: bool,
}

impl Reachability {
    /// Counts a failed connection attempt, unless it is part of the last such
    /// failure. Returns whether it was counted.
    fn count_failed_connect(&mut self, now: Timestamp) -> bool {
        if is_same_failure(now, self.connect_failed_at) {
            return false;
        }
        self.connect_failed_at = Some(now);
        self.failed_connects += 1;
        true
    }

    /// Counts an unanswered order, unless its failure is part of the last one.
    /// Returns whether it was counted.
    fn count_unanswered(&mut self, now: Timestamp, id: OrderId, last_sent: OrderId) -> bool {
        let together = id <= self.counted_until && self.silence.is_some();
        if together || is_same_failure(now, self.counted_at) {
            return false;
        }
        self.counted_until = last_sent;
        self.counted_at = Some(now);
        self.unanswered += 1;
        true
    }

    /// Counts a new connection that ended soon without an answer, unless it is
    /// part of the last such failure. Returns whether it was counted.
    fn count_cut(&mut self, now: Timestamp) -> bool {
        if is_same_failure(now, self.cut_at) {
            return false;
        }
        self.cut_at = Some(now);
        self.cuts += 1;
        true
    }

    /// Adds an order that belongs to a failure already counted to the current
    /// period without answers. Returns false if there is none.
    fn add_to_silence(&mut self) -> bool {
        let Some(silence) = &mut self.silence else {
            return false;
        };
        silence.given_up += 1;
        true
    }
}

/// Returns whether a failure is part of the one that was last counted.
fn is_same_failure(now: Timestamp, counted: Option<Timestamp>) -> bool {
    counted.is_some_and(|counted| now.since(counted) < SAME_FAILURE)
}

impl Holders {
    /// Records that a router reported requests that a back end served.
    pub fn on_served(&mut self, now: Timestamp, name: &BackEndName) {
        if self.is_registered(name) {
            self.served.insert(name.clone(), now);
        }
    }

    /// Returns whether a back end served requests lately, so that it runs and
    /// holds keys whether it answers orders or not. That no report names one in
    /// another region shows nothing while none of its zone is reported.
    fn serves(&self, now: Timestamp, name: &BackEndName, distance: Distance) -> bool {
        let Some(served) = self.served.get(name) else {
            return false;
        };
        let gap = now.since(*served);
        let may_be_held = distance == Distance::Far && gap < MAX_REPORT_GAP;
        gap < SERVED_WINDOW || (may_be_held && !self.is_zone_reported(now, name))
    }

    /// Returns whether routers have just reported requests that `name` served.
    /// Connections that end soon are no silence: each grant that ends so delays
    /// when the keys go on, and a full link does not end connections.
    fn is_reported(&self, now: Timestamp, name: &BackEndName) -> bool {
        let served = self.served.get(name);
        served.is_some_and(|served| now.since(*served) < REPORTED_WINDOW)
    }

    /// Returns whether routers have just reported requests that another back end
    /// in the zone of `name` served.
    fn is_zone_reported(&self, now: Timestamp, name: &BackEndName) -> bool {
        let zone = self.zone(name);
        self.served.iter().any(|(other, served)| {
            other != name && now.since(*served) < REPORTED_WINDOW && self.zone(other) == zone
        })
    }

    /// Records that a back end answered an order. Returns the period of silence
    /// that this ended, if any.
    pub fn on_answer(&mut self, now: Timestamp, order: &Order) -> Option<Silence> {
        self.changed |= self.occupancy.on_answer(now, order);
        let reachability = self.reachability.get_mut(&order.to.name)?;
        let silence = reachability.silence;
        *reachability = Reachability {
            refused: reachability.refused,
            late_releases_until: reachability.late_releases_until,
            ..Reachability::default()
        };
        silence
    }

    /// Records that a back end rejected a grant as malformed.
    pub fn on_malformed(&mut self, name: &BackEndName) {
        self.changed = true;
        self.reachability.entry(name.clone()).or_default().refused = true;
    }

    /// Records that a release was called off because `name` did not answer it.
    /// It may still be executed, and would be again if it were repeated.
    pub fn on_called_off(&mut self, now: Timestamp, name: &BackEndName) {
        self.called_off.retain(|_, until| now < *until);
        self.called_off
            .insert(name.clone(), now + LATE_ORDER_WINDOW);
    }

    /// Returns whether an owner will probably answer a release: it answered its
    /// last order, and none of its releases was called off lately.
    pub fn may_be_asked(&self, name: &BackEndName, now: Timestamp) -> bool {
        let reachability = self.reachability.get(name);
        let is_silent = reachability.is_some_and(|reachability| reachability.silence.is_some());
        let paused = self.called_off.get(name).is_some_and(|until| now < *until);
        !is_silent && !paused
    }

    /// Returns whether unanswered releases may still take keys from `name`.
    pub fn may_lose_keys(&self, name: &BackEndName, now: Timestamp) -> bool {
        let reachability = self.reachability.get(name);
        reachability.is_some_and(|reachability| now < reachability.late_releases_until)
    }

    /// Records that a release was not answered, so that it may be executed
    /// later.
    pub fn on_unanswered_release(&mut self, now: Timestamp, name: &BackEndName) {
        let reachability = self.reachability.entry(name.clone()).or_default();
        reachability.late_releases_until = now + LATE_ORDER_WINDOW;
    }

    /// Records that a grant to a back end of another region is overdue. Grants
    /// of several ranges are queued in the same full link, so they count as one
    /// failure per timeout, starting with the first. When they were counted
    /// separately, six ranges made a healthy back end count as lost within 0.5
    /// s.
    pub fn on_overdue(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        timeout: Duration,
    ) -> FaultEffect {
        let reachability = self.reachability.entry(name.clone()).or_default();
        let again = |counted: Timestamp| now.since(counted) < timeout;
        if reachability.overdue_counted.is_some_and(again) {
            return FaultEffect::default();
        }
        reachability.overdue_counted = Some(now);
        self.on_fault(now, name, OrderFault::NoAnswer, Distance::Far)
    }

    /// Records that an order to a back end failed, `early` if long before the
    /// order timeout. `last_sent` is the last order sent so far. Invariant:
    /// orders that were under way together, or end at about the same time, and
    /// are not answered count as one failure, since one event ends them all.
    pub fn on_order_failed(
        &mut self,
        now: Timestamp,
        order: &Order,
        fault: &OrderFault,
        early: bool,
        last_sent: OrderId,
    ) -> FaultEffect {
        let name = &order.to.name;
        if *fault != OrderFault::NoAnswer {
            return self.on_fault(now, name, fault.clone(), order.distance);
        }
        let reachability = self.reachability.entry(name.clone()).or_default();
        let is_cut = early && order.connection == OrderConnection::New;
        let cut_counts = is_cut && reachability.count_cut(now);
        let unanswered_counts = reachability.count_unanswered(now, order.id, last_sent);
        if !cut_counts && !unanswered_counts && reachability.add_to_silence() {
            return FaultEffect::default();
        }
        self.on_counted(now, name, order.distance)
    }

    /// Records that an order to a back end has no answer.
    pub fn on_fault(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        fault: OrderFault,
        distance: Distance,
    ) -> FaultEffect {
        let reachability = self.reachability.entry(name.clone()).or_default();
        match fault {
            OrderFault::Withheld | OrderFault::Doubtful(_) => return FaultEffect::default(),
            OrderFault::NotSent => {
                if !reachability.count_failed_connect(now) && reachability.add_to_silence() {
                    return FaultEffect::default();
                }
            }
            OrderFault::NoAnswer => reachability.unanswered += 1,
        }
        self.on_counted(now, name, distance)
    }

    /// Determines whether a back end is lost after a failure was counted.
    fn on_counted(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        distance: Distance,
    ) -> FaultEffect {
        let serves = self.serves(now, name, distance);
        let is_reported = self.is_reported(now, name);
        let reachability = self.reachability.entry(name.clone()).or_default();
        let lost = reachability.failed_connects >= FAILED_CONNECTS_UNTIL_LOST
            || (reachability.unanswered >= UNANSWERED_UNTIL_LOST && !serves)
            || (reachability.cuts >= CUTS_UNTIL_LOST && !is_reported);
        let effect = FaultEffect {
            first_failure: reachability.silence.is_none(),
            lost: lost && reachability.lost_since.is_none(),
        };
        if lost {
            reachability.lost_since = Some(now);
        }
        self.changed |= lost;
        let silence = reachability.silence.get_or_insert(Silence {
            given_up: 0,
            since: now,
        });
        silence.given_up += 1;
        effect
    }
}
