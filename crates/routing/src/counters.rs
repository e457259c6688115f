//! Counters of the dispatcher's decisions, for metrics.

use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome, UnknownReason};

/// Number of reasons in [`UnknownReason`].
const UNKNOWN_REASONS: usize = UnknownReason::ALL.len();

/// Counters since the dispatcher was created. Every admitted exchange ends as
/// exactly one of `answered`, `not_run`, `unknown` or `caller_gone`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests rejected on arrival, by reason.
    refused: [u64; NotRunReason::ALL.len()],
    /// Exchanges that ended answered.
    pub answered: u64,
    /// Exchanges that ended not run, by reason.
    not_run: [u64; NotRunReason::ALL.len()],
    /// Exchanges that ended unknown, by reason.
    unknown: [u64; UNKNOWN_REASONS],
    /// Exchanges whose caller disconnected.
    pub caller_gone: u64,
    /// Attempts of every kind.
    pub attempts: u64,
    /// Attempts that took a token of the retry budget.
    pub retries: u64,
    /// Retries postponed or given up because the retry budget was empty.
    pub retries_denied: u64,
    /// Attempts sent to another owner than the one that refused or was lost.
    pub reroutes: u64,
    /// Hedges that took a token of the hedge budget.
    pub hedges: u64,
    /// Hedges whose response arrived first.
    pub hedges_won: u64,
    /// Attempts abandoned before their first byte because the owner changed or
    /// the deadline passed.
    pub abandoned: u64,
    /// Typed refusals by back ends, by refusal.
    refusals: [u64; Refusal::ALL.len()],
    /// Exchanges that waited for a slot.
    pub queued: u64,
    /// Exchanges that waited for an owner or for their next attempt.
    pub parked: u64,
    /// Exchanges rejected before queueing, because the queue was full or their
    /// deadline could not be met.
    pub shed: u64,
    /// Waiting exchanges replaced by one with a higher priority or an earlier
    /// deadline.
    pub displaced: u64,
    /// Waiting exchanges evicted because their namespace was above its share.
    pub evicted: u64,
    /// Ejections of back ends.
    pub ejections: u64,
}

impl Counters {
    /// Number of requests rejected on arrival for this reason.
    pub fn refused(&self, reason: NotRunReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Number of exchanges that ended as not run for this reason.
    pub fn not_run(&self, reason: NotRunReason) -> u64 {
        self.not_run[reason as usize]
    }

    /// Number of exchanges that ended as unknown for this reason.
    pub fn unknown(&self, reason: UnknownReason) -> u64 {
        self.unknown[reason as usize]
    }

    /// Number of refusals of one kind by back ends.
    pub fn refusals(&self, refusal: Refusal) -> u64 {
        self.refusals[refusal as usize]
    }

    /// Number of admitted exchanges that have ended.
    pub fn ended(&self) -> u64 {
        let not_run: u64 = self.not_run.iter().sum();
        let unknown: u64 = self.unknown.iter().sum();
        self.answered + not_run + unknown + self.caller_gone
    }

    pub(crate) fn count_refused(&mut self, reason: NotRunReason) {
        self.refused[reason as usize] += 1;
    }

    pub(crate) fn count_refusal(&mut self, refusal: Refusal) {
        self.refusals[refusal as usize] += 1;
    }

    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun(reason) => self.not_run[reason as usize] += 1,
            Outcome::Unknown(reason) => self.unknown[reason as usize] += 1,
        }
    }
}
