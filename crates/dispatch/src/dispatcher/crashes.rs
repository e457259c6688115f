//! Requests that crash the back ends that run them: evidence, what a first or
//! second crash changes, and the end of it with the third.
//!
//! Nothing of a request used to outlive its exchange, so that each try of its
//! caller, at whatever router, cost one or two back ends: 24 runs in 12 tries
//! through three routers, measured with back ends that end under it; now 3.

use std::net::SocketAddr;

use threadledge_suspects::{
    BrokenAttempt, CRASHES_UNTIL_HELD, RequestHash, SuspectUpdate, Suspects,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::{Dispatcher, HELD_RETRY_AFTER};
use crate::exchange::{Exchange, InFlight};
use crate::outcome::{AttemptEnd, Fault, RefusalReason, Rejection};
use crate::request::{ExchangeId, Step};

/// Crashes from which on a request is sent with care: once in an exchange, and
/// one exchange at a time. The next crash holds it.
const CAREFUL_FROM: usize = CRASHES_UNTIL_HELD - 1;
/// Length of what operators are told of a request, in characters.
const LABEL: usize = 160;

/// A process that is to be looked at: whether it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessCheck {
    /// The process.
    pub process: BackEndName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Path of its health check.
    pub health_path: String,
    /// The connection did not break; no answer came in time.
    pub silent: bool,
}

impl Dispatcher {
    /// Requests under suspicion, as known here.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Takes what another router knows of requests under suspicion. Says
    /// whether any of it was new.
    pub fn merge_suspects(&mut self, now: Timestamp, news: &SuspectUpdate) -> bool {
        let new = self.suspects.merge(news, now);
        if new {
            self.presume_open();
            self.serve_all(now);
        }
        new
    }

    /// An operator lets a request go. Says whether it was known.
    pub fn release_suspect(&mut self, now: Timestamp, request: RequestHash) -> bool {
        self.suspects.release(now, request)
    }

    /// Crashes that were confirmed or presumed here since this was asked last.
    pub fn take_crashes(&mut self) -> Vec<BrokenAttempt> {
        std::mem::take(&mut self.confirmed)
    }

    /// Whether it is still open what became of a process.
    pub fn is_unconfirmed(&self, process: &BackEndName) -> bool {
        self.unconfirmed.contains(process)
    }

    /// Whether [`Dispatcher::take_crashes`] has any.
    pub fn has_crashes(&self) -> bool {
        !self.confirmed.is_empty()
    }

    /// Processes at which an attempt broke and that are to be looked at.
    pub fn take_process_checks(&mut self) -> Vec<ProcessCheck> {
        std::mem::take(&mut self.process_checks)
    }

    /// Nobody answers at the address of a process, or another process does: it
    /// has ended.
    pub fn process_ended(&mut self, process: &BackEndName) {
        for found in self.unconfirmed.remove_ended(process) {
            let BrokenAttempt {
                identity,
                label,
                at,
                ..
            } = &found;
            // It was answered elsewhere meanwhile: nothing to tell anybody.
            if self.suspects.succeeded_since(*at, identity) {
                continue;
            }
            let new = self.suspects.record_crash(*at, identity, process, label);
            if new || found.presumed {
                self.counters.crashes += 1;
                let presumed = false;
                self.confirmed.push(BrokenAttempt { presumed, ..found });
            }
        }
        self.presume_open();
    }

    /// Looks at the breaks that were open when the crash before the last became
    /// known.
    fn presume_open(&mut self) {
        let open = self.unconfirmed.not_presumed();
        let last = open.filter(|found| self.suspects.crashes_of(&found.identity) >= CAREFUL_FROM);
        let last: Vec<BrokenAttempt> = last.cloned().collect();
        for mut found in last {
            self.presume(&mut found);
            if found.presumed {
                self.unconfirmed
                    .mark_presumed(&found.process, &found.identity);
            }
        }
    }

    /// Counts a break as a crash until its process answers, if the request has
    /// crashed so many that the next one holds it.
    ///
    /// Behind a proxy that takes connections for a process that has ended only
    /// a registration tells, 2.5 s later. Until then other gateways sent the
    /// request on, and what was open was lost with all gateways: 6 and 4 runs
    /// too late where 3 are allowed (soak seeds 3509, 3511).
    fn presume(&mut self, found: &mut BrokenAttempt) {
        if self.suspects.crashes_of(&found.identity) < CAREFUL_FROM {
            return;
        }
        let BrokenAttempt {
            identity,
            label,
            process,
            at,
            ..
        } = &*found;
        if self.suspects.record_crash(*at, identity, process, label) {
            found.presumed = true;
            self.confirmed.push(found.clone());
        }
    }

    /// What the end of an attempt tells of crashes. Processes count and not
    /// breaks: links that are reset and answers that are lost leave the
    /// process as it was, and what it answers later shows that.
    pub(super) fn look_for_crash(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlight,
        end: &AttemptEnd,
    ) {
        let process = &in_flight.back_end;
        match end {
            AttemptEnd::Answered { .. } => {
                self.process_answered(in_flight.chosen_at, process);
                if let Some(exchange) = self.exchanges.get(&id) {
                    self.unconfirmed.on_success(&exchange.identity);
                    self.suspects.record_success(now, &exchange.identity);
                }
            }
            AttemptEnd::NotRun {
                reason: Rejection::OtherInstance,
                ..
            } => self.process_ended(process),
            AttemptEnd::NotRun { .. } => {
                self.process_answered(in_flight.chosen_at, process);
            }
            AttemptEnd::Failed(Fault::Unreachable) => self.process_ended(process),
            AttemptEnd::Failed(fault @ (Fault::Broken | Fault::BadAnswer | Fault::TimedOut)) => {
                if in_flight.sent {
                    let silent = *fault == Fault::TimedOut;
                    self.attempt_broke(now, id, process.clone(), silent);
                }
            }
            AttemptEnd::Failed(
                Fault::NoConnection | Fault::NothingSent | Fault::BodyGone | Fault::CallerBroke,
            )
            | AttemptEnd::Abandoned => {}
        }
    }

    /// The process answered what was sent to it at `sent`.
    pub fn process_answered(&mut self, sent: Timestamp, process: &BackEndName) {
        self.unconfirmed.on_response(sent, process);
        self.suspects.record_response(sent, process);
    }

    /// Processes that are not registered any more, or at whose address another
    /// one registered later, have ended, if an attempt broke there.
    pub(super) fn look_for_gone(&mut self) {
        for process in self.unconfirmed.processes() {
            if !self.back_ends.runs(&process) {
                self.process_ended(&process);
            }
        }
    }

    /// An attempt ended without an answer, or none came in time.
    pub(super) fn attempt_broke(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        process: BackEndName,
        silent: bool,
    ) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let mut found = BrokenAttempt {
            identity: exchange.identity,
            label: exchange.label.chars().take(LABEL).collect(),
            process: process.clone(),
            at: now,
            presumed: false,
        };
        self.presume(&mut found);
        if self.unconfirmed.add(found) {
            let look = self.look(process, silent);
            self.process_checks.extend(look);
        }
    }

    fn look(&self, process: BackEndName, silent: bool) -> Option<ProcessCheck> {
        let back_end = &self.back_ends.get(&process)?.back_end;
        let services = &self.configuration.as_ref()?.services;
        let health_path = services.get(&back_end.service)?.health_path.clone();
        let address = back_end.address;
        Some(ProcessCheck {
            process,
            address,
            health_path,
            silent,
        })
    }

    /// What to do with an exchange whose request is under suspicion; `None`:
    /// what is done with any other.
    pub(super) fn step_of_suspect(&mut self, now: Timestamp, id: ExchangeId) -> Option<Step> {
        let exchange = self.exchanges.get(&id)?;
        let crashes = self.suspects.crashes_of(&exchange.identity);
        let open = self.unconfirmed.possible_crashes(&exchange.identity);
        if crashes >= CRASHES_UNTIL_HELD {
            return Some(self.finish_held(now, id));
        }
        if crashes + open < CAREFUL_FROM {
            return None;
        }
        if exchange.sent > 0 {
            return Some(self.finish_held(now, id));
        }
        let others = self.exchanges.iter();
        let same = |other: &Exchange| other.identity.request == exchange.identity.request;
        let mut at_work = others.filter(|(other, _)| **other != id);
        if !at_work.any(|(_, other)| same(other) && !other.in_flight.is_empty()) {
            return None;
        }
        // What becomes of the other one decides; it is asked again soon.
        let again = now + self.settings.owner_retry_delay;
        if again >= exchange.patience_until {
            return Some(self.finish(now, id, RefusalReason::Overloaded, None));
        }
        Some(Step::Wait(again))
    }

    fn finish_held(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        self.finish(
            now,
            id,
            RefusalReason::CrashesBackEnds,
            Some(HELD_RETRY_AFTER),
        )
    }
}
