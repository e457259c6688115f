//! Smoothing of the load that back ends report.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::session::{LoadReport, SliceRate};
use threadledge_types::{BackEndId, Point, Timestamp};

use crate::planner::Planner;
use crate::service::ServiceState;
use crate::slices::SliceLoad;
use crate::weight::rate_from;

/// Maximum ratio of a sample to the smoothed rate. A larger sample is reduced
/// to the largest of this limit and the two below.
const MAX_SAMPLE_GROWTH: f64 = 8.0;
/// Sample limit relative to the mean rate of a back end.
const PLAUSIBLE_MEAN_RATIO: f64 = 2.0;
/// Sample limit in requests per second.
const PLAUSIBLE_RATE: f64 = 50.0;
/// Longer intervals between reports are treated as this one.
const MAX_INTERVAL: Duration = Duration::from_secs(5);
/// Rates below this many micro-requests per second count as 0.
const NEGLIGIBLE_RATE: u64 = 10_000;

impl Planner {
    /// Applies the load that a back end reported. Rates of slices that it does
    /// not own are ignored, because reports lag and may be wrong.
    pub fn observe_load(&mut self, now: Timestamp, back_end: &BackEndId, report: &LoadReport) {
        self.now = self.now.max(now);
        let since = self.reported_at.insert(back_end.clone(), self.now);
        let interval = since.map_or(MAX_INTERVAL, |since| self.now.since(since));
        let factor = smoothing_factor(interval, self.settings.smoothing_time);
        if factor <= 0.0 {
            return;
        }
        for id in self.selection.services_of(back_end) {
            self.work.services += 1;
            let Some(state) = self.services.get_mut(&id) else {
                continue;
            };
            if !state.allocations.contains_key(back_end) {
                continue;
            }
            state.record_report(back_end, self.now);
            let smoothing = Smoothing::new(state, factor);
            let reported = apply_reported_rates(state, back_end, report, smoothing);
            let unchanged_since = self.now - self.settings.report_lag;
            decay_unreported(state, back_end, &reported, smoothing, unchanged_since);
            self.schedule_check(&id, self.now + self.settings.check_interval);
        }
    }
}

/// Returns the weight of one sample after `interval` in an exponential mean
/// with the given time constant.
fn smoothing_factor(interval: Duration, constant: Duration) -> f64 {
    let interval = interval.min(MAX_INTERVAL).as_secs_f64();
    1.0 - (-interval / constant.as_secs_f64()).exp()
}

/// Parameters for applying samples to the rates of one service.
#[derive(Clone, Copy)]
struct Smoothing {
    /// Weight of a sample.
    factor: f64,
    /// Rate, in micro-requests per second, up to which samples are always
    /// plausible.
    plausible: f64,
}

impl Smoothing {
    fn new(state: &ServiceState, factor: f64) -> Self {
        let mean = state.table.total().per_second() / state.receivers.len().max(1) as f64;
        let plausible = (mean * PLAUSIBLE_MEAN_RATIO).max(PLAUSIBLE_RATE);
        Smoothing {
            factor,
            plausible: rate_from(plausible) as f64,
        }
    }

    /// Returns the parameters for a slice that has had `samples` reports. The
    /// first samples after a split are averaged, because the rate before them
    /// is an estimate.
    fn for_samples(self, samples: u32) -> Self {
        Smoothing {
            factor: self.factor.max(1.0 / f64::from(samples.saturating_add(1))),
            ..self
        }
    }

    /// Returns the exponential mean after one sample. An implausibly large
    /// sample is reduced first.
    fn updated_mean(self, known: u64, sample: f64) -> u64 {
        let known = known as f64;
        let ceiling = (known * MAX_SAMPLE_GROWTH).max(self.plausible);
        let sample = (rate_from(sample) as f64).min(ceiling);
        (known + (sample - known) * self.factor) as u64
    }
}

/// Applies the reported rates of owned slices. Returns the first points of all
/// slices of the service that the report names.
fn apply_reported_rates(
    state: &mut ServiceState,
    back_end: &BackEndId,
    report: &LoadReport,
    smoothing: Smoothing,
) -> BTreeSet<Point> {
    let mut reported = BTreeSet::new();
    for rate in &report.slice_rates {
        let first = rate.slice.first;
        if rate.service != *state.id || !reported.insert(first) {
            continue;
        }
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        let owned = slice
            .owner
            .as_ref()
            .is_some_and(|owner| *owner.back_end == *back_end);
        if owned && slice.last == rate.slice.last {
            let load = apply_sample(slice.load, rate, smoothing);
            state.set_load(first, load);
        }
    }
    reported
}

/// Decays the rates of owned slices that the report does not name and that have
/// not changed since `unchanged_since`.
fn decay_unreported(
    state: &mut ServiceState,
    back_end: &BackEndId,
    reported: &BTreeSet<Point>,
    smoothing: Smoothing,
    unchanged_since: Timestamp,
) {
    let Some(allocation) = state.allocations.get(back_end) else {
        return;
    };
    let unreported: Vec<(Point, SliceLoad)> = allocation
        .densest_first()
        .filter_map(|first| Some((first, state.table.get(first)?)))
        .take_while(|(_, slice)| slice.load.rate > 0)
        .filter(|(first, slice)| !reported.contains(first) && slice.changed_at <= unchanged_since)
        .map(|(first, slice)| (first, slice.load))
        .collect();
    for (first, load) in unreported {
        state.set_load(first, decay(load, smoothing));
    }
}

/// Returns the load after one reported sample.
fn apply_sample(load: SliceLoad, sample: &SliceRate, smoothing: Smoothing) -> SliceLoad {
    let smoothing = smoothing.for_samples(load.samples);
    let reported_key = sample
        .hottest
        .as_ref()
        .filter(|hot| sample.slice.contains(hot.point));
    let known_key = load.hottest.map(|(point, rate)| match reported_key {
        Some(hot) if hot.point == point => (point, smoothing.updated_mean(rate, hot.per_second)),
        _ => (point, smoothing.updated_mean(rate, 0.0)),
    });
    let new_key = reported_key.map(|hot| (hot.point, smoothing.updated_mean(0, hot.per_second)));
    drop_negligible(SliceLoad {
        rate: smoothing.updated_mean(load.rate, sample.per_second),
        // The known hottest key is kept until another one is clearly hotter.
        hottest: new_key
            .into_iter()
            .chain(known_key)
            .max_by_key(|(_, rate)| *rate),
        samples: load.samples.saturating_add(1),
    })
}

/// Returns the load after one report that does not name the slice.
fn decay(load: SliceLoad, smoothing: Smoothing) -> SliceLoad {
    let smoothing = smoothing.for_samples(load.samples);
    let hottest = load
        .hottest
        .map(|(point, rate)| (point, smoothing.updated_mean(rate, 0.0)));
    drop_negligible(SliceLoad {
        rate: smoothing.updated_mean(load.rate, 0.0),
        hottest,
        samples: load.samples.saturating_add(1),
    })
}

/// Sets negligible rates to 0 and limits the hot key's rate to that of its
/// slice.
fn drop_negligible(load: SliceLoad) -> SliceLoad {
    let rate = if load.rate < NEGLIGIBLE_RATE {
        0
    } else {
        load.rate
    };
    let hottest = load
        .hottest
        .map(|(point, hot)| (point, hot.min(rate)))
        .filter(|(_, hot)| *hot >= NEGLIGIBLE_RATE);
    SliceLoad {
        rate,
        hottest,
        ..load
    }
}
