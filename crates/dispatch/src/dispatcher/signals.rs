//! Processes what back ends report in their responses that affects later
//! requests.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::Dispatcher;
use crate::back_end_events::BackEndEvent;
use crate::outcome::{RequestedBackoff, Signals};
use crate::request::{AttemptId, ExchangeId};

impl Dispatcher {
    /// Processes the head of a response to an attempt, whatever becomes of the
    /// response.
    pub fn on_response_head(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptId,
        signals: &Signals,
    ) {
        if *signals == Signals::default() && self.limited_back_ends.is_empty() {
            return;
        }
        let exchange = self.exchanges.get(&id);
        let in_flight = exchange.and_then(|exchange| exchange.in_flight.get(&attempt));
        let Some(in_flight) = in_flight else {
            return;
        };
        let back_end = in_flight.back_end.clone();
        let chosen_at = in_flight.chosen_at;
        self.on_reported_limit(now, &back_end, chosen_at, signals.limit);
        if signals.leaving {
            self.on_leaving(now, &back_end);
        }
        match signals.backoff {
            RequestedBackoff::None => {}
            RequestedBackoff::For(backoff) => self.on_backoff_requested(now, &back_end, backoff),
            RequestedBackoff::Unreadable => self.on_unreadable_backoff(back_end),
        }
    }

    /// Events of back ends since the last call.
    pub fn take_back_end_events(&mut self) -> Vec<BackEndEvent> {
        std::mem::take(&mut self.back_end_events)
    }

    fn on_leaving(&mut self, now: Timestamp, back_end: &BackEndName) {
        let is_new = self.back_ends.on_leaving(now, back_end);
        let service = self.service_of_back_end(back_end).filter(|_| is_new);
        if let Some(service) = service {
            let back_end = back_end.clone();
            self.back_end_events
                .push(BackEndEvent::Leaving { back_end, service });
        }
    }

    fn on_backoff_requested(&mut self, now: Timestamp, back_end: &BackEndName, backoff: Duration) {
        let is_new = self.back_ends.on_backoff_requested(now, back_end, backoff);
        let service = self.service_of_back_end(back_end).filter(|_| is_new);
        if let Some(service) = service {
            self.back_end_events.push(BackEndEvent::Resting {
                back_end: back_end.clone(),
                service,
                backoff,
            });
        }
    }

    /// Reports an unreadable backoff once for each back end.
    fn on_unreadable_backoff(&mut self, back_end: BackEndName) {
        if self.unreadable_backoffs.insert(back_end.clone()) {
            self.back_end_events
                .push(BackEndEvent::BackoffUnreadable { back_end });
        }
    }
}
