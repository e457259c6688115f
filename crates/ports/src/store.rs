//! Collections of objects with revisions and watches.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_coordination::action::{
    Condition, Freshness, ReadResult, StoreRevision, WriteResult,
};

use crate::PortFuture;

/// Reason why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No connection could be opened, so nothing was done.
    Unreachable,
    /// The store refused the call, so nothing was done.
    Refused {
        /// Status of the response.
        status: u16,
    },
    /// No response arrived: a write may have taken effect or may still do so.
    NoAnswer,
    /// The store no longer has the requested history; list again.
    HistoryGone,
    /// The response cannot be parsed. A write took effect.
    Malformed(String),
    /// A list goes on, but the page does not show after which name, or shows one
    /// after which a page was read already. Remove the objects behind `after`
    /// that have no readable name.
    StuckList {
        /// Name after which the store does not go on.
        after: String,
    },
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, StoreError::NoAnswer | StoreError::Malformed(_))
    }
}

/// Object that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Description of the problem, with its place and the remedy.
    pub problem: String,
}

/// Object of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Name of the object.
    pub name: String,
    /// Revision of its last change.
    pub revision: StoreRevision,
    /// Parsed value, or the reason why it cannot be parsed.
    pub value: Result<T, Malformed>,
}

/// All objects of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// Objects of the collection.
    pub entries: Vec<Entry<T>>,
    /// Revision to start a watch from.
    pub at: StoreRevision,
}

impl<T> Default for Listing<T> {
    fn default() -> Self {
        Listing {
            entries: Vec::new(),
            at: StoreRevision::MAX,
        }
    }
}

/// A listing that is read page by page.
#[derive(Debug)]
pub struct PartialListing<T> {
    listing: Listing<T>,
    /// Name after which the next page starts; `None` after the last page.
    next: Option<String>,
    /// Names after which pages started so far.
    starts: BTreeSet<String>,
}

impl<T> Default for PartialListing<T> {
    fn default() -> Self {
        PartialListing {
            listing: Listing::default(),
            next: Some(String::new()),
            starts: BTreeSet::new(),
        }
    }
}

impl<T> PartialListing<T> {
    /// Returns the name after which the next page starts, or `None` if the
    /// listing is complete.
    pub fn next_start(&self) -> Option<&str> {
        self.next.as_deref()
    }

    /// Adds the next page.
    ///
    /// Invariant: a listing is complete only after the last page, because
    /// objects that a complete listing lacks count as gone.
    ///
    /// # Errors
    ///
    /// Fails if the page after this one was read already. Names are not
    /// compared, because only the store knows their order.
    pub fn add(&mut self, page: Page<T>) -> Result<(), StoreError> {
        self.starts.extend(self.next.take());
        self.next = match page.next {
            Some(after) if self.starts.contains(&after) => {
                return Err(StoreError::StuckList { after });
            }
            next => next,
        };
        self.listing.entries.extend(page.entries);
        // A watch from the older revision sees changes that were made between
        // two pages.
        self.listing.at = self.listing.at.min(page.at);
        Ok(())
    }

    /// Returns what was read.
    pub fn into_listing(self) -> Listing<T> {
        self.listing
    }
}

/// Page of a collection, in the order of the objects' names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// Objects of the page.
    pub entries: Vec<Entry<T>>,
    /// Name after which the next page starts, or `None` for the last page.
    pub next: Option<String>,
    /// Revision to start a watch from.
    pub at: StoreRevision,
}

/// Change of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<T> {
    /// An object was created or changed.
    Put(Entry<T>),
    /// The object of this name was deleted.
    Gone(String),
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// Changes in their order; empty if the wait ended without any.
    pub changes: Vec<Change<T>>,
    /// Revision to continue the watch from.
    pub at: StoreRevision,
}

/// Objects of one kind that can be listed and watched.
pub trait Collection<T: Send>: Send + Sync {
    /// Returns the first objects whose names come after `after`, as many as fit
    /// into one response.
    fn page<'a>(
        &'a self,
        after: &'a str,
        freshness: Freshness,
    ) -> PortFuture<'a, Result<Page<T>, StoreError>>;

    /// Lists all objects. A list that may be stale or that takes several pages
    /// may mix different points in time; a watch from its revision delivers
    /// what it missed.
    fn list(&self, freshness: Freshness) -> PortFuture<'_, Result<Listing<T>, StoreError>> {
        Box::pin(async move {
            let mut listing = PartialListing::default();
            while let Some(after) = listing.next_start() {
                let page = self.page(after, freshness).await?;
                listing.add(page)?;
            }
            Ok(listing.into_listing())
        })
    }

    /// Returns the changes after revision `after`, waiting up to `wait` for the
    /// first one.
    fn changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> PortFuture<'_, Result<Changes<T>, StoreError>>;
}

/// Objects of one kind that can be written conditionally.
pub trait RecordStore<T: Send>: Collection<T> {
    /// Reads one object.
    fn read<'a>(&'a self, name: &'a str, freshness: Freshness) -> PortFuture<'a, ReadResult<T>>;

    /// Writes one object if the condition holds.
    fn write<'a>(
        &'a self,
        name: &'a str,
        value: &'a T,
        condition: Condition,
    ) -> PortFuture<'a, WriteResult<T>>;
}
