//! Shared copies of identifiers that many records repeat.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Minimum number of identifiers held before unused ones are dropped. After
/// each collection the threshold is twice the number still in use, so that at
/// least half of them may be unused when it is reached.
const MIN_COLLECTION_SIZE: usize = 64;

/// Keeps one shared copy of each identifier. A million slices refer to a few
/// hundred services and sessions, so a copy in every record would dominate
/// memory.
#[derive(Clone, Debug)]
pub(crate) struct Interner<T> {
    known: BTreeSet<Arc<T>>,
    /// Number of identifiers at which unused ones are dropped next.
    collect_threshold: usize,
}

impl<T: Clone + Ord> Interner<T> {
    pub(crate) fn new() -> Self {
        Interner {
            known: BTreeSet::new(),
            collect_threshold: MIN_COLLECTION_SIZE,
        }
    }

    /// Returns the shared copy of `value`.
    pub(crate) fn intern(&mut self, value: &T) -> Arc<T> {
        if let Some(shared) = self.known.get(value) {
            return Arc::clone(shared);
        }
        if self.known.len() >= self.collect_threshold {
            self.collect();
        }
        let shared = Arc::new(value.clone());
        self.known.insert(Arc::clone(&shared));
        shared
    }

    /// Drops identifiers that are not used elsewhere. The cost is amortized
    /// over the insertions since the last collection, because the threshold
    /// doubles.
    fn collect(&mut self) {
        self.known.retain(|shared| Arc::strong_count(shared) > 1);
        self.collect_threshold = (self.known.len() * 2).max(MIN_COLLECTION_SIZE);
    }
}
