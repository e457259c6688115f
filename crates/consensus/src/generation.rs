//! Generations of a group.
//!
//! A group that lost its majority is founded again as the next generation, by a
//! conditional write outside this crate. Members of an earlier generation must
//! not continue: a node that learns of a higher generation retires and never
//! votes again.

use threadledge_types::{Generation, RouterIdentity, Timestamp};

use crate::message::{Body, Message, Outgoing};
use crate::node::{Node, State};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Compares the message's generation with the node's own and returns
    /// whether the message should be handled. A joining node adopts the
    /// generation of the first leader that contacts it; a member of an older
    /// generation retires; a sender of an older generation is told so.
    pub(crate) fn accept_generation(&mut self, message: &Message<C, S>) -> bool {
        match &self.state {
            State::Joining => self.join_generation(message),
            State::Retired { newer } => {
                let newer = *newer;
                if message.generation < newer {
                    self.send_stale_generation(message, newer);
                }
                false
            }
            _ if message.generation < self.generation => {
                self.send_stale_generation(message, self.generation);
                false
            }
            _ if message.generation > self.generation => {
                self.retire(message.generation);
                false
            }
            _ => true,
        }
    }

    /// Retires this node because the group was founded again as generation
    /// `newer`. The owner calls this when it learns of the founding by other
    /// means than a message. Has no effect unless `newer` is higher than the
    /// node's generation.
    pub fn retire(&mut self, newer: Generation) {
        let retired = matches!(self.state, State::Retired { .. });
        if newer > self.generation && !retired {
            self.state = State::Retired { newer };
            self.leader = None;
        }
    }

    /// Returns a node that waits to be added to the generation that retired
    /// this one, or to a later one. Returns `None` unless this node has
    /// retired.
    ///
    /// Within the same process, this must be used instead of [`Node::join`]: a
    /// new node with the same router id could join the *old* generation again
    /// and vote twice in it.
    pub fn rejoin(&self, now: Timestamp) -> Option<Self> {
        let State::Retired { newer } = self.state else {
            return None;
        };
        let mut node = Node::join(self.settings.clone(), self.identity.clone(), now);
        node.generation_floor = Generation(newer.0.saturating_sub(1));
        Some(node)
    }

    /// Joins the message's generation if a leader sent it and the generation is
    /// above the floor. Returns whether it did.
    fn join_generation(&mut self, message: &Message<C, S>) -> bool {
        let from_leader = message.body.is_from_leader();
        if !from_leader || message.generation <= self.generation_floor {
            return false;
        }
        self.generation = message.generation;
        self.term = message.term;
        self.state = State::Follower;
        true
    }

    /// Tells the sender that its generation is outdated. `StaleGeneration`
    /// itself is never answered, so two nodes cannot exchange it endlessly.
    fn send_stale_generation(&mut self, message: &Message<C, S>, generation: Generation) {
        if matches!(message.body, Body::StaleGeneration) {
            return;
        }
        let to: RouterIdentity = message.sender.clone();
        let hint = Message {
            group: self.settings.group,
            generation,
            term: self.term,
            sender: self.identity.clone(),
            body: Body::StaleGeneration,
        };
        self.outbox.push(Outgoing { to, message: hint });
    }
}
