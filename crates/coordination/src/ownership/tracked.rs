//! What is under way for one slice.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::order::{GrantOrder, HandoverToken, OrderFault, OrderId, OrderKind, OrderReply};
use crate::record::{Slice, SliceState};
use crate::settings::Settings;

/// One slice of the record with the state of its orders.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub(super) slice: Slice,
    /// The order that waits for its answer.
    pub(super) in_flight: Option<OrderId>,
    pub(super) next_order: Timestamp,
    /// No grant sent by this node arrives later than this.
    pub(super) possible_arrival: Timestamp,
    /// What `possible_arrival` was before the order in flight.
    arrival_before: Timestamp,
    /// The back end answered an order of this term for these keys: it refuses
    /// those of earlier coordinators.
    pub(super) fenced_here: bool,
    /// The back end refused our fence.
    pub(super) fenced: bool,
    /// The grant in force was answered.
    pub(super) granted: bool,
    /// The keys were given back, with the token if there was one.
    pub(super) released: Option<Option<HandoverToken>>,
}

impl Tracked {
    fn new(now: Timestamp, slice: Slice) -> Self {
        Tracked {
            slice,
            in_flight: None,
            next_order: now,
            possible_arrival: Timestamp::ZERO,
            arrival_before: Timestamp::ZERO,
            fenced_here: false,
            fenced: false,
            granted: false,
            released: None,
        }
    }

    /// Whether there is ever something to send.
    pub(super) fn wants_order(&self) -> bool {
        match &self.slice.state {
            SliceState::Unowned => false,
            SliceState::Owned { .. } => !self.fenced,
            SliceState::Releasing { .. } => self.released.is_none(),
        }
    }

    /// What to send next.
    pub(super) fn order_kind(&self, settings: &Settings) -> Option<OrderKind> {
        if !self.wants_order() {
            return None;
        }
        match &self.slice.state {
            SliceState::Unowned => None,
            SliceState::Releasing { .. } => Some(OrderKind::Release),
            SliceState::Owned { handover, .. } => {
                // A renewal repeats the grant; the token was used by then.
                let handover = handover.clone().filter(|_| !self.granted);
                Some(OrderKind::Grant(GrantOrder {
                    hold: settings.hold,
                    handover,
                }))
            }
        }
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
            Err(OrderFault::NotSent) => {
                self.possible_arrival = self.arrival_before;
                self.next_order = now + settings.retry_pause;
            }
            Err(OrderFault::NoAnswer) => {
                self.possible_arrival = self.arrival_before.max(now);
                self.next_order = now;
            }
        }
    }

    fn answered(&mut self, now: Timestamp, reply: &OrderReply, settings: &Settings) {
        match reply {
            OrderReply::Granted => {
                self.fenced_here = true;
                self.granted = true;
                self.possible_arrival = now;
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
            OrderReply::Malformed => {
                self.possible_arrival = self.arrival_before;
                self.next_order = now + settings.retry_pause;
            }
        }
    }

    /// Goes on with `slice`, whose keys were part of this one.
    fn carried_to(&self, now: Timestamp, slice: &Slice) -> Tracked {
        let same_step = self.slice.fence == slice.fence
            && std::mem::discriminant(&self.slice.state) == std::mem::discriminant(&slice.state);
        if same_step {
            return Tracked {
                slice: slice.clone(),
                ..self.clone()
            };
        }
        let same_holder = match (self.slice.holder(), slice.holder()) {
            (Some(before), Some(after)) => before.name == after.name,
            _ => false,
        };
        let mut next = Tracked::new(now, slice.clone());
        if same_holder {
            // A grant in flight may still arrive while it waits.
            next.possible_arrival = self.possible_arrival;
            next.fenced_here = self.fenced_here;
        }
        next
    }
}

/// The slices of a changed record, each with what was under way for its keys.
pub(super) fn retrack(now: Timestamp, earlier: Vec<Tracked>, slices: &[Slice]) -> Vec<Tracked> {
    let find = |slice: &Slice| {
        let index = earlier.partition_point(|tracked| tracked.slice.range.last < slice.range.first);
        earlier
            .get(index)
            .filter(|tracked| tracked.slice.range.contains(slice.range.first))
    };
    slices
        .iter()
        .map(|slice| match find(slice) {
            Some(tracked) => tracked.carried_to(now, slice),
            None => Tracked::new(now, slice.clone()),
        })
        .collect()
}
