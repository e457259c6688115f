//! What follows from a poll of the relay, or of another follower of it.

use std::net::SocketAddr;

use rand::RngExt;
use threadledge_types::Timestamp;

use super::{PollOutcome, Member, State};
use crate::state::{Cut, Following, Upstream};

impl Member {
    /// A poll was answered, or was not.
    pub fn on_poll(&mut self, now: Timestamp, followed: PollOutcome) {
        self.calling = false;
        self.state = match self.take_state() {
            State::Following(following) => self.followed(now, following, followed),
            State::Cut(cut) => self.followed_while_cut(now, cut, followed),
            other => other,
        };
    }

    fn followed(&mut self, now: Timestamp, following: Following, followed: PollOutcome) -> State {
        let claim_from = now + self.patience;
        match followed {
            PollOutcome::Answered { seen, news } if now < self.outdated_at(seen) => {
                State::Following(Following {
                    due: self.next_poll(now, news),
                    seen: following.seen.max(Some(seen)),
                    joined: true,
                    ..following
                })
            }
            PollOutcome::AtCapacity(others) => match self.choose(following.upstream.address, &others) {
                Some(address) => State::Following(following.redirect(now, address)),
                None => State::Searching(following.crowded_out(now + self.settings.retry_delay)),
            },
            // A gateway that has not joined its relay yet has nothing to tell.
            PollOutcome::Answered { .. } if !following.joined => {
                let due = now + self.settings.recheck_interval;
                State::Searching(following.outdated(due, claim_from))
            }
            PollOutcome::Answered { .. } | PollOutcome::TimedOut => {
                State::Searching(following.outdated(now, claim_from))
            }
            PollOutcome::Failed => {
                let fresh_until = following.seen.map(|seen| self.outdated_at(seen));
                State::Searching(following.lose(now, claim_from, fresh_until))
            }
        }
    }

    fn followed_while_cut(&mut self, now: Timestamp, cut: Cut, followed: PollOutcome) -> State {
        match followed {
            PollOutcome::Answered { seen, news } if now < self.outdated_at(seen) => {
                State::Following(cut.rejoin(self.next_poll(now, news), seen))
            }
            PollOutcome::Answered { news, .. } => State::Cut(Cut {
                due: self.next_poll(now, news),
                ..cut
            }),
            PollOutcome::AtCapacity(others) => {
                let chosen = self.choose(cut.upstream.address, &others);
                let address = chosen.unwrap_or(cut.upstream.address);
                let due = match chosen {
                    Some(_) => now,
                    None => now + self.settings.retry_delay,
                };
                let relay = cut.upstream.relay;
                let upstream = Upstream { address, relay };
                State::Cut(Cut {
                    due,
                    upstream,
                    ..cut
                })
            }
            PollOutcome::Failed | PollOutcome::TimedOut => {
                let due = now + self.settings.retry_delay;
                State::Searching(cut.search(due, due + self.patience))
            }
        }
    }

    fn next_poll(&self, now: Timestamp, news: bool) -> Timestamp {
        if news {
            now + self.settings.poll_pause
        } else {
            now
        }
    }

    /// One of the followers of a relay that has enough of them.
    fn choose(&mut self, full: SocketAddr, followers: &[SocketAddr]) -> Option<SocketAddr> {
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
