//! Work that a node hands to its owner.

use threadledge_types::Revision;

use crate::entry::Payload;
use crate::message::Outgoing;
use crate::node::Node;

/// Work that the owner of a node has to do, in the order of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Ready<C, S> {
    /// Messages to send. Delivery need not be reliable.
    pub messages: Vec<Outgoing<C, S>>,
    /// State that replaces the application's state before `committed` is
    /// applied.
    pub restore: Option<RestoredState<S>>,
    /// Committed entries to apply, in order. Each is handed out once.
    pub committed: Vec<CommittedEntry<C>>,
    /// Set while the log exceeds the compaction threshold; the application
    /// should call [`Node::compact`].
    pub snapshot_wanted: bool,
}

/// Application state restored from a snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState<S> {
    /// Revision of the last entry that the state includes.
    pub revision: Revision,
    /// Application state.
    pub snapshot: S,
}

/// Committed entry. It is not lost as long as a majority of the voters remains.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedEntry<C> {
    /// Generation and index of the entry.
    pub revision: Revision,
    /// Content of the entry.
    pub payload: Payload<C>,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Returns the messages, entries and state that have accumulated since the
    /// last call.
    pub fn ready(&mut self) -> Ready<C, S> {
        self.flush();
        let restore = self.take_restore();
        Ready {
            messages: std::mem::take(&mut self.outbox),
            restore,
            committed: self.take_committed(),
            snapshot_wanted: self.is_snapshot_wanted(),
        }
    }

    fn take_restore(&mut self) -> Option<RestoredState<S>> {
        if !std::mem::take(&mut self.restore_pending) {
            return None;
        }
        let snapshot = self.log.snapshot();
        Some(RestoredState {
            revision: Revision::new(self.generation, snapshot.index),
            snapshot: snapshot.state.clone()?,
        })
    }

    fn take_committed(&mut self) -> Vec<CommittedEntry<C>> {
        let generation = self.generation;
        let count = usize::try_from(self.commit_index - self.delivered_index).unwrap_or(usize::MAX);
        let entries = self.log.entries_from(self.delivered_index + 1, count);
        self.delivered_index = self.commit_index;
        entries
            .into_iter()
            .map(|entry| CommittedEntry {
                revision: Revision::new(generation, entry.index),
                payload: entry.payload,
            })
            .collect()
    }

    fn is_snapshot_wanted(&self) -> bool {
        let since_snapshot = self.delivered_index - self.log.snapshot().index;
        since_snapshot > self.settings.compaction_threshold as u64
    }
}
