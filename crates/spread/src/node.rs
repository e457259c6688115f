//! The sans-I/O state machine that spreads records.

use threadledge_types::records::RecordDelta;
use threadledge_types::{GroupId, RouterIdentity, Timestamp};

use crate::apply::ApplyError;
use crate::children::Children;
use crate::message::SpreadMessage;
use crate::puller::Puller;
use crate::replica::Replica;
use crate::settings::Settings;

/// Input of a [`SpreadNode`].
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
    /// This router is now the leader with a valid leader lease, and its replica
    /// has every entry committed before its election.
    RootConfirmed,
    /// The replica advanced by a local commit.
    ReplicaAdvanced,
}

/// Output of a [`SpreadNode`].
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadOutput {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: RouterIdentity,
        /// The message.
        message: Box<SpreadMessage>,
    },
    /// The replica advanced by this delta. Its changes are ordered so that a
    /// record comes after those it refers to.
    Applied(RecordDelta),
}

/// One router's node in the tree that spreads one group's records.
#[derive(Debug)]
pub struct SpreadNode {
    settings: Settings,
    own: RouterIdentity,
    group: GroupId,
    puller: Puller,
    children: Children,
    next_wakeup: Timestamp,
}

impl SpreadNode {
    /// Creates a node without parents or children.
    pub fn new(settings: Settings, own: RouterIdentity, group: GroupId, now: Timestamp) -> Self {
        SpreadNode {
            settings,
            own,
            group,
            puller: Puller::new(now),
            children: Children::default(),
            next_wakeup: now,
        }
    }

    /// Handles one input at `now` and returns the resulting outputs.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: SpreadInput,
        replica: &mut Replica,
    ) -> Vec<SpreadOutput> {
        let mut outputs = Vec::new();
        match input {
            SpreadInput::Tick => {}
            SpreadInput::Message { from, message } => {
                if message.group() == self.group && from.id != self.own.id {
                    self.receive(now, from, *message, replica, &mut outputs);
                }
            }
            SpreadInput::Parents(mut candidates) => {
                candidates.retain(|candidate| candidate.id != self.own.id);
                self.puller.set_parents(candidates, now);
            }
            SpreadInput::RootConfirmed => self.puller.confirm(now),
            SpreadInput::ReplicaAdvanced => self.children.replica_advanced(now, &self.settings),
        }
        outputs.extend(self.puller.tick(now, &self.settings, replica));
        self.children
            .push_if_due(now, &self.settings, replica, &mut outputs);
        self.next_wakeup = self.compute_next_wakeup(now);
        outputs
    }

    /// Time, by this router's clock, as of which the replica has every change
    /// that the leader had committed; `None` if nothing was confirmed yet.
    pub fn confirmed_as_of(&self) -> Option<Timestamp> {
        self.puller.confirmed_as_of()
    }

    /// Latest time of the next call of [`SpreadNode::step`].
    pub fn next_wakeup(&self) -> Timestamp {
        self.next_wakeup
    }

    /// Number of routers that pull from this one.
    pub fn child_count(&self) -> usize {
        self.children.len()
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: RouterIdentity,
        message: SpreadMessage,
        replica: &mut Replica,
        outputs: &mut Vec<SpreadOutput>,
    ) {
        let before = replica.revision();
        match message {
            SpreadMessage::Pull(pull) => {
                let confirmed = self.puller.confirmed_as_of();
                let settings = &self.settings;
                let answer = self
                    .children
                    .handle_pull(now, settings, from, &pull, confirmed, replica);
                outputs.push(answer);
            }
            SpreadMessage::Answer(answer) => {
                self.puller
                    .on_response(now, &self.settings, from.id, answer, replica);
            }
            SpreadMessage::Busy { sequence, .. } => {
                self.puller.on_busy(now, &self.settings, from.id, sequence);
            }
            SpreadMessage::Push(delta) => {
                if let Err(ApplyError::Gap { .. }) = replica.apply(&delta) {
                    self.puller.pull_now(now);
                }
            }
            SpreadMessage::Advanced { revision, .. } => {
                if revision > replica.revision() {
                    self.puller.pull_now(now);
                }
            }
        }
        if replica.revision() > before {
            outputs.push(SpreadOutput::Applied(replica.ordered_delta_since(before)));
            self.children.replica_advanced(now, &self.settings);
        }
    }

    fn compute_next_wakeup(&self, now: Timestamp) -> Timestamp {
        let idle = now + self.settings.confirm_interval;
        let pull = self.puller.next_wakeup().unwrap_or(idle);
        let push = self.children.next_wakeup().unwrap_or(idle);
        idle.min(pull).min(push)
    }
}
