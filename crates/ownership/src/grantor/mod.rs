//! The leader's side of sessions: it renews leases, hands out grants, confirms
//! releases and decides when a session is over.
//!
//! Its state is volatile: a new leader starts from the state machine and learns
//! the rest from responses. Safety does not depend on anything remembered
//! beyond the leader's own term.

mod back_end_state;
mod exchange;
mod handover;
mod message;
mod recovery;
mod release;
mod session_grants;
mod sessions;

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::records::{BackEndRecord, RecordChange, SliceKey};
use threadledge_types::{BackEndId, GroupId, Revision, Timestamp};

use crate::command::{Command, LeaderTerm};
use crate::machine::StateMachine;
use back_end_state::BackEndState;
pub use message::{GrantorInput, GrantorOutput, GrantorSettings, Observation};
use recovery::Claims;
use release::WithheldSlice;

/// Divisor of the renewal interval that gives the window over which the first
/// requests of a term are spread, so that a new leader makes contact quickly
/// but does not reach all back ends at once.
const FIRST_REQUEST_DIVISOR: u32 = 4;

/// Leadership of the grantor, which determines what it may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leadership {
    /// Leads and holds the leader lease.
    Leading,
    /// Leads, but the leader lease is not valid now.
    WithoutLease,
    /// A later term has begun.
    Deposed,
}

/// The leader's side of sessions, for one term.
#[derive(Clone, Debug)]
pub struct Grantor {
    settings: GrantorSettings,
    group: GroupId,
    term: LeaderTerm,
    elected_at: Timestamp,
    leadership: Leadership,
    /// The state machine has applied this term's first command, and with it
    /// every entry that earlier leaders left in the log.
    term_begun: bool,
    /// Start of the current period of uninterrupted leadership with a valid
    /// leader lease.
    active_since: Option<Timestamp>,
    last_step: Timestamp,
    term_proposed_at: Option<Timestamp>,
    back_ends: BTreeMap<BackEndId, BackEndState>,
    /// Back ends by the time at which they are due.
    schedule: BTreeSet<(Timestamp, BackEndId)>,
    /// Back end whose grants contain a slice.
    granted_to: BTreeMap<SliceKey, BackEndId>,
    /// Slices that were removed from their owner's grants.
    withheld: BTreeMap<SliceKey, WithheldSlice>,
    /// Revision and time at which the handover of a slice started.
    handover_starts: BTreeMap<SliceKey, (Revision, Timestamp)>,
    /// Slices to re-evaluate, by time.
    timers: BTreeSet<(Timestamp, SliceKey)>,
    /// Number of the latest state of any session's grants in this term.
    latest_number: u64,
    claims: Claims,
    outputs: Vec<GrantorOutput>,
}

impl Grantor {
    /// Starts the grantor of a newly elected leader.
    ///
    /// `elected_at` must be a time at which no earlier leader held a valid
    /// leader lease any more.
    pub fn start(
        settings: GrantorSettings,
        group: GroupId,
        term: LeaderTerm,
        elected_at: Timestamp,
        now: Timestamp,
        machine: &StateMachine,
    ) -> Self {
        let mut grantor = Grantor {
            settings,
            group,
            term,
            elected_at,
            leadership: Leadership::Leading,
            term_begun: false,
            active_since: None,
            last_step: now,
            term_proposed_at: None,
            back_ends: BTreeMap::new(),
            schedule: BTreeSet::new(),
            granted_to: BTreeMap::new(),
            withheld: BTreeMap::new(),
            handover_starts: BTreeMap::new(),
            timers: BTreeSet::new(),
            latest_number: 0,
            claims: Claims::default(),
            outputs: Vec::new(),
        };
        grantor.schedule_first_requests(now, machine);
        grantor
    }

    fn schedule_first_requests(&mut self, now: Timestamp, machine: &StateMachine) {
        let managed = machine
            .back_ends()
            .filter(|record| is_managed(&record.id, machine));
        let managed: Vec<&BackEndRecord> = managed.collect();
        let count = u32::try_from(managed.len().max(1)).unwrap_or(u32::MAX);
        let window = self.settings.timing.renewal() / FIRST_REQUEST_DIVISOR;
        let gap = window / count;
        let mut first = now;
        for record in managed {
            let state = BackEndState::new(
                record.spec.control_address,
                first,
                self.earlier_leases_bound(),
            );
            self.back_ends.insert(record.id.clone(), state);
            self.reschedule(&record.id);
            first = first + gap;
        }
    }

    /// Returns when the last lease that an earlier leader may have given
    /// expires. Such a lease echoed a clock reading received before this leader
    /// was elected.
    fn earlier_leases_bound(&self) -> Timestamp {
        self.elected_at + self.settings.timing.lease_with_drift()
    }

    /// Processes one input and returns the resulting outputs.
    ///
    /// `now` must be read after the input arrived, and `leader_lease_valid`
    /// must state whether the leader lease is valid at `now`. Without a leader
    /// lease nothing is sent and nothing is proposed.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: GrantorInput,
        machine: &StateMachine,
        leader_lease_valid: bool,
    ) -> Vec<GrantorOutput> {
        self.track_leadership(now, leader_lease_valid);
        match input {
            GrantorInput::Tick => {}
            GrantorInput::Response { from, response } => {
                self.on_response(now, &from, *response, machine);
            }
            GrantorInput::Failed { back_end, order } => {
                self.on_request_failed(now, &back_end, order);
            }
            GrantorInput::Applied(changes) => self.on_applied(now, &changes, machine),
        }
        self.leadership = match leader_lease_valid {
            _ if machine.term() > self.term => Leadership::Deposed,
            true => Leadership::Leading,
            false => Leadership::WithoutLease,
        };
        if self.leadership == Leadership::Leading {
            self.propose_term_commands(now, machine);
            self.run_timers(now, machine);
            self.run_schedule(now, machine);
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        if self.leadership != Leadership::Leading {
            // Exclusive ownership: without its leader lease a leader grants
            // nothing.
            outputs.retain(|output| {
                !matches!(
                    output,
                    GrantorOutput::Send { .. } | GrantorOutput::Propose(_)
                )
            });
        }
        outputs
    }

    /// Returns when the next [`GrantorInput::Tick`] is due at the latest, or
    /// `None` once a later term has begun.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self.leadership {
            Leadership::Deposed => return None,
            // Nothing may be sent until the leader lease is valid again.
            Leadership::WithoutLease => {
                return Some(self.last_step + self.settings.timing.heartbeat());
            }
            Leadership::Leading => {}
        }
        let request = self.schedule.first().map(|(at, _)| *at);
        let timer = self.timers.first().map(|(at, _)| *at);
        let term = match self.term_proposed_at {
            Some(at) if self.awaits_term_begin() => Some(at + self.settings.proposal_timeout),
            None if self.awaits_term_begin() => Some(self.last_step),
            _ => None,
        };
        [request, timer, term].into_iter().flatten().min()
    }

    /// Returns when the last lease that the back end can have expires, by the
    /// grantor's clock. Used for status pages.
    pub fn lease_expiry_bound(&self, back_end: &BackEndId) -> Option<Timestamp> {
        let state = self.back_ends.get(back_end)?;
        Some(state.lease_expiry_bound)
    }

    /// Tracks uninterrupted leadership, so that a leader that was paused or had
    /// no leader lease gives its back ends time to respond before it considers
    /// them lost.
    fn track_leadership(&mut self, now: Timestamp, leader_lease_valid: bool) {
        let was_paused = now.since(self.last_step) > self.settings.timing.renewal();
        self.last_step = now;
        if !leader_lease_valid {
            self.active_since = None;
        } else if was_paused || self.active_since.is_none() {
            self.active_since = Some(now);
        }
    }

    /// Processes the record changes of applied log entries.
    fn on_applied(&mut self, now: Timestamp, changes: &[RecordChange], machine: &StateMachine) {
        self.begin_granting_if_term_applied(now, machine);
        for change in changes {
            match change {
                RecordChange::BackEnd(record) => {
                    self.refresh_back_end(now, &record.id, machine);
                    self.reevaluate_owned(now, &record.id, machine);
                }
                RecordChange::BackEndRemoved(id) => self.refresh_back_end(now, id, machine),
                RecordChange::Session(record) => {
                    self.refresh_session(now, &record.id.back_end, machine);
                    self.reevaluate_owned(now, &record.id.back_end, machine);
                }
                RecordChange::SessionRemoved(id) => {
                    self.refresh_session(now, &id.back_end, machine);
                }
                RecordChange::Slice(record) => self.reevaluate_slice(now, &record.key(), machine),
                RecordChange::SliceRemoved(key) => self.reevaluate_slice(now, key, machine),
                RecordChange::Service(record) => {
                    for id in machine.eligible_back_ends(&record.id) {
                        self.refresh_back_end(now, id, machine);
                    }
                    self.reevaluate_departing(now, &record.id, machine);
                }
                RecordChange::ServiceRemoved(id) => self.reevaluate_departing(now, id, machine),
            }
        }
    }

    fn propose(&mut self, command: Command) {
        self.outputs.push(GrantorOutput::Propose(command));
    }

    fn observe(&mut self, observation: Observation) {
        self.outputs.push(GrantorOutput::Observed(observation));
    }

    /// Returns the number for the next state of a session's grants.
    fn next_number(&mut self) -> u64 {
        self.latest_number += 1;
        self.latest_number
    }
}

/// Returns whether this group manages the back end: a service selects it, or it
/// still has a session from when one did. A process belongs to the first group
/// that contacts it, so a back end of another region must not be contacted.
fn is_managed(id: &BackEndId, machine: &StateMachine) -> bool {
    machine.session(id).is_some() || machine.is_selected(id)
}
