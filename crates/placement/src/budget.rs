//! Share of keys moved for balance within the last minute.

use std::collections::VecDeque;
use std::time::Duration;

use threadledge_types::Timestamp;

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(60);

/// Sliding window over the moves begun for balance.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChurnWindow {
    moves: VecDeque<(Timestamp, u128)>,
    /// Points moved within the window.
    length: u128,
}

impl ChurnWindow {
    /// Notes a move of `length` points.
    pub(crate) fn spend(&mut self, now: Timestamp, length: u128) {
        self.moves.push_back((now, length));
        self.length += length;
    }

    /// Points moved within the window that ends now.
    pub(crate) fn spent(&mut self, now: Timestamp) -> u128 {
        while let Some((at, length)) = self.moves.front() {
            if now.since(*at) < WINDOW {
                break;
            }
            self.length -= length;
            self.moves.pop_front();
        }
        self.length
    }
}
