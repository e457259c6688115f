//! What is under way for one range of keys.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use crate::order::{GrantOrder, HandoverToken, OrderFault, OrderId, OrderKind, OrderReply};
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
    /// No grant sent by this node arrives later than this.
    pub(super) possible_arrival: Timestamp,
    /// What `possible_arrival` was before the order in flight.
    arrival_before: Timestamp,
    /// A grant whose answer nobody awaits may arrive until then, and is taken:
    /// its fence is the one in force.
    unawaited_until: Timestamp,
    /// The back end answered an order of this term for these keys: it refuses
    /// those of earlier coordinators.
    pub(super) fenced_here: bool,
    /// The back end refused our fence.
    pub(super) fenced: bool,
    /// The grant in force was answered.
    pub(super) granted: bool,
}

impl Tracked {
    fn new(now: Timestamp, slice: Slice) -> Self {
        Tracked {
            slice,
            releasing: None,
            released: None,
            in_flight: None,
            next_order: now,
            possible_arrival: Timestamp::ZERO,
            arrival_before: Timestamp::ZERO,
            unawaited_until: Timestamp::ZERO,
            fenced_here: false,
            fenced: false,
            granted: false,
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
        let awaited = self.in_flight.take();
        if awaited.is_some() && self.releasing.is_none() {
            self.unawaited_until = self.possible_arrival;
        }
        self.next_order = now;
    }

    /// Whether there is ever something to send.
    pub(super) fn wants_order(&self) -> bool {
        match (&self.slice.state, self.releasing) {
            (SliceState::Unowned, _) => false,
            (SliceState::Owned { .. }, None) => !self.fenced,
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

    pub(super) fn sent(
        &mut self,
        now: Timestamp,
        id: OrderId,
        kind: &OrderKind,
        timeout: Duration,
    ) {
        self.in_flight = Some(id);
        self.arrival_before = self.possible_arrival;
        if let OrderKind::Grant(_) = kind {
            self.possible_arrival = self.possible_arrival.max(now + timeout);
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        result: &Result<OrderReply, OrderFault>,
        settings: &Settings,
    ) {
        self.in_flight = None;
        match result {
            Ok(reply) => self.answered(now, reply, settings),
            Err(OrderFault::NotSent | OrderFault::Withheld) => {
                self.possible_arrival = self.arrival_before;
                self.next_order = now + settings.retry_pause;
            }
            Err(OrderFault::NoAnswer) => {
                // A release gives nothing: the hold that is waited out goes on
                // from the last grant. Counted from each release as well, the
                // keys of a back end that answers none never went to others.
                if self.releasing.is_none() {
                    self.possible_arrival = self.arrival_before.max(now);
                }
                self.next_order = now;
            }
        }
    }

    fn answered(&mut self, now: Timestamp, reply: &OrderReply, settings: &Settings) {
        match reply {
            OrderReply::Granted => {
                self.fenced_here = true;
                self.granted = true;
                self.possible_arrival = self.unawaited_until.max(now);
                self.next_order = now + settings.grant_renewal;
            }
            OrderReply::Released(handover) => {
                self.fenced_here = true;
                self.released = Some(handover.clone());
            }
            OrderReply::Fenced => {
                self.possible_arrival = self.arrival_before;
                self.fenced = true;
                self.next_order = now + settings.retry_pause;
            }
            OrderReply::Malformed | OrderReply::OtherProcess => {
                self.possible_arrival = self.arrival_before;
                self.next_order = now + settings.retry_pause;
            }
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
            next.possible_arrival = self.possible_arrival;
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
    let mut tracked: Vec<Tracked> = Vec::new();
    for slice in slices {
        let overlapping = earlier
            .iter()
            .filter(|before| overlap(before.slice.range, slice.range));
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
    last.possible_arrival = last.possible_arrival.max(piece.possible_arrival);
    last.unawaited_until = last.unawaited_until.max(piece.unawaited_until);
    last.fenced_here &= piece.fenced_here;
    last.fenced |= piece.fenced;
    last.granted &= piece.granted;
    last.next_order = last.next_order.min(piece.next_order);
    if last.in_flight != piece.in_flight {
        last.in_flight = None;
        last.unawaited_until = last.possible_arrival;
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
