//! Tracks grants to other regions whose connections stay open beyond the order
//! timeout.
//!
//! The link between two regions may be full, so that messages are queued in it
//! for seconds. After the order timeout such a grant is overdue: it is sent
//! again and its back end counts as silent, but its connection stays open. A
//! late answer then shows that the back end is alive and until when its grant
//! lasts.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::Timestamp;

use crate::order::{Order, OrderId, OrderKind};
use crate::settings::Settings;

/// Grants whose connections stay open beyond the order timeout.
#[derive(Clone, Debug, Default)]
pub(super) struct OverdueGrants {
    /// Grants that are not overdue yet, each with the time at which it becomes
    /// overdue.
    awaited: BTreeMap<OrderId, (Timestamp, Order)>,
    /// Overdue grants that have not ended.
    overdue: BTreeSet<OrderId>,
}

impl OverdueGrants {
    /// Starts to track a grant whose connection stays open beyond the order
    /// timeout.
    pub(super) fn watch(&mut self, now: Timestamp, order: &Order, settings: &Settings) {
        let longer = order.timeout > settings.order_timeout;
        if !longer || order.kind == OrderKind::Release {
            return;
        }
        let due = now + settings.order_timeout;
        self.awaited.insert(order.id, (due, order.clone()));
    }

    /// Returns the grants that have become overdue since the last call.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<Order> {
        let mut due = Vec::new();
        self.awaited.retain(|_, (at, order)| {
            if now < *at {
                return true;
            }
            due.push(order.clone());
            false
        });
        self.overdue.extend(due.iter().map(|order| order.id));
        due
    }

    /// Records that an order ended. Returns whether it was overdue.
    pub(super) fn ended(&mut self, order: &Order) -> bool {
        self.awaited.remove(&order.id);
        self.overdue.remove(&order.id)
    }

    /// Returns whether an overdue grant has not ended.
    pub(super) fn any_overdue(&self) -> bool {
        !self.overdue.is_empty()
    }

    /// Returns when the next grant becomes overdue.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.awaited.values().map(|(at, _)| *at).min()
    }

    /// Removes all grants.
    pub(super) fn clear(&mut self) {
        self.awaited.clear();
        self.overdue.clear();
    }
}
