//! Back ends that lost keys without having answered the release.
//!
//! Their hold was waited out, but an order of ours may still lie with them: a
//! back end that stood still, or that carries orders out late, would take the
//! keys beside their owner. It is asked to release them until it answers: from
//! then on it refuses every earlier grant. The record names them, so that the
//! next coordinator goes on asking.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::tracked::{Tracked, common, overlap};
use crate::holders::{Holders, LATE_ORDERS};
use crate::order::{Distance, Order, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{FormerHolder, Slice};
use crate::settings::Settings;

/// Time between two releases that a former owner did not answer.
const PAUSE: Duration = Duration::from_millis(500);

/// One of them, with the order that it is asked by.
#[derive(Clone, Debug)]
struct Asked {
    holder: FormerHolder,
    /// This coordinator asks since then, while an order may be carried out.
    since: Timestamp,
    in_flight: Option<OrderId>,
    next_order: Timestamp,
}

/// All former owners that have not answered.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerOwners {
    unanswered: Vec<Asked>,
}

impl FormerOwners {
    /// Goes on asking those whom an earlier coordinator asked.
    pub(super) fn take_over(&mut self, now: Timestamp, holders: &[FormerHolder]) {
        let holders = holders.iter().cloned();
        self.unanswered
            .extend(holders.map(|holder| Asked::new(now, holder)));
    }

    /// The record changes from what is `tracked` to `slices`.
    pub(super) fn follow(&mut self, now: Timestamp, tracked: &[Tracked], slices: &[Slice]) {
        // A release under an earlier fence would take keys back that the back
        // end was given again.
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

    /// Who has not answered, for the record.
    pub(super) fn told(&self) -> Vec<FormerHolder> {
        let asked = self.unanswered.iter();
        asked.map(|asked| asked.holder.clone()).collect()
    }

    /// Forgets all.
    pub(super) fn clear(&mut self) {
        self.unanswered.clear();
    }

    /// Releases to send now, one at a time to each back end.
    pub(super) fn orders(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        holders: &Holders,
        next_order: &mut u64,
    ) -> Vec<Order> {
        // The next life of one that ended would give back what it was granted.
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

    /// An order ended. Says whether it was one to a former owner.
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

    /// Whether no order waits for its answer.
    pub(super) fn quiet(&self) -> bool {
        self.unanswered
            .iter()
            .all(|former| former.in_flight.is_none())
    }

    /// When the next order is due.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let asked = self.asked();
        let waiting = self.unanswered.iter();
        let waiting = waiting.filter(|former| !asked.contains(&former.holder.owner.name));
        waiting.map(|former| former.next_order).min()
    }

    /// Back ends that have an order to answer.
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

/// The parts of a former holder's keys that it does not own in `slices`.
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
