//! Derives from each state where the member learns of changes.

use threadledge_types::Timestamp;

use super::{Member, Source};
use crate::state::{Following, Searching};

impl Member {
    /// Returns the source of a member without a relay.
    pub(super) fn searching_source(&self, now: Timestamp, searching: &Searching) -> Source {
        if let Some(seen) = searching.seen.filter(|seen| now < self.outdated_at(*seen)) {
            let until = self.outdated_at(seen);
            return Source::Relay { until, seen };
        }
        if now < self.startup_ends {
            let until = self.startup_ends;
            return Source::Starting { until };
        }
        match searching.store_answered_at {
            None => Source::Unavailable,
            Some(store_answered_at) => {
                self.joining_until(now, store_answered_at + self.settings.join_timeout)
            }
        }
    }

    /// Returns the source of a member that follows a relay.
    pub(super) fn following_source(&self, now: Timestamp, following: &Following) -> Source {
        let fresh = following.seen.map(|seen| (seen, self.outdated_at(seen)));
        if following.joined {
            return match fresh {
                Some((seen, _)) if !self.is_complete => {
                    let until = now + self.settings.max_transfer;
                    Source::Relay { until, seen }
                }
                Some((seen, until)) if now < until => Source::Relay { until, seen },
                _ => Source::Unavailable,
            };
        }
        if now < self.startup_ends {
            let until = self.startup_ends;
            return Source::Starting { until };
        }
        let join = following.found_at + self.settings.join_timeout;
        let until = fresh.map_or(join, |(_, until)| until.max(join));
        self.joining_until(now, until)
    }

    /// Returns [`Source::Joining`] before `until` and the store from then on.
    fn joining_until(&self, now: Timestamp, until: Timestamp) -> Source {
        if now < until {
            Source::Joining { until }
        } else {
            Source::Store
        }
    }

    /// Returns when state received from a relay becomes too old, if the store
    /// responded to that relay at `seen`.
    pub(super) fn outdated_at(&self, seen: Timestamp) -> Timestamp {
        seen + self.settings.max_age
    }
}
