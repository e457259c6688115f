//! Tracks back ends that lost keys without having answered the release.
//!
//! Their grants have expired, but an order of this node may still be queued at
//! them. A back end that was suspended, or that executes orders late, would
//! then take the keys while another back end owns them. The coordinator
//! therefore repeats the release until the back end answers, because from then
//! on the back end refuses every earlier grant. The record lists these back
//! ends, so that the next coordinator continues.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::tracked::{Tracked, common, overlap};
use crate::holders::{Holders, LATE_ORDERS};
use crate::order::{Distance, Order, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{FormerHolder, Slice};
use crate::settings::Settings;

/// Time between two releases to a former owner that did not answer.
const PAUSE: Duration = Duration::from_millis(500);

/// An unanswered release and the state of its orders.
#[derive(Clone, Debug)]
struct Asked {
    holder: FormerHolder,
    /// When this coordinator began to repeat the release. It stops once no
    /// order can still be executed.
    since: Timestamp,
    in_flight: Option<OrderId>,
    next_order: Timestamp,
}

/// All releases that former owners have not answered.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerOwners {
    unanswered: Vec<Asked>,
}

impl FormerOwners {
    /// Takes over the unanswered releases of an earlier coordinator.
    pub(super) fn take_over(&mut self, now: Timestamp, holders: &[FormerHolder]) {
        let holders = holders.iter().cloned();
        self.unanswered
            .extend(holders.map(|holder| Asked::new(now, holder)));
    }

    /// Updates the releases when the record changes from the state in `tracked`
    /// to `slices`.
    pub(super) fn follow(&mut self, now: Timestamp, tracked: &[Tracked], slices: &[Slice]) {
        // A release with an earlier fencing token would take back keys that the
        // back end has been granted again.
        for asked in std::mem::take(&mut self.unanswered) {
            let left = parts_without(&asked.holder, slices);
            if left == [asked.holder.range] {
                self.unanswered.push(asked);
                continue;
            }
            self.ask(now, &asked.holder, left);
        }
        for before in tracked {
            let (Some(fence), None, Some(owner)) =
                (before.releasing, &before.released, before.owner())
            else {
                continue;
            };
            let holder = FormerHolder {
                owner: owner.clone(),
                range: before.slice.range,
                fence,
            };
            let left = parts_without(&holder, slices);
            self.ask(now, &holder, left);
        }
    }

    fn ask(&mut self, now: Timestamp, holder: &FormerHolder, ranges: Vec<KeyRange>) {
        for range in ranges {
            let part = FormerHolder {
                range,
                ..holder.clone()
            };
            self.unanswered.push(Asked::new(now, part));
        }
    }

    /// Returns the unanswered releases for the record.
    pub(super) fn told(&self) -> Vec<FormerHolder> {
        let asked = self.unanswered.iter();
        asked.map(|asked| asked.holder.clone()).collect()
    }

    /// Removes all releases.
    pub(super) fn clear(&mut self) {
        self.unanswered.clear();
    }

    /// Returns the releases to send now, at most one in flight for each back
    /// end.
    pub(super) fn orders(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        holders: &Holders,
        next_order: &mut u64,
    ) -> Vec<Order> {
        // A back end that has restarted would release the keys that were
        // granted to its new process.
        self.unanswered
            .retain(|former| !holders.has_ended(&former.holder.owner.name));
        self.unanswered
            .retain(|former| former.in_flight.is_some() || now.since(former.since) < LATE_ORDERS);
        let mut asked = self.asked();
        let mut orders = Vec::new();
        for former in &mut self.unanswered {
            if former.next_order > now || asked.contains(&former.holder.owner.name) {
                continue;
            }
            asked.insert(former.holder.owner.name.clone());
            *next_order += 1;
            former.in_flight = Some(OrderId(*next_order));
            let distance = settings.distance(holders.zone(&former.holder.owner.name));
            let timeout = match distance {
                Distance::Near => settings.order_timeout,
                Distance::Far => settings.answer_timeout(&OrderKind::Release, distance),
            };
            orders.push(former.release(OrderId(*next_order), distance, timeout));
        }
        orders
    }

    /// Handles the result of an order. Returns whether the order was one of
    /// these releases.
    pub(super) fn on_order(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: &Result<OrderReply, OrderFault>,
    ) -> bool {
        let is_it = |former: &Asked| former.in_flight == Some(order.id);
        let was_here = self.unanswered.iter().any(is_it);
        match result {
            Ok(OrderReply::OtherProcess) => {
                self.unanswered
                    .retain(|former| former.holder.owner.name != order.to.name);
            }
            Ok(OrderReply::Released(_)) => self.unanswered.retain(|former| !is_it(former)),
            Ok(_) | Err(_) => {
                for former in self.unanswered.iter_mut().filter(|former| is_it(former)) {
                    former.in_flight = None;
                    former.next_order = now + PAUSE;
                }
            }
        }
        was_here
    }

    /// Returns whether no release is awaiting an answer.
    pub(super) fn quiet(&self) -> bool {
        self.unanswered
            .iter()
            .all(|former| former.in_flight.is_none())
    }

    /// Returns when the next release is due.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let asked = self.asked();
        let waiting = self.unanswered.iter();
        let waiting = waiting.filter(|former| !asked.contains(&former.holder.owner.name));
        waiting.map(|former| former.next_order).min()
    }

    /// Returns the back ends that have a release in flight.
    fn asked(&self) -> BTreeSet<BackEndName> {
        let asked = self.unanswered.iter();
        let asked = asked.filter(|former| former.in_flight.is_some());
        asked
            .map(|former| former.holder.owner.name.clone())
            .collect()
    }
}

impl Asked {
    fn new(now: Timestamp, holder: FormerHolder) -> Self {
        Asked {
            holder,
            since: now,
            in_flight: None,
            next_order: now,
        }
    }

    fn release(&self, id: OrderId, distance: Distance, timeout: Duration) -> Order {
        Order {
            id,
            to: self.holder.owner.clone(),
            range: self.holder.range,
            fence: self.holder.fence,
            kind: OrderKind::Release,
            distance,
            timeout,
        }
    }
}

/// Returns the parts of a former holder's range that it does not own in
/// `slices`.
fn parts_without(holder: &FormerHolder, slices: &[Slice]) -> Vec<KeyRange> {
    let mut parts: Vec<KeyRange> = Vec::new();
    for slice in slices {
        let again = slice.holder().is_some_and(|owner| *owner == holder.owner);
        if again || !overlap(slice.range, holder.range) {
            continue;
        }
        let part = common(slice.range, holder.range);
        match parts.last_mut() {
            Some(last) if u32::from(last.last.0) + 1 == u32::from(part.first.0) => {
                last.last = part.last;
            }
            _ => parts.push(part),
        }
    }
    parts
}
