//! Log events about failed requests, aggregated so that each interval has only
//! a few lines whatever the load.
//!
//! Callers can cause any number of refusals, so individual ones are counted
//! instead of logged; metrics have the exact numbers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_types::{NotRunReason, Outcome, ServiceId};

use crate::events::{EventId, emit};
use crate::proxy::Observation;

/// Interval over which outcomes are counted before they are logged.
const INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the stop signal is checked.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Key of a counter: the service, if a route matched, and the outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CountKey {
    service: Option<Arc<ServiceId>>,
    event: EventId,
    reason: &'static str,
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLine {
    /// The event.
    pub event: EventId,
    /// The service, if a route matched.
    pub service: Option<Arc<ServiceId>>,
    /// Reason of the outcome.
    pub reason: &'static str,
    /// Number of requests that ended this way since the last lines.
    pub requests: u64,
}

/// Counts requests that were not answered by a back end.
#[derive(Clone, Debug, Default)]
pub struct RequestTally {
    counts: BTreeMap<CountKey, u64>,
    /// Limits that were reached in the last interval and have been logged.
    reached_limits: Vec<EventId>,
}

impl RequestTally {
    /// Counts a finished request.
    pub fn count(&mut self, service: Option<&Arc<ServiceId>>, outcome: Outcome) {
        let event = match outcome {
            Outcome::Answered => return,
            Outcome::NotRun(_) => EventId::RequestsRefused,
            Outcome::Unknown(_) => EventId::RequestsUnknown,
        };
        let key = CountKey {
            service: service.cloned(),
            event,
            reason: outcome.reason().unwrap_or_default(),
        };
        *self.counts.entry(key).or_default() += 1;
    }

    /// Returns the lines of the interval that ends now and resets the counts. A
    /// limit that is reached has an additional line, but only in the first of
    /// consecutive intervals.
    pub fn take_lines(&mut self) -> Vec<RequestLine> {
        let counts = std::mem::take(&mut self.counts);
        let mut lines: Vec<RequestLine> = counts
            .into_iter()
            .map(|(key, requests)| RequestLine {
                event: key.event,
                service: key.service,
                reason: key.reason,
                requests,
            })
            .collect();
        let already_logged = std::mem::take(&mut self.reached_limits);
        for limit in [NotRunReason::Overloaded, NotRunReason::ShareExhausted] {
            lines.extend(self.limit_line(limit, &lines, &already_logged));
        }
        lines
    }

    fn limit_line(
        &mut self,
        limit: NotRunReason,
        lines: &[RequestLine],
        already_logged: &[EventId],
    ) -> Option<RequestLine> {
        let event = match limit {
            NotRunReason::ShareExhausted => EventId::ShareExhausted,
            _ => EventId::Overloaded,
        };
        let refused = |line: &&RequestLine| {
            line.event == EventId::RequestsRefused && line.reason == limit.as_str()
        };
        let first = lines.iter().find(refused)?;
        self.reached_limits.push(event);
        let requests = lines.iter().filter(refused).map(|line| line.requests);
        (!already_logged.contains(&event)).then(|| RequestLine {
            event,
            service: first.service.clone(),
            reason: limit.as_str(),
            requests: requests.sum(),
        })
    }
}

/// The request counts of a running router. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    tally: Arc<Mutex<RequestTally>>,
}

impl RequestLog {
    /// Counts a finished request. Answered requests return without locking.
    pub fn observe(&self, observation: &Observation) {
        if let Some(outcome) = observation.outcome
            && outcome != Outcome::Answered
        {
            let mut tally = self.tally.lock();
            tally.count(observation.service.as_ref(), outcome);
        }
    }

    /// Logs the counts every few seconds, and once more after `stop` is
    /// signalled.
    pub async fn run(self, stop: StopSignal) {
        loop {
            let mut waited = Duration::ZERO;
            while waited < INTERVAL && !stop.is_stopped() {
                task::sleep(STOP_POLL).await;
                waited += STOP_POLL;
            }
            let lines = self.tally.lock().take_lines();
            lines.iter().for_each(write_line);
            if stop.is_stopped() {
                return;
            }
        }
    }
}

fn write_line(line: &RequestLine) {
    let service = line.service.as_ref().map(|service| service.to_string());
    emit!(
        line.event,
        service = service.unwrap_or_default(),
        reason = line.reason,
        requests = line.requests
    );
}
