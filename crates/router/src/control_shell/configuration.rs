//! Client of the platform's object API, which watches the configuration, writes
//! statuses and founds the group.

mod kinds;
mod statuses;
mod updates;

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::bounded;
use async_std::task::{self, JoinHandle};
use parking_lot::Mutex;
use threadledge_control::{
    AppliedObject, GroupObjectState, GroupObjectVersion, GroupWriteResult, Input, StatusWrite,
};
use threadledge_object_api::{
    ObjectClient, ObjectKey, PlatformError, PlatformErrorKind, ResolveSettings, StoredObject,
    TransportSettings, Watcher, WatcherSettings, Write, WriteOutcome, write_resolved,
};
use threadledge_types::objects::{
    API_VERSION, BackEndObject, KeyedServiceObject, ObjectMeta, ROUTER_GROUP_KIND,
    RouterGroupObject, RouterGroupSpec, SYSTEM_NAMESPACE, object,
};
use threadledge_types::{Generation, RegionName, RouterId};

use super::availability::{AvailabilityLog, PlatformUse};
use super::shared::ControlShell;
use crate::events::{EventId, emit};
use crate::settings::Settings;
use kinds::ConfigurationObject;
use statuses::StatusWriter;

/// Maximum number of updates that wait for the core.
const UPDATE_QUEUE: usize = 64;
/// Maximum number of statuses that wait to be written. Further ones are
/// dropped; the next leader, or this one when it next reads the object, writes
/// them.
const STATUS_QUEUE: usize = 8_192;

/// Reads and writes the platform's object API for the control core.
pub struct ConfigurationClient {
    client: ObjectClient,
    group_key: ObjectKey,
    own: RouterId,
    founder_address: SocketAddr,
    log: Arc<AvailabilityLog>,
    watches: Mutex<Vec<JoinHandle<()>>>,
    statuses: async_channel::Sender<StatusWrite>,
    seed: u64,
}

impl ConfigurationClient {
    /// Creates a client and starts the task that writes statuses.
    pub fn new(settings: &Settings, transport: TransportSettings, own: RouterId) -> Self {
        let client = ObjectClient::new(settings.platform_address, transport);
        let log = Arc::new(AvailabilityLog::default());
        let (statuses, queue) = bounded(STATUS_QUEUE);
        let writer = StatusWriter::new(client.clone(), log.clone());
        task::spawn(writer.run(queue));
        ConfigurationClient {
            client,
            group_key: group_key(&settings.region),
            own,
            founder_address: settings.peer_address,
            log,
            watches: Mutex::new(Vec::new()),
            statuses,
            seed: own.0,
        }
    }

    /// Reads the group object and reports it to the core.
    pub fn read_group_object(&self, shell: &ControlShell) {
        let (client, key, shell) = (self.client.clone(), self.group_key.clone(), shell.clone());
        let log = self.log.clone();
        task::spawn(async move {
            let read = client.get::<RouterGroupObject>(&key).await;
            match &read {
                Ok(_) => log.record_success(PlatformUse::Single),
                Err(error) => log.record_failure(PlatformUse::Single, error),
            }
            shell.input(Input::GroupObject(group_state(read)));
        });
    }

    /// Writes the group object and reports the result to the core.
    pub fn found_group(
        &self,
        shell: &ControlShell,
        generation: Generation,
        expected: Option<GroupObjectVersion>,
    ) {
        let object = self.group_object(generation, expected.clone());
        let write = match expected {
            Some(_) => Write::Replace(object),
            None => Write::Create(object),
        };
        let (client, shell, log) = (self.client.clone(), shell.clone(), self.log.clone());
        let settings = ResolveSettings {
            seed: self.seed,
            ..Default::default()
        };
        task::spawn(async move {
            let written = write_resolved(&client, &write, &settings).await;
            match &written {
                Ok(_) => log.record_success(PlatformUse::Single),
                Err(error) => log_failed_founding(&log, error),
            }
            let result = match written {
                Ok(WriteOutcome::Applied(_)) => GroupWriteResult::Written,
                Ok(_) => GroupWriteResult::Conflict,
                Err(_) => GroupWriteResult::Unavailable,
            };
            shell.input(Input::GroupObjectWritten { generation, result });
        });
    }

    /// Starts to watch back ends and services. Only the group's leader watches,
    /// so that the store has few readers.
    pub fn watch(&self, shell: &ControlShell, known: &[AppliedObject]) {
        self.stop_watching();
        let mut watches = self.watches.lock();
        watches.extend(self.start_watch::<BackEndObject>(shell, known));
        watches.extend(self.start_watch::<KeyedServiceObject>(shell, known));
    }

    /// Stops the watches.
    pub fn stop_watching(&self) {
        for watch in self.watches.lock().drain(..) {
            task::spawn(watch.cancel());
        }
        self.log.clear_watches();
    }

    /// Queues a status to be written. Drops it if the queue is full.
    pub fn write_status(&self, write: StatusWrite) {
        let _ = self.statuses.try_send(write);
    }

    fn start_watch<K: ConfigurationObject>(
        &self,
        shell: &ControlShell,
        known: &[AppliedObject],
    ) -> [JoinHandle<()>; 2] {
        let settings = WatcherSettings {
            seed: self.seed,
            ..Default::default()
        };
        let (sender, queue) = bounded(UPDATE_QUEUE);
        let watcher = Watcher::<K>::new(
            self.client.clone(),
            settings,
            updates::tracker::<K>(known),
            sender,
        );
        let feed = updates::feed(shell.clone(), self.log.clone(), queue);
        [task::spawn(watcher.run()), task::spawn(feed)]
    }

    fn group_object(
        &self,
        generation: Generation,
        expected: Option<GroupObjectVersion>,
    ) -> RouterGroupObject {
        let metadata = ObjectMeta {
            namespace: Some(self.group_key.namespace.clone()),
            name: Some(self.group_key.name.clone()),
            resource_version: expected.map(|version| version.0),
            ..Default::default()
        };
        object::Object {
            types: Some(kube_core::TypeMeta {
                api_version: API_VERSION.to_owned(),
                kind: ROUTER_GROUP_KIND.to_owned(),
            }),
            metadata,
            spec: RouterGroupSpec {
                generation: generation.0,
                founder: self.own.to_string(),
                founder_address: self.founder_address,
            },
            status: None,
        }
    }
}

/// Returns the key of a region's group object.
fn group_key(region: &RegionName) -> ObjectKey {
    ObjectKey::new(SYSTEM_NAMESPACE, region.to_string())
}

fn group_state(read: Result<StoredObject<RouterGroupObject>, PlatformError>) -> GroupObjectState {
    let stored = match read {
        Ok(stored) => stored,
        Err(error) if error.kind == PlatformErrorKind::NotFound => return GroupObjectState::Absent,
        Err(_) => return GroupObjectState::Unavailable,
    };
    let Ok(object) = &stored.content else {
        return GroupObjectState::Unavailable;
    };
    let Ok(founder) = u64::from_str_radix(&object.spec.founder, 16) else {
        return GroupObjectState::Unavailable;
    };
    GroupObjectState::Present {
        generation: Generation(object.spec.generation),
        founder: RouterId(founder),
        version: GroupObjectVersion(stored.resource_version.to_string()),
    }
}

/// Logs a failed write of the group object. If its response was lost, the write
/// is not repeated: the core reads the object back and sees whether it names
/// this router as the founder.
fn log_failed_founding(log: &AvailabilityLog, error: &PlatformError) {
    if error.is_ambiguous() {
        emit!(EventId::WriteAmbiguous, %error);
    }
    log.record_failure(PlatformUse::Single, error);
}
