//! Ends the ownership recorded by a baseline router when the router ends.

use std::collections::BTreeSet;

use threadledge_types::session::Grant;
use threadledge_types::{Epoch, SessionId, Timestamp};

use crate::history::Event;

/// The end of a router, which is identified by the epoch of its view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterEnd {
    /// Epoch of its recorded grants.
    pub epoch: Epoch,
    /// Time of its end.
    pub at: Timestamp,
}

/// Adds release events for the grants that ended routers still held, since
/// those routers could not record them and no longer send requests.
pub fn release_grants_of_ended_routers(events: &mut Vec<Event>, ends: &[RouterEnd]) {
    for end in ends {
        let open = held_grants_at_end(events, end);
        let releases = open.into_iter().map(|(session, grant)| {
            let at = end.at;
            Event::GrantReleased { at, session, grant }
        });
        events.extend(releases);
    }
}

/// Returns the grants that the router's view held when it ended. The events of
/// each router are in the order of their times.
fn held_grants_at_end(events: &[Event], end: &RouterEnd) -> BTreeSet<(SessionId, Grant)> {
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
