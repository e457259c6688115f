//! Metrics of the proxy's decisions and load.

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounterVec, IntGaugeVec, Opts};
use threadledge_routing::{BackEndLoad, Counters};
use threadledge_types::session::Refusal;

use super::ProxyHandle;

/// A collector that reads the dispatcher's counters when metrics are scraped.
/// Between scrapes it adds no cost to requests.
#[derive(Debug)]
pub struct ProxyMetrics {
    proxy: ProxyHandle,
    descriptions: Vec<Desc>,
}

/// The metric families of one scrape.
struct Families {
    decisions: IntCounterVec,
    refusals: IntCounterVec,
    requests: IntGaugeVec,
    ejected: IntGaugeVec,
}

impl ProxyMetrics {
    /// Creates the collector of a running proxy.
    ///
    /// # Errors
    ///
    /// The library checks metric names at run time. The names here are constants
    /// and valid, so this does not fail.
    pub fn new(proxy: ProxyHandle) -> Result<Self, prometheus::Error> {
        let families = Families::new()?;
        let collectors = families.collectors().into_iter();
        let descriptions = collectors.flat_map(|family| family.desc());
        Ok(ProxyMetrics {
            descriptions: descriptions.cloned().collect(),
            proxy,
        })
    }
}

impl Collector for ProxyMetrics {
    fn desc(&self) -> Vec<&Desc> {
        self.descriptions.iter().collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let Ok(families) = Families::new() else {
            return Vec::new();
        };
        let (counters, load) = self.proxy.counters_and_load();
        families.add_counters(&counters);
        for back_end in &load.back_ends {
            families.add_back_end(back_end);
        }
        let collectors = families.collectors().into_iter();
        collectors.flat_map(|family| family.collect()).collect()
    }
}

impl Families {
    fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        Ok(Families {
            decisions: counter(
                "threadledge_decisions_total",
                "Decisions of the data path about requests, attempts and back ends",
                "decision",
            )?,
            refusals: counter(
                "threadledge_back_end_refusals_total",
                "Typed refusals by back ends",
                "refusal",
            )?,
            requests: IntGaugeVec::new(
                Opts::new(
                    "threadledge_back_end_requests",
                    "Requests running at a back end, waiting for it, and allowed at once",
                ),
                &["back_end", "state"],
            )?,
            ejected: IntGaugeVec::new(
                Opts::new(
                    "threadledge_back_end_ejected",
                    "1 while a back end is ejected because it fails",
                ),
                &["back_end"],
            )?,
        })
    }

    fn collectors(&self) -> [&dyn Collector; 4] {
        [
            &self.decisions,
            &self.refusals,
            &self.requests,
            &self.ejected,
        ]
    }

    fn add_counters(&self, counters: &Counters) {
        for (decision, count) in decisions(counters) {
            self.decisions.with_label_values(&[decision]).inc_by(count);
        }
        for refusal in Refusal::ALL {
            let refusals = self.refusals.with_label_values(&[refusal.as_str()]);
            refusals.inc_by(counters.refusals(refusal));
        }
    }

    fn add_back_end(&self, load: &BackEndLoad) {
        let back_end = load.back_end.to_string();
        let queued = i64::try_from(load.queued).unwrap_or(i64::MAX);
        let states = [
            ("running", i64::from(load.in_flight)),
            ("waiting", queued),
            ("allowed", i64::from(load.allowed)),
        ];
        for (state, count) in states {
            let labels = [back_end.as_str(), state];
            self.requests.with_label_values(&labels).set(count);
        }
        let ejected = self.ejected.with_label_values(&[back_end.as_str()]);
        ejected.set(i64::from(load.ejected));
    }
}

fn decisions(counters: &Counters) -> [(&'static str, u64); 14] {
    [
        ("admitted", counters.admitted),
        ("caller-gone", counters.caller_gone),
        ("attempt", counters.attempts),
        ("retry", counters.retries),
        ("retry-denied", counters.retries_denied),
        ("reroute", counters.reroutes),
        ("hedge", counters.hedges),
        ("hedge-won", counters.hedges_won),
        ("abandoned", counters.abandoned),
        ("queued", counters.queued),
        ("parked", counters.parked),
        ("shed", counters.shed),
        ("gave-way", counters.displaced + counters.evicted),
        ("ejection", counters.ejections),
    ]
}
