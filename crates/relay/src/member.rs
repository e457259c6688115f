//! State machine of one gateway that follows a relay or is one.

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
use crate::state::{Following, Isolated, Relaying, Searching, Step};

/// Call to make. Each call is followed by exactly one event, whatever its
/// result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the zone's record; the result may be seconds old.
    Read,
    /// Write the zone's record.
    Claim(RelayRecord, Condition),
    /// Poll the gateway at this address.
    Poll(SocketAddr),
}

/// Outcome of a poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The gateway answered.
    Answered {
        /// Time at which the store is known to have responded to the relay.
        seen: Timestamp,
        /// Whether the response contained changes.
        has_changes: bool,
    },
    /// The poll was given up at [`Member::poll_deadline`].
    TimedOut,
    /// The gateway has the maximum number of followers and names some of them.
    AtCapacity(Vec<SocketAddr>),
    /// The gateway does not serve followers or did not respond.
    Failed,
}

/// Source from which a member learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The member has just started and looks for a relay.
    Starting {
        /// When the member starts to watch the store itself.
        until: Timestamp,
    },
    /// The member has found a relay, or expects one shortly.
    Joining {
        /// When the member starts to watch the store itself.
        until: Timestamp,
    },
    /// The member watches the store itself.
    Store,
    /// Neither the store nor a relay with a current view of it responds. The
    /// known state is kept, and both are tried.
    Unavailable,
    /// The member follows a relay.
    Relay {
        /// When the state received from the relay may be too old.
        until: Timestamp,
        /// Time at which the store is known to have responded to the relay.
        seen: Timestamp,
    },
}

#[derive(Clone, Debug)]
enum State {
    Searching(Searching),
    Following(Following),
    Isolated(Isolated),
    Relaying(Relaying),
    Left,
}

/// State machine of one gateway that follows the relay of its zone or is the
/// relay itself.
#[derive(Debug)]
pub struct Member {
    me: NodeIdentity,
    settings: Settings,
    /// Delay before this member claims the record, so that members claim one
    /// after the other.
    claim_delay: Duration,
    startup_ends: Timestamp,
    random: ChaCha8Rng,
    state: State,
    calling: bool,
    /// Number of gateways that learn through this one, itself included.
    members: u32,
    /// Number of members in the record that was read last.
    recorded_members: u32,
    /// Whether the gateway has all data that it needs to serve.
    is_complete: bool,
}

impl Member {
    /// Creates a member that starts at `now`. `claim_delay` and `seed` should
    /// differ between members.
    pub fn new(
        now: Timestamp,
        me: NodeIdentity,
        settings: Settings,
        claim_delay: Duration,
        seed: u64,
    ) -> Self {
        Member {
            me,
            settings,
            claim_delay,
            startup_ends: now + settings.startup_timeout,
            random: ChaCha8Rng::seed_from_u64(seed),
            state: State::Searching(Searching {
                claim_from: now + claim_delay,
                ..Searching::at(now)
            }),
            calling: false,
            members: 1,
            recorded_members: 0,
            is_complete: true,
        }
    }

    /// Sets whether the gateway has all data that it needs to serve; a new
    /// member assumes that it has. Until then
    /// the age of what it receives harms nobody, and it keeps an upstream that
    /// delivers: to look for a fresher one would begin a transfer again that
    /// all members of the zone share.
    pub fn set_complete(&mut self, is_complete: bool) {
        self.is_complete = is_complete;
    }

    /// Sets the number of gateways that learn through this one, itself
    /// included.
    pub fn set_members(&mut self, members: u32) {
        self.members = members;
    }

    /// Returns where this member learns of changes.
    ///
    /// Invariant: a member never uses a relay unless the store is known to have
    /// responded to that relay within [`Settings::max_age`].
    pub fn source(&self, now: Timestamp) -> Source {
        match &self.state {
            State::Searching(searching) => self.searching_source(now, searching),
            State::Following(following) => self.following_source(now, following),
            State::Isolated(_) => Source::Unavailable,
            State::Relaying(_) | State::Left => Source::Store,
        }
    }

    /// Returns when to give up a poll in flight, because the state received
    /// from the relay before it is then too old.
    pub fn poll_deadline(&self) -> Option<Timestamp> {
        match &self.state {
            State::Following(following) if following.joined && self.is_complete => {
                following.seen.map(|seen| self.outdated_at(seen))
            }
            _ => None,
        }
    }

    /// Whether the relay has not answered this member yet, so that polls should
    /// be answered at once.
    pub fn is_joining(&self) -> bool {
        matches!(&self.state, State::Following(following) if !following.joined)
    }

    /// Whether this member is the relay, as far as it knows.
    pub fn is_relay(&self) -> bool {
        matches!(self.state, State::Relaying(_))
    }

    /// Whether a call is in flight.
    pub fn is_calling(&self) -> bool {
        self.calling
    }

    /// Returns the gateway that is polled.
    pub fn upstream(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Following(Following { upstream, .. })
            | State::Isolated(Isolated { upstream, .. }) => Some(upstream.address),
            _ => None,
        }
    }

    /// Returns the polled gateway if it has answered since this member follows
    /// it.
    pub fn active_upstream(&self) -> Option<SocketAddr> {
        match &self.state {
            State::Following(following) if following.joined => Some(following.upstream.address),
            _ => None,
        }
    }

    /// Leaves for good: the member makes no more calls.
    pub fn leave(&mut self) {
        self.state = State::Left;
    }

    /// Returns the latest time at which to call [`Member::poll`] again.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.calling {
            return None;
        }
        match &self.state {
            State::Searching(searching) => Some(searching.due),
            State::Following(following) => Some(following.due),
            State::Isolated(isolated) => Some(isolated.due),
            State::Relaying(relaying) => Some(relaying.due),
            State::Left => None,
        }
    }

    /// Returns the call to make now, if any. Only one is in flight at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.next_wake()? > now {
            return None;
        }
        let action = match &self.state {
            State::Searching(searching) => match searching.step {
                Step::Read => Action::Read,
                Step::Claim(condition) => {
                    let members = self.members.max(self.recorded_members);
                    Action::Claim(self.record(members), condition)
                }
            },
            State::Following(following) => Action::Poll(following.upstream.address),
            State::Isolated(isolated) if now >= isolated.next_read => Action::Read,
            State::Isolated(isolated) => Action::Poll(isolated.upstream.address),
            State::Relaying(relaying) if relaying.needs_recount(now, self.members) => {
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
