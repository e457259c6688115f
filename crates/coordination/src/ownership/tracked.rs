//! Order state of one range of keys.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::arrivals::GrantArrivals;
use super::release_orders::{OpenRelease, ReleaseOrders};
use crate::action::ReleaseReason;
use crate::order::{
    GrantOrder, HandoverToken, Order, OrderConnection, OrderFault, OrderId, OrderKind, OrderReply,
};
use crate::record::{Fence, Owner, Slice, SliceState};
use crate::settings::Settings;

/// Time between two orders on new connections that end without an answer.
/// Shorter than [`Settings::retry_delay`]: the keys of an owner that has ended
/// wait for the expiry of its last grant.
const CUT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A range within one slice of the record, with the state of its orders.
///
/// A range that is being taken back is tracked separately, while the record
/// names its owner until the next write. A coordinator that takes over in
/// between finds the former owner there and grants it the keys again.
#[derive(Clone, Debug)]
pub(super) struct TrackedRange {
    pub(super) slice: Slice,
    /// Fencing token under which the keys are being taken back.
    pub(super) releasing: Option<Fence>,
    /// Reason of the release, if one was decided.
    pub(super) reason: Option<ReleaseReason>,
    /// Time at which the release was decided.
    pub(super) release_began: Timestamp,
    /// True once the end of the release was reported.
    pub(super) end_reported: bool,
    /// `Some` once the owner has released the keys, with the handover token if
    /// there is one.
    pub(super) released: Option<Option<HandoverToken>>,
    /// Handover token of a release that was answered but proves nothing yet.
    handover: Option<HandoverToken>,
    /// The releases under way.
    pub(super) releases: ReleaseOrders,
    /// Time since which the record asks routers to send the owner no more
    /// requests for these keys.
    pub(super) returning_since: Option<Timestamp>,
    /// The order that is awaiting an answer.
    pub(super) in_flight: Option<OrderId>,
    /// Connections on which the next order may be sent.
    pub(super) connection: OrderConnection,
    /// Time at which the last order was sent.
    sent_at: Timestamp,
    /// Time at which the next order is due.
    pub(super) next_order_at: Timestamp,
    /// Grants of this node that may still arrive.
    pub(super) arrivals: GrantArrivals,
    /// True if the back end has answered an order of this term for these keys,
    /// so that it refuses orders of earlier coordinators.
    pub(super) fence_acknowledged: bool,
    /// True if the back end refused the current fencing token.
    pub(super) fenced: bool,
    /// True if the current grant was accepted.
    pub(super) granted: bool,
    /// The new process of an owner that has restarted. It holds nothing of the
    /// previous one. No order is sent before the record names it, because it
    /// would take orders that were meant for the previous process.
    pub(super) successor: Option<Owner>,
}

impl TrackedRange {
    fn new(now: Timestamp, slice: Slice) -> Self {
        TrackedRange {
            slice,
            releasing: None,
            reason: None,
            release_began: Timestamp::ZERO,
            end_reported: false,
            released: None,
            handover: None,
            releases: ReleaseOrders::default(),
            returning_since: None,
            in_flight: None,
            connection: OrderConnection::default(),
            sent_at: Timestamp::ZERO,
            next_order_at: now,
            arrivals: GrantArrivals::default(),
            fence_acknowledged: false,
            fenced: false,
            granted: false,
            successor: None,
        }
    }

    /// Returns the back end that may hold the keys.
    pub(super) fn owner(&self) -> Option<&Owner> {
        self.slice.holder()
    }

    /// Starts to take the keys back under `fence`, which must be higher than
    /// the fencing token of the grant.
    pub(super) fn release(&mut self, now: Timestamp, fence: Fence, reason: ReleaseReason) {
        self.releasing = Some(fence);
        self.reason = Some(reason);
        self.release_began = now;
        self.end_reported = false;
        self.handover = None;
        self.releases.restart();
        // A grant in flight may still arrive; the higher fencing token takes
        // precedence.
        self.in_flight = None;
        self.next_order_at = now;
    }

    /// Splits the range so that `range` is tracked separately. Every part keeps
    /// the state of the whole.
    pub(super) fn split_out(self, range: KeyRange) -> Vec<TrackedRange> {
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

    /// Schedules the next order for now and stops waiting for the one in
    /// flight.
    pub(super) fn resend_now(&mut self, now: Timestamp) {
        self.in_flight = None;
        self.next_order_at = now;
    }

    /// Returns whether there is an order to send, now or later.
    pub(super) fn needs_order(&self) -> bool {
        match (&self.slice.state, self.releasing) {
            (SliceState::Unowned, _) => false,
            (_, None) => !self.fenced && self.successor.is_none(),
            (_, Some(_)) => self.released.is_none(),
        }
    }

    /// Returns the fencing token of the next order.
    pub(super) fn order_fence(&self) -> Fence {
        self.releasing.unwrap_or(self.slice.fence)
    }

    /// Returns the next order to send.
    pub(super) fn order_kind(&self, settings: &Settings) -> Option<OrderKind> {
        if !self.needs_order() {
            return None;
        }
        let handover = match &self.slice.state {
            SliceState::Unowned => return None,
            SliceState::Owned { handover, .. } => handover,
            SliceState::Returning { .. } => &None,
        };
        if self.releasing.is_some() {
            return Some(OrderKind::Release);
        }
        // A renewal repeats the grant. The handover token was used by the first
        // one.
        let handover = handover.clone().filter(|_| !self.granted);
        Some(OrderKind::Grant(GrantOrder {
            hold: settings.hold,
            handover,
        }))
    }

    /// Returns the connections on which the next order may be sent. A kept one
    /// may carry a second answer to a grant of an earlier term, which would seem
    /// to show that the back end refuses the orders of earlier coordinators.
    pub(super) fn next_connection(&self, has_no_predecessor: bool) -> OrderConnection {
        if has_no_predecessor || self.fence_acknowledged {
            self.connection
        } else {
            OrderConnection::New
        }
    }

    /// Records that the next order is sent and that its connection is closed at
    /// `until` at the latest.
    pub(super) fn sent(&mut self, now: Timestamp, id: OrderId, kind: &OrderKind, until: Timestamp) {
        self.in_flight = Some(id);
        self.sent_at = now;
        match kind {
            OrderKind::Grant(_) => self.arrivals.sent(id, until),
            OrderKind::Release => self.releases.sent(id, now, self.arrivals.any_open()),
        }
    }

    /// Stops waiting for an overdue order, which may still arrive.
    pub(super) fn overdue(&mut self, now: Timestamp, id: OrderId) {
        if self.in_flight == Some(id) {
            self.in_flight = None;
            self.next_order_at = now;
        }
    }

    /// Returns whether the order in flight has used less than half of the order
    /// timeout, so that its end is no timeout. A gateway that forwards an order
    /// ends it somewhat before the timeout.
    pub(super) fn is_early(&self, now: Timestamp, settings: &Settings) -> bool {
        now.since(self.sent_at) * 2 < settings.order_timeout
    }

    /// Returns when the release in flight is sent once more if it has no answer
    /// until then.
    pub(super) fn repeat_due(&self, settings: &Settings) -> Option<Timestamp> {
        let waiting = self.in_flight.is_some() && self.released.is_none();
        let sent = self.releases.last_sent().filter(|_| waiting)?;
        self.releasing.map(|_| sent + settings.order_timeout)
    }

    /// Sends the release in flight once more, on a connection of its own. The
    /// first one stays open: its answer waits for work that runs on the keys.
    pub(super) fn repeat_release(&mut self, now: Timestamp) {
        self.resend_now(now);
        self.connection = OrderConnection::New;
    }

    /// Records the result of an order. The end of an overdue grant determines
    /// when it arrived at the latest.
    pub(super) fn ended(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: &Result<OrderReply, OrderFault>,
        settings: &Settings,
    ) {
        // A release grants nothing, so the expiry counts from the last grant.
        // When it counted from each release as well, the keys of a back end
        // that answered no release never went to others.
        if result.is_ok() {
            self.arrivals.answered(order.id);
        }
        match result {
            Ok(OrderReply::Granted) => self.arrivals.ended(order.id, now),
            Err(OrderFault::NoAnswer | OrderFault::Doubtful(_)) => {
                if matches!(order.kind, OrderKind::Grant(_)) {
                    self.arrivals.lost(order.id, now);
                }
            }
            Ok(_) | Err(OrderFault::NotSent | OrderFault::Withheld) => {
                self.arrivals.discard(order.id);
            }
        }
        let release = self.releases.ended(order.id);
        let release = release.filter(|_| self.releasing == Some(order.fence));
        if let (Some(release), Ok(OrderReply::Released(handover))) = (release, result) {
            self.release_answered(now, order, release, handover.as_ref(), settings);
        } else if self.in_flight == Some(order.id) {
            self.in_flight = None;
            self.in_flight_ended(now, order.connection, result, settings);
        } else if *result == Ok(OrderReply::Granted) && self.in_force(order) {
            self.granted = true;
            self.fence_acknowledged = true;
            if self.in_flight.is_none() {
                self.next_order_at = now + settings.grant_renewal;
            }
        }
    }

    /// Returns whether `order` is a grant of all these keys under the current
    /// fencing token.
    fn in_force(&self, order: &Order) -> bool {
        let range = self.slice.range;
        let covered = order.range.first <= range.first && range.last <= order.range.last;
        covered && self.releasing.is_none() && order.fence == self.slice.fence
    }

    /// Schedules the next order after the one in flight, which was sent on
    /// `connection`, has ended.
    fn in_flight_ended(
        &mut self,
        now: Timestamp,
        connection: OrderConnection,
        result: &Result<OrderReply, OrderFault>,
        settings: &Settings,
    ) {
        self.connection = match result {
            // What ended this connection has probably ended the other kept ones.
            Err(OrderFault::NoAnswer) if self.is_early(now, settings) => OrderConnection::New,
            _ => connection_after(result),
        };
        match result {
            Ok(OrderReply::Granted) => {
                self.fence_acknowledged = true;
                self.granted = true;
                self.next_order_at = now + settings.grant_renewal;
            }
            // Handled as the answer to a release under way.
            Ok(OrderReply::Released(_)) => self.next_order_at = now + settings.retry_delay,
            Ok(OrderReply::Fenced) => {
                self.fenced = true;
                self.next_order_at = now + settings.retry_delay;
            }
            Ok(OrderReply::Malformed | OrderReply::OtherProcess)
            | Err(OrderFault::NotSent | OrderFault::Withheld) => {
                self.next_order_at = now + settings.retry_delay;
            }
            Err(OrderFault::NoAnswer | OrderFault::Doubtful(_)) => {
                self.next_order_at = match connection {
                    // The reset of a kept connection is ordinary.
                    OrderConnection::Any => now,
                    OrderConnection::New => now.max(self.sent_at + CUT_RETRY_DELAY),
                };
            }
        }
    }

    /// Handles the answer to a release.
    fn release_answered(
        &mut self,
        now: Timestamp,
        order: &Order,
        release: OpenRelease,
        handover: Option<&HandoverToken>,
        settings: &Settings,
    ) {
        self.fence_acknowledged = true;
        if self.in_flight == Some(order.id) {
            self.in_flight = None;
            self.connection = OrderConnection::default();
            self.next_order_at = now + settings.retry_delay;
        }
        self.handover = handover.cloned().or(self.handover.take());
        if self.proves_release(&release, handover.is_some()) {
            self.released = Some(self.handover.take());
        }
    }

    /// Returns whether an answer to `release` proves that nobody holds the keys
    /// or works on them. The process that answered refuses earlier grants from
    /// then on, but one that is started after it under the same id does not know
    /// the fencing token, and would take a grant that arrives late. An answer
    /// without state beside an earlier release may be that of a back end that
    /// still works on keys which the earlier one took from it.
    fn proves_release(&self, release: &OpenRelease, has_handover: bool) -> bool {
        let may_restart = self.owner().is_some_and(|owner| owner.name.may_restart());
        let work_ended = has_handover || !self.releases.any_before(release.id);
        work_ended && !(may_restart && release.grants_open)
    }

    /// Returns the state of this range as part of `slice`, a slice of a later
    /// record.
    fn carried_over(&self, now: Timestamp, slice: &Slice) -> TrackedRange {
        let mut next = if self.slice.fence == slice.fence && same_owner(&self.slice, slice) {
            self.clone()
        } else {
            TrackedRange::new(now, slice.clone())
        };
        next.slice = slice.clone();
        if takes_grants_of(&self.slice, slice) {
            // A grant in flight may still arrive even if its answer is no
            // longer awaited.
            next.arrivals = self.arrivals.clone();
        }
        if same_owner(&self.slice, slice) {
            next.releases = self.releases.clone();
            next.fence_acknowledged = self.fence_acknowledged;
        }
        if matches!(slice.state, SliceState::Returning { .. }) {
            next.returning_since.get_or_insert(now);
        }
        next
    }

    /// Returns whether this range and the next one can be tracked as one.
    fn mergeable(&self, next: &TrackedRange) -> bool {
        let same = self.slice.fence == next.slice.fence && self.slice.state == next.slice.state;
        same && self.releasing.is_none() && next.releasing.is_none()
    }
}

/// Returns the connections on which the order after one with this result may be
/// sent.
pub(super) fn connection_after(result: &Result<OrderReply, OrderFault>) -> OrderConnection {
    match result {
        Err(OrderFault::Doubtful(_)) => OrderConnection::New,
        Ok(_) | Err(_) => OrderConnection::Any,
    }
}

/// Returns every back end that may hold keys.
pub(super) fn owners(tracked: &[TrackedRange]) -> BTreeSet<BackEndName> {
    let owners = tracked.iter().filter_map(TrackedRange::owner);
    owners.map(|owner| owner.name.clone()).collect()
}

fn same_owner(left: &Slice, right: &Slice) -> bool {
    match (left.holder(), right.holder()) {
        (Some(left), Some(right)) => left.name == right.name,
        _ => false,
    }
}

/// Returns whether grants to the owner of `earlier` may have reached the owner
/// of `later`: it is the same process, or one that restarted at its address.
fn takes_grants_of(earlier: &Slice, later: &Slice) -> bool {
    let (Some(earlier), Some(later)) = (earlier.holder(), later.holder()) else {
        return false;
    };
    let restarted = later.name.is_restart_of(&earlier.name) && later.address == earlier.address;
    later.name == earlier.name || restarted
}

/// Returns the tracked ranges of a changed record, with the order state that
/// existed for their keys.
///
/// A slice stays split where some of its keys are being taken back. Otherwise
/// it is tracked as a whole.
pub(super) fn track_record(
    now: Timestamp,
    earlier: Vec<TrackedRange>,
    slices: &[Slice],
) -> Vec<TrackedRange> {
    let mut tracked: Vec<TrackedRange> = Vec::with_capacity(slices.len());
    // Both lists are in key order, so the search for each slice starts where
    // the previous one ended.
    let mut from = 0;
    for slice in slices {
        let ends_before = |before: &&TrackedRange| before.slice.range.last < slice.range.first;
        from += earlier[from..].iter().take_while(ends_before).count();
        let overlapping = earlier[from..]
            .iter()
            .take_while(|before| overlap(before.slice.range, slice.range));
        let mut any = false;
        for before in overlapping {
            any = true;
            let mut piece = before.carried_over(now, slice);
            piece.slice.range = intersection(before.slice.range, slice.range);
            match tracked.last_mut() {
                Some(last)
                    if last.slice.range.last >= slice.range.first && last.mergeable(&piece) =>
                {
                    merge(last, &piece);
                }
                _ => tracked.push(piece),
            }
        }
        if !any {
            tracked.push(TrackedRange::new(now, slice.clone()));
        }
    }
    tracked
}

/// Merges a range into the one before it. The result only claims what holds for
/// both.
fn merge(last: &mut TrackedRange, piece: &TrackedRange) {
    last.slice.range.last = piece.slice.range.last;
    last.arrivals.merge(&piece.arrivals);
    last.releases.merge(&piece.releases);
    last.fence_acknowledged &= piece.fence_acknowledged;
    last.fenced |= piece.fenced;
    last.granted &= piece.granted;
    last.sent_at = last.sent_at.max(piece.sent_at);
    last.next_order_at = last.next_order_at.min(piece.next_order_at);
    if last.in_flight != piece.in_flight {
        last.in_flight = None;
    }
}

pub(super) fn overlap(left: KeyRange, right: KeyRange) -> bool {
    left.first <= right.last && right.first <= left.last
}

pub(super) fn intersection(left: KeyRange, right: KeyRange) -> KeyRange {
    KeyRange {
        first: left.first.max(right.first),
        last: left.last.min(right.last),
    }
}
