//! Transitions after a write of the record.

use threadledge_coordination::action::{Versioned, WriteResult};
use threadledge_types::Timestamp;

use super::{Member, State};
use crate::RelayRecord;
use crate::state::{Relaying, Searching, Step};

impl Member {
    /// Handles the result of a write, including a failed one.
    pub fn on_claim(&mut self, now: Timestamp, result: WriteResult<RelayRecord>) {
        self.calling = false;
        let searching = match self.take_state() {
            State::Searching(searching) => searching,
            State::Relaying(relaying) => {
                self.state = self.recount_written(now, relaying, result);
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
                let value = self.record(self.members.max(self.recorded_members));
                let recount_at = now + self.settings.recount_interval;
                let claimed = Versioned { value, revision };
                State::Relaying(searching.relay(due, claimed, recount_at))
            }
            WriteResult::Conflict(Some(found)) => self.handle_record(now, searching, found),
            WriteResult::Conflict(None) | WriteResult::NotDone | WriteResult::Unknown => {
                State::Searching(Searching {
                    due: now + self.settings.retry_delay,
                    step: Step::Read,
                    ..searching
                })
            }
        };
    }

    /// Handles the result of a write that only updated the number of members.
    fn recount_written(
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
                recorded_members: self.members,
                recount_at,
            }),
            WriteResult::Conflict(Some(found)) => {
                self.handle_record(now, relaying.step_down(now), found)
            }
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
