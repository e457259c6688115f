//! Follows a collection of the platform's store: lists it, watches it, and
//! lists again when the history is gone. What is known stays known meanwhile.

use std::sync::Arc;
use std::time::{Duration, Instant};

use threadledge_net::timer;
use threadledge_ports::{Changes, Collection, Listing, StoreError};

use crate::events::{EventId, emit};

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Wait of the first watch after a failure: a store that was silent may still
/// be so behind a connection that stands, and a long watch would not tell.
const TRIAL_WATCH: Duration = Duration::from_millis(200);
/// A watch that ends sooner without a change is followed by a pause.
const SHORTEST_WATCH: Duration = Duration::from_millis(20);

/// What a follower tells.
pub(super) enum Update<T> {
    /// Every object.
    Listed(Listing<T>),
    /// Changes since the last update.
    Changed(Changes<T>),
}

/// A collection to follow.
pub(super) struct Follower<T> {
    name: &'static str,
    collection: Arc<dyn Collection<T>>,
    wait: Duration,
    pause: Duration,
    lost: bool,
}

impl<T: Send + 'static> Follower<T> {
    pub(super) fn new(
        name: &'static str,
        collection: Arc<dyn Collection<T>>,
        wait: Duration,
    ) -> Self {
        Follower {
            name,
            collection,
            wait,
            pause: FIRST_PAUSE,
            lost: false,
        }
    }

    /// Follows for ever, telling every update to `tell`.
    pub(super) async fn run(mut self, mut tell: impl FnMut(Update<T>) + Send) {
        loop {
            let listing = match self.collection.list().await {
                Ok(listing) => listing,
                Err(error) => {
                    self.failed(&error).await;
                    continue;
                }
            };
            self.answered();
            let mut at = listing.at;
            tell(Update::Listed(listing));
            loop {
                let asked = Instant::now();
                let wait = if self.lost { TRIAL_WATCH } else { self.wait };
                match self.collection.changes(at, wait).await {
                    Ok(changes) => {
                        self.answered();
                        at = changes.at;
                        if !changes.changes.is_empty() {
                            tell(Update::Changed(changes));
                        } else if asked.elapsed() < SHORTEST_WATCH {
                            timer::sleep(FIRST_PAUSE).await;
                        }
                    }
                    Err(StoreError::HistoryGone) => break,
                    Err(error) => self.failed(&error).await,
                }
            }
        }
    }

    fn answered(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.lost) {
            emit!(EventId::StoreRegained, collection = self.name);
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            emit!(EventId::StoreLost, collection = self.name, cause = ?error);
        }
        timer::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
