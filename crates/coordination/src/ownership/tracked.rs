//! What is under way for one range of keys.

use std::collections::BTreeSet;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::arrivals::Arrivals;
use crate::order::{GrantOrder, HandoverToken, Order, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{Fence, Owner, Slice, SliceState};
use crate::settings::Settings;

/// A range of one slice of the record, with the state of its orders.
///
/// A range that is taken back is tracked by itself; the record keeps naming
/// its owner until the next one is written. A coordinator that follows then
/// finds the former owner there and grants it the keys again.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub(super) slice: Slice,
    /// The keys are being taken back under this fence.
    pub(super) releasing: Option<Fence>,
    /// The keys were given back, with the token if there was one.
    pub(super) released: Option<Option<HandoverToken>>,
    /// The order that waits for its answer.
    pub(super) in_flight: Option<OrderId>,
    pub(super) next_order: Timestamp,
    /// Grants of this node that may still arrive.
    pub(super) arrivals: Arrivals,
    /// The back end answered an order of this term for these keys: it refuses
    /// those of earlier coordinators.
    pub(super) fenced_here: bool,
    /// The back end refused our fence.
    pub(super) fenced: bool,
    /// The grant in force was answered.
    pub(super) granted: bool,
    /// The owner has started again: its next life, which holds nothing of the
    /// former one. Nothing is sent before the record names it, since it would
    /// take what was meant for the former.
    pub(super) successor: Option<Owner>,
}

impl Tracked {
    fn new(now: Timestamp, slice: Slice) -> Self {
        Tracked {
            slice,
            releasing: None,
            released: None,
            in_flight: None,
            next_order: now,
            arrivals: Arrivals::default(),
            fenced_here: false,
            fenced: false,
            granted: false,
            successor: None,
        }
    }

    /// The back end that may hold the keys.
    pub(super) fn owner(&self) -> Option<&Owner> {
        self.slice.holder()
    }

    /// Takes the keys back under `fence`, which is above that of the grant.
    pub(super) fn release(&mut self, now: Timestamp, fence: Fence) {
        self.releasing = Some(fence);
        // A grant in flight may still arrive; the higher fence wins.
        self.in_flight = None;
        self.next_order = now;
    }

    /// Cuts the range so that `range` is tracked by itself; the pieces go on
    /// as the whole did.
    pub(super) fn cut(self, range: KeyRange) -> Vec<Tracked> {
        let mut pieces = Vec::with_capacity(3);
        let before = u32::from(range.first.0) - u32::from(self.slice.range.first.0);
        let mut rest = self.slice.range;
        if let Some((left, right)) = rest.split_after(before) {
            pieces.push(left);
            rest = right;
        }
        match rest.split_after(range.len()) {
            Some((piece, right)) => pieces.extend([piece, right]),
            None => pieces.push(rest),
        }
        let piece = |range| {
            let mut piece = self.clone();
            piece.slice.range = range;
            piece
        };
        pieces.into_iter().map(piece).collect()
    }

    /// Sends the next order now, and no longer awaits the one under way.
    pub(super) fn ask_again(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.next_order = now;
    }

    /// Whether there is ever something to send.
    pub(super) fn wants_order(&self) -> bool {
        match (&self.slice.state, self.releasing) {
            (SliceState::Unowned, _) => false,
            (SliceState::Owned { .. }, None) => !self.fenced && self.successor.is_none(),
            (SliceState::Owned { .. }, Some(_)) => self.released.is_none(),
        }
    }

    /// Fence of the next order.
    pub(super) fn order_fence(&self) -> Fence {
        self.releasing.unwrap_or(self.slice.fence)
    }

    /// What to send next.
    pub(super) fn order_kind(&self, settings: &Settings) -> Option<OrderKind> {
        if !self.wants_order() {
            return None;
        }
        let SliceState::Owned { handover, .. } = &self.slice.state else {
            return None;
        };
        if self.releasing.is_some() {
            return Some(OrderKind::Release);
        }
        // A renewal repeats the grant; the token was used by then.
        let handover = handover.clone().filter(|_| !self.granted);
        Some(OrderKind::Grant(GrantOrder {
            hold: settings.hold,
            handover,
        }))
    }

    /// The next order is sent; its connection is ended at `until` at the
    /// latest.
    pub(super) fn sent(&mut self, id: OrderId, kind: &OrderKind, until: Timestamp) {
        self.in_flight = Some(id);
        if let OrderKind::Grant(_) = kind {
            self.arrivals.sent(id, until);
        }
    }

    /// The order in flight is not waited for any longer; it may still arrive.
    pub(super) fn overdue(&mut self, now: Timestamp, id: OrderId) {
        if self.in_flight == Some(id) {
            self.in_flight = None;
            self.next_order = now;
        }
    }

    /// An order ended; one that was overdue proves when it arrived.
    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: &Result<OrderReply, OrderFault>,
        settings: &Settings,
    ) {
        // A release gives nothing: the hold that is waited out goes on from
        // the last grant. Counted from each release as well, the keys of a
        // back end that answers none never went to others.
        match result {
            Ok(OrderReply::Granted) | Err(OrderFault::NoAnswer) => {
                self.arrivals.ended(order.id, now);
            }
            Ok(_) | Err(OrderFault::NotSent | OrderFault::Withheld) => {
                self.arrivals.void(order.id);
            }
        }
        if self.in_flight == Some(order.id) {
            self.in_flight = None;
            self.awaited_ended(now, result, settings);
        } else if *result == Ok(OrderReply::Granted) && self.in_force(order) {
            self.granted = true;
            self.fenced_here = true;
            if self.in_flight.is_none() {
                self.next_order = now + settings.grant_renewal;
            }
        }
    }

    /// Whether `order` is a grant of all these keys as the next one would be.
    fn in_force(&self, order: &Order) -> bool {
        let range = self.slice.range;
        let covered = order.range.first <= range.first && range.last <= order.range.last;
        covered && self.releasing.is_none() && order.fence == self.slice.fence
    }

    fn awaited_ended(
        &mut self,
        now: Timestamp,
        result: &Result<OrderReply, OrderFault>,
        settings: &Settings,
    ) {
        match result {
            Ok(OrderReply::Granted) => {
                self.fenced_here = true;
                self.granted = true;
                self.next_order = now + settings.grant_renewal;
            }
            Ok(OrderReply::Released(handover)) => {
                self.fenced_here = true;
                self.released = Some(handover.clone());
            }
            Ok(OrderReply::Fenced) => {
                self.fenced = true;
                self.next_order = now + settings.retry_delay;
            }
            Ok(OrderReply::Malformed | OrderReply::OtherProcess)
            | Err(OrderFault::NotSent | OrderFault::Withheld) => {
                self.next_order = now + settings.retry_delay;
            }
            Err(OrderFault::NoAnswer) => self.next_order = now,
        }
    }

    /// Goes on with `slice`, in the part of it that is tracked here.
    fn carried_to(&self, now: Timestamp, slice: &Slice) -> Tracked {
        let mut next = if self.slice.fence == slice.fence && same_owner(&self.slice, slice) {
            self.clone()
        } else {
            Tracked::new(now, slice.clone())
        };
        next.slice = slice.clone();
        if same_owner(&self.slice, slice) {
            // A grant in flight may still arrive while it waits.
            next.arrivals = self.arrivals.clone();
            next.fenced_here = self.fenced_here;
        }
        next
    }

    fn mergeable(&self, next: &Tracked) -> bool {
        let same = self.slice.fence == next.slice.fence && self.slice.state == next.slice.state;
        same && self.releasing.is_none() && next.releasing.is_none()
    }
}

/// Every back end that may hold keys.
pub(super) fn owners(tracked: &[Tracked]) -> BTreeSet<BackEndName> {
    let owners = tracked.iter().filter_map(Tracked::owner);
    owners.map(|owner| owner.name.clone()).collect()
}

fn same_owner(left: &Slice, right: &Slice) -> bool {
    match (left.holder(), right.holder()) {
        (Some(left), Some(right)) => left.name == right.name,
        _ => false,
    }
}

/// The slices of a changed record, each with what was under way for its keys.
///
/// A slice is tracked in as many pieces as before where keys of it are being
/// taken back, and as a whole otherwise.
pub(super) fn retrack(now: Timestamp, earlier: Vec<Tracked>, slices: &[Slice]) -> Vec<Tracked> {
    let mut tracked: Vec<Tracked> = Vec::with_capacity(slices.len());
    // Both are in the order of their keys: each range is looked for where the
    // one before it was found.
    let mut from = 0;
    for slice in slices {
        let ends_before = |before: &&Tracked| before.slice.range.last < slice.range.first;
        from += earlier[from..].iter().take_while(ends_before).count();
        let overlapping = earlier[from..]
            .iter()
            .take_while(|before| overlap(before.slice.range, slice.range));
        let mut any = false;
        for before in overlapping {
            any = true;
            let mut piece = before.carried_to(now, slice);
            piece.slice.range = common(before.slice.range, slice.range);
            match tracked.last_mut() {
                Some(last)
                    if last.slice.range.last >= slice.range.first && last.mergeable(&piece) =>
                {
                    join(last, &piece);
                }
                _ => tracked.push(piece),
            }
        }
        if !any {
            tracked.push(Tracked::new(now, slice.clone()));
        }
    }
    tracked
}

/// Joins a piece to the one before it. What is sure of both alone is sure.
fn join(last: &mut Tracked, piece: &Tracked) {
    last.slice.range.last = piece.slice.range.last;
    last.arrivals.join(&piece.arrivals);
    last.fenced_here &= piece.fenced_here;
    last.fenced |= piece.fenced;
    last.granted &= piece.granted;
    last.next_order = last.next_order.min(piece.next_order);
    if last.in_flight != piece.in_flight {
        last.in_flight = None;
    }
}

pub(super) fn overlap(left: KeyRange, right: KeyRange) -> bool {
    left.first <= right.last && right.first <= left.last
}

pub(super) fn common(left: KeyRange, right: KeyRange) -> KeyRange {
    KeyRange {
        first: left.first.max(right.first),
        last: left.last.min(right.last),
    }
}
