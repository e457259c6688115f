//! Back ends and their sessions, over all services.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::records::{BackEndRecord, SessionRecord};
use threadledge_types::{BackEndId, Incarnation, SessionId, Timestamp};

/// One back end, as far as it is known. The object may be gone while a
/// session is still open, and the other way round.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub id: Arc<BackEndId>,
    pub record: Option<Box<BackEndRecord>>,
    /// It answers the leader; one that does not is given nothing, and keeps
    /// what it owns until its session ends.
    pub answers: bool,
    sessions: BTreeMap<Incarnation, Session>,
}

#[derive(Clone, Copy, Debug)]
struct Session {
    draining: bool,
    seen: Timestamp,
}

/// The session that may take slices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenSession {
    pub id: SessionId,
    /// When this planner first saw it.
    pub seen: Timestamp,
}

impl Entry {
    /// The latest session, if it may take slices. A draining session never
    /// may: a leaving back end gets no new work.
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
            seen: session.seen,
        })
    }
}

/// All back ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    entries: BTreeMap<Arc<BackEndId>, Entry>,
}

impl Directory {
    pub(crate) fn get(&self, id: &BackEndId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The shared form of an identifier.
    pub(crate) fn share(&self, id: &BackEndId) -> Arc<BackEndId> {
        match self.entries.get_key_value(id) {
            Some((shared, _)) => Arc::clone(shared),
            None => Arc::new(id.clone()),
        }
    }

    /// Back ends of one namespace, in order.
    pub(crate) fn in_namespace<'a>(
        &'a self,
        namespace: &'a str,
    ) -> impl Iterator<Item = &'a Entry> + 'a {
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
        self.forget_if_empty(id);
    }

    pub(crate) fn put_session(&mut self, session: &SessionRecord, now: Timestamp) {
        let entry = self.entry(&session.id.back_end);
        let known = entry
            .sessions
            .entry(session.id.incarnation)
            .or_insert(Session {
                draining: session.draining,
                seen: now,
            });
        known.draining = session.draining;
    }

    /// Notes whether a known back end answers.
    pub(crate) fn set_answers(&mut self, id: &BackEndId, answers: bool) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.answers = answers;
        }
    }

    pub(crate) fn remove_session(&mut self, id: &SessionId) {
        if let Some(entry) = self.entries.get_mut(&id.back_end) {
            entry.sessions.remove(&id.incarnation);
        }
        self.forget_if_empty(&id.back_end);
    }

    fn entry(&mut self, id: &BackEndId) -> &mut Entry {
        let shared = self.share(id);
        self.entries
            .entry(Arc::clone(&shared))
            .or_insert_with(|| Entry {
                id: shared,
                record: None,
                answers: true,
                sessions: BTreeMap::new(),
            })
    }

    fn forget_if_empty(&mut self, id: &BackEndId) {
        let empty = self
            .entries
            .get(id)
            .is_some_and(|entry| entry.record.is_none() && entry.sessions.is_empty());
        if empty {
            self.entries.remove(id);
        }
    }
}
