//! What the owner of a node has to carry out.

use threadledge_types::Revision;

use crate::entry::Payload;
use crate::message::Outgoing;
use crate::node::Node;

/// What the owner of a node has to carry out, in the order of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Ready<C, S> {
    /// Messages to send; each may be lost.
    pub messages: Vec<Outgoing<C, S>>,
    /// State with which the application replaces its own, before it applies
    /// `committed`.
    pub restore: Option<RestoredState<S>>,
    /// Entries to apply, in order, each handed out once.
    pub committed: Vec<CommittedEntry<C>>,
    /// The log has grown past the threshold: the application should call
    /// [`Node::compact`]. Set until it does.
    pub snapshot_wanted: bool,
}

/// State of the application at a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState<S> {
    /// Revision that the state covers.
    pub revision: Revision,
    /// The state.
    pub snapshot: S,
}

/// A committed entry: it survives every loss that leaves a majority.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedEntry<C> {
    /// Position in the group's history.
    pub revision: Revision,
    /// Content.
    pub payload: Payload<C>,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Hands out what has to be carried out since the last call.
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
