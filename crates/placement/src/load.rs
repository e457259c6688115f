//! Smoothing of the load that back ends report.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::session::{LoadReport, SliceRate};
use threadledge_types::{BackEndId, Point, Timestamp};

use crate::planner::Planner;
use crate::service::ServiceState;
use crate::slices::SliceLoad;
use crate::weight::rate_from;

/// A single sample counts at most this many times the smoothed rate …
const LARGEST_GROWTH: f64 = 8.0;
/// … or this many times the mean rate of a back end …
const PLAUSIBLE_PART: f64 = 2.0;
/// … or this many requests a second, whichever is most.
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
        let factor = smoothing_factor(interval, self.settings.smoothing_time);
        if factor <= 0.0 {
            return;
        }
        for id in self.selection.services_of(back_end) {
            self.work.services += 1;
            let Some(state) = self.services.get_mut(&id) else {
                continue;
            };
            if !state.holdings.contains_key(back_end) {
                continue;
            }
            state.note_report(back_end, self.now);
            let smoothing = Smoothing::of(state, factor);
            let reported = take_rates(state, back_end, report, smoothing);
            let silent_before = self.now - self.settings.report_lag;
            fade(state, back_end, &reported, smoothing, silent_before);
            self.schedule_check(&id, self.now + self.settings.check_interval);
        }
    }
}

/// Weight of one sample after `interval`, for an exponential mean with the
/// given time constant.
fn smoothing_factor(interval: Duration, constant: Duration) -> f64 {
    let interval = interval.min(LONGEST_INTERVAL).as_secs_f64();
    1.0 - (-interval / constant.as_secs_f64()).exp()
}

/// How samples are taken into the rates of one service.
#[derive(Clone, Copy)]
struct Smoothing {
    /// Weight of a sample.
    factor: f64,
    /// Micro-requests a second that are always plausible.
    plausible: f64,
}

impl Smoothing {
    fn of(state: &ServiceState, factor: f64) -> Self {
        let mean = state.table.total().per_second() / state.receivers.len().max(1) as f64;
        let plausible = (mean * PLAUSIBLE_PART).max(ALWAYS_PLAUSIBLE);
        Smoothing {
            factor,
            plausible: rate_from(plausible) as f64,
        }
    }

    /// The first samples after a split are averaged, because the rate they
    /// meet is a guess.
    fn for_samples(self, samples: u32) -> Self {
        Smoothing {
            factor: self.factor.max(1.0 / f64::from(samples.saturating_add(1))),
            ..self
        }
    }

    /// Exponential mean, with samples that jump implausibly far cut down.
    fn blend(self, known: u64, sample: f64) -> u64 {
        let known = known as f64;
        let ceiling = (known * LARGEST_GROWTH).max(self.plausible);
        let sample = (rate_from(sample) as f64).min(ceiling);
        (known + (sample - known) * self.factor) as u64
    }
}

/// Takes the reported rates of owned slices and returns which those were.
fn take_rates(
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
            let load = smoothed(slice.load, rate, smoothing);
            state.set_load(first, load);
        }
    }
    reported
}

/// Lets the rates of owned slices fade that the report does not name and that
/// have not changed since `silent_before`.
fn fade(
    state: &mut ServiceState,
    back_end: &BackEndId,
    reported: &BTreeSet<Point>,
    smoothing: Smoothing,
    silent_before: Timestamp,
) {
    let Some(holding) = state.holdings.get(back_end) else {
        return;
    };
    let silent: Vec<(Point, SliceLoad)> = holding
        .densest_first()
        .filter_map(|first| Some((first, state.table.get(first)?)))
        .take_while(|(_, slice)| slice.load.rate > 0)
        .filter(|(first, slice)| !reported.contains(first) && slice.changed_at <= silent_before)
        .map(|(first, slice)| (first, slice.load))
        .collect();
    for (first, load) in silent {
        state.set_load(first, faded(load, smoothing));
    }
}

fn smoothed(load: SliceLoad, sample: &SliceRate, smoothing: Smoothing) -> SliceLoad {
    let smoothing = smoothing.for_samples(load.samples);
    let seen = sample
        .hottest
        .as_ref()
        .filter(|hot| sample.slice.contains(hot.point));
    let known = load.hottest.map(|(point, rate)| match seen {
        Some(hot) if hot.point == point => (point, smoothing.blend(rate, hot.per_second)),
        _ => (point, smoothing.blend(rate, 0.0)),
    });
    let risen = seen.map(|hot| (hot.point, smoothing.blend(0, hot.per_second)));
    settled(SliceLoad {
        rate: smoothing.blend(load.rate, sample.per_second),
        // The known key stays until another one is clearly hotter.
        hottest: risen.into_iter().chain(known).max_by_key(|(_, rate)| *rate),
        samples: load.samples.saturating_add(1),
    })
}

fn faded(load: SliceLoad, smoothing: Smoothing) -> SliceLoad {
    let smoothing = smoothing.for_samples(load.samples);
    let hottest = load
        .hottest
        .map(|(point, rate)| (point, smoothing.blend(rate, 0.0)));
    settled(SliceLoad {
        rate: smoothing.blend(load.rate, 0.0),
        hottest,
        samples: load.samples.saturating_add(1),
    })
}

/// Drops what has become negligible and keeps the hot key within its slice.
fn settled(load: SliceLoad) -> SliceLoad {
    let rate = if load.rate < NEGLIGIBLE { 0 } else { load.rate };
    let hottest = load
        .hottest
        .map(|(point, hot)| (point, hot.min(rate)))
        .filter(|(_, hot)| *hot >= NEGLIGIBLE);
    SliceLoad {
        rate,
        hottest,
        ..load
    }
}
