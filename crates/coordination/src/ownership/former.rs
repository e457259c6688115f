//! Back ends that lost keys without having answered the release.
//!
//! Their hold was waited out, but an order of ours may still lie with them: a
//! back end that stood still, or that carries orders out late, would take the
//! keys beside their owner. It is asked to release them until it answers: from
//! then on it refuses every earlier grant.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::tracked::{Tracked, overlap};
use crate::order::{Order, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{Fence, Owner, Slice};
use crate::settings::Settings;

/// Time between two releases that a former owner did not answer.
const PAUSE: Duration = Duration::from_millis(500);
/// How long a former owner is asked: back ends were seen to carry orders out up
/// to 12 seconds late.
const PATIENCE: Duration = Duration::from_secs(15);

/// Keys that a back end may still take.
#[derive(Clone, Debug)]
struct FormerOwner {
    owner: Owner,
    range: KeyRange,
    /// Of the release that was not answered; above every grant before it.
    fence: Fence,
    /// The keys went to another then.
    since: Timestamp,
    in_flight: Option<OrderId>,
    next_order: Timestamp,
}

/// All former owners that have not answered.
#[derive(Debug, Default)]
pub(super) struct FormerOwners {
    unanswered: Vec<FormerOwner>,
}

impl FormerOwners {
    /// The record changed from what is `tracked` to `slices`.
    pub(super) fn follow(&mut self, now: Timestamp, tracked: &[Tracked], slices: &[Slice]) {
        let owned_by = |owner: &Owner, range: KeyRange| {
            let mut there = slices.iter().filter(|slice| overlap(slice.range, range));
            there.any(|slice| slice.holder().is_some_and(|holder| holder == owner))
        };
        // A release under an earlier fence would take keys back that the back
        // end was given again.
        self.unanswered
            .retain(|former| !owned_by(&former.owner, former.range));
        for before in tracked {
            let (Some(fence), None, Some(owner)) =
                (before.releasing, &before.released, before.owner())
            else {
                continue;
            };
            if !owned_by(owner, before.slice.range) {
                self.unanswered.push(FormerOwner {
                    owner: owner.clone(),
                    range: before.slice.range,
                    fence,
                    since: now,
                    in_flight: None,
                    next_order: now,
                });
            }
        }
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
        next_order: &mut u64,
    ) -> Vec<Order> {
        self.unanswered
            .retain(|former| former.in_flight.is_some() || now.since(former.since) < PATIENCE);
        let mut asked = self.asked();
        let mut orders = Vec::new();
        for former in &mut self.unanswered {
            if former.next_order > now || asked.contains(&former.owner.name) {
                continue;
            }
            asked.insert(former.owner.name.clone());
            *next_order += 1;
            former.in_flight = Some(OrderId(*next_order));
            orders.push(former.release(OrderId(*next_order), settings.order_timeout));
        }
        orders
    }

    /// An order ended.
    pub(super) fn on_order(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: &Result<OrderReply, OrderFault>,
    ) {
        let is_it = |former: &FormerOwner| former.in_flight == Some(order.id);
        match result {
            Ok(OrderReply::OtherProcess) => {
                self.unanswered
                    .retain(|former| former.owner.name != order.to.name);
            }
            Ok(OrderReply::Released(_)) => self.unanswered.retain(|former| !is_it(former)),
            Ok(_) | Err(_) => {
                for former in self.unanswered.iter_mut().filter(|former| is_it(former)) {
                    former.in_flight = None;
                    former.next_order = now + PAUSE;
                }
            }
        }
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
        let waiting = waiting.filter(|former| !asked.contains(&former.owner.name));
        waiting.map(|former| former.next_order).min()
    }

    /// Back ends that have an order to answer.
    fn asked(&self) -> BTreeSet<BackEndName> {
        let asked = self.unanswered.iter();
        let asked = asked.filter(|former| former.in_flight.is_some());
        asked.map(|former| former.owner.name.clone()).collect()
    }
}

impl FormerOwner {
    fn release(&self, id: OrderId, timeout: Duration) -> Order {
        Order {
            id,
            to: self.owner.clone(),
            range: self.range,
            fence: self.fence,
            kind: OrderKind::Release,
            timeout,
        }
    }
}
