//! Transitions after a read of the record.

use threadledge_coordination::action::{Condition, ReadResult, Versioned};
use threadledge_types::Timestamp;

use super::{Member, State};
use crate::RelayRecord;
use crate::state::{Isolated, Relaying, Searching, Step, Upstream};

impl Member {
    /// Handles the result of a read, including a failed one.
    pub fn on_read(&mut self, now: Timestamp, result: ReadResult<RelayRecord>) {
        self.calling = false;
        if let ReadResult::Found(Some(found)) = &result {
            self.recorded_members = found.value.members;
        }
        match self.take_state() {
            State::Searching(searching) => {
                self.state = self.read_while_searching(now, searching, result)
            }
            State::Isolated(isolated) => {
                self.state = self.read_while_isolated(now, isolated, result)
            }
            State::Relaying(relaying) => {
                self.state = self.read_while_relaying(now, relaying, result)
            }
            other => self.state = other,
        }
    }

    /// Handles a read made by a member without a relay.
    fn read_while_searching(
        &self,
        now: Timestamp,
        searching: Searching,
        result: ReadResult<RelayRecord>,
    ) -> State {
        let ReadResult::Found(found) = result else {
            return self.store_failed(now, searching);
        };
        let searching = Searching {
            store_answered_at: searching.store_answered_at.or(Some(now)),
            ..searching
        };
        match found {
            // Members claim one after the other: after its delay a member reads
            // again, and most then find the record of an earlier one.
            None if !searching.has_waited => State::Searching(Searching {
                due: now + self.claim_delay,
                has_waited: true,
                ..searching
            }),
            None => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Absent),
                ..searching
            }),
            Some(found) => self.handle_record(now, searching, found),
        }
    }

    /// Handles a read that the store did not answer. The member's last relay
    /// may be behind only for a moment, and if the store does not respond to
    /// anyone there is no other relay.
    fn store_failed(&self, now: Timestamp, searching: Searching) -> State {
        let lost = || {
            let relay = searching.lost.clone()?;
            let address = relay.address?;
            Some(Upstream { address, relay })
        };
        match searching.last_upstream.clone().or_else(lost) {
            Some(upstream) => State::Isolated(Isolated {
                due: now,
                upstream,
                next_read: now + self.settings.isolated_read_interval,
                store_answered: false,
            }),
            None => State::Searching(Searching {
                due: now + self.settings.retry_delay,
                store_answered_at: None,
                ..searching
            }),
        }
    }

    /// Follows the relay that the record names, or claims the record.
    pub(super) fn handle_record(
        &self,
        now: Timestamp,
        searching: Searching,
        found: Versioned<RelayRecord>,
    ) -> State {
        if found.value.holder == self.me {
            let due = now + self.settings.probe_interval;
            let recount_at = now + self.settings.recount_interval;
            return State::Relaying(searching.relay(due, found, recount_at));
        }
        let holder = found.value.holder;
        let own = holder.node == self.me.node;
        let lost = searching.lost.as_ref() == Some(&holder);
        match holder.address {
            Some(address) if !own && !lost => {
                State::Following(searching.follow(now, holder, address))
            }
            // Other members claim first, and may have done so by the next read.
            _ if (lost || own) && now < searching.claim_from => State::Searching(Searching {
                due: searching
                    .claim_from
                    .min(now + self.settings.recheck_interval),
                step: Step::Read,
                ..searching
            }),
            _ => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Revision(found.revision)),
                ..searching
            }),
        }
    }

    /// Handles a read made while neither the store nor the relay was usable.
    fn read_while_isolated(
        &self,
        now: Timestamp,
        isolated: Isolated,
        result: ReadResult<RelayRecord>,
    ) -> State {
        let ReadResult::Found(found) = result else {
            return State::Isolated(Isolated {
                due: now,
                next_read: now + self.settings.isolated_read_interval,
                store_answered: false,
                ..isolated
            });
        };
        let other = found.filter(|found| {
            let holder = &found.value.holder;
            *holder != isolated.upstream.relay && holder.node != self.me.node
        });
        if let Some(found) = other {
            return self.handle_record(now, Searching::at(now), found);
        }
        if isolated.store_answered {
            return State::Searching(isolated.search(now, now + self.claim_delay));
        }
        State::Isolated(Isolated {
            due: now,
            next_read: now + self.settings.isolated_grace,
            store_answered: true,
            ..isolated
        })
    }

    /// Handles a read made by the relay itself.
    fn read_while_relaying(
        &self,
        now: Timestamp,
        relaying: Relaying,
        result: ReadResult<RelayRecord>,
    ) -> State {
        if let ReadResult::Found(Some(found)) = result {
            // The result of the read may be older than the claim.
            if found.revision > relaying.revision && found.value.holder != self.me {
                let searching = relaying.step_down(now);
                return self.handle_record(now, searching, found);
            }
        }
        State::Relaying(Relaying {
            due: now + self.settings.probe_interval,
            ..relaying
        })
    }
}
