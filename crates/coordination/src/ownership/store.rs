//! Reads and writes of the record in the store.

use threadledge_types::Timestamp;

use super::draft::repaired;
use super::tracked::track_record;
use super::{LOAD_REPORT_WAIT, Ownership, Phase, ReadConsequence};
use crate::action::{Action, Condition, Notice, ReadResult, Versioned, WriteResult};
use crate::record::OwnershipRecord;

impl Ownership {
    /// Handles the result of a read of the record.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        result: ReadResult<OwnershipRecord>,
    ) -> ReadConsequence {
        self.store_call_running = false;
        let found = match result {
            ReadResult::Failed => {
                self.next_store_call = now + self.settings.retry_delay;
                return ReadConsequence::None;
            }
            ReadResult::Found(found) => found,
        };
        match self.phase {
            Phase::Idle => ReadConsequence::None,
            Phase::Reading | Phase::Adopting => self.adopt(now, found),
            Phase::Active { .. } => {
                if self.on_conflict(now, found) {
                    return ReadConsequence::Superseded;
                }
                ReadConsequence::None
            }
        }
    }

    /// Writes the record for the first time in this term. Every owner keeps its
    /// keys under a higher fencing token, so that it refuses orders of the
    /// earlier coordinator as soon as it has answered.
    pub(super) fn adopt(
        &mut self,
        now: Timestamp,
        found: Option<Versioned<OwnershipRecord>>,
    ) -> ReadConsequence {
        let Some(found) = found else {
            self.phase = Phase::Adopting;
            self.store_call_running = true;
            let record = OwnershipRecord::empty(self.term);
            let write = Action::WriteRecord(record, Condition::Absent);
            return ReadConsequence::Call(Box::new(write));
        };
        if found.value.term == self.term {
            // This node has already written the record, and the answer was
            // lost.
            self.continue_from(now, found);
            return ReadConsequence::None;
        }
        if found.value.term > self.term {
            self.end_term();
            return ReadConsequence::Superseded;
        }
        let mut record = found.value;
        if record.check().is_err() {
            self.notices.push(Notice::RecordBroken);
            record = repaired(&record);
        }
        record.term = self.term;
        for index in 0..record.slices.len() {
            let fence = record.allocate_fence();
            record.slices[index].fence = fence;
            record.slices[index].keep();
        }
        self.phase = Phase::Adopting;
        self.store_call_running = true;
        let write = Action::WriteRecord(record, Condition::Revision(found.revision));
        ReadConsequence::Call(Box::new(write))
    }

    /// Handles the result of a write of the record. Returns whether another
    /// node has superseded this one.
    pub fn on_write(
        &mut self,
        now: Timestamp,
        attempted: OwnershipRecord,
        result: WriteResult<OwnershipRecord>,
    ) -> bool {
        self.store_call_running = false;
        if matches!(self.phase, Phase::Idle) {
            return false;
        }
        match result {
            WriteResult::Accepted(revision) => {
                self.writes.on_write(now);
                self.notices.append(&mut self.pending_notices);
                let value = attempted;
                self.continue_from(now, Versioned { value, revision });
                false
            }
            WriteResult::Conflict(found) => self.on_conflict(now, found),
            WriteResult::NotDone => {
                self.next_store_call = now + self.settings.retry_delay;
                false
            }
            WriteResult::Unknown => {
                // Read the record back before anything else, because the state
                // in the store is authoritative. If the write still takes
                // effect later, the condition of the next write fails.
                self.next_store_call = now + self.settings.retry_delay;
                self.read_back_needed = true;
                false
            }
        }
    }

    /// Handles a record in the store that differs from the expected one. Returns
    /// whether another node has superseded this one.
    pub(super) fn on_conflict(
        &mut self,
        now: Timestamp,
        found: Option<Versioned<OwnershipRecord>>,
    ) -> bool {
        let Some(found) = found else {
            self.phase = Phase::Reading;
            self.next_store_call = now;
            return false;
        };
        if found.value.term > self.term {
            self.end_term();
            return true;
        }
        if found.value.term == self.term {
            self.continue_from(now, found);
        } else {
            // The earlier coordinator wrote in between.
            self.phase = Phase::Reading;
            self.next_store_call = now;
        }
        false
    }

    /// Handles a change of the record that a watch of the store reported.
    /// Returns whether another node has superseded this one.
    pub fn on_observed(&mut self, now: Timestamp, found: Versioned<OwnershipRecord>) -> bool {
        match &self.phase {
            Phase::Active { revision, .. } if found.revision > *revision => {
                if found.value.term > self.term {
                    self.end_term();
                    return true;
                }
                if !self.store_call_running && found.value.term == self.term {
                    self.continue_from(now, found);
                }
                false
            }
            _ => false,
        }
    }

    /// Continues from a record of this term that is in the store.
    pub(super) fn continue_from(&mut self, now: Timestamp, found: Versioned<OwnershipRecord>) {
        let first_of_term = !matches!(self.phase, Phase::Active { .. }) && self.tracked.is_empty();
        if first_of_term {
            self.load_wait_until = now + LOAD_REPORT_WAIT;
            self.notices.push(Notice::RecordAdopted {
                term: self.term,
                slices: found.value.slices.len(),
            });
        }
        if first_of_term {
            self.former.take_over(now, &found.value.former);
        }
        self.former.update(now, &self.tracked, &found.value.slices);
        let earlier = std::mem::take(&mut self.tracked);
        self.tracked = track_record(now, earlier, &found.value.slices);
        self.recheck_owners = true;
        self.find_successors();
        self.phase = Phase::Active {
            record: found.value,
            revision: found.revision,
        };
        self.read_back_needed = false;
        self.next_store_call = now;
    }
}
