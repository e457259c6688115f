//! Back ends and their sessions, shared by all services.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::records::{BackEndRecord, SessionRecord};
use threadledge_types::{BackEndId, Incarnation, SessionId, Timestamp};

/// One back end as far as it is known. The object may be deleted while a
/// session is still open, and a session may be known before the object.
#[derive(Clone, Debug)]
pub(crate) struct BackEndEntry {
    pub id: Arc<BackEndId>,
    pub record: Option<Box<BackEndRecord>>,
    /// True if it responds to the leader. One that does not receives no slices,
    /// and keeps what it owns until its session ends.
    pub reachable: bool,
    sessions: BTreeMap<Incarnation, Session>,
}

/// One session of a back end.
#[derive(Clone, Copy, Debug)]
struct Session {
    draining: bool,
    first_seen: Timestamp,
}

/// A session that may receive slices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenSession {
    pub id: SessionId,
    /// Time at which this planner first saw it.
    pub first_seen: Timestamp,
}

impl BackEndEntry {
    /// Returns the latest session if it may receive slices. A draining session
    /// may not.
    pub(crate) fn open_session(&self) -> Option<OpenSession> {
        let (incarnation, session) = self.sessions.last_key_value()?;
        if session.draining {
            return None;
        }
        Some(OpenSession {
            id: SessionId {
                back_end: BackEndId::clone(&self.id),
                incarnation: *incarnation,
            },
            first_seen: session.first_seen,
        })
    }
}

/// All back ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeMap<Arc<BackEndId>, BackEndEntry>,
}

impl Directory {
    pub(crate) fn get(&self, id: &BackEndId) -> Option<&BackEndEntry> {
        self.entries.get(id)
    }

    /// Returns the shared copy of an identifier.
    pub(crate) fn shared_id(&self, id: &BackEndId) -> Arc<BackEndId> {
        match self.entries.get_key_value(id) {
            Some((shared, _)) => Arc::clone(shared),
            None => Arc::new(id.clone()),
        }
    }

    /// Returns the back ends of one namespace in order.
    pub(crate) fn in_namespace<'a>(
        &'a self,
        namespace: &'a str,
    ) -> impl Iterator<Item = &'a BackEndEntry> + 'a {
        let start = BackEndId::new(namespace, "");
        self.entries
            .range::<BackEndId, _>(start..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.id.namespace == namespace)
    }

    pub(crate) fn put_record(&mut self, record: Box<BackEndRecord>) {
        let id = record.id.clone();
        self.entry(&id).record = Some(record);
    }

    pub(crate) fn remove_record(&mut self, id: &BackEndId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.record = None;
        }
        self.remove_if_empty(id);
    }

    pub(crate) fn put_session(&mut self, session: &SessionRecord, now: Timestamp) {
        let entry = self.entry(&session.id.back_end);
        let known = entry
            .sessions
            .entry(session.id.incarnation)
            .or_insert(Session {
                draining: session.draining,
                first_seen: now,
            });
        known.draining = session.draining;
    }

    /// Sets whether a known back end responds.
    pub(crate) fn set_reachable(&mut self, id: &BackEndId, reachable: bool) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.reachable = reachable;
        }
    }

    pub(crate) fn remove_session(&mut self, id: &SessionId) {
        if let Some(entry) = self.entries.get_mut(&id.back_end) {
            entry.sessions.remove(&id.incarnation);
        }
        self.remove_if_empty(&id.back_end);
    }

    fn entry(&mut self, id: &BackEndId) -> &mut BackEndEntry {
        let shared = self.shared_id(id);
        self.entries
            .entry(Arc::clone(&shared))
            .or_insert_with(|| BackEndEntry {
                id: shared,
                record: None,
                reachable: true,
                sessions: BTreeMap::new(),
            })
    }

    fn remove_if_empty(&mut self, id: &BackEndId) {
        let empty = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.record.is_none() && entry.sessions.is_empty());
        if empty {
            self.entries.remove(id);
        }
    }
}
