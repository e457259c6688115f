//! What back ends say in their answers that concerns later requests.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::Dispatcher;
use crate::back_end_events::BackEndEvent;
use crate::outcome::{RequestedBackoff, Signals};
use crate::request::{AttemptId, ExchangeId};

impl Dispatcher {
    /// The head of an answer to an attempt came, whatever becomes of the
    /// answer.
    pub fn on_response_head(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptId,
        signals: &Signals,
    ) {
        if *signals == Signals::default() && self.limited.is_empty() {
            return;
        }
        let exchange = self.exchanges.get(&id);
        let in_flight = exchange.and_then(|exchange| exchange.in_flight.get(&attempt));
        let Some(in_flight) = in_flight else {
            return;
        };
        let back_end = in_flight.back_end.clone();
        let chosen = in_flight.chosen_at;
        self.hear_limit(now, &back_end, chosen, signals.limit);
        if signals.leaving {
            self.hear_leaving(now, &back_end);
        }
        match signals.backoff {
            RequestedBackoff::None => {}
            RequestedBackoff::For(backoff) => self.hear_rest(now, &back_end, backoff),
            RequestedBackoff::Unreadable => self.hear_unreadable_rest(back_end),
        }
    }

    /// What back ends said since this was asked last.
    pub fn take_back_end_events(&mut self) -> Vec<BackEndEvent> {
        std::mem::take(&mut self.news)
    }

    fn hear_leaving(&mut self, now: Timestamp, back_end: &BackEndName) {
        let is_new = self.back_ends.on_leaving(now, back_end);
        let service = self.service_of_back_end(back_end).filter(|_| is_new);
        if let Some(service) = service {
            let back_end = back_end.clone();
            self.news.push(BackEndEvent::Leaving { back_end, service });
        }
    }

    fn hear_rest(&mut self, now: Timestamp, back_end: &BackEndName, backoff: Duration) {
        let begins = self.back_ends.on_rest(now, back_end, backoff);
        let service = self.service_of_back_end(back_end).filter(|_| begins);
        if let Some(service) = service {
            self.news.push(BackEndEvent::Resting {
                back_end: back_end.clone(),
                service,
                backoff,
            });
        }
    }

    /// Told once for each back end.
    fn hear_unreadable_rest(&mut self, back_end: BackEndName) {
        if self.odd_rests.insert(back_end.clone()) {
            self.news.push(BackEndEvent::BackoffUnreadable { back_end });
        }
    }
}
