//! Assembles the pages of one transfer.

use threadledge_types::records::{RecordChange, RecordDelta};
use threadledge_types::{Revision, RouterId};

use crate::message::{PullResponse, Resume};

/// Pages received so far of a transfer in progress. The copy is not changed
/// until the last page has arrived, so that it never shows a mixture of two
/// revisions.
#[derive(Debug)]
pub(crate) struct Transfer {
    parent: RouterId,
    from: Revision,
    full: bool,
    changes: Vec<RecordChange>,
    resume: Resume,
}

/// Result of adding a page.
#[derive(Debug)]
pub(crate) enum PageResult {
    /// The delta is complete.
    Complete(RecordDelta),
    /// More pages follow.
    Incomplete(Transfer),
    /// The page does not fit what was received before.
    Unexpected,
}

impl Transfer {
    /// Parent that sends the pages.
    pub(crate) fn parent(&self) -> RouterId {
        self.parent
    }

    /// Revision that the child pulled from when the transfer began.
    pub(crate) fn from(&self) -> Revision {
        self.from
    }

    /// Where the next page begins.
    pub(crate) fn resume(&self) -> Resume {
        self.resume
    }

    /// Adds the page that answers a pull at revision `have` for the position
    /// where `current` continues.
    pub(crate) fn add_page(
        current: Option<Transfer>,
        parent: RouterId,
        have: Revision,
        answer: PullResponse,
    ) -> PageResult {
        let Some(delta) = answer.delta else {
            return PageResult::Unexpected;
        };
        let mut changes = Vec::new();
        if answer.continued {
            match current {
                Some(current) if current.parent == parent && current.full == delta.full => {
                    changes = current.changes;
                }
                _ => return PageResult::Unexpected,
            }
        }
        changes.extend(delta.changes);
        match answer.resume {
            Some(resume) => PageResult::Incomplete(Transfer {
                parent,
                from: have,
                full: delta.full,
                changes,
                resume,
            }),
            None => PageResult::Complete(RecordDelta { changes, ..delta }),
        }
    }
}
