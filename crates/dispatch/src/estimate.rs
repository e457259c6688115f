//! What a router can tell of one back end's speed and load.
//!
//! A router sees its own requests and what answers tell. What it does not
//! hear of for a while it takes to be like the other back ends of the service.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::decaying_mean::{DecayingMean, Sample};
use crate::outcome::ReportedLoad;

/// Weight of a new sample of the time that a request takes.
const SPEED_GAIN: f64 = 0.25;
/// Time after which half of what was told about load counts for nothing.
const LOAD_HALF_LIFE_S: f64 = 0.4;
/// Time after which half of what was measured of speed counts for nothing.
const SPEED_HALF_LIFE_S: f64 = 8.0;

/// What is known of one back end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    /// Time that a request takes once a slot works on it, in seconds.
    work_s: Option<Sample>,
    /// Requests of other routers, as last told.
    others: Option<Sample>,
}

/// What is usual among the back ends of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    pub(crate) work_s: f64,
    pub(crate) others: f64,
}

/// The sample mixed with what is usual, the more the older it is.
fn faded(sample: &Sample, now: Timestamp, usual: f64, half_life_s: f64) -> f64 {
    let age = now.since(sample.at).as_secs_f64();
    let kept = (-age / half_life_s).exp2();
    usual + (sample.value - usual) * kept
}

impl Estimate {
    pub(crate) fn measured(
        &mut self,
        now: Timestamp,
        took: Duration,
        crowding: f64,
        usual: &Usual,
    ) {
        let work = took.as_secs_f64() / crowding.max(1.0);
        let before = self.work_s(now, usual);
        let value = if before > 0.0 {
            before + (work - before) * SPEED_GAIN
        } else {
            work
        };
        self.work_s = Some(Sample { value, at: now });
    }

    /// `own` requests of this router are there beside the one that was
    /// answered.
    pub(crate) fn told(&mut self, now: Timestamp, load: ReportedLoad, own: u32) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        let value = (total - f64::from(own)).max(0.0);
        self.others = Some(Sample { value, at: now });
    }

    pub(crate) fn work_s(&self, now: Timestamp, usual: &Usual) -> f64 {
        match &self.work_s {
            Some(sample) => faded(sample, now, usual.work_s, SPEED_HALF_LIFE_S),
            None => usual.work_s,
        }
    }

    pub(crate) fn others(&self, now: Timestamp, usual: &Usual) -> f64 {
        match &self.others {
            Some(sample) => faded(sample, now, usual.others, LOAD_HALF_LIFE_S),
            None => usual.others,
        }
    }
}

/// Mean over the back ends of a service, in which samples weigh the less the
/// older they are. Kept as they come: a walk over all back ends for each request
/// would cost the more the more there are.
#[derive(Debug)]
pub(crate) struct ServiceMean {
    work: DecayingMean,
    others: DecayingMean,
}

impl ServiceMean {
    pub(crate) fn new() -> Self {
        let half_life = |seconds: f64| Duration::from_secs_f64(seconds * 3.0);
        ServiceMean {
            work: DecayingMean::new(half_life(SPEED_HALF_LIFE_S), 0.0),
            // What one back end told of its load says little about the others:
            // without more, they are taken to be idle.
            others: DecayingMean::new(half_life(LOAD_HALF_LIFE_S), 1.0),
        }
    }

    /// What is known of a back end changed.
    pub(crate) fn change(&mut self, now: Timestamp, before: &Estimate, after: &Estimate) {
        self.work.replace(now, before.work_s, after.work_s);
        self.others.replace(now, before.others, after.others);
    }

    pub(crate) fn usual(&self, now: Timestamp) -> Usual {
        Usual {
            work_s: self.work.mean(now),
            others: self.others.mean(now),
        }
    }
}
