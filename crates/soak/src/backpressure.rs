//! Back ends that say in their answers what concerns later requests, and what
//! gateways may send them then.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use crate::caller::gateway_of;
use crate::check::Violation;

/// Limits are kept from then on after they were first named.
const CONTACT: Duration = Duration::from_secs(3);
/// What a limited back end may get at the most is counted over this time.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from when a gateway is told of a limit or a rest until it keeps it.
const TOLD: Duration = Duration::from_millis(500);
/// Requests of one gateway that may come in a rest.
const IN_A_REST: usize = 2;
/// Time from when a gateway is told that a back end leaves until it sends
/// nothing there.
const DRAIN: Duration = Duration::from_secs(2);
/// From when a request comes until its answer has been passed on.
const ANSWERED: Duration = Duration::from_millis(300);

/// What a back end says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Backpressure {
    /// The requests a second that it takes.
    Limit(f64),
    /// It leaves.
    Leaving,
    /// It wants nothing for so long.
    Rest(Duration),
}

/// A time for which a back end says something.
#[derive(Debug)]
pub struct Episode {
    back_end: StandInBackEnd,
    said: Backpressure,
    from: Instant,
    until: Option<Instant>,
}

impl Episode {
    /// It begins to say so.
    pub fn begin(back_end: StandInBackEnd, said: Backpressure) -> Self {
        match said {
            Backpressure::Limit(rate) => back_end.set_rate_limit(Some(&rate.to_string())),
            Backpressure::Leaving => back_end.set_leaving(true),
            Backpressure::Rest(rest) => {
                back_end.set_retry_after(Some(&rest.as_secs_f64().to_string()))
            }
        }
        Episode {
            back_end,
            said,
            from: Instant::now(),
            until: None,
        }
    }

    /// Whether a back end says something of this kind now.
    pub fn says(&self, back_end: &StandInBackEnd, said: Backpressure) -> bool {
        let same_kind = std::mem::discriminant(&self.said) == std::mem::discriminant(&said);
        same_kind && self.until.is_none() && self.back_end.incarnation() == back_end.incarnation()
    }

    /// It says so no more. One that leaves does until its end.
    pub fn end(&mut self) {
        match self.said {
            Backpressure::Limit(_) => self.back_end.set_rate_limit(None),
            Backpressure::Leaving => {}
            Backpressure::Rest(_) => self.back_end.set_retry_after(None),
        }
        self.until.get_or_insert_with(Instant::now);
    }

    /// What was sent there though it must not have been. `kills` tells which
    /// gateway was killed when: it knows nothing of what was said before.
    pub fn judge(
        &self,
        start: Instant,
        kills: &[(usize, Instant)],
        patience: u32,
    ) -> Vec<Violation> {
        let arrivals = self.arrivals();
        let bound = |told: Duration| -> Vec<Instant> {
            let bound = |&&(gateway, at): &&(usize, Instant)| {
                let knows = |&(other, heard): &(usize, Instant)| {
                    other == gateway
                        && heard + told <= at
                        && !kills.iter().any(|(killed, when)| {
                            *killed == gateway && heard < *when && *when <= at
                        })
                };
                arrivals.iter().any(knows)
            };
            arrivals.iter().filter(bound).map(|(_, at)| *at).collect()
        };
        let slow = ANSWERED * patience;
        let found = match self.said {
            Backpressure::Limit(rate) => {
                let mut bound = bound(TOLD + slow);
                bound.retain(|at| *at >= self.from + CONTACT);
                let allowed = (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize;
                most_within(&bound, WINDOW).map(|most| (most, allowed))
            }
            Backpressure::Leaving => {
                let late = bound(DRAIN + slow);
                late.last().map(|last| ((late.len(), *last), 0))
            }
            Backpressure::Rest(rest) => {
                let in_one_rest = in_one_rest(&arrivals, kills, rest, TOLD + slow);
                in_one_rest.map(|most| (most, IN_A_REST))
            }
        };
        let found = found.filter(|((requests, _), allowed)| requests > allowed);
        let violation = found.map(|((requests, at), allowed)| Violation::Unwanted {
            back_end: self.back_end.incarnation(),
            said: format!("{:?}", self.said),
            requests,
            allowed,
            at: at.saturating_duration_since(start),
        });
        violation.into_iter().collect()
    }

    /// Requests that came while it said so, with the gateways that sent them.
    fn arrivals(&self) -> Vec<(usize, Instant)> {
        let until = self.until.unwrap_or_else(Instant::now);
        let said = self.from..until;
        let arrivals = self.back_end.arrivals().into_iter();
        let within = arrivals.filter(|arrival| said.contains(&arrival.at));
        within
            .filter_map(|arrival| Some((gateway_of(&arrival.id?)?, arrival.at)))
            .collect()
    }
}

/// Most requests within one window, and when the last of them came.
fn most_within(arrivals: &[Instant], window: Duration) -> Option<(usize, Instant)> {
    let ending = |last: &Instant| {
        let within = arrivals
            .iter()
            .filter(|at| *at <= last && last.duration_since(**at) < window);
        (within.count(), *last)
    };
    arrivals.iter().map(ending).max()
}

/// Most requests of one gateway within one rest that it was asked for.
fn in_one_rest(
    arrivals: &[(usize, Instant)],
    kills: &[(usize, Instant)],
    rest: Duration,
    told: Duration,
) -> Option<(usize, Instant)> {
    let disturbing = |&(gateway, asked): &(usize, Instant)| {
        let killed = kills
            .iter()
            .filter(|(killed, at)| *killed == gateway && *at > asked)
            .map(|(_, at)| *at)
            .min();
        let end = killed.map_or(asked + rest, |killed| killed.min(asked + rest));
        let within = arrivals
            .iter()
            .filter(|(other, at)| *other == gateway && *at >= asked + told && *at < end)
            .map(|(_, at)| *at);
        let last = within.clone().max()?;
        Some((within.count(), last))
    };
    arrivals.iter().filter_map(disturbing).max()
}
