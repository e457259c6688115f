//! Inputs of a node: time and messages.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::election::VoteRequest;
use crate::follower::Append;
use crate::message::{Body, Message};
use crate::node::{Node, State};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Advances the clock and runs what is due. Call this at
    /// [`Node::next_wakeup`] or earlier.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_clock(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            State::Joining | State::Removed | State::Retired { .. } => {}
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. } => {
                self.tick_election();
            }
        }
    }

    /// Returns the time by which [`Node::tick`] must be called if there is no
    /// other input before.
    pub fn next_wakeup(&self, now: Timestamp) -> Timestamp {
        self.deadline().max(now)
    }

    fn deadline(&self) -> Timestamp {
        if let Some(leader) = self.leader_state() {
            let transfer = leader.transfer.as_ref().map(|it| it.deadline());
            return transfer.map_or(leader.heartbeat_due, |at| at.min(leader.heartbeat_due));
        }
        if self.may_campaign() {
            return self.timer.deadline();
        }
        Timestamp::from_micros(u64::MAX)
    }

    /// Handles a message. Late, duplicated and reordered messages are harmless,
    /// and messages of other groups are ignored.
    pub fn step(&mut self, now: Timestamp, from: RouterId, message: Message<C, S>) {
        self.advance_clock(now);
        let own = from == self.identity.id;
        if own || from != message.sender.id || message.group != self.settings.group {
            return;
        }
        if !self.accept_generation(&message) {
            return;
        }
        self.dispatch(message);
    }

    /// Handles a message of this node's group and generation.
    fn dispatch(&mut self, message: Message<C, S>) {
        let Message {
            term, sender, body, ..
        } = message;
        match body {
            // Vote requests handle terms themselves, because a request must not
            // change the term while this node withholds its vote.
            Body::VoteRequest {
                campaign_term,
                pre_vote,
                transfer,
                last_index,
                last_term,
            } => {
                let request = VoteRequest {
                    campaign_term,
                    pre_vote,
                    transfer,
                    last_index,
                    last_term,
                };
                self.handle_vote_request(term, sender, request);
            }
            // The response to a pre-vote may come from a voter of a lower term.
            Body::VoteResponse {
                campaign_term,
                pre_vote,
                granted,
            } => {
                if term > self.term {
                    self.enter_term(term);
                } else {
                    self.handle_vote_response(sender.id, campaign_term, pre_vote, granted);
                }
            }
            Body::NotMember { members_index } => self.handle_not_member(members_index),
            body => self.dispatch_in_term(term, sender, body),
        }
    }

    /// Handles a message that is valid only in the term in which it was sent.
    fn dispatch_in_term(&mut self, term: u64, sender: RouterIdentity, body: Body<C, S>) {
        if term < self.term {
            if body.is_from_leader() {
                self.send(sender, Body::StaleTerm);
            }
            return;
        }
        if term > self.term {
            self.enter_term(term);
        }
        match body {
            Body::Append {
                sent_at,
                previous_index,
                previous_term,
                entries,
                commit_index,
            } => {
                let append = Append {
                    sent_at,
                    previous_index,
                    previous_term,
                    entries,
                    commit_index,
                };
                self.handle_append(sender, append);
            }
            Body::AppendResponse { echo, outcome } => {
                self.handle_append_response(sender.id, echo, outcome);
            }
            Body::Heartbeat {
                sent_at,
                commit_index,
                cancelled_transfer,
            } => self.handle_heartbeat(sender, sent_at, commit_index, cancelled_transfer),
            Body::HeartbeatResponse { echo } => self.handle_heartbeat_response(sender.id, echo),
            Body::Snapshot { sent_at, snapshot } => {
                self.handle_snapshot(sender, sent_at, snapshot);
            }
            Body::TimeoutNow { transfer } => self.handle_timeout_now(&sender, transfer),
            // Already handled: terms and generations were compared above, and
            // the other messages were dispatched before.
            Body::StaleTerm
            | Body::StaleGeneration
            | Body::VoteRequest { .. }
            | Body::VoteResponse { .. }
            | Body::NotMember { .. } => {}
        }
    }
}
