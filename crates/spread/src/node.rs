//! The steppable core of spreading.

use threadledge_types::records::RecordDelta;
use threadledge_types::{GroupId, RouterIdentity, Timestamp};

use crate::message::SpreadMessage;
use crate::replica::Replica;
use crate::settings::Settings;

/// What a [`SpreadNode`] is stepped with.
#[derive(Clone, Debug)]
pub enum SpreadInput {
    /// Time has passed.
    Tick,
    /// Another router sent a message.
    Message {
        /// The sender.
        from: RouterIdentity,
        /// The message.
        message: Box<SpreadMessage>,
    },
    /// Routers to pull from, best first; empty for the root.
    Parents(Vec<RouterIdentity>),
    /// This router is the leader with a valid leader lease now, and its
    /// replica has every entry committed before its election.
    RootConfirmed,
    /// The replica advanced by a local commit.
    ReplicaAdvanced,
}

/// What a [`SpreadNode`] asks for or reports.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadOutput {
    /// Send a message. It may be lost.
    Send {
        /// Where to.
        to: RouterIdentity,
        /// The message.
        message: Box<SpreadMessage>,
    },
    /// The replica advanced by this delta.
    Applied(RecordDelta),
}

/// One router's part in the spreading of one group's records.
#[derive(Debug)]
pub struct SpreadNode {
    settings: Settings,
    own: RouterIdentity,
    group: GroupId,
    confirmed_as_of: Option<Timestamp>,
    next_wakeup: Timestamp,
}

impl SpreadNode {
    /// A node without parents or children.
    pub fn new(settings: Settings, own: RouterIdentity, group: GroupId, now: Timestamp) -> Self {
        SpreadNode {
            settings,
            own,
            group,
            confirmed_as_of: None,
            next_wakeup: now,
        }
    }

    /// Takes one input at `now` and returns what follows from it.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: SpreadInput,
        replica: &mut Replica,
    ) -> Vec<SpreadOutput> {
        let _ = (replica, &self.own, self.group);
        self.next_wakeup = now + self.settings.confirm_interval;
        if let SpreadInput::RootConfirmed = input {
            self.confirmed_as_of = Some(now);
        }
        Vec::new()
    }

    /// A reading of this router's clock such that the replica has every
    /// change that the leader had committed by then.
    pub fn confirmed_as_of(&self) -> Option<Timestamp> {
        self.confirmed_as_of
    }

    /// When [`SpreadNode::step`] wants to be called next, at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        self.next_wakeup
    }
}
