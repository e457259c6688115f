//! Whether the ledger can be reached, and since when not.

use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_types::Timestamp;

use crate::messages::{QuotaResponse, Echo};
use crate::settings::{FALLBACK_AFTER, STARTING, Settings};

/// Time between two greetings of a ledger that does not answer.
const GREETING_INTERVAL: Duration = Duration::from_millis(150);

/// The last answer of a ledger.
#[derive(Clone, Copy, Debug)]
struct Answered {
    term: Term,
    /// The ledger's clock.
    at: Timestamp,
    received: Timestamp,
}

/// An ask under way.
#[derive(Clone, Copy, Debug)]
struct Flight {
    number: u64,
    sent: Timestamp,
    /// Whom it was meant for; none for a greeting.
    echo: Option<Echo>,
}

/// Contact to the ledger.
///
/// An ask without an answer may have reached a ledger that then takes this
/// gateway's shares for unused for a while. So only greetings, which change
/// nothing, are sent after it, and shares are used from a while after it on.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// The highest term that was told of or has answered.
    term: Option<Term>,
    answered: Option<Answered>,
    flight: Option<Flight>,
    number: u64,
    /// The first ask or greeting.
    first_sent: Option<Timestamp>,
    /// The last ask that was no greeting.
    last_ask: Timestamp,
    /// When the last ask was sent that was answered.
    confirmed: Option<Timestamp>,
    /// The ledger has to hear of this gateway.
    to_introduce: bool,
    /// Since when nothing was answered after an ask that failed.
    lost: Option<Timestamp>,
    /// The ledger says that its office may end.
    lease_at_risk: bool,
    next_greeting: Timestamp,
}

impl Contact {
    pub(super) fn observe_term(&mut self, now: Timestamp, term: Term) {
        if self.term.is_some_and(|known| known >= term) {
            return;
        }
        self.term = Some(term);
        self.answered = None;
        self.to_introduce = true;
        self.next_greeting = now;
    }

    pub(super) fn introduce(&mut self) {
        self.to_introduce = true;
    }

    pub(super) fn has_to_introduce(&self) -> bool {
        self.to_introduce
    }

    pub(super) fn term(&self) -> Option<Term> {
        self.term
    }

    pub(super) fn is_under_way(&self) -> bool {
        self.flight.is_some()
    }

    pub(super) fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Whether this gateway has just started and no ledger has answered yet.
    pub(super) fn is_starting(&self, now: Timestamp) -> bool {
        let long = self.first_sent.is_some_and(|first| now >= first + STARTING);
        self.confirmed.is_none() && !long
    }

    /// For how long no ledger has answered.
    pub(super) fn unreachable_for(&self, now: Timestamp) -> Option<Duration> {
        self.lost.map(|since| now.since(since))
    }

    pub(super) fn is_ailing(&self) -> bool {
        self.lease_at_risk
    }

    /// When to greet; `None` where asks may be sent.
    pub(super) fn next_greeting(&self) -> Option<Timestamp> {
        match self.answered {
            Some(_) => None,
            None => Some(self.next_greeting),
        }
    }

    pub(super) fn echo(&self, now: Timestamp) -> Option<Echo> {
        let answered = self.answered?;
        let passed = now.since(answered.received);
        Some(Echo {
            term: answered.term,
            at: answered.at,
            elapsed_us: u64::try_from(passed.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// An ask leaves; its number.
    pub(super) fn sent(&mut self, now: Timestamp, echo: Option<Echo>) -> u64 {
        self.number += 1;
        self.first_sent = self.first_sent.or(Some(now));
        self.flight = Some(Flight {
            number: self.number,
            sent: now,
            echo,
        });
        self.next_greeting = now + GREETING_INTERVAL;
        if echo.is_some() {
            self.last_ask = now;
        }
        self.number
    }

    /// An ask was answered. When it was sent, if the ledger took it in.
    pub(super) fn answered(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: &QuotaResponse,
    ) -> Option<Timestamp> {
        let QuotaResponse::Ledger {
            term, at, lease_at_risk, ..
        } = answer
        else {
            self.unanswered(now, number);
            return None;
        };
        if self.term.is_some_and(|known| known > *term) {
            // Another ledger has followed this one.
            self.unanswered(now, number);
            return None;
        }
        let flight = self.flight.filter(|flight| flight.number == number)?;
        self.flight = None;
        if self.term != Some(*term) {
            self.term = Some(*term);
            self.to_introduce = true;
        }
        self.answered = Some(Answered {
            term: *term,
            at: *at,
            received: now,
        });
        self.lost = None;
        self.lease_at_risk = *lease_at_risk;
        let echo = flight.echo?;
        if echo.term != *term {
            self.to_introduce = true;
            return None;
        }
        self.to_introduce = false;
        self.confirmed = Some(flight.sent);
        Some(flight.sent)
    }

    pub(super) fn unanswered(&mut self, now: Timestamp, number: u64) {
        if self.flight.is_none_or(|flight| flight.number != number) {
            return;
        }
        self.flight = None;
        self.answered = None;
        self.lost = self.lost.or(Some(now));
        self.next_greeting = self.next_greeting.max(now);
    }

    /// Since when shares may be used, if they may.
    pub(super) fn fallback_since(&self, now: Timestamp, settings: &Settings) -> Option<Timestamp> {
        let begun = self.fallback_at(now, settings)?;
        (begun <= now).then_some(begun)
    }

    /// When shares may be used without an answer, if there are any by then.
    pub(super) fn fallback_at(&self, now: Timestamp, settings: &Settings) -> Option<Timestamp> {
        let confirmed = self.confirmed?;
        let begin = self.last_ask.max(confirmed) + FALLBACK_AFTER;
        let end = confirmed + settings.share_life();
        (now.max(begin) < end).then_some(begin)
    }

    /// Whether the shares held may be told to a ledger as its own: the one
    /// that gave them leaves its office before it takes them back.
    pub(super) fn can_hand_in(&self, now: Timestamp, settings: &Settings) -> bool {
        let Some(confirmed) = self.confirmed else {
            return false;
        };
        settings.lease_end(now) < confirmed + settings.share_life()
    }
}
