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

use super::tracked::{TrackedRange, connection_after, intersection, overlap};
use crate::holders::{Holders, LATE_ORDER_WINDOW};
use crate::order::{Distance, Order, OrderConnection, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{FormerHolder, Slice};
use crate::settings::Settings;

/// Time between two releases to a former owner that did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An unanswered release and the state of its orders.
#[derive(Clone, Debug)]
struct PendingRelease {
    holder: FormerHolder,
    /// Time at which this coordinator began to repeat the release. It stops
    /// once no order can still be executed.
    since: Timestamp,
    in_flight: Option<OrderId>,
    /// Connections on which the next release may be sent.
    connection: OrderConnection,
    next_order_at: Timestamp,
}

/// All releases that former owners have not answered.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerOwners {
    unanswered: Vec<PendingRelease>,
}

impl FormerOwners {
    /// Takes over the unanswered releases of an earlier coordinator.
    pub(super) fn take_over(&mut self, now: Timestamp, holders: &[FormerHolder]) {
        let holders = holders.iter().cloned();
        self.unanswered
            .extend(holders.map(|holder| PendingRelease::new(now, holder)));
    }

    /// Updates the releases when the record changes from the state in `tracked`
    /// to `slices`.
    pub(super) fn update(&mut self, now: Timestamp, tracked: &[TrackedRange], slices: &[Slice]) {
        // A release with an earlier fencing token would take back keys that the
        // back end has been granted again.
        for release in std::mem::take(&mut self.unanswered) {
            let left = parts_not_owned(&release.holder, slices);
            if left == [release.holder.range] {
                self.unanswered.push(release);
                continue;
            }
            self.add(now, &release.holder, left);
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
            let left = parts_not_owned(&holder, slices);
            self.add(now, &holder, left);
        }
    }

    fn add(&mut self, now: Timestamp, holder: &FormerHolder, ranges: Vec<KeyRange>) {
        for range in ranges {
            let part = FormerHolder {
                range,
                ..holder.clone()
            };
            self.unanswered.push(PendingRelease::new(now, part));
        }
    }

    /// Returns the unanswered releases for the record.
    pub(super) fn to_record(&self) -> Vec<FormerHolder> {
        let releases = self.unanswered.iter();
        releases.map(|release| release.holder.clone()).collect()
    }

    /// Removes all releases.
    pub(super) fn clear(&mut self) {
        self.unanswered.clear();
    }

    /// Returns the releases to send now, at most one in flight for each back
    /// end.
    pub(super) fn due_releases(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        holders: &Holders,
        last_order_id: &mut u64,
    ) -> Vec<Order> {
        // A back end that has restarted would release the keys that were
        // granted to its new process.
        self.unanswered
            .retain(|release| !holders.has_ended(&release.holder.owner.name));
        self.unanswered.retain(|release| {
            release.in_flight.is_some() || now.since(release.since) < LATE_ORDER_WINDOW
        });
        let mut busy = self.awaiting_answer();
        let mut orders = Vec::new();
        for release in &mut self.unanswered {
            if release.next_order_at > now || busy.contains(&release.holder.owner.name) {
                continue;
            }
            busy.insert(release.holder.owner.name.clone());
            *last_order_id += 1;
            release.in_flight = Some(OrderId(*last_order_id));
            let distance = settings.distance(holders.zone(&release.holder.owner.name));
            let timeout = match distance {
                Distance::Near => settings.order_timeout,
                Distance::Far => settings.answer_timeout(&OrderKind::Release, distance),
            };
            orders.push(release.release(OrderId(*last_order_id), distance, timeout));
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
        let is_this_order = |release: &PendingRelease| release.in_flight == Some(order.id);
        let was_pending = self.unanswered.iter().any(is_this_order);
        match result {
            Ok(OrderReply::OtherProcess) => {
                self.unanswered
                    .retain(|release| release.holder.owner.name != order.to.name);
            }
            Ok(OrderReply::Released(_)) => {
                self.unanswered.retain(|release| !is_this_order(release))
            }
            Ok(_) | Err(_) => {
                for release in self
                    .unanswered
                    .iter_mut()
                    .filter(|release| is_this_order(release))
                {
                    release.in_flight = None;
                    release.connection = connection_after(result);
                    release.next_order_at = now + RETRY_INTERVAL;
                }
            }
        }
        was_pending
    }

    /// Returns whether no release is awaiting an answer.
    pub(super) fn none_in_flight(&self) -> bool {
        self.unanswered
            .iter()
            .all(|release| release.in_flight.is_none())
    }

    /// Returns when the next release is due.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let busy = self.awaiting_answer();
        let waiting = self.unanswered.iter();
        let waiting = waiting.filter(|release| !busy.contains(&release.holder.owner.name));
        waiting.map(|release| release.next_order_at).min()
    }

    /// Returns the back ends that have a release in flight.
    fn awaiting_answer(&self) -> BTreeSet<BackEndName> {
        let in_flight = self.unanswered.iter();
        let in_flight = in_flight.filter(|release| release.in_flight.is_some());
        in_flight
            .map(|release| release.holder.owner.name.clone())
            .collect()
    }
}

impl PendingRelease {
    fn new(now: Timestamp, holder: FormerHolder) -> Self {
        PendingRelease {
            holder,
            since: now,
            in_flight: None,
            connection: OrderConnection::default(),
            next_order_at: now,
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
            connection: self.connection,
            timeout,
        }
    }
}

/// Returns the parts of a former holder's range that it does not own in
/// `slices`.
fn parts_not_owned(holder: &FormerHolder, slices: &[Slice]) -> Vec<KeyRange> {
    let mut parts: Vec<KeyRange> = Vec::new();
    for slice in slices {
        let again = slice.holder().is_some_and(|owner| *owner == holder.owner);
        if again || !overlap(slice.range, holder.range) {
            continue;
        }
        let part = intersection(slice.range, holder.range);
        match parts.last_mut() {
            Some(last) if u32::from(last.last.0) + 1 == u32::from(part.first.0) => {
                last.last = part.last;
            }
            _ => parts.push(part),
        }
    }
    parts
}
