//! The child's side of spreading: pulls from a parent and confirms the
//! revision.

use std::collections::VecDeque;
use std::time::Duration;

use threadledge_types::records::RecordDelta;
use threadledge_types::{Revision, RouterId, RouterIdentity, Timestamp};

use crate::apply::ApplyError;
use crate::message::{Pull, PullResponse, Resume, SpreadMessage};
use crate::node::SpreadOutput;
use crate::parents::{Parents, RetryDecision};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::transfer::{PageResult, Transfer};

/// Maximum number of sent pulls that are remembered, so that late answers still
/// count.
const MAX_REMEMBERED_PULLS: usize = 8;

/// A pull that was sent.
#[derive(Debug)]
struct SentPull {
    sequence: u64,
    parent: RouterId,
    sent_at: Timestamp,
    /// Revision that the pull started from.
    have: Revision,
    resume: Option<Resume>,
}

/// Pulls from one parent at a time.
#[derive(Debug)]
pub(crate) struct Puller {
    parents: Parents,
    sequence: u64,
    /// The last pulls sent, oldest first.
    sent: VecDeque<SentPull>,
    /// Sequence number of the pull whose answer is pending, and its timeout.
    pending: Option<(u64, Timestamp)>,
    next_pull_at: Timestamp,
    /// Whether to pull again right after the pending answer, because something
    /// became known that the answer may not contain yet.
    pull_again: bool,
    /// Pages received so far of a transfer in progress.
    transfer: Option<Transfer>,
    confirmed_as_of: Option<Timestamp>,
}

impl Puller {
    pub(crate) fn new(now: Timestamp) -> Self {
        Puller {
            parents: Parents::default(),
            sequence: 0,
            sent: VecDeque::new(),
            pending: None,
            next_pull_at: now,
            pull_again: false,
            transfer: None,
            confirmed_as_of: None,
        }
    }

    /// See [`SpreadNode::confirmed_as_of`](crate::SpreadNode::confirmed_as_of).
    pub(crate) fn confirmed_as_of(&self) -> Option<Timestamp> {
        self.confirmed_as_of
    }

    /// Advances the confirmation; an earlier one never replaces a later one.
    pub(crate) fn confirm(&mut self, as_of: Timestamp) {
        self.confirmed_as_of = self.confirmed_as_of.max(Some(as_of));
    }

    /// Sets new candidates for the parent.
    pub(crate) fn set_parents(&mut self, candidates: Vec<RouterIdentity>, now: Timestamp) {
        if self.parents.replace(candidates, now) {
            self.pending = None;
            self.transfer = None;
            self.next_pull_at = now;
        }
    }

    /// Schedules a pull as soon as no answer is pending.
    pub(crate) fn pull_now(&mut self, now: Timestamp) {
        if self.pending.is_some() {
            self.pull_again = true;
        } else {
            self.next_pull_at = self.next_pull_at.min(now);
        }
    }

    /// Handles a timeout and sends a pull if one is due.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        replica: &Replica,
    ) -> Option<SpreadOutput> {
        if self.pending.is_some_and(|(_, until)| now >= until) {
            self.pending = None;
            let decision = self.parents.timed_out(now);
            self.after_failure(decision, now, settings.pull_timeout);
        }
        if self.pending.is_some() || now < self.next_pull_at {
            return None;
        }
        if self.transfer.is_none() {
            self.parents.retry_preferred(now, settings.preferred_retry);
        }
        self.send_pull(now, settings, replica)
    }

    /// Handles the answer to a pull. Returns whether the replica advanced.
    pub(crate) fn on_response(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        from: RouterId,
        answer: PullResponse,
        replica: &mut Replica,
    ) -> bool {
        let Some(pull) = self.remove_sent_pull(from, answer.sequence) else {
            return false;
        };
        let pending = self.clear_pending(answer.sequence);
        if pending {
            let again = std::mem::take(&mut self.pull_again);
            let next = pull.sent_at + settings.confirm_interval;
            self.next_pull_at = if again { now } else { next };
        }
        let before = replica.revision();
        let staleness = answer.staleness_micros.map(Duration::from_micros);
        if self.apply_response(now, &pull, answer, replica) {
            self.confirm_as_of_pull(&pull, staleness);
        }
        if pending || self.parents.is_current(from) {
            self.update_parent(now, settings, pending, staleness);
        }
        replica.revision() > before
    }

    /// Handles the refusal of a pull.
    pub(crate) fn on_busy(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        from: RouterId,
        sequence: u64,
    ) {
        if self.remove_sent_pull(from, sequence).is_some() && self.clear_pending(sequence) {
            let decision = self.parents.advance_to_next(now);
            self.after_failure(decision, now, settings.pull_timeout);
        }
    }

    /// Time of the next pull or timeout.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.parents.current()?;
        Some(match self.pending {
            Some((_, until)) => until,
            None => self.next_pull_at,
        })
    }

    fn send_pull(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        replica: &Replica,
    ) -> Option<SpreadOutput> {
        let parent = self.parents.current()?.clone();
        self.transfer
            .take_if(|transfer| transfer.parent() != parent.id);
        self.pull_again = false;
        self.sequence += 1;
        let transfer = self.transfer.as_ref();
        let pull = Pull {
            group: replica.group(),
            sequence: self.sequence,
            // A transfer continues from the revision at which it began.
            have: transfer.map_or(replica.revision(), Transfer::from),
            preferred: self.parents.is_preferred(),
            resume: transfer.map(Transfer::resume),
        };
        self.record_sent_pull(SentPull {
            sequence: pull.sequence,
            parent: parent.id,
            sent_at: now,
            have: pull.have,
            resume: pull.resume,
        });
        self.pending = Some((pull.sequence, now + settings.pull_timeout));
        Some(SpreadOutput::Send {
            to: parent,
            message: Box::new(SpreadMessage::Pull(pull)),
        })
    }

    fn record_sent_pull(&mut self, pull: SentPull) {
        if self.sent.len() >= MAX_REMEMBERED_PULLS {
            self.sent.pop_front();
        }
        self.sent.push_back(pull);
    }

    fn remove_sent_pull(&mut self, from: RouterId, sequence: u64) -> Option<SentPull> {
        let matches = |pull: &SentPull| pull.sequence == sequence && pull.parent == from;
        let index = self.sent.iter().position(matches)?;
        self.sent.remove(index)
    }

    /// Clears the pending pull if it has this sequence number. Returns whether
    /// it had.
    fn clear_pending(&mut self, sequence: u64) -> bool {
        self.pending
            .take_if(|(pending, _)| *pending == sequence)
            .is_some()
    }

    /// Applies the changes of an answer. Returns whether the replica has
    /// everything that the parent had when it answered.
    fn apply_response(
        &mut self,
        now: Timestamp,
        pull: &SentPull,
        answer: PullResponse,
        replica: &mut Replica,
    ) -> bool {
        if answer.delta.is_none() {
            // The parent had nothing above `pull.have`, which this copy has.
            return true;
        }
        if answer.resume.is_none() && !answer.continued {
            return match answer.delta {
                Some(delta) => self.apply(now, &delta, replica),
                None => true,
            };
        }
        let expected = self.transfer.as_ref().map(Transfer::resume);
        if pull.resume != expected {
            // A duplicate page, or one of a transfer that was abandoned.
            return false;
        }
        let current = self.transfer.take();
        match Transfer::add_page(current, pull.parent, pull.have, answer) {
            PageResult::Complete(delta) => self.apply(now, &delta, replica),
            PageResult::Incomplete(transfer) => {
                self.transfer = Some(transfer);
                self.next_pull_at = now;
                false
            }
            PageResult::Unexpected => false,
        }
    }

    /// Applies a complete delta. Returns whether the replica is at least at its
    /// revision.
    fn apply(&mut self, now: Timestamp, delta: &RecordDelta, replica: &mut Replica) -> bool {
        match replica.apply(delta) {
            Ok(_) | Err(ApplyError::Stale { .. }) => true,
            Err(ApplyError::Gap { .. }) => {
                self.pull_now(now);
                false
            }
            Err(ApplyError::OtherGroup { .. }) => false,
        }
    }

    /// Confirms the copy as of the time the pull was sent, minus the age of the
    /// parent's own confirmation when it answered.
    ///
    /// The parent answered no earlier than the pull was sent, so the time
    /// confirmed is no later than the parent's, however long pull and answer
    /// were in transit. In a cycle of parents it therefore never advances.
    fn confirm_as_of_pull(&mut self, pull: &SentPull, staleness: Option<Duration>) {
        let Some(staleness) = staleness else {
            return;
        };
        // A time before the origin of this clock cannot be represented.
        if pull.sent_at.since(Timestamp::ZERO) >= staleness {
            self.confirm(pull.sent_at - staleness);
        }
    }

    /// Keeps a parent that is itself confirmed and leaves one that is not,
    /// because that one may be below this router in the tree or cut off from
    /// the leader.
    fn update_parent(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        pending: bool,
        staleness: Option<Duration>,
    ) {
        let fresh = staleness.is_some_and(|age| age <= settings.max_parent_staleness);
        if fresh || self.transfer.is_some() {
            self.parents.succeeded();
        } else if pending {
            self.parents.advance_to_next(now);
            self.next_pull_at = now + settings.pull_timeout;
        }
    }

    /// Schedules the next pull after a timeout or refusal.
    fn after_failure(&mut self, decision: RetryDecision, now: Timestamp, wait: Duration) {
        self.next_pull_at = match decision {
            RetryDecision::Now => now,
            RetryDecision::Later => now + wait,
        };
    }
}
