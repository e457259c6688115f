//! Kinds of configuration objects that are fed to the control core.

use threadledge_control::{ConfigurationEvent, Listing, ObjectRef, ObservedObject};
use threadledge_object_api::{ApiObject, ObjectKey};
use threadledge_types::objects::{AcceptanceStatus, BackEndObject, KeyedServiceObject};
use threadledge_types::{BackEndId, ServiceId};

use crate::control_shell::availability::PlatformUse;

/// A kind of configuration object.
pub(super) trait ConfigurationObject: ApiObject {
    /// The watch of this kind, for the platform's availability.
    const PLATFORM_USE: PlatformUse;

    /// Returns the core's reference to an object.
    fn object_ref(key: &ObjectKey) -> ObjectRef;

    /// Returns the core's event for a complete list.
    fn list_event(listing: Listing<Self>) -> ConfigurationEvent;

    /// Returns the core's event for a changed object.
    fn change_event(observed: ObservedObject<Self>) -> ConfigurationEvent;

    /// Returns the status, if the object has one.
    fn status(&self) -> Option<&AcceptanceStatus>;

    /// Returns the object with another status.
    fn with_status(self, status: AcceptanceStatus) -> Self;
}

impl ConfigurationObject for BackEndObject {
    const PLATFORM_USE: PlatformUse = PlatformUse::WatchBackEnds;

    fn object_ref(key: &ObjectKey) -> ObjectRef {
        ObjectRef::BackEnd(BackEndId::new(&key.namespace, &key.name))
    }

    fn list_event(listing: Listing<Self>) -> ConfigurationEvent {
        ConfigurationEvent::BackEndsListed(listing)
    }

    fn change_event(observed: ObservedObject<Self>) -> ConfigurationEvent {
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

impl ConfigurationObject for KeyedServiceObject {
    const PLATFORM_USE: PlatformUse = PlatformUse::WatchServices;

    fn object_ref(key: &ObjectKey) -> ObjectRef {
        ObjectRef::Service(ServiceId::new(&key.namespace, &key.name))
    }

    fn list_event(listing: Listing<Self>) -> ConfigurationEvent {
        ConfigurationEvent::ServicesListed(listing)
    }

    fn change_event(observed: ObservedObject<Self>) -> ConfigurationEvent {
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

/// Returns the key of an object in the store.
pub(super) fn object_key(object: &ObjectRef) -> ObjectKey {
    match object {
        ObjectRef::BackEnd(id) => ObjectKey::new(&id.namespace, &id.name),
        ObjectRef::Service(id) => ObjectKey::new(&id.namespace, &id.name),
    }
}
