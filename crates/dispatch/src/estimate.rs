//! Estimates the speed and the load of a back end.
//!
//! A router knows its own requests and what responses report. Where it has had
//! no information about a back end for some time, it assumes the average of the
//! service's back ends.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::decaying_mean::{DecayingMean, Sample};
use crate::outcome::ReportedLoad;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.25;
/// Half-life of reported load.
const LOAD_HALF_LIFE_S: f64 = 0.4;
/// Half-life of measured service times.
const SERVICE_TIME_HALF_LIFE_S: f64 = 8.0;

/// What is known of the speed and load of one back end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    /// Time that a request takes once a slot processes it, in seconds.
    service_time_s: Option<Sample>,
    /// Requests of other routers, as of the last report.
    other_requests: Option<Sample>,
}

/// Averages over the back ends of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    pub(crate) service_time_s: f64,
    pub(crate) other_requests: f64,
}

/// The sample's value, moved towards the average with increasing age.
fn decayed(sample: &Sample, now: Timestamp, average: f64, half_life_s: f64) -> f64 {
    let age = now.since(sample.at).as_secs_f64();
    let remaining_weight = (-age / half_life_s).exp2();
    average + (sample.value - average) * remaining_weight
}

impl Estimate {
    /// Updates the estimate with the latency of a response. `load_factor` is
    /// that of the back end when the request was sent.
    pub(crate) fn add_service_time(
        &mut self,
        now: Timestamp,
        latency: Duration,
        load_factor: f64,
        averages: &ServiceAverages,
    ) {
        let service_time_s = latency.as_secs_f64() / load_factor.max(1.0);
        let before = self.service_time_s(now, averages);
        let value = if before > 0.0 {
            before + (service_time_s - before) * SERVICE_TIME_EWMA_WEIGHT
        } else {
            service_time_s
        };
        self.service_time_s = Some(Sample { value, at: now });
    }

    /// Updates the estimate with the load that a response reported.
    /// `own_requests` is the number of this router's other requests at the back
    /// end.
    pub(crate) fn on_reported_load(
        &mut self,
        now: Timestamp,
        load: ReportedLoad,
        own_requests: u32,
    ) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let value = (total - f64::from(own_requests)).max(0.0);
        self.other_requests = Some(Sample { value, at: now });
    }

    /// Estimated service time, which approaches the service's average as the
    /// last sample ages.
    pub(crate) fn service_time_s(&self, now: Timestamp, averages: &ServiceAverages) -> f64 {
        match &self.service_time_s {
            Some(sample) => decayed(
                sample,
                now,
                averages.service_time_s,
                SERVICE_TIME_HALF_LIFE_S,
            ),
            None => averages.service_time_s,
        }
    }

    /// Estimated requests of other routers, which approach the service's
    /// average as the last report ages.
    pub(crate) fn other_requests(&self, now: Timestamp, averages: &ServiceAverages) -> f64 {
        match &self.other_requests {
            Some(sample) => decayed(sample, now, averages.other_requests, LOAD_HALF_LIFE_S),
            None => averages.other_requests,
        }
    }
}

/// Means over the back ends of a service, in which older samples weigh less.
/// They are maintained incrementally: iterating over all back ends for each
/// request would become slower with their number.
#[derive(Debug)]
pub(crate) struct ServiceMeans {
    service_time: DecayingMean,
    other_requests: DecayingMean,
}

impl ServiceMeans {
    pub(crate) fn new() -> Self {
        let half_life = |seconds: f64| Duration::from_secs_f64(seconds * 3.0);
        ServiceMeans {
            service_time: DecayingMean::new(half_life(SERVICE_TIME_HALF_LIFE_S), 0.0),
            // The load of one back end says little about that of the others:
            // without further reports, they are assumed to be idle.
            other_requests: DecayingMean::new(half_life(LOAD_HALF_LIFE_S), 1.0),
        }
    }

    /// Replaces the estimate of one back end.
    pub(crate) fn replace(&mut self, now: Timestamp, before: &Estimate, after: &Estimate) {
        self.service_time
            .replace(now, before.service_time_s, after.service_time_s);
        self.other_requests
            .replace(now, before.other_requests, after.other_requests);
    }

    pub(crate) fn averages(&self, now: Timestamp) -> ServiceAverages {
        ServiceAverages {
            service_time_s: self.service_time.mean(now),
            other_requests: self.other_requests.mean(now),
        }
    }
}
