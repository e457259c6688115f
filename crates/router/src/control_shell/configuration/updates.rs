//! Conversion of a watcher's updates into inputs of the control core.

use std::sync::Arc;

use async_channel::Receiver;
use threadledge_control::{AppliedObject, ConfigurationEvent, Input, Listing, ObservedObject};
use threadledge_object_api::{Change, ObjectTracker, StoredObject, WatchUpdate, Withheld};

use super::kinds::{ConfigurationObject, object_key};
use crate::control_shell::availability::AvailabilityLog;
use crate::control_shell::shared::ControlShell;
use crate::events::{EventId, emit};

/// Returns a tracker of the versions that the group has applied, so that a new
/// leader does not accept older versions from a store that was reset to an
/// earlier state.
pub(super) fn tracker<K: ConfigurationObject>(known: &[AppliedObject]) -> ObjectTracker {
    let of_kind = known.iter().filter_map(|known| {
        let key = object_key(&known.object);
        let same_kind = K::object_ref(&key) == known.object;
        same_kind.then_some((key, known.resource_version))
    });
    ObjectTracker::with_delivered(of_kind)
}

/// Feeds a watcher's updates to the core, in order.
pub(super) async fn feed<K: ConfigurationObject>(
    shell: ControlShell,
    log: Arc<AvailabilityLog>,
    updates: Receiver<WatchUpdate<K>>,
) {
    let mut store_version = StoreVersion::default();
    while let Ok(update) = updates.recv().await {
        if let WatchUpdate::Interrupted { error, .. } = &update {
            log.record_failure(K::PLATFORM_USE, error);
            continue;
        }
        log.record_success(K::PLATFORM_USE);
        if let Some(event) = store_version.next_event(update) {
            shell.input(Input::Configuration(Box::new(event)));
        }
    }
}

/// Version of the store as seen by one watch.
#[derive(Debug, Default)]
struct StoreVersion {
    /// Latest version seen.
    latest: u64,
    /// True if the store returned an older version than was seen before and this
    /// has been logged.
    is_behind: bool,
}

impl StoreVersion {
    /// Returns the core's event for an update, if it needs one.
    fn next_event<K: ConfigurationObject>(
        &mut self,
        update: WatchUpdate<K>,
    ) -> Option<ConfigurationEvent> {
        match update {
            WatchUpdate::Snapshot {
                objects,
                withheld,
                resource_version,
                ..
            } => {
                self.record_version(resource_version);
                log_withheld(&withheld);
                let withheld = withheld.iter().map(|withheld| K::object_ref(&withheld.key));
                Some(K::list_event(Listing {
                    withheld: withheld.collect(),
                    objects: objects.into_iter().map(observed).collect(),
                    resource_version,
                }))
            }
            WatchUpdate::Change(Change::Applied(stored)) => {
                self.record_version(stored.resource_version);
                Some(K::change_event(observed(stored)))
            }
            WatchUpdate::Change(Change::Removed(key)) => Some(ConfigurationEvent::Deleted {
                object: K::object_ref(&key),
                resource_version: self.latest + 1,
            }),
            WatchUpdate::Confirmed(version) => {
                self.record_version(version);
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

    fn record_version(&mut self, version: u64) {
        self.latest = self.latest.max(version);
        self.is_behind = false;
    }
}

fn log_withheld(withheld: &[Withheld]) {
    for object in withheld {
        emit!(EventId::PlatformWentBack, object = %object.key, reason = %object.reason);
    }
}

fn observed<K: ConfigurationObject>(stored: StoredObject<K>) -> ObservedObject<K> {
    ObservedObject {
        object: K::object_ref(&stored.key),
        generation: stored.generation,
        content: stored.content.map_err(|problem| *problem),
    }
}
