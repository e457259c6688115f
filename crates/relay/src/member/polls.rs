//! Transitions after a poll of the relay or of one of its followers.

use std::net::SocketAddr;

use rand::RngExt;
use threadledge_types::Timestamp;

use super::{Member, PollOutcome, State};
use crate::state::{Following, Isolated, Upstream};

impl Member {
    /// Handles the outcome of a poll, including a failed one.
    pub fn on_poll(&mut self, now: Timestamp, outcome: PollOutcome) {
        self.calling = false;
        self.state = match self.take_state() {
            State::Following(following) => self.polled(now, following, outcome),
            State::Isolated(isolated) => self.polled_while_isolated(now, isolated, outcome),
            other => other,
        };
    }

    /// Handles a poll made while following a relay.
    fn polled(&mut self, now: Timestamp, following: Following, outcome: PollOutcome) -> State {
        let claim_from = now + self.claim_delay;
        match outcome {
            PollOutcome::Answered { seen, has_changes } if self.keeps(now, seen, has_changes) => {
                State::Following(Following {
                    due: self.next_poll(now, has_changes),
                    seen: following.seen.max(Some(seen)),
                    joined: true,
                    ..following
                })
            }
            PollOutcome::AtCapacity(others) => {
                match self.pick_follower(following.upstream.address, &others) {
                    Some(address) => State::Following(following.redirect(now, address)),
                    None => State::Searching(following.rejected(now + self.settings.retry_delay)),
                }
            }
            // A gateway that has not joined a relay itself has no state to pass
            // on.
            PollOutcome::Answered { .. } if !following.joined => {
                let due = now + self.settings.recheck_interval;
                State::Searching(following.upstream_outdated(due, claim_from))
            }
            PollOutcome::Answered { .. } | PollOutcome::TimedOut => {
                State::Searching(following.upstream_outdated(now, claim_from))
            }
            PollOutcome::Failed => {
                let fresh_until = following.seen.map(|seen| self.outdated_at(seen));
                State::Searching(following.upstream_failed(now, claim_from, fresh_until))
            }
        }
    }

    /// Handles a poll made while the store responds neither to this member nor
    /// to its relay.
    fn polled_while_isolated(
        &mut self,
        now: Timestamp,
        isolated: Isolated,
        outcome: PollOutcome,
    ) -> State {
        match outcome {
            PollOutcome::Answered { seen, has_changes } if now < self.outdated_at(seen) => {
                State::Following(isolated.resume(self.next_poll(now, has_changes), seen))
            }
            PollOutcome::Answered { has_changes, .. } => State::Isolated(Isolated {
                due: self.next_poll(now, has_changes),
                ..isolated
            }),
            PollOutcome::AtCapacity(others) => {
                let chosen = self.pick_follower(isolated.upstream.address, &others);
                let address = chosen.unwrap_or(isolated.upstream.address);
                let due = match chosen {
                    Some(_) => now,
                    None => now + self.settings.retry_delay,
                };
                let relay = isolated.upstream.relay;
                let upstream = Upstream { address, relay };
                State::Isolated(Isolated {
                    due,
                    upstream,
                    ..isolated
                })
            }
            PollOutcome::Failed | PollOutcome::TimedOut => {
                let due = now + self.settings.retry_delay;
                State::Searching(isolated.search(due, due + self.claim_delay))
            }
        }
    }

    /// Whether an upstream that responded like this is followed further.
    fn keeps(&self, now: Timestamp, seen: Timestamp, has_changes: bool) -> bool {
        let delivers = has_changes && !self.is_complete;
        delivers || now < self.outdated_at(seen)
    }

    /// Returns when to poll again after a response.
    fn next_poll(&self, now: Timestamp, has_changes: bool) -> Timestamp {
        if has_changes && self.is_complete {
            now + self.settings.poll_pause
        } else {
            now
        }
    }

    /// Picks one of the followers named by a gateway at capacity.
    fn pick_follower(&mut self, full: SocketAddr, followers: &[SocketAddr]) -> Option<SocketAddr> {
        let own = self.me.address;
        let others: Vec<SocketAddr> = followers
            .iter()
            .copied()
            .filter(|each| Some(*each) != own && *each != full)
            .collect();
        if others.is_empty() {
            return None;
        }
        Some(others[self.random.random_range(0..others.len())])
    }
}
