//! Where a member learns from at each stage.

use threadledge_types::Timestamp;

use super::{Member, Source};
use crate::state::{Following, Searching};

impl Member {
    pub(super) fn searching_source(&self, now: Timestamp, searching: &Searching) -> Source {
        if let Some(seen) = searching.seen.filter(|seen| now < self.outdated_at(*seen)) {
            let until = self.outdated_at(seen);
            return Source::Relay { until, seen };
        }
        if now < self.settled {
            let until = self.settled;
            return Source::Starting { until };
        }
        match searching.heard {
            None => Source::Unavailable,
            Some(heard) => self.joining_until(now, heard + self.settings.join_timeout),
        }
    }

    pub(super) fn following_source(&self, now: Timestamp, following: &Following) -> Source {
        let fresh = following.seen.map(|seen| (seen, self.outdated_at(seen)));
        if following.joined {
            return match fresh {
                Some((seen, until)) if now < until => Source::Relay { until, seen },
                _ => Source::Unavailable,
            };
        }
        if now < self.settled {
            let until = self.settled;
            return Source::Starting { until };
        }
        let join = following.found + self.settings.join_timeout;
        let until = fresh.map_or(join, |(_, until)| until.max(join));
        self.joining_until(now, until)
    }

    fn joining_until(&self, now: Timestamp, until: Timestamp) -> Source {
        if now < until {
            Source::Joining { until }
        } else {
            Source::Store
        }
    }

    /// When what a relay told is too old, if the store answered it at `seen`.
    pub(super) fn outdated_at(&self, seen: Timestamp) -> Timestamp {
        seen + self.settings.max_age
    }
}
