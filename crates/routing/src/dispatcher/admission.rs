//! Admission of new requests.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::objects::Priority;
use threadledge_types::{NotRunReason, Timestamp};

use super::Dispatcher;
use crate::attempt::{ExchangeId, Refused};
use crate::backoff::splitmix64;
use crate::deadline::request_deadline;
use crate::exchange::{Exchange, State};
use crate::fairness::Admission;
use crate::head::RequestHead;
use crate::table::MatchedRoute;

/// `Retry-After` time when no better estimate is known.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Admits a request, or rejects it with a reason.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<(ExchangeId, MatchedRoute), Refused> {
        if !self.core.accepting {
            return Err(Refused::retryable(NotRunReason::NotReady));
        }
        let (exchange, matched) = self.build_exchange(now, head).map_err(Refused::permanent)?;
        self.make_room(now, &exchange.namespace, exchange.priority)?;
        let id = exchange.id;
        self.last_exchange_id = id.0;
        self.core.shares.add_exchange(&exchange.namespace);
        self.core
            .by_point
            .insert((exchange.service, exchange.point, id));
        self.core.counters.admitted += 1;
        self.exchanges.insert(id, Box::new(exchange));
        Ok((id, matched))
    }

    /// Creates the exchange for a request after matching its route, key and
    /// deadline.
    fn build_exchange(
        &self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<(Exchange, MatchedRoute), NotRunReason> {
        let (index, service, route, point) = self.core.table.match_entry(head)?;
        let matched = MatchedRoute::new(service, route, point, head.method);
        let deadline = request_deadline(now, route.deadline_ms, head.headers)?;
        let id = ExchangeId(self.last_exchange_id + 1);
        let exchange = Exchange {
            id,
            request_id: splitmix64(splitmix64(self.core.seed) ^ id.0),
            namespace: Arc::clone(&service.namespace),
            service: index,
            service_id: Arc::clone(&service.id),
            point,
            priority: route.priority,
            repeatable: matched.repeatable,
            body_replayable: head.body_replayable,
            may_queue: route.may_queue,
            deadline,
            state: State::Ready,
            is_evictable: false,
            parked_since: None,
            attempts: Vec::new(),
            attempts_made: 0,
            refusals: None,
            retries_denied: 0,
            hedged: false,
            cancellations: Vec::new(),
            unresolved: None,
            not_run: NotRunReason::DeadlinePassed,
        };
        Ok((exchange, matched))
    }

    /// Applies the admission decision of the namespace shares, evicting a
    /// waiting request if necessary.
    fn make_room(
        &mut self,
        now: Timestamp,
        namespace: &str,
        priority: Priority,
    ) -> Result<(), Refused> {
        match self.core.shares.decide(namespace, priority) {
            Admission::Admit => Ok(()),
            Admission::Replace {
                victim,
                above_share,
            } => {
                self.evict(now, victim, above_share);
                Ok(())
            }
            Admission::ShareExhausted => Err(Refused::retryable(NotRunReason::ShareExhausted)),
            Admission::Full => Err(Refused::retryable(NotRunReason::Overloaded)),
        }
    }

    /// Ends a waiting request of which nothing was sent.
    fn evict(&mut self, now: Timestamp, victim: ExchangeId, above_share: bool) {
        let Some(exchange) = self.exchanges.get_mut(&victim) else {
            return;
        };
        let reason = if above_share {
            self.core.counters.evicted += 1;
            NotRunReason::ShareExhausted
        } else {
            self.core.counters.displaced += 1;
            NotRunReason::Overloaded
        };
        self.core.end_not_run(now, exchange, reason);
        self.core.wakeups.insert(victim);
    }
}

impl Refused {
    /// Rejection after which the caller may retry.
    fn retryable(reason: NotRunReason) -> Self {
        Refused {
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Rejection after which retrying the same request would not help.
    fn permanent(reason: NotRunReason) -> Self {
        Refused {
            reason,
            retry_after: None,
        }
    }
}
