//! What follows from a read of the record.

use threadledge_coordination::action::{Condition, ReadResult, Versioned};
use threadledge_types::Timestamp;

use super::{Member, State};
use crate::RelayRecord;
use crate::state::{Cut, Relaying, Searching, Step, Upstream};

impl Member {
    /// A read was answered, or was not.
    pub fn on_read(&mut self, now: Timestamp, result: ReadResult<RelayRecord>) {
        self.calling = false;
        if let ReadResult::Found(Some(found)) = &result {
            self.told = found.value.members;
        }
        match self.take_state() {
            State::Searching(searching) => self.state = self.looked(now, searching, result),
            State::Cut(cut) => self.state = self.tried(now, cut, result),
            State::Relaying(relaying) => self.state = self.probed(now, relaying, result),
            other => self.state = other,
        }
    }

    fn looked(
        &self,
        now: Timestamp,
        searching: Searching,
        result: ReadResult<RelayRecord>,
    ) -> State {
        let ReadResult::Found(found) = result else {
            return self.turned_away(now, searching);
        };
        let searching = Searching {
            heard: searching.heard.or(Some(now)),
            ..searching
        };
        match found {
            // Members come in turn: whoever has waited looks again, and most
            // then find the record of one that was before them.
            None if !searching.waited => State::Searching(Searching {
                due: now + self.patience,
                waited: true,
                ..searching
            }),
            None => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Absent),
                ..searching
            }),
            Some(found) => self.found(now, searching, found),
        }
    }

    /// The store does not answer this member. The relay that it lost may have
    /// fallen behind for a moment only, and if the store answers nobody there
    /// is no other.
    fn turned_away(&self, now: Timestamp, searching: Searching) -> State {
        let lost = || {
            let relay = searching.lost.clone()?;
            let address = relay.address?;
            Some(Upstream { address, relay })
        };
        match searching.former.clone().or_else(lost) {
            Some(upstream) => State::Cut(Cut {
                due: now,
                upstream,
                next_look: now + self.settings.isolated_read_interval,
                heard: false,
            }),
            None => State::Searching(Searching {
                due: now + self.settings.retry_delay,
                heard: None,
                ..searching
            }),
        }
    }

    pub(super) fn found(
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
            // Others come first, and may have done so by the next look.
            _ if lost && now < searching.claim_from => State::Searching(Searching {
                due: searching.claim_from.min(now + self.settings.recheck_interval),
                step: Step::Look,
                ..searching
            }),
            _ => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Revision(found.revision)),
                ..searching
            }),
        }
    }

    /// The store was tried while neither it nor the relay was of use.
    fn tried(&self, now: Timestamp, cut: Cut, result: ReadResult<RelayRecord>) -> State {
        let ReadResult::Found(found) = result else {
            return State::Cut(Cut {
                due: now,
                next_look: now + self.settings.isolated_read_interval,
                heard: false,
                ..cut
            });
        };
        let other = found.filter(|found| {
            let holder = &found.value.holder;
            *holder != cut.upstream.relay && holder.node != self.me.node
        });
        if let Some(found) = other {
            return self.found(now, Searching::at(now), found);
        }
        if cut.heard {
            return State::Searching(cut.search(now, now + self.patience));
        }
        State::Cut(Cut {
            due: now,
            next_look: now + self.settings.isolated_grace,
            heard: true,
            ..cut
        })
    }

    fn probed(&self, now: Timestamp, relaying: Relaying, result: ReadResult<RelayRecord>) -> State {
        if let ReadResult::Found(Some(found)) = result {
            // A read may be older than the claim.
            if found.revision > relaying.revision && found.value.holder != self.me {
                let searching = relaying.step_down(now);
                return self.found(now, searching, found);
            }
        }
        State::Relaying(Relaying {
            due: now + self.settings.probe_interval,
            ..relaying
        })
    }
}
