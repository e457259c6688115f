//! One gateway's part in the relaying of its zone.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_types::Timestamp;

use crate::RelayRecord;
use crate::settings::Settings;
use crate::state::{Following, Relaying, Searching, Step};

/// A call to make. Each is answered by one event, whatever becomes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the zone's record; the answer may be seconds old.
    Read,
    /// Write the zone's record.
    Claim(RelayRecord, Condition),
    /// Poll the gateway at this address.
    Follow(SocketAddr),
}

/// What became of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followed {
    /// It was answered.
    Answered {
        /// The store surely answered the relay at that time.
        seen: Timestamp,
        /// There was something new.
        news: bool,
    },
    /// It has followers enough; these are some of them.
    Full(Vec<SocketAddr>),
    /// It does not serve, or did not answer.
    Failed,
}

/// Where a member learns from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It has just started and looks for a relay.
    Settling {
        /// It watches the store from then on.
        until: Timestamp,
    },
    /// It watches the store itself.
    Store,
    /// Its relay tells it.
    Relay {
        /// What it is told may be too old from then on.
        until: Timestamp,
        /// The store surely answered the relay at that time.
        seen: Timestamp,
    },
}

#[derive(Clone, Debug)]
enum State {
    Searching(Searching),
    Following(Following),
    Relaying(Relaying),
    Left,
}

/// One gateway's part in the relaying of its zone.
#[derive(Debug)]
pub struct Member {
    me: NodeIdentity,
    settings: Settings,
    /// Time before this member claims the record, so that members come in turn.
    patience: Duration,
    settled: Timestamp,
    random: ChaCha8Rng,
    state: State,
    calling: bool,
    /// Gateways that learn through this one, itself included.
    members: u32,
    /// Members that the record told of last.
    told: u32,
}

impl Member {
    /// A member that starts `now`. `patience` and `seed` differ from member to
    /// member.
    pub fn new(
        now: Timestamp,
        me: NodeIdentity,
        settings: Settings,
        patience: Duration,
        seed: u64,
    ) -> Self {
        Member {
            me,
            settings,
            patience,
            settled: now + settings.settle,
            random: ChaCha8Rng::seed_from_u64(seed),
            state: State::Searching(Searching::at(now)),
            calling: false,
            members: 1,
            told: 0,
        }
    }

    /// Says how many gateways learn through this one, itself included.
    pub fn set_members(&mut self, members: u32) {
        self.members = members;
    }

    /// Where this member learns from.
    ///
    /// Invariant: never from a relay of which it is unknown that the store
    /// answered it within [`Settings::max_age`].
    pub fn source(&self, now: Timestamp) -> Source {
        match &self.state {
            State::Following(Following {
                seen: Some(seen), ..
            }) if now < *seen + self.settings.max_age => Source::Relay {
                until: *seen + self.settings.max_age,
                seen: *seen,
            },
            State::Following(Following { seen: None, .. }) | State::Searching(_)
                if now < self.settled =>
            {
                Source::Settling {
                    until: self.settled,
                }
            }
            _ => Source::Store,
        }
    }

    /// Whether the record names this member, as far as it knows.
    pub fn relays(&self) -> bool {
        matches!(self.state, State::Relaying(_))
    }

    /// The gateway that is polled.
    pub fn upstream(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Following(following) => Some(following.address),
            _ => None,
        }
    }

    /// Makes no more calls.
    pub fn leave(&mut self) {
        self.state = State::Left;
    }

    /// When to call [`Member::poll`] next, at the latest.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.calling {
            return None;
        }
        match &self.state {
            State::Searching(searching) => Some(searching.due),
            State::Following(following) => Some(following.due),
            State::Relaying(relaying) => Some(relaying.due),
            State::Left => None,
        }
    }

    /// The call to make now, if any. One runs at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.next_wake()? > now {
            return None;
        }
        let action = match &self.state {
            State::Searching(searching) => match searching.step {
                Step::Look => Action::Read,
                Step::Claim(condition) => {
                    let members = self.members.max(self.told);
                    Action::Claim(self.record(members), condition)
                }
            },
            State::Following(following) => Action::Follow(following.address),
            State::Relaying(relaying) if relaying.miscounts(now, self.members) => {
                let record = self.record(self.members);
                Action::Claim(record, Condition::Revision(relaying.revision))
            }
            State::Relaying(_) => Action::Read,
            State::Left => return None,
        };
        self.calling = true;
        Some(action)
    }

    fn record(&self, members: u32) -> RelayRecord {
        RelayRecord {
            holder: self.me.clone(),
            members,
        }
    }

    /// A read was answered, or was not.
    pub fn on_read(&mut self, now: Timestamp, result: ReadResult<RelayRecord>) {
        self.calling = false;
        if let ReadResult::Found(Some(found)) = &result {
            self.told = found.value.members;
        }
        match self.take_state() {
            State::Searching(searching) => self.state = self.looked(now, searching, result),
            State::Relaying(relaying) => self.state = self.probed(now, relaying, result),
            other => self.state = other,
        }
    }

    fn take_state(&mut self) -> State {
        std::mem::replace(&mut self.state, State::Left)
    }

    fn looked(
        &self,
        now: Timestamp,
        searching: Searching,
        result: ReadResult<RelayRecord>,
    ) -> State {
        match result {
            ReadResult::Failed => self.turned_away(now, searching),
            // Members come in turn: whoever has waited looks again, and most
            // then find the record of one that was before them.
            ReadResult::Found(None) if !searching.waited => State::Searching(Searching {
                due: now + self.patience,
                waited: true,
                ..searching
            }),
            ReadResult::Found(None) => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Absent),
                ..searching
            }),
            ReadResult::Found(Some(found)) => self.found(now, searching, found),
        }
    }

    /// The store does not answer this member. The relay that it lost may have
    /// fallen behind for a moment only.
    fn turned_away(&self, now: Timestamp, searching: Searching) -> State {
        let lost = searching.lost.clone();
        let address = lost.as_ref().and_then(|relay| relay.address);
        match lost.zip(address) {
            Some((relay, address)) => State::Following(searching.follow(now, relay, address)),
            None => State::Searching(Searching {
                due: now + self.settings.retry,
                ..searching
            }),
        }
    }

    fn found(&self, now: Timestamp, searching: Searching, found: Versioned<RelayRecord>) -> State {
        if found.value.holder == self.me {
            let due = now + self.settings.probe;
            let recount_at = now + self.settings.recount;
            return State::Relaying(searching.relay(due, found, recount_at));
        }
        let holder = found.value.holder;
        let gone = holder.node == self.me.node || searching.lost.as_ref() == Some(&holder);
        match holder.address {
            Some(address) if !gone => State::Following(searching.follow(now, holder, address)),
            _ => State::Searching(Searching {
                due: now,
                step: Step::Claim(Condition::Revision(found.revision)),
                ..searching
            }),
        }
    }

    fn probed(&self, now: Timestamp, relaying: Relaying, result: ReadResult<RelayRecord>) -> State {
        if let ReadResult::Found(Some(found)) = result {
            // A read may be older than the claim.
            if found.revision > relaying.revision && found.value.holder != self.me {
                return self.found(now, relaying.step_down(now), found);
            }
        }
        State::Relaying(Relaying {
            due: now + self.settings.probe,
            ..relaying
        })
    }

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
                let due = now + self.settings.probe;
                let value = self.record(self.members.max(self.told));
                let recount_at = now + self.settings.recount;
                let claimed = Versioned { value, revision };
                State::Relaying(searching.relay(due, claimed, recount_at))
            }
            WriteResult::Conflict(Some(found)) => self.found(now, searching, found),
            WriteResult::Conflict(None) | WriteResult::NotDone | WriteResult::Unknown => {
                State::Searching(Searching {
                    due: now + self.settings.retry,
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
        let due = now + self.settings.probe;
        let recount_at = now + self.settings.recount;
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

    /// A poll was answered, or was not.
    pub fn on_follow(&mut self, now: Timestamp, followed: Followed) {
        self.calling = false;
        let following = match self.take_state() {
            State::Following(following) => following,
            other => {
                self.state = other;
                return;
            }
        };
        self.state = match followed {
            Followed::Answered { seen, news } if now < seen + self.settings.max_age => {
                State::Following(Following {
                    due: if news {
                        now + self.settings.gather
                    } else {
                        now
                    },
                    seen: following.seen.max(Some(seen)),
                    ..following
                })
            }
            Followed::Full(others) => self.redirected(now, following, &others),
            Followed::Answered { .. } | Followed::Failed => {
                State::Searching(following.lose(now + self.patience))
            }
        };
    }

    fn redirected(&mut self, now: Timestamp, following: Following, to: &[SocketAddr]) -> State {
        let own = self.me.address;
        let others: Vec<SocketAddr> = to
            .iter()
            .copied()
            .filter(|each| Some(*each) != own && *each != following.address)
            .collect();
        if others.is_empty() {
            return State::Searching(Searching::at(now + self.settings.retry));
        }
        let chosen = others[self.random.random_range(0..others.len())];
        State::Following(following.redirect(now, chosen))
    }
}
