//! From a watcher's updates to the control core's inputs.

use std::sync::Arc;

use async_channel::Receiver;
use threadledge_control::{ConfigurationEvent, Input, KnownObject, Listing, ObservedObject};
use threadledge_object_api::{Change, ObjectTracker, StoredObject, WatchUpdate, Withheld};

use super::kinds::{Configured, object_key};
use crate::control_shell::availability::AvailabilityLog;
use crate::control_shell::shared::ControlShell;
use crate::events::{EventId, emit};

/// A tracker that knows what the group has applied, so that a new leader
/// distrusts a store that went back meanwhile.
pub(super) fn tracker<K: Configured>(known: &[KnownObject]) -> ObjectTracker {
    let of_kind = known.iter().filter_map(|known| {
        let key = object_key(&known.object);
        let same_kind = K::reference(&key) == known.object;
        same_kind.then_some((key, known.resource_version))
    });
    ObjectTracker::with_delivered(of_kind)
}

/// Feeds a watcher's updates to the core, in order.
pub(super) async fn feed<K: Configured>(
    shell: ControlShell,
    log: Arc<AvailabilityLog>,
    updates: Receiver<WatchUpdate<K>>,
) {
    let mut seen = StoreSeen::default();
    while let Ok(update) = updates.recv().await {
        if let WatchUpdate::Interrupted { error, .. } = &update {
            log.record_failure(K::WATCH, error);
            continue;
        }
        log.record_success(K::WATCH);
        if let Some(event) = seen.event_of(update) {
            shell.input(Input::Configuration(Box::new(event)));
        }
    }
}

/// What one watch has shown of the store.
#[derive(Debug, Default)]
struct StoreSeen {
    /// Latest version.
    version: u64,
    /// The store shows less than was seen before, and the log says so.
    is_behind: bool,
}

impl StoreSeen {
    /// The core's input for an update, if it needs one.
    fn event_of<K: Configured>(&mut self, update: WatchUpdate<K>) -> Option<ConfigurationEvent> {
        match update {
            WatchUpdate::Snapshot {
                objects,
                withheld,
                resource_version,
                ..
            } => {
                self.shown(resource_version);
                log_withheld(&withheld);
                let withheld = withheld.iter().map(|withheld| K::reference(&withheld.key));
                Some(K::listed(Listing {
                    withheld: withheld.collect(),
                    objects: objects.into_iter().map(observed).collect(),
                    resource_version,
                }))
            }
            WatchUpdate::Change(Change::Applied(stored)) => {
                self.shown(stored.resource_version);
                Some(K::changed(observed(stored)))
            }
            WatchUpdate::Change(Change::Removed(key)) => Some(ConfigurationEvent::Deleted {
                object: K::reference(&key),
                resource_version: self.version + 1,
            }),
            WatchUpdate::Confirmed(version) => {
                self.shown(version);
                None
            }
            WatchUpdate::OlderStore { seen, shown } => {
                if !std::mem::replace(&mut self.is_behind, true) {
                    emit!(EventId::PlatformWentBack, seen, shown);
                }
                None
            }
            WatchUpdate::Interrupted { .. } => None,
        }
    }

    fn shown(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.is_behind = false;
    }
}

fn log_withheld(withheld: &[Withheld]) {
    for object in withheld {
        emit!(EventId::PlatformWentBack, object = %object.key, reason = %object.reason);
    }
}

fn observed<K: Configured>(stored: StoredObject<K>) -> ObservedObject<K> {
    ObservedObject {
        object: K::reference(&stored.key),
        generation: stored.generation,
        content: stored.content.map_err(|problem| *problem),
    }
}
