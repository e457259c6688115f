//! Events about requests, a few lines for each interval whatever the load.
//!
//! Callers can cause any number of refusals, so that single ones are only
//! counted here; metrics have the exact numbers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_types::{NotRunReason, Outcome, ServiceId};

use crate::events::{EventId, emit};
use crate::proxy::Observation;

/// Time over which outcomes are added up before they are written.
const INTERVAL: Duration = Duration::from_secs(5);
/// Pause between looks at the stop signal.
const STOP_POLL: Duration = Duration::from_millis(100);

/// What is counted apart: the service, if a route matched, and the outcome.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
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
    /// Requests that ended so since the last lines.
    pub requests: u64,
}

/// Adds up the outcomes that are no answers.
#[derive(Clone, Debug, Default)]
pub struct RequestTally {
    counts: BTreeMap<Kind, u64>,
    /// Limits that were reached in the last interval, and are in the log.
    pressed: Vec<EventId>,
}

impl RequestTally {
    /// Counts one request that ended.
    pub fn count(&mut self, service: Option<&Arc<ServiceId>>, outcome: Outcome) {
        let event = match outcome {
            Outcome::Answered => return,
            Outcome::NotRun(_) => EventId::RequestsRefused,
            Outcome::Unknown(_) => EventId::RequestsUnknown,
        };
        let kind = Kind {
            service: service.cloned(),
            event,
            reason: outcome.reason().unwrap_or_default(),
        };
        *self.counts.entry(kind).or_default() += 1;
    }

    /// The lines of the interval that ends now. A limit that is reached has a
    /// line of its own in the first interval of several in a row.
    pub fn take_lines(&mut self) -> Vec<RequestLine> {
        let counts = std::mem::take(&mut self.counts);
        let mut lines: Vec<RequestLine> = counts
            .into_iter()
            .map(|(kind, requests)| RequestLine {
                event: kind.event,
                service: kind.service,
                reason: kind.reason,
                requests,
            })
            .collect();
        let before = std::mem::take(&mut self.pressed);
        for limit in [NotRunReason::Overloaded, NotRunReason::ShareExhausted] {
            lines.extend(self.pressed_line(limit, &lines, &before));
        }
        lines
    }

    fn pressed_line(
        &mut self,
        limit: NotRunReason,
        lines: &[RequestLine],
        before: &[EventId],
    ) -> Option<RequestLine> {
        let event = match limit {
            NotRunReason::ShareExhausted => EventId::ShareExhausted,
            _ => EventId::Overloaded,
        };
        let refused = |line: &&RequestLine| {
            line.event == EventId::RequestsRefused && line.reason == limit.as_str()
        };
        let first = lines.iter().find(refused)?;
        self.pressed.push(event);
        let requests = lines.iter().filter(refused).map(|line| line.requests);
        (!before.contains(&event)).then(|| RequestLine {
            event,
            service: first.service.clone(),
            reason: limit.as_str(),
            requests: requests.sum(),
        })
    }
}

/// Shared tally of a running router. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    tally: Arc<Mutex<RequestTally>>,
}

impl RequestLog {
    /// Counts one request that ended; answered ones cost nothing.
    pub fn observe(&self, observation: &Observation) {
        if let Some(outcome) = observation.outcome
            && outcome != Outcome::Answered
        {
            let mut tally = self.tally.lock();
            tally.count(observation.service.as_ref(), outcome);
        }
    }

    /// Writes what was counted, every few seconds and once more after `stop`.
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
