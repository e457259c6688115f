//! Smoothing of the load that back ends report.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::session::{LoadReport, SliceRate};
use threadledge_types::{BackEndId, Point, ServiceId, Timestamp};

use crate::planner::Planner;
use crate::service::ServiceState;
use crate::slices::SliceLoad;
use crate::weight::rate_from;

/// A single sample counts at most this many times the smoothed rate …
const LARGEST_GROWTH: f64 = 8.0;
/// … or this many requests a second, whichever is more.
const ALWAYS_PLAUSIBLE: f64 = 50.0;
/// Longest interval between reports that is taken at face value.
const LONGEST_INTERVAL: Duration = Duration::from_secs(5);
/// Rates below this many micro-requests a second count as none.
const NEGLIGIBLE: u64 = 10_000;

impl Planner {
    /// Takes in the load that a back end reported. Rates of slices that it
    /// does not own are ignored: reports lag, and may mislead.
    pub fn observe_load(&mut self, now: Timestamp, back_end: &BackEndId, report: &LoadReport) {
        self.now = self.now.max(now);
        let since = self.reported_at.insert(back_end.clone(), self.now);
        let interval = since.map_or(LONGEST_INTERVAL, |since| self.now.since(since));
        let factor = smoothing_factor(interval, self.settings.smoothing);
        if factor <= 0.0 {
            return;
        }
        let start = ServiceId::new(&back_end.namespace, "");
        let mut affected = Vec::new();
        for (id, state) in self.services.range_mut::<ServiceId, _>(start..) {
            if id.namespace != back_end.namespace {
                break;
            }
            if state.holdings.contains_key(back_end) {
                affected.push(Arc::clone(id));
                let reported = take_rates(state, back_end, report, factor);
                let lag = self.settings.report_lag;
                fade(state, back_end, &reported, factor, (self.now, lag));
            }
        }
        for id in affected {
            let at = self.now + self.settings.check_interval;
            self.schedule_check(&id, at);
        }
    }
}

/// Weight of one sample after `interval`, for an exponential mean with the
/// given time constant.
fn smoothing_factor(interval: Duration, constant: Duration) -> f64 {
    let interval = interval.min(LONGEST_INTERVAL).as_secs_f64();
    1.0 - (-interval / constant.as_secs_f64()).exp()
}

/// Takes the reported rates of owned slices and returns which those were.
fn take_rates(
    state: &mut ServiceState,
    back_end: &BackEndId,
    report: &LoadReport,
    factor: f64,
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
            let load = smoothed(slice.load, rate, factor);
            state.set_load(first, load);
        }
    }
    reported
}

/// Lets the rates of owned slices fade that the report does not name.
fn fade(
    state: &mut ServiceState,
    back_end: &BackEndId,
    reported: &BTreeSet<Point>,
    factor: f64,
    (now, lag): (Timestamp, Duration),
) {
    let Some(holding) = state.holdings.get(back_end) else {
        return;
    };
    let silent: Vec<(Point, SliceLoad)> = holding
        .densest_first()
        .filter_map(|first| Some((first, state.table.get(first)?)))
        .take_while(|(_, slice)| slice.load.rate > 0)
        .filter(|(first, slice)| !reported.contains(first) && now.since(slice.changed_at) >= lag)
        .map(|(first, slice)| (first, slice.load))
        .collect();
    for (first, load) in silent {
        state.set_load(first, faded(load, factor));
    }
}

fn smoothed(load: SliceLoad, sample: &SliceRate, factor: f64) -> SliceLoad {
    let rate = blend(load.rate, sample.per_second, factor);
    let hottest = match (&sample.hottest, load.hottest) {
        (Some(hot), Some((point, known))) if hot.point == point => {
            Some((point, blend(known, hot.per_second, factor)))
        }
        (Some(hot), None) if sample.slice.contains(hot.point) => {
            Some((hot.point, blend(0, hot.per_second, factor)))
        }
        (Some(hot), Some((point, known))) => {
            let fading = blend(known, 0.0, factor);
            let rising = blend(0, hot.per_second, factor);
            if rising > fading && sample.slice.contains(hot.point) {
                Some((hot.point, rising))
            } else {
                Some((point, fading))
            }
        }
        (_, known) => known.map(|(point, rate)| (point, blend(rate, 0.0, factor))),
    };
    settled(SliceLoad { rate, hottest })
}

fn faded(load: SliceLoad, factor: f64) -> SliceLoad {
    let hottest = load
        .hottest
        .map(|(point, rate)| (point, blend(rate, 0.0, factor)));
    settled(SliceLoad {
        rate: blend(load.rate, 0.0, factor),
        hottest,
    })
}

/// Drops what has become negligible and keeps the hot key within its slice.
fn settled(load: SliceLoad) -> SliceLoad {
    let rate = if load.rate < NEGLIGIBLE { 0 } else { load.rate };
    let hottest = load
        .hottest
        .map(|(point, hot)| (point, hot.min(rate)))
        .filter(|(_, hot)| *hot >= NEGLIGIBLE);
    SliceLoad { rate, hottest }
}

/// Exponential mean, with samples that jump implausibly far cut down.
fn blend(known: u64, sample: f64, factor: f64) -> u64 {
    let known = known as f64;
    let sample = rate_from(sample) as f64;
    let ceiling = (known * LARGEST_GROWTH).max(rate_from(ALWAYS_PLAUSIBLE) as f64);
    let sample = sample.min(ceiling);
    (known + (sample - known) * factor) as u64
}
