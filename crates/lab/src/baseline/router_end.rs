//! The end of a baseline's router ends its view.

use std::collections::BTreeSet;

use threadledge_types::session::Grant;
use threadledge_types::{Epoch, SessionId, Timestamp};

use crate::history::Event;

/// A router that ended, named by the epoch of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterEnd {
    /// Epoch under which it recorded.
    pub epoch: Epoch,
    /// When it ended.
    pub at: Timestamp,
}

/// Adds the releases that routers could not record because they had ended: a
/// router that is gone sends nothing to anyone.
pub fn release_views(events: &mut Vec<Event>, ends: &[RouterEnd]) {
    for end in ends {
        let open = open_at(events, end);
        let releases = open.into_iter().map(|(session, grant)| {
            let at = end.at;
            Event::GrantReleased { at, session, grant }
        });
        events.extend(releases);
    }
}

/// What the router's view held when it ended. Each router records its own
/// events in the order of their times.
fn open_at(events: &[Event], end: &RouterEnd) -> BTreeSet<(SessionId, Grant)> {
    let mut open = BTreeSet::new();
    for event in events {
        match event {
            Event::GrantTaken { at, session, grant }
                if grant.epoch == end.epoch && *at <= end.at =>
            {
                open.insert((session.clone(), grant.clone()));
            }
            Event::GrantReleased { at, session, grant }
                if grant.epoch == end.epoch && *at <= end.at =>
            {
                open.remove(&(session.clone(), grant.clone()));
            }
            _ => {}
        }
    }
    open
}
