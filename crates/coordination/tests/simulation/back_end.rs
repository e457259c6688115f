//! A back end: it takes grants by fence, lets holds run out and releases.

use std::time::Duration;

use threadledge_coordination::{Fence, HandoverToken, Order, OrderKind, OrderReply};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

/// Keys that a back end holds.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub range: KeyRange,
    pub until: Timestamp,
    /// It came from an order that was carried out late; such holds do not
    /// count as the coordinator's.
    pub late: bool,
}

/// One life of a back end.
#[derive(Debug)]
pub struct ModelBackEnd {
    pub entry: BackEnd,
    pub up: bool,
    /// Routers cannot reach it before then.
    pub cut_until: Timestamp,
    /// These nodes cannot reach it before `cut_until`; all, if there are none.
    pub cut_from: std::collections::BTreeSet<usize>,
    /// Until then it answers no order, and carries out late what it was sent.
    pub deaf_until: Timestamp,
    pub holds: Vec<Hold>,
    /// The highest fence seen on each range.
    floors: Vec<(KeyRange, Fence)>,
    /// Its clock runs slow by so many percent.
    slow_percent: u32,
}

impl ModelBackEnd {
    pub fn new(entry: BackEnd, slow_percent: u32) -> Self {
        ModelBackEnd {
            entry,
            up: true,
            cut_until: Timestamp::ZERO,
            cut_from: std::collections::BTreeSet::new(),
            deaf_until: Timestamp::ZERO,
            holds: Vec::new(),
            floors: Vec::new(),
            slow_percent,
        }
    }

    pub fn reachable(&self, now: Timestamp, from: usize) -> bool {
        let cut = self.cut_from.is_empty() || self.cut_from.contains(&from);
        self.up && (now >= self.cut_until || !cut)
    }

    pub fn expire(&mut self, now: Timestamp) {
        self.holds.retain(|hold| hold.until > now);
    }

    pub fn crash(&mut self) {
        self.up = false;
        self.holds.clear();
    }

    fn floor(&self, range: KeyRange) -> Fence {
        let overlapping = self.floors.iter().filter(|(each, _)| overlap(*each, range));
        overlapping
            .map(|(_, fence)| *fence)
            .max()
            .unwrap_or_default()
    }

    /// Carries an order out.
    pub fn take(&mut self, now: Timestamp, order: &Order, late: bool) -> OrderReply {
        self.expire(now);
        match &order.kind {
            OrderKind::Grant(grant) => {
                if self.floor(order.range) > order.fence {
                    return OrderReply::Fenced;
                }
                self.remove(order.range);
                self.floors.push((order.range, order.fence));
                self.holds.push(Hold {
                    range: order.range,
                    until: now + slowed(grant.hold, self.slow_percent),
                    late,
                });
                OrderReply::Granted
            }
            OrderKind::Release => {
                let held = self
                    .holds
                    .iter()
                    .any(|hold| overlap(hold.range, order.range));
                self.remove(order.range);
                if self.floor(order.range) < order.fence {
                    self.floors.push((order.range, order.fence));
                }
                let token = HandoverToken(format!("from-{}", self.entry.name));
                OrderReply::Released(held.then_some(token))
            }
        }
    }

    /// Takes a range out of what is held; what lies beside it stays.
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

fn slowed(duration: Duration, percent: u32) -> Duration {
    duration + duration * percent / 100
}

pub fn overlap(left: KeyRange, right: KeyRange) -> bool {
    left.first <= right.last && right.first <= left.last
}
