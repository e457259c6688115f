//! Collections of objects, with revisions and watches.

use std::time::Duration;

use threadledge_coordination::action::{
    Condition, Freshness, ReadResult, StoreRevision, WriteResult,
};

use crate::PortFuture;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No connection could be opened: nothing was done.
    Unreachable,
    /// The store refused the call: nothing was done.
    Refused {
        /// The status of its answer.
        status: u16,
    },
    /// There is no answer: a write may have taken effect, or may do so later.
    NoAnswer,
    /// The history asked for is gone: list again.
    HistoryGone,
    /// The answer cannot be understood. A write took effect.
    Malformed(String),
}

impl StoreError {
    /// Whether a write that failed so may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, StoreError::NoAnswer | StoreError::Malformed(_))
    }
}

/// An object that cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// What is wrong, with its place and the remedy.
    pub problem: String,
}

/// One object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// Its name.
    pub name: String,
    /// Revision of its last change.
    pub revision: StoreRevision,
    /// What it says.
    pub value: Result<T, Malformed>,
}

/// Every object of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<T> {
    /// The objects.
    pub entries: Vec<Entry<T>>,
    /// The revision from which to watch on.
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

impl<T> Listing<T> {
    /// Adds a page; the name after which the next one begins.
    pub fn add(&mut self, page: Page<T>) -> Option<String> {
        self.entries.extend(page.entries);
        // Changes between two pages are seen by a watch from the older.
        self.at = self.at.min(page.at);
        page.next
    }
}

/// Objects of a collection in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// The objects.
    pub entries: Vec<Entry<T>>,
    /// The name after which the next page begins; `None`: this is the last.
    pub next: Option<String>,
    /// The revision from which to watch on.
    pub at: StoreRevision,
}

/// One change of a collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<T> {
    /// An object is new or changed.
    Put(Entry<T>),
    /// The object of this name is gone.
    Gone(String),
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<T> {
    /// The changes in their order; none when the wait ended without.
    pub changes: Vec<Change<T>>,
    /// The revision from which to watch on.
    pub at: StoreRevision,
}

/// Objects of one kind that can be listed and watched.
pub trait Collection<T: Send>: Send + Sync {
    /// The first objects whose names come after `after`, as many as one call
    /// tells.
    fn page<'a>(
        &'a self,
        after: &'a str,
        freshness: Freshness,
    ) -> PortFuture<'a, Result<Page<T>, StoreError>>;

    /// Every object. A list that may be stale, or that takes several pages,
    /// may mix states of several moments; a watch from its revision on makes
    /// up for it.
    fn list(&self, freshness: Freshness) -> PortFuture<'_, Result<Listing<T>, StoreError>> {
        Box::pin(async move {
            let mut listing = Listing::default();
            let mut after = Some(String::new());
            while let Some(name) = after {
                after = listing.add(self.page(&name, freshness).await?);
            }
            Ok(listing)
        })
    }

    /// Changes after `after`, waiting for one up to `wait`.
    fn changes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> PortFuture<'_, Result<Changes<T>, StoreError>>;
}

/// Objects of one kind that are written on a condition.
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
