//! The load of a service divided by key, as one router sees it.

use std::collections::BTreeMap;

use threadledge_coordination::{KeyCount, LoadReport, SpeedSample};
use threadledge_types::deployment::{BackEndName, ShardKey};

/// Requests and speeds since the last report.
#[derive(Debug, Default)]
pub(crate) struct ObservedLoad {
    requests: BTreeMap<ShardKey, u32>,
    speeds: BTreeMap<BackEndName, Measured>,
}

#[derive(Debug, Default)]
struct Measured {
    count: u32,
    work_s: f64,
}

impl ObservedLoad {
    pub(crate) fn request(&mut self, key: ShardKey) {
        *self.requests.entry(key).or_default() += 1;
    }

    pub(crate) fn answered(&mut self, back_end: &BackEndName, work_s: f64) {
        let measured = self.speeds.entry(back_end.clone()).or_default();
        measured.count += 1;
        measured.work_s += work_s;
    }

    pub(crate) fn into_report(self) -> LoadReport {
        let requests = self
            .requests
            .into_iter()
            .map(|(key, count)| KeyCount { key, count });
        let speeds = self
            .speeds
            .into_iter()
            .map(|(back_end, measured)| SpeedSample {
                back_end,
                count: measured.count,
                work_s: measured.work_s,
            });
        LoadReport {
            requests: requests.collect(),
            speeds: speeds.collect(),
            ..LoadReport::default()
        }
    }
}
