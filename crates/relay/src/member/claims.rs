//! What follows from a write of the record.

use threadledge_coordination::action::{Versioned, WriteResult};
use threadledge_types::Timestamp;

use super::{Member, State};
use crate::RelayRecord;
use crate::state::{Relaying, Searching, Step};

impl Member {
    /// A claim was answered, or was not.
    pub fn on_claim(&mut self, now: Timestamp, result: WriteResult<RelayRecord>) {
        self.calling = false;
        let searching = match self.take_state() {
            State::Searching(searching) => searching,
            State::Relaying(relaying) => {
                self.state = self.recounted(now, relaying, result);
                return;
            }
            other => {
                self.state = other;
                return;
            }
        };
        self.state = match result {
            WriteResult::Accepted(revision) => {
                let due = now + self.settings.probe_interval;
                let value = self.record(self.members.max(self.told));
                let recount_at = now + self.settings.recount_interval;
                let claimed = Versioned { value, revision };
                State::Relaying(searching.relay(due, claimed, recount_at))
            }
            WriteResult::Conflict(Some(found)) => self.found(now, searching, found),
            WriteResult::Conflict(None) | WriteResult::NotDone | WriteResult::Unknown => {
                State::Searching(Searching {
                    due: now + self.settings.retry_delay,
                    step: Step::Look,
                    ..searching
                })
            }
        };
    }

    /// The record was written for the number of members only.
    fn recounted(
        &self,
        now: Timestamp,
        relaying: Relaying,
        result: WriteResult<RelayRecord>,
    ) -> State {
        let due = now + self.settings.probe_interval;
        let recount_at = now + self.settings.recount_interval;
        match result {
            WriteResult::Accepted(revision) => State::Relaying(Relaying {
                due,
                revision,
                told: self.members,
                recount_at,
            }),
            WriteResult::Conflict(Some(found)) => self.found(now, relaying.step_down(now), found),
            WriteResult::Conflict(None) | WriteResult::NotDone | WriteResult::Unknown => {
                State::Relaying(Relaying {
                    due,
                    recount_at,
                    ..relaying
                })
            }
        }
    }
}
