//! The leader's side of sessions: renews leases, hands out grants, confirms
//! releases and concludes that a session is over.
//!
//! Volatile: a new leader starts one from the state machine and learns the
//! rest by asking. Safety does not rest on what it remembers beyond its own
//! term.

mod contact;
mod exchange;
mod handover;
mod holdings;
mod message;
mod recovery;
mod release;
mod sessions;

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::records::{BackEndRecord, RecordChange, SliceKey};
use threadledge_types::{BackEndId, GroupId, Revision, Timestamp};

use crate::command::{Command, LeaderTerm};
use crate::machine::StateMachine;
use contact::Contact;
pub use message::{GrantorInput, GrantorOutput, GrantorSettings, Observation};
use recovery::Claims;
use release::Withheld;

/// First requests of a term are spread over this part of the renewal
/// interval, so that a new leader is quick and its back ends are not reached
/// all at once.
const FIRST_CONTACT_DIVISOR: u32 = 4;

/// What the grantor may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Leading,
    WithoutLease,
    Deposed,
}

/// The leader's side of sessions, for one term.
#[derive(Clone, Debug)]
pub struct Grantor {
    settings: GrantorSettings,
    group: GroupId,
    term: LeaderTerm,
    elected_at: Timestamp,
    standing: Standing,
    /// The machine has applied this term's first command, and with it all
    /// that earlier leaders left in the log.
    begun: bool,
    /// Start of the present stretch of uninterrupted, valid leadership.
    active_since: Option<Timestamp>,
    last_step: Timestamp,
    term_proposed_at: Option<Timestamp>,
    contacts: BTreeMap<BackEndId, Contact>,
    /// Contacts by when they are due.
    schedule: BTreeSet<(Timestamp, BackEndId)>,
    /// Which back end's holdings contain a slice.
    placed: BTreeMap<SliceKey, BackEndId>,
    /// Slices taken out of their owner's holdings.
    withheld: BTreeMap<SliceKey, Withheld>,
    /// Since when a slice waits for a handover, and at which revision.
    waiting: BTreeMap<SliceKey, (Revision, Timestamp)>,
    /// Slices to look at again, by time.
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
            standing: Standing::Leading,
            begun: false,
            active_since: None,
            last_step: now,
            term_proposed_at: None,
            contacts: BTreeMap::new(),
            schedule: BTreeSet::new(),
            placed: BTreeMap::new(),
            withheld: BTreeMap::new(),
            waiting: BTreeMap::new(),
            timers: BTreeSet::new(),
            latest_number: 0,
            claims: Claims::default(),
            outputs: Vec::new(),
        };
        grantor.schedule_first_contacts(now, machine);
        grantor
    }

    fn schedule_first_contacts(&mut self, now: Timestamp, machine: &StateMachine) {
        let wanted = machine
            .back_ends()
            .filter(|record| is_wanted(&record.id, machine));
        let wanted: Vec<&BackEndRecord> = wanted.collect();
        let known = u32::try_from(wanted.len().max(1)).unwrap_or(u32::MAX);
        let window = self.settings.timing.renewal() / FIRST_CONTACT_DIVISOR;
        let gap = window / known;
        let mut first = now;
        for record in wanted {
            let contact = Contact::new(record.spec.control_address, first, self.first_bound());
            self.contacts.insert(record.id.clone(), contact);
            self.reschedule(&record.id);
            first = first + gap;
        }
    }

    /// When the last lease that an earlier leader may have given is over: it
    /// echoed a reading that it had received before this leader was elected.
    fn first_bound(&self) -> Timestamp {
        self.elected_at + self.settings.timing.lease_with_drift()
    }

    /// Takes one input.
    ///
    /// `now` must be read after the input arrived, and `leader_lease_valid`
    /// must tell whether the leader lease holds at `now`. Without it nothing
    /// is sent and nothing is proposed.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: GrantorInput,
        machine: &StateMachine,
        leader_lease_valid: bool,
    ) -> Vec<GrantorOutput> {
        self.note_activity(now, leader_lease_valid);
        match input {
            GrantorInput::Tick => {}
            GrantorInput::Response { from, response } => {
                self.take_response(now, &from, *response, machine);
            }
            GrantorInput::Failed { back_end, order } => {
                self.take_failure(now, &back_end, order);
            }
            GrantorInput::Applied(changes) => self.take_changes(now, &changes, machine),
        }
        self.standing = match leader_lease_valid {
            _ if machine.term() > self.term => Standing::Deposed,
            true => Standing::Leading,
            false => Standing::WithoutLease,
        };
        if self.standing == Standing::Leading {
            self.advance_term(now, machine);
            self.run_timers(now, machine);
            self.run_schedule(now, machine);
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        if self.standing != Standing::Leading {
            // One owner: without its leader lease a leader gives nothing.
            outputs.retain(|output| {
                !matches!(
                    output,
                    GrantorOutput::Send { .. } | GrantorOutput::Propose(_)
                )
            });
        }
        outputs
    }

    /// When the next [`GrantorInput::Tick`] is due at the latest; `None` once
    /// a later term has begun.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self.standing {
            Standing::Deposed => return None,
            // Nothing may be done until the leader lease is back.
            Standing::WithoutLease => {
                return Some(self.last_step + self.settings.timing.heartbeat());
            }
            Standing::Leading => {}
        }
        let contact = self.schedule.first().map(|(at, _)| *at);
        let timer = self.timers.first().map(|(at, _)| *at);
        let term = match self.term_proposed_at {
            Some(at) if self.awaits_term() => Some(at + self.settings.proposal_timeout),
            None if self.awaits_term() => Some(self.last_step),
            _ => None,
        };
        [contact, timer, term].into_iter().flatten().min()
    }

    /// When the last lease that the back end can have is over, by the
    /// grantor's clock; for status pages.
    pub fn lease_expiry_bound(&self, back_end: &BackEndId) -> Option<Timestamp> {
        let contact = self.contacts.get(back_end)?;
        Some(contact.lease_bound)
    }

    /// A leader that was paused, or had no leader lease, gives its back ends
    /// time to answer before it calls them lost.
    fn note_activity(&mut self, now: Timestamp, leader_lease_valid: bool) {
        let gap = now.since(self.last_step) > self.settings.timing.renewal();
        self.last_step = now;
        if !leader_lease_valid {
            self.active_since = None;
        } else if gap || self.active_since.is_none() {
            self.active_since = Some(now);
        }
    }

    fn take_changes(&mut self, now: Timestamp, changes: &[RecordChange], machine: &StateMachine) {
        self.note_term(now, machine);
        for change in changes {
            match change {
                RecordChange::BackEnd(record) => {
                    self.refresh_contact(now, &record.id, machine);
                    self.review_owned(now, &record.id, machine);
                }
                RecordChange::BackEndRemoved(id) => self.refresh_contact(now, id, machine),
                RecordChange::Session(record) => {
                    self.refresh_session(now, &record.id.back_end, machine);
                    self.review_owned(now, &record.id.back_end, machine);
                }
                RecordChange::SessionRemoved(id) => {
                    self.refresh_session(now, &id.back_end, machine);
                }
                RecordChange::Slice(record) => self.review(now, &record.key(), machine),
                RecordChange::SliceRemoved(key) => self.review(now, key, machine),
                RecordChange::Service(record) => {
                    for id in machine.eligible_back_ends(&record.id) {
                        self.refresh_contact(now, id, machine);
                    }
                    self.review_leaving(now, &record.id, machine);
                }
                RecordChange::ServiceRemoved(id) => self.review_leaving(now, id, machine),
            }
        }
    }

    fn propose(&mut self, command: Command) {
        self.outputs.push(GrantorOutput::Propose(command));
    }

    fn observe(&mut self, observation: Observation) {
        self.outputs.push(GrantorOutput::Observed(observation));
    }

    /// Number for the next state of some session's grants.
    fn next_number(&mut self) -> u64 {
        self.latest_number += 1;
        self.latest_number
    }
}

/// Whether this group has to do with the back end: a service selects it, or it
/// has a session from when one did. A process belongs to the first group that
/// asks it, so that of another region must not.
fn is_wanted(id: &BackEndId, machine: &StateMachine) -> bool {
    machine.session(id).is_some() || machine.is_selected(id)
}
