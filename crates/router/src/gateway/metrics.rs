//! Metrics of a gateway, in the Prometheus text format.

use std::sync::Arc;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use threadledge_coordination::NodeIdentity;
use threadledge_types::deployment::ServiceName;

use super::disconnects::DisconnectCounter;
use super::dispatch::Dispatch;
use super::limits::Limits;
use super::log::RequestLine;
use super::retries::RetryMetrics;
use super::sources::Sources;
use super::usage::Usage;
use crate::proxy::Clock;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.25, 0.4, 0.64, 1.0, 1.6, 3.2,
];

/// The metrics of one gateway. Clones share them.
#[derive(Clone)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    pipelined: IntCounter,
    latency: HistogramVec,
    gauges: Gauges,
    retries: RetryMetrics,
    dispatch: Arc<Dispatch>,
    sources: Arc<Sources>,
    usage: Usage,
    disconnects: DisconnectCounter,
}

#[derive(Clone)]
struct Gauges {
    running: IntGauge,
    waiting: IntGauge,
    back_ends: IntGauge,
    ejected: IntGauge,
    configuration: IntGauge,
    tenants: IntGauge,
    keys: IntGauge,
    attempts: IntGauge,
    repeats: IntGauge,
    hedges: IntGauge,
    repeats_denied: IntGauge,
    abandoned: IntGauge,
    follows_relay: IntGauge,
    fleet: IntGauge,
    crashes: IntGauge,
    suspected: IntGauge,
    held: IntGauge,
}

impl GatewayMetrics {
    /// Creates and registers every metric.
    ///
    /// # Errors
    ///
    /// Never occurs with the names compiled in; the library checks them at run
    /// time.
    pub(super) fn new(
        dispatch: Arc<Dispatch>,
        sources: Arc<Sources>,
    ) -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("threadledge_gateway_requests_total", "Requests by outcome"),
            &["service", "outcome"],
        )?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "threadledge_gateway_request_seconds",
                "Time from a request's head to the head of its answer",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["service"],
        )?;
        let pipelined = IntCounter::new(
            "threadledge_gateway_pipelined_total",
            "Requests begun before one ahead of them on their connection was answered",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(pipelined.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        let gauges = Gauges::register(&registry)?;
        let retries = RetryMetrics::new(&registry)?;
        let usage = Usage::new(&registry)?;
        let disconnects = DisconnectCounter::new(&registry)?;
        Ok(GatewayMetrics {
            registry,
            requests,
            pipelined,
            latency,
            gauges,
            retries,
            dispatch,
            sources,
            usage,
            disconnects,
        })
    }

    /// Creates the tenant limits of this gateway and registers their metrics.
    ///
    /// # Errors
    ///
    /// Never occurs with the names compiled in; the library checks them at run
    /// time.
    pub(super) fn limits(
        &self,
        clock: Clock,
        me: &NodeIdentity,
        settings: threadledge_limits::Settings,
    ) -> Result<Limits, prometheus::Error> {
        Limits::new(clock, me, settings, &self.registry)
    }

    /// Counters of store calls and of traffic to and from back ends and other
    /// gateways.
    pub(super) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Counters of callers that disconnect.
    pub(super) fn disconnects(&self) -> &DisconnectCounter {
        &self.disconnects
    }

    /// Counts a request that starts before an earlier one on its connection is
    /// answered.
    pub(super) fn record_pipelined(&self) {
        self.pipelined.inc();
    }

    /// Counts a finished request and its latency.
    pub(super) fn record_request(&self, line: &RequestLine) {
        let service = line.service.as_ref().map_or("", ServiceName::as_str);
        self.requests
            .with_label_values(&[service, line.outcome])
            .inc();
        self.latency
            .with_label_values(&[service])
            .observe(line.elapsed().as_secs_f64());
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    ///
    /// The library fails to encode them.
    pub(super) fn text(&self) -> Result<String, prometheus::Error> {
        self.gauges.update(&self.dispatch);
        self.dispatch
            .with(|dispatcher, now| self.retries.update(now, dispatcher));
        self.gauges
            .follows_relay
            .set(self.sources.has_relay().into());
        let fleet = self.sources.fleet_size().unwrap_or(0);
        self.gauges.fleet.set(fleet.into());
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}

impl Gauges {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("threadledge_gateway_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<IntGauge, prometheus::Error>(gauge)
        };
        Ok(Gauges {
            running: gauge("running", "Requests without an outcome")?,
            waiting: gauge("waiting", "Requests that wait for a slot or an owner")?,
            back_ends: gauge("back_ends", "Back ends that are registered")?,
            ejected: gauge("back_ends_ejected", "Back ends that are left alone")?,
            configuration: gauge("configuration_version", "Configuration in force")?,
            tenants: gauge("tenants", "Tenants of the configuration in force")?,
            keys: gauge("tenant_keys", "Callers' keys that are known")?,
            attempts: gauge("attempts", "Attempts made")?,
            repeats: gauge("repeats", "Attempts beyond the first")?,
            hedges: gauge("hedges", "Attempts beside one without an answer")?,
            repeats_denied: gauge("repeats_denied", "Repeats beyond the budget")?,
            abandoned: gauge("abandoned", "Requests whose caller left")?,
            fleet: gauge("fleet", "Gateways of the deployment; 0 while unknown")?,
            crashes: gauge(
                "crashes_under_requests",
                "Processes that were seen to end while they ran a request from here",
            )?,
            suspected: gauge("requests_suspected", "Requests under which a process ended")?,
            held: gauge("requests_held", "Requests that are sent to no back end")?,
            follows_relay: gauge(
                "follows_relay",
                "1 while another gateway watches the store for this one",
            )?,
        })
    }

    fn update(&self, dispatch: &Dispatch) {
        dispatch.with(|dispatcher, now| {
            let counters = dispatcher.counters();
            let (back_ends, ejected) = dispatcher.back_end_counts(now);
            let version = dispatcher.configuration_version();
            self.running.set(dispatcher.open_exchanges() as i64);
            self.waiting.set(dispatcher.queued_exchanges() as i64);
            self.back_ends.set(back_ends as i64);
            self.ejected.set(ejected as i64);
            self.configuration
                .set(version.map_or(0, |version| version.0 as i64));
            let tenants = dispatcher
                .configuration()
                .map(|configuration| configuration.tenants.len());
            self.tenants.set(tenants.unwrap_or(0) as i64);
            self.keys.set(dispatcher.api_key_count() as i64);
            self.attempts.set(counters.attempts as i64);
            self.repeats.set(counters.repeats as i64);
            self.hedges.set(counters.hedges as i64);
            self.repeats_denied.set(counters.repeats_denied as i64);
            self.abandoned.set(counters.abandoned as i64);
            self.crashes.set(counters.crashes as i64);
            self.suspected.set(dispatcher.suspects().len() as i64);
            self.held.set(dispatcher.suspects().held().count() as i64);
        });
    }
}
