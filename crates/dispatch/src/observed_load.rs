//! The load of a service with keys, as observed by one router.

use std::collections::BTreeMap;

use threadledge_coordination::{KeyCount, LoadReport, SpeedSample};
use threadledge_types::deployment::{BackEndName, ShardKey};

/// Requests by key and service times by back end since the last load report.
#[derive(Debug, Default)]
pub(crate) struct ObservedLoad {
    requests: BTreeMap<ShardKey, u32>,
    speeds: BTreeMap<BackEndName, ServiceTimeSum>,
}

/// Number and sum of measured service times.
#[derive(Debug, Default)]
struct ServiceTimeSum {
    count: u32,
    total_s: f64,
}

impl ObservedLoad {
    pub(crate) fn count_request(&mut self, key: ShardKey) {
        *self.requests.entry(key).or_default() += 1;
    }

    /// Adds the service time of a successful response, in seconds.
    pub(crate) fn add_service_time(&mut self, back_end: &BackEndName, service_time_s: f64) {
        let sum = self.speeds.entry(back_end.clone()).or_default();
        sum.count += 1;
        sum.total_s += service_time_s;
    }

    pub(crate) fn into_report(self) -> LoadReport {
        let requests = self
            .requests
            .into_iter()
            .map(|(key, count)| KeyCount { key, count });
        let speeds = self.speeds.into_iter().map(|(back_end, sum)| SpeedSample {
            back_end,
            count: sum.count,
            work_s: sum.total_s,
        });
        LoadReport {
            requests: requests.collect(),
            speeds: speeds.collect(),
            ..LoadReport::default()
        }
    }
}
