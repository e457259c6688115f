//! Backpressure that back ends announce in their responses, and the check that
//! gateways respect it.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use crate::caller::gateway_from_id;
use crate::check::Violation;

/// Time after the first announcement of a limit until every gateway must
/// respect it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Period over which the requests that reach a limited back end are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from when a gateway learns of a limit or a requested backoff until it
/// must respect it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that one gateway may still send during a requested backoff.
const MAX_REQUESTS_IN_REST: usize = 2;
/// Time from when a gateway learns that a back end is leaving until it must
/// send nothing more there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from the arrival of a request until its response has been passed on.
const RESPONSE_TIME: Duration = Duration::from_millis(300);

/// Backpressure that a back end announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Backpressure {
    /// Requests per second that the back end accepts.
    Limit(f64),
    /// The back end is leaving.
    Leaving,
    /// The back end asks to receive no requests for this long.
    Rest(Duration),
}

/// A period during which a back end announces backpressure.
#[derive(Debug)]
pub struct Episode {
    back_end: StandInBackEnd,
    signal: Backpressure,
    from: Instant,
    until: Option<Instant>,
}

impl Episode {
    /// Makes the back end announce `signal` from now on.
    pub fn begin(back_end: StandInBackEnd, signal: Backpressure) -> Self {
        match signal {
            Backpressure::Limit(rate) => back_end.set_rate_limit(Some(&rate.to_string())),
            Backpressure::Leaving => back_end.set_leaving(true),
            Backpressure::Rest(rest) => {
                back_end.set_retry_after(Some(&rest.as_secs_f64().to_string()))
            }
        }
        Episode {
            back_end,
            signal,
            from: Instant::now(),
            until: None,
        }
    }

    /// Returns whether this episode is in progress and makes `back_end`
    /// announce a signal of this kind.
    pub fn announces(&self, back_end: &StandInBackEnd, signal: Backpressure) -> bool {
        let same_kind = std::mem::discriminant(&self.signal) == std::mem::discriminant(&signal);
        same_kind && self.until.is_none() && self.back_end.incarnation() == back_end.incarnation()
    }

    /// Makes the back end stop the announcement. A back end that is leaving
    /// keeps announcing that until it ends.
    pub fn end(&mut self) {
        match self.signal {
            Backpressure::Limit(_) => self.back_end.set_rate_limit(None),
            Backpressure::Leaving => {}
            Backpressure::Rest(_) => self.back_end.set_retry_after(None),
        }
        self.until.get_or_insert_with(Instant::now);
    }

    /// Reports requests that gateways sent although the back end had announced
    /// that it does not want them. `kills` lists which gateway was killed when;
    /// a restarted gateway knows nothing of earlier announcements.
    pub fn check(
        &self,
        start: Instant,
        kills: &[(usize, Instant)],
        time_factor: u32,
    ) -> Vec<Violation> {
        let arrivals = self.arrivals();
        let bound_requests = |reaction_time: Duration| -> Vec<Instant> {
            let must_respect = |&&(gateway, at): &&(usize, Instant)| {
                let was_informed = |&(other, informed_at): &(usize, Instant)| {
                    other == gateway
                        && informed_at + reaction_time <= at
                        && !kills.iter().any(|(killed, when)| {
                            *killed == gateway && informed_at < *when && *when <= at
                        })
                };
                arrivals.iter().any(was_informed)
            };
            arrivals
                .iter()
                .filter(must_respect)
                .map(|(_, at)| *at)
                .collect()
        };
        let response_time = RESPONSE_TIME * time_factor;
        let worst = match self.signal {
            Backpressure::Limit(rate) => {
                let mut bound = bound_requests(REACTION_TIME + response_time);
                bound.retain(|at| *at >= self.from + PROPAGATION_TIME);
                let allowed = (1.5 * rate * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize;
                max_requests_within(&bound, LIMIT_WINDOW).map(|most| (most, allowed))
            }
            Backpressure::Leaving => {
                let late = bound_requests(DRAIN_TIME + response_time);
                late.last().map(|last| ((late.len(), *last), 0))
            }
            Backpressure::Rest(rest) => {
                let worst =
                    max_requests_in_rest(&arrivals, kills, rest, REACTION_TIME + response_time);
                worst.map(|most| (most, MAX_REQUESTS_IN_REST))
            }
        };
        let worst = worst.filter(|((requests, _), allowed)| requests > allowed);
        let violation = worst.map(|((requests, at), allowed)| Violation::BackpressureIgnored {
            back_end: self.back_end.incarnation(),
            announced: format!("{:?}", self.signal),
            requests,
            allowed,
            at: at.saturating_duration_since(start),
        });
        violation.into_iter().collect()
    }

    /// Requests that arrived during the episode, each with the gateway that
    /// sent it.
    fn arrivals(&self) -> Vec<(usize, Instant)> {
        let until = self.until.unwrap_or_else(Instant::now);
        let period = self.from..until;
        let arrivals = self.back_end.arrivals().into_iter();
        let within = arrivals.filter(|arrival| period.contains(&arrival.at));
        within
            .filter_map(|arrival| Some((gateway_from_id(&arrival.id?)?, arrival.at)))
            .collect()
    }
}

/// Returns the largest number of requests within one window, and when the last
/// of them arrived.
fn max_requests_within(arrivals: &[Instant], window: Duration) -> Option<(usize, Instant)> {
    let ending = |last: &Instant| {
        let within = arrivals
            .iter()
            .filter(|at| *at <= last && last.duration_since(**at) < window);
        (within.count(), *last)
    };
    arrivals.iter().map(ending).max()
}

/// Returns the largest number of requests that one gateway sent within one
/// requested backoff, and when the last of them arrived.
fn max_requests_in_rest(
    arrivals: &[(usize, Instant)],
    kills: &[(usize, Instant)],
    rest: Duration,
    reaction_time: Duration,
) -> Option<(usize, Instant)> {
    let requests_after = |&(gateway, asked_at): &(usize, Instant)| {
        let killed = kills
            .iter()
            .filter(|(killed, at)| *killed == gateway && *at > asked_at)
            .map(|(_, at)| *at)
            .min();
        let end = killed.map_or(asked_at + rest, |killed| killed.min(asked_at + rest));
        let within = arrivals
            .iter()
            .filter(|(other, at)| *other == gateway && *at >= asked_at + reaction_time && *at < end)
            .map(|(_, at)| *at);
        let last = within.clone().max()?;
        Some((within.count(), last))
    };
    arrivals.iter().filter_map(requests_after).max()
}
