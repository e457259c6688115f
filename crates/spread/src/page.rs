//! Pages: parts of a delta with a bounded size.

use std::io;

use threadledge_types::records::{RecordChange, RecordDelta};

use crate::message::Resume;

/// One page of a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaPage {
    /// The changes of this page. A copy reaches the revision `to` only after
    /// applying the changes of all pages together.
    pub delta: RecordDelta,
    /// Where the next page begins; `None` when this is the last one.
    pub resume: Option<Resume>,
    /// Whether the page continues at the resume position of the request; if
    /// not, it is the first page of a new transfer.
    pub continued: bool,
}

/// Maximum size of one page. A page has at least one change, however large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageLimits {
    /// Maximum number of changes.
    pub max_changes: usize,
    /// Maximum size of the changes, in bytes of JSON.
    pub max_bytes: usize,
}

impl PageLimits {
    /// No limit: one page holds everything.
    pub const NONE: PageLimits = PageLimits {
        max_changes: usize::MAX,
        max_bytes: usize::MAX,
    };
}

/// Collects the changes of one page.
#[derive(Debug)]
pub(crate) struct PageBuilder {
    limits: PageLimits,
    bytes: usize,
    changes: Vec<RecordChange>,
}

impl PageBuilder {
    pub(crate) fn new(limits: PageLimits) -> Self {
        PageBuilder {
            limits,
            bytes: 0,
            changes: Vec::new(),
        }
    }

    /// Adds a change, or returns `false` when the page is full.
    pub(crate) fn add(&mut self, change: RecordChange) -> bool {
        if self.changes.len() >= self.limits.max_changes.max(1) {
            return false;
        }
        if self.limits.max_bytes != usize::MAX {
            let bytes = json_bytes(&change);
            if !self.changes.is_empty() && self.bytes + bytes > self.limits.max_bytes {
                return false;
            }
            self.bytes += bytes;
        }
        self.changes.push(change);
        true
    }

    pub(crate) fn finish(self) -> Vec<RecordChange> {
        self.changes
    }
}

/// Length of a change as JSON, with the comma that follows it.
fn json_bytes(change: &RecordChange) -> usize {
    let mut counter = ByteCounter(1);
    // Serializing records does not fail, because they are plain data and the
    // counter accepts every write. If it ever did, the change would count as
    // large.
    match serde_json::to_writer(&mut counter, change) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX / 2,
    }
}

/// Writer that counts bytes.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.0 += buffer.len();
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
