//! One gateway's part in the relaying of its zone.

mod claims;
mod polls;
mod reads;
mod sources;

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::Condition;
use threadledge_types::Timestamp;

use crate::RelayRecord;
use crate::settings::Settings;
use crate::state::{Cut, Following, Relaying, Searching, Step};

/// A call to make. Each is answered by one event, whatever becomes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the zone's record; the answer may be seconds old.
    Read,
    /// Write the zone's record.
    Claim(RelayRecord, Condition),
    /// Poll the gateway at this address.
    Poll(SocketAddr),
}

/// What became of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// It was answered.
    Answered {
        /// The store surely answered the relay at that time.
        seen: Timestamp,
        /// There was something new.
        news: bool,
    },
    /// It was given up at [`Member::poll_deadline`].
    TimedOut,
    /// It has followers enough; these are some of them.
    AtCapacity(Vec<SocketAddr>),
    /// It does not serve, or did not answer.
    Failed,
}

/// Where a member learns from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// It has just started and looks for a relay.
    Starting {
        /// It watches the store from then on.
        until: Timestamp,
    },
    /// It has found a relay, or expects one in a moment.
    Joining {
        /// It watches the store from then on.
        until: Timestamp,
    },
    /// It watches the store itself.
    Store,
    /// Neither the store answers it nor a relay that the store answers: what
    /// is known stays, and both are tried.
    Unavailable,
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
    Cut(Cut),
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
            settled: now + settings.startup_timeout,
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
            State::Searching(searching) => self.searching_source(now, searching),
            State::Following(following) => self.following_source(now, following),
            State::Cut(_) => Source::Unavailable,
            State::Relaying(_) | State::Left => Source::Store,
        }
    }

    /// When a poll that is under way is to be given up: what the relay told
    /// before is too old from then on.
    pub fn poll_deadline(&self) -> Option<Timestamp> {
        match &self.state {
            State::Following(following) if following.joined => {
                following.seen.map(|seen| self.outdated_at(seen))
            }
            _ => None,
        }
    }

    /// Whether the relay has told this member nothing yet, so that a poll is
    /// to be answered at once.
    pub fn is_joining(&self) -> bool {
        matches!(&self.state, State::Following(following) if !following.joined)
    }

    /// Whether the record names this member, as far as it knows.
    pub fn is_relay(&self) -> bool {
        matches!(self.state, State::Relaying(_))
    }

    /// Whether a call is under way.
    pub fn is_calling(&self) -> bool {
        self.calling
    }

    /// The gateway that is polled.
    pub fn upstream(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Following(Following { upstream, .. }) | State::Cut(Cut { upstream, .. }) => {
                Some(upstream.address)
            }
            _ => None,
        }
    }

    /// The gateway that tells this member what is new.
    pub fn active_upstream(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Following(following) if following.joined => Some(following.upstream.address),
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
            State::Cut(cut) => Some(cut.due),
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
            State::Following(following) => Action::Poll(following.upstream.address),
            State::Cut(cut) if now >= cut.next_look => Action::Read,
            State::Cut(cut) => Action::Poll(cut.upstream.address),
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

    fn take_state(&mut self) -> State {
        std::mem::replace(&mut self.state, State::Left)
    }
}
