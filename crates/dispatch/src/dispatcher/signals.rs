//! What back ends say in their answers that concerns later requests.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::outcome::{Signals, ToldRest};
use crate::request::{AttemptId, ExchangeId};

impl Dispatcher {
    /// The head of an answer to an attempt came, whatever becomes of the
    /// answer.
    pub fn on_head(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptId,
        signals: &Signals,
    ) {
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
        match signals.rest {
            ToldRest::None => {}
            ToldRest::For(rest) => self.hear_rest(now, &back_end, rest),
            ToldRest::Unreadable => self.hear_unreadable_rest(back_end),
        }
    }

    fn hear_leaving(&mut self, now: Timestamp, back_end: &BackEndName) {
        if self.back_ends.on_leaving(now, back_end) {
            self.left.push(back_end.clone());
        }
    }

    fn hear_rest(&mut self, now: Timestamp, back_end: &BackEndName, rest: Duration) {
        if self.back_ends.on_rest(now, back_end, rest) {
            self.rests_begun.push((back_end.clone(), rest));
        }
    }

    /// Rests that back ends asked for which did not rest before, since this was
    /// asked last.
    pub fn take_rests(&mut self) -> Vec<(BackEndName, ServiceName, Duration)> {
        let rests = std::mem::take(&mut self.rests_begun);
        rests
            .into_iter()
            .filter_map(|(name, rest)| {
                let service = self.service_of_back_end(&name)?;
                Some((name, service, rest))
            })
            .collect()
    }

    fn hear_unreadable_rest(&mut self, back_end: BackEndName) {
        if self.odd_rests.insert(back_end.clone()) {
            self.unreadable_rests.push(back_end);
        }
    }

    /// Back ends that asked for a rest that is no time, since this was asked
    /// last; each is told once. They get the pause of one that is full.
    pub fn take_unreadable_rests(&mut self) -> Vec<BackEndName> {
        std::mem::take(&mut self.unreadable_rests)
    }

    /// Back ends that said that they leave, since this was asked last; each is
    /// told once.
    pub fn take_left(&mut self) -> Vec<(BackEndName, ServiceName)> {
        let left = std::mem::take(&mut self.left);
        left.into_iter()
            .filter_map(|name| {
                let service = self.service_of_back_end(&name)?;
                Some((name, service))
            })
            .collect()
    }
}
