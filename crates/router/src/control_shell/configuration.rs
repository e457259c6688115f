//! The platform's object API: watching the configuration, writing statuses
//! and founding the group.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, bounded};
use async_std::task::{self, JoinHandle};
use k8s_openapi::apimachinery::pkg::apis::meta::v1::Time;
use k8s_openapi::jiff::Timestamp as WallTime;
use parking_lot::Mutex;
use threadledge_control::{
    ConfigurationEvent, FoundingResult, GroupObjectState, GroupObjectVersion, Input, KnownObject,
    Listing, ObjectRef, ObservedObject, StatusWrite, Verdict,
};
use threadledge_platform::{
    ApiObject, Change, ObjectClient, ObjectKey, ObjectTracker, PlatformErrorKind, ResolveSettings,
    StoredObject, TransportSettings, WatchUpdate, Watcher, WatcherSettings, Withheld, Write,
    WriteOutcome, write_resolved,
};
use threadledge_types::acceptance::{acceptance_status, accepted_condition};
use threadledge_types::objects::{
    API_VERSION, AcceptanceStatus, BackEndObject, KeyedServiceObject, ROUTER_GROUP_KIND,
    RouterGroupObject, RouterGroupSpec, SYSTEM_NAMESPACE, object,
};
use threadledge_types::{BackEndId, Generation, RegionName, RouterId, ServiceId};

use super::shared::ControlShell;
use crate::events::{EventId, emit};
use crate::settings::Settings;

/// Updates that may wait for the core.
const UPDATE_QUEUE: usize = 64;
/// Statuses that may wait to be written. More are dropped: the next leader,
/// or the next look at the object, writes them.
const STATUS_QUEUE: usize = 8_192;
/// Attempts at one status.
const STATUS_ATTEMPTS: usize = 5;
/// Pause between attempts at one status.
const STATUS_RETRY: Duration = Duration::from_millis(300);

/// The shell's side of the object API.
pub struct Configuration {
    client: ObjectClient,
    group_key: ObjectKey,
    own: RouterId,
    founder_address: std::net::SocketAddr,
    watches: Mutex<Vec<JoinHandle<()>>>,
    statuses: async_channel::Sender<StatusWrite>,
    seed: u64,
}

impl Configuration {
    /// A client of the object API that nothing is asked of yet.
    pub fn new(settings: &Settings, own: RouterId) -> Self {
        let client = ObjectClient::new(settings.platform_address, TransportSettings::default());
        let (statuses, queue) = bounded(STATUS_QUEUE);
        task::spawn(write_statuses(client.clone(), queue));
        Configuration {
            client,
            group_key: group_key(&settings.region),
            own,
            founder_address: settings.peer_address,
            watches: Mutex::new(Vec::new()),
            statuses,
            seed: own.0,
        }
    }

    /// Reads the group object and reports it to the core.
    pub fn read_group_object(&self, shell: &ControlShell) {
        let (client, key, shell) = (self.client.clone(), self.group_key.clone(), shell.clone());
        task::spawn(async move {
            let state = match client.get::<RouterGroupObject>(&key).await {
                Ok(stored) => group_state(&stored),
                Err(error) if error.kind == PlatformErrorKind::NotFound => GroupObjectState::Absent,
                Err(error) => {
                    emit!(EventId::PlatformUnavailable, %error);
                    GroupObjectState::Unavailable
                }
            };
            shell.input(Input::GroupObject(state));
        });
    }

    /// Writes the group object and reports what became of the write.
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
        let (client, shell, seed) = (self.client.clone(), shell.clone(), self.seed);
        task::spawn(async move {
            let settings = ResolveSettings {
                seed,
                ..Default::default()
            };
            let result = match write_resolved(&client, &write, &settings).await {
                Ok(WriteOutcome::Applied(_)) => FoundingResult::Written,
                Ok(_) => FoundingResult::Conflict,
                Err(error) => {
                    emit!(EventId::PlatformUnavailable, %error);
                    FoundingResult::Unavailable
                }
            };
            shell.input(Input::Founded { generation, result });
        });
    }

    /// Starts watching. Only the group's leader watches, so that the store
    /// has few readers.
    pub fn watch(&self, shell: &ControlShell, known: &[KnownObject]) {
        self.stop_watching();
        let mut watches = self.watches.lock();
        watches.extend(self.follow::<BackEndObject>(shell, known));
        watches.extend(self.follow::<KeyedServiceObject>(shell, known));
    }

    /// Stops watching.
    pub fn stop_watching(&self) {
        for watch in self.watches.lock().drain(..) {
            task::spawn(watch.cancel());
        }
    }

    /// Queues a status to be written.
    pub fn write_status(&self, write: StatusWrite) {
        let _ = self.statuses.try_send(write);
    }

    fn follow<K: Configured>(
        &self,
        shell: &ControlShell,
        known: &[KnownObject],
    ) -> [JoinHandle<()>; 2] {
        let settings = WatcherSettings {
            seed: self.seed,
            ..Default::default()
        };
        let (sender, updates) = bounded(UPDATE_QUEUE);
        let watcher = Watcher::<K>::new(self.client.clone(), settings, tracker::<K>(known), sender);
        let feed = feed_updates(shell.clone(), updates);
        [task::spawn(watcher.run()), task::spawn(feed)]
    }

    fn group_object(
        &self,
        generation: Generation,
        expected: Option<GroupObjectVersion>,
    ) -> RouterGroupObject {
        let metadata = threadledge_types::objects::ObjectMeta {
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

/// Name of a region's group object.
fn group_key(region: &RegionName) -> ObjectKey {
    ObjectKey::new(SYSTEM_NAMESPACE, region.to_string())
}

fn group_state(stored: &StoredObject<RouterGroupObject>) -> GroupObjectState {
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

/// A kind of object that the core takes in.
trait Configured: ApiObject {
    fn reference(key: &ObjectKey) -> ObjectRef;
    fn listed(listing: Listing<Self>) -> ConfigurationEvent;
    fn changed(observed: ObservedObject<Self>) -> ConfigurationEvent;
    fn status(&self) -> Option<&AcceptanceStatus>;
    fn with_status(self, status: AcceptanceStatus) -> Self;
}

macro_rules! configured {
    ($object:ty, $reference:expr, $listed:path, $changed:path) => {
        impl Configured for $object {
            fn reference(key: &ObjectKey) -> ObjectRef {
                $reference(key)
            }

            fn listed(listing: Listing<Self>) -> ConfigurationEvent {
                $listed(listing)
            }

            fn changed(observed: ObservedObject<Self>) -> ConfigurationEvent {
                $changed(observed)
            }

            fn status(&self) -> Option<&AcceptanceStatus> {
                self.status.as_ref()
            }

            fn with_status(mut self, status: AcceptanceStatus) -> Self {
                self.status = Some(status);
                self
            }
        }
    };
}

fn back_end_reference(key: &ObjectKey) -> ObjectRef {
    ObjectRef::BackEnd(BackEndId::new(&key.namespace, &key.name))
}

fn service_reference(key: &ObjectKey) -> ObjectRef {
    ObjectRef::Service(ServiceId::new(&key.namespace, &key.name))
}

configured!(
    BackEndObject,
    back_end_reference,
    ConfigurationEvent::BackEndsListed,
    ConfigurationEvent::BackEndChanged
);
configured!(
    KeyedServiceObject,
    service_reference,
    ConfigurationEvent::ServicesListed,
    ConfigurationEvent::ServiceChanged
);

/// A tracker that knows what the group has applied, so that a new leader
/// distrusts a store that went back meanwhile.
fn tracker<K: Configured>(known: &[KnownObject]) -> ObjectTracker {
    let of_kind = known.iter().filter_map(|known| {
        let key = object_key(&known.object);
        let same_kind = K::reference(&key) == known.object;
        same_kind.then_some((key, known.resource_version))
    });
    ObjectTracker::with_known(of_kind)
}

fn object_key(object: &ObjectRef) -> ObjectKey {
    match object {
        ObjectRef::BackEnd(id) => ObjectKey::new(&id.namespace, &id.name),
        ObjectRef::Service(id) => ObjectKey::new(&id.namespace, &id.name),
    }
}

/// Feeds a watcher's updates to the core, in order.
async fn feed_updates<K: Configured>(shell: ControlShell, updates: Receiver<WatchUpdate<K>>) {
    let mut seen = 0;
    let mut interrupted = false;
    while let Ok(update) = updates.recv().await {
        let event = match update {
            WatchUpdate::Snapshot {
                objects,
                withheld,
                resource_version,
                ..
            } => {
                seen = seen.max(resource_version);
                log_withheld(&withheld);
                let withheld = withheld.iter().map(|withheld| K::reference(&withheld.key));
                K::listed(Listing {
                    withheld: withheld.collect(),
                    objects: objects.into_iter().map(observed).collect(),
                    resource_version,
                })
            }
            WatchUpdate::Change(Change::Applied(stored)) => {
                seen = seen.max(stored.resource_version);
                K::changed(observed(stored))
            }
            WatchUpdate::Change(Change::Removed(key)) => ConfigurationEvent::Deleted {
                object: K::reference(&key),
                resource_version: seen + 1,
            },
            WatchUpdate::Confirmed(version) => {
                seen = seen.max(version);
                continue;
            }
            WatchUpdate::OlderStore { seen, shown } => {
                emit!(EventId::PlatformWentBack, seen, shown);
                continue;
            }
            WatchUpdate::Interrupted { error, .. } => {
                if !std::mem::replace(&mut interrupted, true) {
                    emit!(EventId::PlatformUnavailable, %error);
                }
                continue;
            }
        };
        if std::mem::take(&mut interrupted) {
            emit!(EventId::PlatformRestored, kind = K::KIND);
        }
        shell.input(Input::Configuration(Box::new(event)));
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

/// Writes statuses one after the other. Of several for one object that wait,
/// only the last is written.
async fn write_statuses(client: ObjectClient, queue: Receiver<StatusWrite>) {
    while let Ok(first) = queue.recv().await {
        let mut latest = BTreeMap::from([(first.object.clone(), first)]);
        while let Ok(next) = queue.try_recv() {
            latest.insert(next.object.clone(), next);
        }
        for (reference, write) in latest {
            let key = object_key(&reference);
            match reference {
                ObjectRef::BackEnd(_) => {
                    write_status::<BackEndObject>(&client, &key, &write).await;
                }
                ObjectRef::Service(_) => {
                    write_status::<KeyedServiceObject>(&client, &key, &write).await;
                }
            }
        }
    }
}

/// Reads the object, sets its status and writes it back on the condition that
/// nobody changed it in between.
async fn write_status<K: Configured>(client: &ObjectClient, key: &ObjectKey, write: &StatusWrite) {
    for _ in 0..STATUS_ATTEMPTS {
        match try_write_status::<K>(client, key, write).await {
            Ok(()) => return,
            Err(error) => emit!(EventId::PlatformUnavailable, object = %key, %error),
        }
        task::sleep(STATUS_RETRY).await;
    }
}

async fn try_write_status<K: Configured>(
    client: &ObjectClient,
    key: &ObjectKey,
    write: &StatusWrite,
) -> Result<(), threadledge_platform::PlatformError> {
    let stored = match client.get::<K>(key).await {
        Ok(stored) => stored,
        Err(error) if error.kind == PlatformErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    // A changed specification is judged anew; an unreadable object cannot be
    // written back without loss.
    let Ok(object) = stored.content else {
        return Ok(());
    };
    if stored.generation != write.observed_generation {
        return Ok(());
    }
    let status = next_status(object.status(), write);
    let object = object.with_status(status);
    match client.replace_status(&object).await {
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    }
}

fn next_status(previous: Option<&AcceptanceStatus>, write: &StatusWrite) -> AcceptanceStatus {
    let (problems, revision) = match &write.verdict {
        Verdict::Accepted(revision) => (Vec::new(), Some(*revision)),
        Verdict::Rejected(problems) => (problems.clone(), None),
    };
    let conditions = previous.iter().flat_map(|status| &status.conditions);
    let former = conditions
        .into_iter()
        .find(|condition| condition.type_ == threadledge_types::objects::ACCEPTED_CONDITION);
    let now = Time(WallTime::now());
    let condition = accepted_condition(write.observed_generation, &problems, former, now);
    acceptance_status(previous, condition, revision)
}
