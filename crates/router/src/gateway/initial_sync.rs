//! Logs how a gateway gets its first complete list of back ends after a start,
//! so that operators of a fleet that does not come back can see what each
//! gateway waits for.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_types::Timestamp;

use crate::events::{EventId, emit};

/// Interval between two lines about a list that is still incomplete.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Where a part of the list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PartSource {
    Store,
    /// Another gateway.
    Gateway(SocketAddr),
}

impl PartSource {
    /// The source as logged.
    fn label(self) -> String {
        match self {
            PartSource::Store => "store".to_owned(),
            PartSource::Gateway(address) => address.to_string(),
        }
    }
}

/// Progress of the first list since the start. Its times count from its
/// creation.
#[derive(Debug)]
pub(super) struct InitialSync(Mutex<Progress>);

#[derive(Debug)]
struct Progress {
    started: Timestamp,
    first_part: Option<Timestamp>,
    parts: u32,
    last_report: Timestamp,
    complete: bool,
}

impl InitialSync {
    /// Starts at `now` without any part.
    pub(super) fn new(now: Timestamp) -> Self {
        InitialSync(Mutex::new(Progress {
            started: now,
            first_part: None,
            parts: 0,
            last_report: now,
            complete: false,
        }))
    }

    /// Records a part, after which `back_ends` back ends are known.
    pub(super) fn record_part(
        &self,
        now: Timestamp,
        from: PartSource,
        back_ends: usize,
        complete: bool,
    ) {
        let mut progress = self.0.lock();
        let has_nothing = back_ends == 0 && !complete;
        if progress.complete || has_nothing {
            return;
        }
        progress.parts += 1;
        let first_part = *progress.first_part.get_or_insert(now);
        progress.complete = complete;
        let parts = progress.parts;
        let from = from.label();
        let elapsed_ms = now.since(progress.started).as_millis();
        let first_part_ms = first_part.since(progress.started).as_millis();
        if complete {
            emit!(
                EventId::BackEndsKnown,
                back_ends,
                parts,
                from,
                first_part_ms,
                elapsed_ms
            );
        } else if now.since(progress.last_report) >= REPORT_INTERVAL {
            progress.last_report = now;
            emit!(
                EventId::BackEndsIncomplete,
                back_ends,
                parts,
                from,
                first_part_ms,
                elapsed_ms
            );
        }
    }
}
