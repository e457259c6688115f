//! Generations: foundings of the group.
//!
//! A group that lost its majority is founded again, with the next generation,
//! by a conditional write outside this crate. The members of the generation
//! before must not go on: whoever learns of a higher generation retires and
//! never votes again.

use threadledge_types::{Generation, RouterIdentity, Timestamp};

use crate::message::{Body, Message, Outgoing};
use crate::node::{Node, State};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Whether the node takes part in the message's generation; joins it if
    /// the node waits and a leader speaks.
    pub(crate) fn admit(&mut self, message: &Message<C, S>) -> bool {
        match &self.state {
            State::Joining => self.join_generation(message),
            State::Retired { by } => {
                let by = *by;
                if message.generation < by {
                    self.tell_stale_generation(message, by);
                }
                false
            }
            _ if message.generation < self.generation => {
                self.tell_stale_generation(message, self.generation);
                false
            }
            _ if message.generation > self.generation => {
                self.retire(message.generation);
                false
            }
            _ => true,
        }
    }

    /// Ends this node's part in its generation, because the group was founded
    /// again as generation `by`. Also for an owner that learns of the founding
    /// from elsewhere. A `by` that is not higher changes nothing.
    pub fn retire(&mut self, by: Generation) {
        let retired = matches!(self.state, State::Retired { .. });
        if by > self.generation && !retired {
            self.state = State::Retired { by };
            self.leader = None;
        }
    }

    /// A node that waits to be added to the generation which retired this one,
    /// or to a later one; `None` unless this node has retired.
    ///
    /// It must be used in place of [`Node::join`] while the process lives: a
    /// new node under the same router id that joined the *old* generation
    /// again could vote twice in it.
    pub fn rejoin(&self, now: Timestamp) -> Option<Self> {
        let State::Retired { by } = self.state else {
            return None;
        };
        let mut node = Node::join(self.settings.clone(), self.identity.clone(), now);
        node.generation_floor = Generation(by.0.saturating_sub(1));
        Some(node)
    }

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

    /// Tells the sender that its generation is over. Hints are not answered.
    fn tell_stale_generation(&mut self, message: &Message<C, S>, generation: Generation) {
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
