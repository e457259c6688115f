//! Model of a back end. It accepts grants by fencing token, lets them expire
//! and releases keys.

use std::time::Duration;

use threadledge_coordination::{Fence, HandoverToken, Order, OrderKind, OrderReply};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

use super::work::Workload;

/// Keys that a back end holds.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub range: KeyRange,
    pub until: Timestamp,
    /// True if it comes from an order that was executed late. Such holds do not
    /// count as assigned by the coordinator.
    pub late: bool,
}

/// One process of a back end.
#[derive(Debug)]
pub struct ModelBackEnd {
    pub entry: BackEnd,
    pub up: bool,
    /// Time until which routers cannot reach it.
    pub unreachable_until: Timestamp,
    /// The nodes that cannot reach it before `unreachable_until`; all nodes if empty.
    pub unreachable_from: std::collections::BTreeSet<usize>,
    /// Time until which it answers no order and executes late what it received.
    pub unresponsive_until: Timestamp,
    /// Time until which a connection to its address is accepted and reset by
    /// what is in front of it.
    pub reset_until: Timestamp,
    pub holds: Vec<Hold>,
    /// Requests that it works on.
    pub work: Workload,
    /// The highest fencing token seen for each range.
    fences: Vec<(KeyRange, Fence)>,
    /// Percentage by which its clock runs slow.
    clock_drift_percent: u32,
}

impl ModelBackEnd {
    pub fn new(entry: BackEnd, clock_drift_percent: u32) -> Self {
        ModelBackEnd {
            entry,
            up: true,
            unreachable_until: Timestamp::ZERO,
            unreachable_from: std::collections::BTreeSet::new(),
            unresponsive_until: Timestamp::ZERO,
            reset_until: Timestamp::ZERO,
            holds: Vec::new(),
            work: Workload::default(),
            fences: Vec::new(),
            clock_drift_percent,
        }
    }

    pub fn reachable(&self, now: Timestamp, from: usize) -> bool {
        let cut = self.unreachable_from.is_empty() || self.unreachable_from.contains(&from);
        self.up && (now >= self.unreachable_until || !cut)
    }

    pub fn expire(&mut self, now: Timestamp) {
        self.holds.retain(|hold| hold.until > now);
        self.work.expire(now);
    }

    pub fn crash(&mut self) {
        self.up = false;
        self.holds.clear();
        self.work.clear();
    }

    fn highest_fence(&self, range: KeyRange) -> Fence {
        let overlapping = self.fences.iter().filter(|(each, _)| overlap(*each, range));
        overlapping
            .map(|(_, fence)| *fence)
            .max()
            .unwrap_or_default()
    }

    /// Executes an order.
    pub fn execute(&mut self, now: Timestamp, order: &Order, late: bool) -> OrderReply {
        self.expire(now);
        match &order.kind {
            OrderKind::Grant(grant) => {
                if self.highest_fence(order.range) > order.fence {
                    return OrderReply::Fenced;
                }
                self.remove(order.range);
                self.fences.push((order.range, order.fence));
                let until = now + with_clock_drift(grant.hold, self.clock_drift_percent);
                self.holds.push(Hold {
                    range: order.range,
                    until,
                    late,
                });
                if !late {
                    self.work.extend_lease(order.range, until);
                }
                OrderReply::Granted
            }
            OrderKind::Release => {
                let held = self
                    .holds
                    .iter()
                    .any(|hold| overlap(hold.range, order.range));
                self.remove(order.range);
                if self.highest_fence(order.range) < order.fence {
                    self.fences.push((order.range, order.fence));
                }
                let token = HandoverToken(format!("from-{}", self.entry.name));
                OrderReply::Released(held.then_some(token))
            }
        }
    }

    /// Removes a range from the held keys and keeps the parts outside of it.
    fn remove(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if !overlap(hold.range, range) {
                kept.push(hold);
                continue;
            }
            let before = range.first.0.checked_sub(1);
            let left = before.and_then(|last| KeyRange::new(hold.range.first.0, last));
            let after = range.last.0.checked_add(1);
            let right = after.and_then(|first| KeyRange::new(first, hold.range.last.0));
            for part in [left, right].into_iter().flatten() {
                kept.push(Hold {
                    range: part,
                    ..hold
                });
            }
        }
        self.holds = kept;
    }
}

fn with_clock_drift(duration: Duration, percent: u32) -> Duration {
    duration + duration * percent / 100
}

pub fn overlap(left: KeyRange, right: KeyRange) -> bool {
    left.first <= right.last && right.first <= left.last
}
