//! Grants to other regions whose answers are awaited beyond the usual time.
//!
//! The link between two regions may be full: what is sent then stands in it for
//! seconds. Such a grant is overdue after the usual time, so that it is sent
//! again and its back end counts as silent, but its connection stays: the
//! answer that comes late tells that the back end is well, and until when its
//! hold lasts.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::Timestamp;

use crate::order::{Order, OrderId, OrderKind};
use crate::settings::Settings;

/// Grants whose connections are kept beyond the usual time.
#[derive(Clone, Debug, Default)]
pub(super) struct OverdueWatch {
    /// Those that are not overdue yet, and when they are.
    awaited: BTreeMap<OrderId, (Timestamp, Order)>,
    /// Those that are overdue and have not ended.
    overdue: BTreeSet<OrderId>,
}

impl OverdueWatch {
    /// Watches a grant whose connection is kept beyond the usual time.
    pub(super) fn watch(&mut self, now: Timestamp, order: &Order, settings: &Settings) {
        let longer = order.timeout > settings.order_timeout;
        if !longer || order.kind == OrderKind::Release {
            return;
        }
        let due = now + settings.order_timeout;
        self.awaited.insert(order.id, (due, order.clone()));
    }

    /// Grants that have become overdue.
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

    /// An order ended. Says whether it was overdue.
    pub(super) fn ended(&mut self, order: &Order) -> bool {
        self.awaited.remove(&order.id);
        self.overdue.remove(&order.id)
    }

    /// Whether an overdue order has not ended.
    pub(super) fn any_overdue(&self) -> bool {
        !self.overdue.is_empty()
    }

    /// When the next grant is overdue.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        self.awaited.values().map(|(at, _)| *at).min()
    }

    /// Forgets all.
    pub(super) fn clear(&mut self) {
        self.awaited.clear();
        self.overdue.clear();
    }
}
