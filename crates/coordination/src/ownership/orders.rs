//! Sends orders to back ends and handles their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::tracked::TrackedRange;
use super::{Ownership, Phase};
use crate::action::{Action, Notice};
use crate::holders::FaultEffect;
use crate::order::{Order, OrderFault, OrderId, OrderKind, OrderReply};

/// Maximum number of orders in flight to one back end. A back end that holds
/// many slices gets further orders as it answers.
pub const MAX_ORDERS_IN_FLIGHT: usize = 6;

/// Delay of the next renewal while an unanswered release may still be executed,
/// because keys that it takes are unserved until the renewal. For a back end
/// that answered no order for 12 s, keys were unserved for 0.63 s after it was
/// served again, instead of 0.90 s with 150 ms (worst of 60 seeds in the model).
const SHORT_RENEWAL_DELAY: Duration = Duration::from_millis(100);

/// Returns the number of orders in flight for each back end.
pub(super) fn orders_in_flight(tracked: &[TrackedRange]) -> BTreeMap<BackEndName, usize> {
    let mut counts: BTreeMap<BackEndName, usize> = BTreeMap::new();
    for tracked in tracked {
        let Some(owner) = tracked.owner().filter(|_| tracked.in_flight.is_some()) else {
            continue;
        };
        *counts.entry(owner.name.clone()).or_default() += 1;
    }
    counts
}

/// Maximum number of releases that stay open at one back end after they have
/// been repeated.
const MAX_REPEATED_RELEASES: usize = MAX_ORDERS_IN_FLIGHT;

/// Returns the number of open releases for each back end that have been
/// repeated.
pub(super) fn releases_repeated(tracked: &[TrackedRange]) -> BTreeMap<BackEndName, usize> {
    let mut counts: BTreeMap<BackEndName, usize> = BTreeMap::new();
    for tracked in tracked {
        let Some(owner) = tracked.owner() else {
            continue;
        };
        let is_open = |id| tracked.releases.is_open(id);
        let newest = usize::from(tracked.in_flight.is_some_and(is_open));
        let repeated = tracked.releases.count().saturating_sub(newest);
        if repeated > 0 {
            *counts.entry(owner.name.clone()).or_default() += repeated;
        }
    }
    counts
}

/// Returns whether the release of a range may be repeated while it is open.
pub(super) fn may_repeat(tracked: &TrackedRange, repeated: &BTreeMap<BackEndName, usize>) -> bool {
    let count = tracked.owner().and_then(|owner| repeated.get(&owner.name));
    count.is_none_or(|count| *count < MAX_REPEATED_RELEASES)
}

/// Returns the tracked ranges that overlap `range`. An order concerns no
/// others, and thousands of slices are renewed each second.
fn tracked_in(tracked: &mut [TrackedRange], range: KeyRange) -> &mut [TrackedRange] {
    let begin = tracked.partition_point(|each| each.slice.range.last < range.first);
    let end = tracked.partition_point(|each| each.slice.range.first <= range.last);
    &mut tracked[begin..end]
}

impl Ownership {
    /// Adds the orders that are due to `actions`.
    pub(super) fn send_due_orders(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Active { .. }) {
            return;
        }
        self.repeat_releases(now);
        let mut orders_in_flight = orders_in_flight(&self.tracked);
        let has_no_predecessor = self.predecessor.is_none();
        for tracked in &mut self.tracked {
            if tracked.in_flight.is_some() || now < tracked.next_order_at {
                continue;
            }
            let Some(kind) = tracked.order_kind(&self.settings) else {
                continue;
            };
            let Some(owner) = tracked.owner().cloned() else {
                continue;
            };
            let count = orders_in_flight.entry(owner.name.clone()).or_default();
            if *count >= MAX_ORDERS_IN_FLIGHT {
                continue;
            }
            *count += 1;
            self.last_order_id += 1;
            let id = OrderId(self.last_order_id);
            let distance = self.settings.distance(self.holders.zone(&owner.name));
            let timeout = self.settings.answer_timeout(&kind, distance);
            tracked.sent(now, id, &kind, now + timeout);
            let order = Order {
                id,
                to: owner,
                range: tracked.slice.range,
                fence: tracked.order_fence(),
                kind,
                distance,
                connection: tracked.next_connection(has_no_predecessor),
                timeout,
            };
            self.overdue.watch(now, &order, &self.settings);
            actions.push(Action::Send(order));
        }
        let releases =
            self.former
                .due_releases(now, &self.settings, &self.holders, &mut self.last_order_id);
        actions.extend(releases.into_iter().map(Action::Send));
    }

    /// Schedules the releases that have no answer after the order timeout to be
    /// sent once more.
    fn repeat_releases(&mut self, now: Timestamp) {
        let mut repeated = releases_repeated(&self.tracked);
        for tracked in &mut self.tracked {
            let due = tracked.repeat_due(&self.settings);
            if due.is_none_or(|due| now < due) || !may_repeat(tracked, &repeated) {
                continue;
            }
            tracked.repeat_release(now);
            if let Some(owner) = tracked.owner() {
                *repeated.entry(owner.name.clone()).or_default() += 1;
            }
        }
    }

    /// Handles the grants that have become overdue.
    pub(super) fn handle_overdue(&mut self, now: Timestamp) {
        if !matches!(self.phase, Phase::Active { .. }) {
            return;
        }
        for order in self.overdue.take_due(now) {
            self.on_overdue(now, &order);
        }
    }

    /// Handles a grant to another region that was not answered in time. It is
    /// sent again, and the first one remains open.
    fn on_overdue(&mut self, now: Timestamp, order: &Order) {
        let waited = self.settings.order_timeout;
        let effect = self.holders.on_overdue(now, &order.to.name, waited);
        self.report_fault(order, waited, &OrderFault::NoAnswer, effect);
        for tracked in tracked_in(&mut self.tracked, order.range) {
            tracked.overdue(now, order.id);
        }
    }

    /// Handles the result of an order.
    pub fn on_order(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: Result<OrderReply, OrderFault>,
    ) {
        let was_overdue = self.overdue.ended(order);
        let early = self.is_early(now, order);
        let to_former_owner = self.former.on_order(now, order, &result);
        match &result {
            Ok(OrderReply::Malformed) if matches!(order.kind, OrderKind::Grant(_)) => {
                self.holders.on_malformed(&order.to.name);
            }
            // This reply does not tell which process answered.
            Ok(OrderReply::Malformed) => {}
            Ok(OrderReply::OtherProcess) => {
                if self.holders.on_other_process(now, order) {
                    let owner = order.to.name.clone();
                    self.notices.push(Notice::HolderReplaced { owner });
                }
            }
            Ok(_) => self.on_answer(now, order),
            // The fault was counted when the order became overdue.
            Err(OrderFault::NoAnswer | OrderFault::Doubtful(_)) if was_overdue => {}
            // A former owner whose registration is also gone is expected not to
            // answer.
            Err(_) if to_former_owner && !self.holders.is_registered(&order.to.name) => {}
            Err(fault) => self.on_order_failed(now, order, early, fault),
        }
        if result == Ok(OrderReply::Fenced) {
            self.notices.push(Notice::OrderFenced {
                owner: order.to.name.clone(),
                range: order.range,
                fence: order.fence,
            });
        }
        let may_lose_keys = self.holders.may_lose_keys(&order.to.name, now);
        for tracked in tracked_in(&mut self.tracked, order.range) {
            let awaited = tracked.in_flight == Some(order.id);
            tracked.ended(now, order, &result, &self.settings);
            if awaited && may_lose_keys {
                tracked.next_order_at = tracked.next_order_at.min(now + SHORT_RENEWAL_DELAY);
            }
        }
        // An order that was already in flight when the registration arrived
        // tells nothing about it.
        if result == Ok(OrderReply::Granted) && self.holders.is_ambiguous(&order.to) {
            self.probe_address(now, order.to.address);
        }
    }

    /// Sends the next order to all owners at an address at once, to learn which
    /// of them runs there. An order already in flight may wait for a process
    /// that has ended.
    pub(super) fn probe_address(&mut self, now: Timestamp, address: SocketAddr) {
        for tracked in &mut self.tracked {
            if tracked
                .owner()
                .is_some_and(|owner| owner.address == address)
            {
                tracked.resend_now(now);
            }
        }
    }

    /// Records an answer in the state of its back end and reports the end of a
    /// period of silence.
    fn on_answer(&mut self, now: Timestamp, order: &Order) {
        let Some(silence) = self.holders.on_answer(now, order) else {
            return;
        };
        self.notices.push(Notice::HolderAnswers {
            owner: order.to.name.clone(),
            given_up: silence.given_up,
            silent_for: now.since(silence.since),
        });
    }

    /// Records an order without an answer in the state of its back end.
    fn on_order_failed(&mut self, now: Timestamp, order: &Order, early: bool, fault: &OrderFault) {
        let may_be_executed = matches!(fault, OrderFault::NoAnswer | OrderFault::Doubtful(_));
        if order.kind == OrderKind::Release && may_be_executed {
            self.holders.on_unanswered_release(now, &order.to.name);
        }
        let last_sent = OrderId(self.last_order_id);
        let effect = self
            .holders
            .on_order_failed(now, order, fault, early, last_sent);
        self.report_fault(order, order.timeout, fault, effect);
    }

    /// Returns whether an order that is awaited ends long before the order
    /// timeout.
    fn is_early(&mut self, now: Timestamp, order: &Order) -> bool {
        let settings = &self.settings;
        tracked_in(&mut self.tracked, order.range)
            .iter()
            .any(|tracked| tracked.in_flight == Some(order.id) && tracked.is_early(now, settings))
    }

    /// Reports a back end that has just become silent or lost.
    fn report_fault(
        &mut self,
        order: &Order,
        waited: Duration,
        fault: &OrderFault,
        effect: FaultEffect,
    ) {
        if effect.first_failure {
            let order = order.clone();
            let fault = fault.clone();
            self.notices.push(Notice::OrderGivenUp {
                order,
                waited,
                fault,
            });
        }
        if effect.lost {
            let owner = order.to.name.clone();
            self.notices.push(Notice::HolderLost { owner });
        }
    }
}
