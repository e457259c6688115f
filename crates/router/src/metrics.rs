//! Metrics in the Prometheus text format.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prometheus::core::Collector;
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use threadledge_types::{Outcome, Revision, ServiceId};

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0, 2.0, 4.0,
];

/// The metrics registry and the metrics that every router has. Clones share
/// them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    control: ControlGauges,
}

/// Gauges of the control plane's state.
#[derive(Clone)]
struct ControlGauges {
    term: IntGauge,
    generation: IntGauge,
    revision: IntGauge,
    members: IntGauge,
    confirmed_age: Gauge,
}

/// State of the control plane, as shown by its gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlState {
    /// Consensus term of the group.
    pub term: u64,
    /// Revision of this router's copy of the records.
    pub revision: Revision,
    /// Number of routers believed alive.
    pub members: u64,
    /// Time since the revision was confirmed; `None` before the first time.
    pub confirmed_age: Option<Duration>,
}

impl Metrics {
    /// Content type of [`Metrics::encode`].
    pub const CONTENT_TYPE: &'static str = "text/plain; version=0.0.4";

    /// Creates a registry with the metrics that every router has.
    ///
    /// # Errors
    ///
    /// The library checks metric names at run time. The names here are constants
    /// and valid, so this does not fail.
    pub fn new(started: SystemTime) -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        register_process_start(&registry, started)?;
        let requests = IntCounterVec::new(
            Opts::new("threadledge_requests_total", "Requests by outcome"),
            &["service", "route", "outcome", "reason"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "threadledge_request_seconds",
                "Time from a request's head to the end of its answer",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["service", "route"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        let control = ControlGauges::register(&registry)?;
        Ok(Metrics {
            registry,
            requests,
            latency,
            control,
        })
    }

    /// Registers the metrics of another module.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or already registered.
    pub fn register(&self, collector: impl Collector + 'static) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(collector))
    }

    /// Counts a finished request. `service` is `None` and `route` is empty if no
    /// route matched.
    pub fn count_request(
        &self,
        service: Option<&ServiceId>,
        route: &str,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let service = service.map(ToString::to_string).unwrap_or_default();
        let reason = outcome.reason().unwrap_or_default();
        self.requests
            .with_label_values(&[service.as_str(), route, outcome.as_str(), reason])
            .inc();
        self.latency
            .with_label_values(&[service.as_str(), route])
            .observe(elapsed.as_secs_f64());
    }

    /// Sets the control gauges.
    pub fn set_control(&self, state: &ControlState) {
        self.control.set(state);
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric of another module cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        String::from_utf8(bytes).map_err(|error| prometheus::Error::Msg(error.to_string()))
    }
}

impl ControlGauges {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let integer = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let confirmed_age = Gauge::new(
            "threadledge_confirmed_age_seconds",
            "Time since the revision was confirmed; -1 before the first time",
        )?;
        registry.register(Box::new(confirmed_age.clone()))?;
        Ok(ControlGauges {
            term: integer("threadledge_group_term", "Consensus term of the group")?,
            generation: integer("threadledge_group_generation", "Founding of the group")?,
            revision: integer(
                "threadledge_revision_index",
                "Log index of the router's copy",
            )?,
            members: integer("threadledge_members_alive", "Routers believed alive")?,
            confirmed_age,
        })
    }

    fn set(&self, state: &ControlState) {
        self.term.set(to_i64_saturating(state.term));
        self.generation.set(i64::from(state.revision.generation.0));
        self.revision.set(to_i64_saturating(state.revision.index));
        self.members.set(to_i64_saturating(state.members));
        self.confirmed_age
            .set(state.confirmed_age.map_or(-1.0, |age| age.as_secs_f64()));
    }
}

fn to_i64_saturating(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn register_process_start(
    registry: &Registry,
    started: SystemTime,
) -> Result<(), prometheus::Error> {
    let gauge = Gauge::new(
        "process_start_time_seconds",
        "Start time of the process since the Unix epoch",
    )?;
    let seconds = started
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64());
    gauge.set(seconds);
    registry.register(Box::new(gauge))
}
