//! Inputs: the passing of time, and messages.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::election::VoteRequest;
use crate::follower::Append;
use crate::message::{Body, Message};
use crate::node::{Node, State};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Lets time pass. To be called at [`Node::next_wakeup`] or earlier.
    pub fn tick(&mut self, now: Timestamp) {
        self.observe(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            State::Joining | State::Removed | State::Retired { .. } => {}
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. } => {
                self.tick_follower();
            }
        }
    }

    /// When [`Node::tick`] has something to do at the latest, if nothing else
    /// happens before.
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

    /// Takes a message in. Late, repeated, reordered and foreign messages are
    /// harmless.
    pub fn step(&mut self, now: Timestamp, from: RouterId, message: Message<C, S>) {
        self.observe(now);
        let own = from == self.identity.id;
        if own || from != message.sender.id || message.group != self.settings.group {
            return;
        }
        if !self.admit(&message) {
            return;
        }
        self.take(message);
    }

    /// Takes in a message of this node's group and generation.
    fn take(&mut self, message: Message<C, S>) {
        let Message {
            term, sender, body, ..
        } = message;
        match body {
            // Handles terms itself: a request may have to leave the term as is.
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
            // A pre-vote may come from a voter of a lower term.
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
            body => self.take_in_term(term, sender, body),
        }
    }

    /// Takes in a message that counts only in the term it was sent in.
    fn take_in_term(&mut self, term: u64, sender: RouterIdentity, body: Body<C, S>) {
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
            // Terms and generations were compared before.
            Body::StaleTerm
            | Body::StaleGeneration
            | Body::VoteRequest { .. }
            | Body::VoteResponse { .. }
            | Body::NotMember { .. } => {}
        }
    }
}
