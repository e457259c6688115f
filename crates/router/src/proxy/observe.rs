//! Observation of finished requests, for metrics and logs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use threadledge_net::Instant;
use threadledge_types::{NotRunReason, Outcome, ServiceId};

/// A finished request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Service of the matched route, if any.
    pub service: Option<Arc<ServiceId>>,
    /// Name of the matched route, if any.
    pub route: Option<Arc<str>>,
    /// The outcome; `None` if the caller disconnected before it was known.
    pub outcome: Option<Outcome>,
    /// Time from the request's head to the end of its response.
    pub elapsed: Duration,
    /// Number of attempts made.
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

/// A callback that receives each observation.
#[derive(Clone)]
pub struct Observer(Arc<dyn Fn(&Observation) + Send + Sync>);

impl Observer {
    /// Creates an observer that calls `observe`.
    pub fn new(observe: impl Fn(&Observation) + Send + Sync + 'static) -> Self {
        Observer(Arc::new(observe))
    }

    /// Creates an observer that does nothing.
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
