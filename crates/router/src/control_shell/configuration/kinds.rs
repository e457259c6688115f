//! The kinds of objects that the control core takes in.

use threadledge_control::{ConfigurationEvent, Listing, ObjectRef, ObservedObject};
use threadledge_object_api::{ApiObject, ObjectKey};
use threadledge_types::objects::{AcceptanceStatus, BackEndObject, KeyedServiceObject};
use threadledge_types::{BackEndId, ServiceId};

use crate::control_shell::availability::PlatformUse;

/// A kind of object that the core takes in.
pub(super) trait Configured: ApiObject {
    /// Name of the watch in the availability of the platform.
    const WATCH: PlatformUse;

    /// The core's name of an object.
    fn reference(key: &ObjectKey) -> ObjectRef;

    /// The core's input for a whole list.
    fn listed(listing: Listing<Self>) -> ConfigurationEvent;

    /// The core's input for one object.
    fn changed(observed: ObservedObject<Self>) -> ConfigurationEvent;

    /// The status, if the object has one.
    fn status(&self) -> Option<&AcceptanceStatus>;

    /// The object with another status.
    fn with_status(self, status: AcceptanceStatus) -> Self;
}

impl Configured for BackEndObject {
    const WATCH: PlatformUse = PlatformUse::WatchBackEnds;

    fn reference(key: &ObjectKey) -> ObjectRef {
        ObjectRef::BackEnd(BackEndId::new(&key.namespace, &key.name))
    }

    fn listed(listing: Listing<Self>) -> ConfigurationEvent {
        ConfigurationEvent::BackEndsListed(listing)
    }

    fn changed(observed: ObservedObject<Self>) -> ConfigurationEvent {
        ConfigurationEvent::BackEndChanged(observed)
    }

    fn status(&self) -> Option<&AcceptanceStatus> {
        self.status.as_ref()
    }

    fn with_status(mut self, status: AcceptanceStatus) -> Self {
        self.status = Some(status);
        self
    }
}

impl Configured for KeyedServiceObject {
    const WATCH: PlatformUse = PlatformUse::WatchServices;

    fn reference(key: &ObjectKey) -> ObjectRef {
        ObjectRef::Service(ServiceId::new(&key.namespace, &key.name))
    }

    fn listed(listing: Listing<Self>) -> ConfigurationEvent {
        ConfigurationEvent::ServicesListed(listing)
    }

    fn changed(observed: ObservedObject<Self>) -> ConfigurationEvent {
        ConfigurationEvent::ServiceChanged(observed)
    }

    fn status(&self) -> Option<&AcceptanceStatus> {
        self.status.as_ref()
    }

    fn with_status(mut self, status: AcceptanceStatus) -> Self {
        self.status = Some(status);
        self
    }
}

/// Name of an object in the store.
pub(super) fn object_key(object: &ObjectRef) -> ObjectKey {
    match object {
        ObjectRef::BackEnd(id) => ObjectKey::new(&id.namespace, &id.name),
        ObjectRef::Service(id) => ObjectKey::new(&id.namespace, &id.name),
    }
}
