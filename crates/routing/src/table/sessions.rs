//! Sessions and back ends under small indices, so that a slice stores four
//! bytes instead of names.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU32;
use std::sync::Arc;

use threadledge_types::objects::BackEndSpec;
use threadledge_types::{BackEndId, Incarnation, SessionId};

/// Index of a session. It is reused once the session has ended and no slice
/// refers to it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct SessionIndex(NonZeroU32);

impl SessionIndex {
    const FIRST: SessionIndex = SessionIndex(NonZeroU32::MIN);

    fn at(position: usize) -> SessionIndex {
        let number = u32::try_from(position + 1).ok().and_then(NonZeroU32::new);
        SessionIndex(number.expect("session indices fit into 32 bits"))
    }

    fn position(self) -> usize {
        self.0.get() as usize - 1
    }
}

/// Index of a back end; a table never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BackEndIndex(u32);

/// One session, open or still referred to by slices.
#[derive(Debug)]
pub(crate) struct SessionEntry {
    pub(crate) back_end: BackEndIndex,
    pub(crate) incarnation: Incarnation,
    /// Whether the session has a record. A session without one has ended.
    pub(crate) open: bool,
    pub(crate) draining: bool,
    /// Number of slices that refer to the session.
    slice_count: u32,
}

/// One back end that has a record or is still referred to by sessions.
#[derive(Debug)]
pub(crate) struct BackEndEntry {
    pub(crate) id: Arc<BackEndId>,
    pub(crate) spec: Option<BackEndSpec>,
    /// Its sessions, by incarnation.
    sessions: BTreeSet<(Incarnation, SessionIndex)>,
}

/// All sessions and back ends of a table.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    /// Sessions by index, so that the session of a slice is found in one step.
    sessions: Vec<Option<SessionEntry>>,
    free_sessions: Vec<SessionIndex>,
    back_ends: BTreeMap<BackEndIndex, BackEndEntry>,
    back_end_by_id: BTreeMap<Arc<BackEndId>, BackEndIndex>,
    last_back_end_index: u32,
}

impl Sessions {
    pub(crate) fn session(&self, index: SessionIndex) -> Option<&SessionEntry> {
        self.sessions.get(index.position())?.as_ref()
    }

    pub(crate) fn back_end(&self, index: BackEndIndex) -> Option<&BackEndEntry> {
        self.back_ends.get(&index)
    }

    /// Returns the open session of a back end with the latest incarnation.
    pub(crate) fn current_session(&self, index: BackEndIndex) -> Option<&SessionEntry> {
        let entry = self.back_ends.get(&index)?;
        let latest_first = entry.sessions.iter().rev();
        latest_first
            .filter_map(|(_, session)| self.session(*session))
            .find(|session| session.open)
    }

    pub(crate) fn set_back_end(&mut self, id: &BackEndId, spec: BackEndSpec) -> BackEndIndex {
        let index = self.back_end_index(id);
        self.back_end_entry(index).spec = Some(spec);
        index
    }

    pub(crate) fn remove_back_end(&mut self, id: &BackEndId) -> Option<BackEndIndex> {
        let index = *self.back_end_by_id.get(id)?;
        self.back_end_entry(index).spec = None;
        self.remove_back_end_if_unused(index);
        Some(index)
    }

    pub(crate) fn open_session(&mut self, id: &SessionId, draining: bool) -> BackEndIndex {
        let index = self.session_index(id);
        let entry = self.session_entry(index);
        entry.open = true;
        entry.draining = draining;
        entry.back_end
    }

    pub(crate) fn close_session(&mut self, id: &SessionId) -> Option<BackEndIndex> {
        let index = self.find_session(id)?;
        let entry = self.session_entry(index);
        entry.open = false;
        let back_end = entry.back_end;
        self.remove_session_if_unused(index);
        Some(back_end)
    }

    /// Returns the index of a session and counts a slice that refers to it.
    pub(crate) fn retain(&mut self, id: &SessionId) -> SessionIndex {
        let index = self.session_index(id);
        self.session_entry(index).slice_count += 1;
        index
    }

    /// Counts off a slice that no longer refers to the session.
    pub(crate) fn release(&mut self, index: SessionIndex) {
        if let Some(Some(entry)) = self.sessions.get_mut(index.position()) {
            entry.slice_count = entry.slice_count.saturating_sub(1);
        }
        self.remove_session_if_unused(index);
    }

    /// All back ends that have a record.
    pub(crate) fn recorded_back_ends(&self) -> impl Iterator<Item = (BackEndIndex, &BackEndEntry)> {
        self.back_ends
            .iter()
            .filter(|(_, entry)| entry.spec.is_some())
            .map(|(index, entry)| (*index, entry))
    }

    /// All sessions that have a record.
    pub(crate) fn open_sessions(&self) -> Vec<SessionId> {
        let entries = self.sessions.iter().flatten();
        let open = entries.filter(|entry| entry.open);
        open.filter_map(|entry| {
            let back_end = self.back_ends.get(&entry.back_end)?;
            Some(SessionId {
                back_end: BackEndId::clone(&back_end.id),
                incarnation: entry.incarnation,
            })
        })
        .collect()
    }

    fn find_session(&self, id: &SessionId) -> Option<SessionIndex> {
        let back_end = self.back_end_by_id.get(&id.back_end)?;
        let sessions = &self.back_ends.get(back_end)?.sessions;
        let from = (id.incarnation, SessionIndex::FIRST);
        let (incarnation, index) = sessions.range(from..).next()?;
        (*incarnation == id.incarnation).then_some(*index)
    }

    fn session_index(&mut self, id: &SessionId) -> SessionIndex {
        if let Some(index) = self.find_session(id) {
            return index;
        }
        let back_end = self.back_end_index(&id.back_end);
        let entry = SessionEntry {
            back_end,
            incarnation: id.incarnation,
            open: false,
            draining: false,
            slice_count: 0,
        };
        let index = self.store_session(entry);
        let sessions = &mut self.back_end_entry(back_end).sessions;
        sessions.insert((id.incarnation, index));
        index
    }

    fn store_session(&mut self, entry: SessionEntry) -> SessionIndex {
        if let Some(index) = self.free_sessions.pop() {
            self.sessions[index.position()] = Some(entry);
            return index;
        }
        self.sessions.push(Some(entry));
        SessionIndex::at(self.sessions.len() - 1)
    }

    fn back_end_index(&mut self, id: &BackEndId) -> BackEndIndex {
        if let Some(index) = self.back_end_by_id.get(id) {
            return *index;
        }
        self.last_back_end_index += 1;
        let index = BackEndIndex(self.last_back_end_index);
        let id = Arc::new(id.clone());
        let entry = BackEndEntry {
            id: Arc::clone(&id),
            spec: None,
            sessions: BTreeSet::new(),
        };
        self.back_ends.insert(index, entry);
        self.back_end_by_id.insert(id, index);
        index
    }

    fn session_entry(&mut self, index: SessionIndex) -> &mut SessionEntry {
        self.sessions[index.position()]
            .as_mut()
            .expect("every session index has an entry")
    }

    fn back_end_entry(&mut self, index: BackEndIndex) -> &mut BackEndEntry {
        self.back_ends
            .get_mut(&index)
            .expect("every back-end index has an entry")
    }

    fn remove_session_if_unused(&mut self, index: SessionIndex) {
        let Some(entry) = self.session(index) else {
            return;
        };
        if entry.open || entry.slice_count > 0 {
            return;
        }
        let (back_end, incarnation) = (entry.back_end, entry.incarnation);
        self.sessions[index.position()] = None;
        self.free_sessions.push(index);
        let sessions = &mut self.back_end_entry(back_end).sessions;
        sessions.remove(&(incarnation, index));
        self.remove_back_end_if_unused(back_end);
    }

    fn remove_back_end_if_unused(&mut self, index: BackEndIndex) {
        let Some(entry) = self.back_ends.get(&index) else {
            return;
        };
        if entry.spec.is_some() || !entry.sessions.is_empty() {
            return;
        }
        let id = Arc::clone(&entry.id);
        self.back_ends.remove(&index);
        self.back_end_by_id.remove(&id);
    }
}
