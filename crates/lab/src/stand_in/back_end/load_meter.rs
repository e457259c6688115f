//! Counts requests by point for the load report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use threadledge_types::session::{Grant, HotPoint, SliceRate};
use threadledge_types::{Point, ServiceId, Timestamp};

/// Window over which rates are averaged, in seconds.
const WINDOW_SECONDS: u64 = 4;
/// Minimum share of a slice's requests for its busiest point to be reported as
/// hot.
const HOT_SHARE: f64 = 0.2;

/// Number of requests by service and point.
type Counts = BTreeMap<(ServiceId, Point), u32>;

/// Request counts of the last few seconds, by service and point.
#[derive(Debug, Default)]
pub struct LoadMeter {
    seconds: VecDeque<(u64, Counts)>,
}

impl LoadMeter {
    /// Counts one request.
    pub fn count(&mut self, now: Timestamp, service: &ServiceId, point: Point) {
        let second = now.as_millis() / 1_000;
        self.drop_expired(second);
        if self.seconds.back().is_none_or(|(last, _)| *last != second) {
            self.seconds.push_back((second, Counts::new()));
        }
        if let Some((_, counts)) = self.seconds.back_mut() {
            *counts.entry((service.clone(), point)).or_default() += 1;
        }
    }

    /// Returns the request rates of the held slices that had any requests.
    pub fn rates(&mut self, now: Timestamp, held: &[Grant]) -> Vec<SliceRate> {
        self.drop_expired(now.as_millis() / 1_000);
        let mut totals = Counts::new();
        for (_, counts) in &self.seconds {
            for (key, count) in counts {
                *totals.entry(key.clone()).or_default() += count;
            }
        }
        held.iter()
            .filter_map(|grant| slice_rate(grant, &totals))
            .collect()
    }

    fn drop_expired(&mut self, second: u64) {
        while let Some((oldest, _)) = self.seconds.front() {
            if oldest + WINDOW_SECONDS > second {
                break;
            }
            self.seconds.pop_front();
        }
    }
}

/// Returns the request rate of one slice, or `None` if it had no requests.
fn slice_rate(grant: &Grant, totals: &Counts) -> Option<SliceRate> {
    let first = (grant.service.clone(), grant.slice.first);
    let last = (grant.service.clone(), grant.slice.last);
    let window = Duration::from_secs(WINDOW_SECONDS).as_secs_f64();
    let mut sum = 0;
    let mut busiest: Option<(Point, u32)> = None;
    for ((_, point), count) in totals.range(first..=last) {
        sum += count;
        if busiest.is_none_or(|(_, most)| *count > most) {
            busiest = Some((*point, *count));
        }
    }
    let hottest = busiest
        .filter(|(_, count)| f64::from(*count) >= HOT_SHARE * f64::from(sum))
        .map(|(point, count)| HotPoint {
            point,
            per_second: f64::from(count) / window,
        });
    (sum > 0).then(|| SliceRate {
        service: grant.service.clone(),
        slice: grant.slice,
        per_second: f64::from(sum) / window,
        hottest,
    })
}
