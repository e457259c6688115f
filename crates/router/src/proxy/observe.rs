//! What became of each request, for metrics and logs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use threadledge_net::Instant;
use threadledge_types::{NotRunReason, Outcome, ServiceId};

/// One request that has its outcome.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The service, if a route matched.
    pub service: Option<Arc<ServiceId>>,
    /// Name of the route, if one matched.
    pub route: Option<Arc<str>>,
    /// What became of it; `None` when the caller hung up before that was
    /// known.
    pub outcome: Option<Outcome>,
    /// Time from the request's head to the end of its answer.
    pub elapsed: Duration,
    /// Attempts that were made.
    pub attempts: u32,
}

impl Observation {
    pub(super) fn refused(reason: NotRunReason, started: Instant) -> Self {
        Observation {
            service: None,
            route: None,
            outcome: Some(Outcome::NotRun(reason)),
            elapsed: started.elapsed(),
            attempts: 0,
        }
    }
}

/// Called with each observation.
#[derive(Clone)]
pub struct Observer(Arc<dyn Fn(&Observation) + Send + Sync>);

impl Observer {
    /// Calls `observe` with each observation.
    pub fn new(observe: impl Fn(&Observation) + Send + Sync + 'static) -> Self {
        Observer(Arc::new(observe))
    }

    /// Looks at nothing.
    pub fn none() -> Self {
        Observer::new(|_| {})
    }

    pub(super) fn observe(&self, observation: &Observation) {
        (self.0)(observation);
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Observer")
    }
}
