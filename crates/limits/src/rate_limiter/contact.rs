//! Tracks whether the ledger can be reached, and since when it cannot.

use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::Timestamp;

use crate::messages::{Echo, QuotaResponse};
use crate::settings::{FALLBACK_AFTER, STARTUP_PERIOD, Settings};

/// Time between two hellos to a ledger that does not respond.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// Last response of a ledger.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    term: Term,
    /// Time of the ledger's clock.
    at: Timestamp,
    received: Timestamp,
}

/// Request in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    number: u64,
    sent: Timestamp,
    /// Ledger that the request was meant for; `None` for a hello.
    echo: Option<Echo>,
}

/// State of the contact to the ledger.
///
/// A request without a response may still have reached a ledger, which then
/// takes this gateway's shares for unused for a while. After such a request
/// only hellos are sent, which change nothing, and the shares are used only
/// after [`FALLBACK_AFTER`].
#[derive(Debug, Default)]
pub(super) struct LedgerContact {
    /// Highest term that was observed or has responded.
    term: Option<Term>,
    last_response: Option<LastResponse>,
    in_flight: Option<InFlightRequest>,
    number: u64,
    /// When the first request or hello was sent.
    first_sent: Option<Timestamp>,
    /// When the last request other than a hello was sent.
    last_request: Timestamp,
    /// When the last request that the ledger processed was sent.
    confirmed: Option<Timestamp>,
    /// Whether the ledger has to be told what this gateway holds.
    report_due: bool,
    /// Since when requests have failed without a response in between.
    unreachable_since: Option<Timestamp>,
    /// Whether the ledger reports that its lease may end.
    lease_at_risk: bool,
    next_hello: Timestamp,
}

impl LedgerContact {
    pub(super) fn observe_term(&mut self, now: Timestamp, term: Term) {
        if self.term.is_some_and(|known| known >= term) {
            return;
        }
        self.term = Some(term);
        self.last_response = None;
        self.report_due = true;
        self.next_hello = now;
    }

    pub(super) fn schedule_report(&mut self) {
        self.report_due = true;
    }

    pub(super) fn is_report_due(&self) -> bool {
        self.report_due
    }

    pub(super) fn term(&self) -> Option<Term> {
        self.term
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable_since.is_some()
    }

    /// Whether this gateway has just started and no ledger has responded yet.
    pub(super) fn is_starting(&self, now: Timestamp) -> bool {
        let long = self
            .first_sent
            .is_some_and(|first| now >= first + STARTUP_PERIOD);
        self.confirmed.is_none() && !long
    }

    /// Returns for how long no ledger has responded.
    pub(super) fn unreachable_for(&self, now: Timestamp) -> Option<Duration> {
        self.unreachable_since.map(|since| now.since(since))
    }

    pub(super) fn is_lease_at_risk(&self) -> bool {
        self.lease_at_risk
    }

    /// Returns when to send the next hello, or `None` if full requests may be
    /// sent.
    pub(super) fn next_hello(&self) -> Option<Timestamp> {
        match self.last_response {
            Some(_) => None,
            None => Some(self.next_hello),
        }
    }

    pub(super) fn echo(&self, now: Timestamp) -> Option<Echo> {
        let last_response = self.last_response?;
        let passed = now.since(last_response.received);
        Some(Echo {
            term: last_response.term,
            at: last_response.at,
            elapsed_us: u64::try_from(passed.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// Records that a request is sent and returns its number.
    pub(super) fn on_sent(&mut self, now: Timestamp, echo: Option<Echo>) -> u64 {
        self.number += 1;
        self.first_sent = self.first_sent.or(Some(now));
        self.in_flight = Some(InFlightRequest {
            number: self.number,
            sent: now,
            echo,
        });
        self.next_hello = now + HELLO_INTERVAL;
        if echo.is_some() {
            self.last_request = now;
        }
        self.number
    }

    /// Handles a response. Returns when the request was sent, if the ledger
    /// processed it.
    pub(super) fn on_response(
        &mut self,
        now: Timestamp,
        number: u64,
        response: &QuotaResponse,
    ) -> Option<Timestamp> {
        let QuotaResponse::Ledger {
            term,
            at,
            lease_at_risk,
            ..
        } = response
        else {
            self.on_failure(now, number);
            return None;
        };
        if self.term.is_some_and(|known| known > *term) {
            // A later ledger has replaced the one that responded.
            self.on_failure(now, number);
            return None;
        }
        let in_flight = self
            .in_flight
            .filter(|in_flight| in_flight.number == number)?;
        self.in_flight = None;
        if self.term != Some(*term) {
            self.term = Some(*term);
            self.report_due = true;
        }
        self.last_response = Some(LastResponse {
            term: *term,
            at: *at,
            received: now,
        });
        self.unreachable_since = None;
        self.lease_at_risk = *lease_at_risk;
        let echo = in_flight.echo?;
        if echo.term != *term {
            self.report_due = true;
            return None;
        }
        self.report_due = false;
        self.confirmed = Some(in_flight.sent);
        Some(in_flight.sent)
    }

    pub(super) fn on_failure(&mut self, now: Timestamp, number: u64) {
        if self
            .in_flight
            .is_none_or(|in_flight| in_flight.number != number)
        {
            return;
        }
        self.in_flight = None;
        self.last_response = None;
        self.unreachable_since = self.unreachable_since.or(Some(now));
        self.next_hello = self.next_hello.max(now);
    }

    /// Returns since when shares may be used, or `None` if they may not.
    pub(super) fn fallback_since(&self, now: Timestamp, settings: &Settings) -> Option<Timestamp> {
        let begun = self.fallback_at(now, settings)?;
        (begun <= now).then_some(begun)
    }

    /// Returns when shares may be used if no response arrives, or `None` if
    /// they expire before that.
    pub(super) fn fallback_at(&self, now: Timestamp, settings: &Settings) -> Option<Timestamp> {
        let confirmed = self.confirmed?;
        let begin = self.last_request.max(confirmed) + FALLBACK_AFTER;
        let end = confirmed + settings.share_lifetime();
        (now.max(begin) < end).then_some(begin)
    }

    /// Whether the shares may be reported to a new ledger: the lease of the
    /// ledger that assigned them ends before they expire.
    pub(super) fn can_report_shares(&self, now: Timestamp, settings: &Settings) -> bool {
        let Some(confirmed) = self.confirmed else {
            return false;
        };
        settings.lease_end(now) < confirmed + settings.share_lifetime()
    }
}
