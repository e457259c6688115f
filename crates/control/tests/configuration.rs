//! Configuration intake: which objects are accepted and rejected, and that
//! accepted ones never revert.

mod support;

use support::{
    SingleRouter, back_end, object_version, observed_back_end, observed_service, service,
};
use threadledge_control::{AcceptanceResult, ConfigurationEvent, Listing, ObjectRef};
use threadledge_types::{BackEndId, ServiceId};

fn put_service(
    router: &mut SingleRouter,
    namespace: &str,
    name: &str,
    host: &str,
) -> Vec<AcceptanceResult> {
    let object = service(namespace, name, host, object_version(10, 1));
    let event = ConfigurationEvent::ServiceChanged(observed_service(object));
    let statuses = router.configure(event);
    statuses.into_iter().map(|write| write.acceptance).collect()
}

fn slots(router: &SingleRouter) -> Option<u32> {
    let id = BackEndId::new("one", "server");
    let record = router.node.replica().back_end(&id)?;
    Some(record.spec.slots)
}

fn put_back_end(
    router: &mut SingleRouter,
    slots: u32,
    version: u64,
    generation: i64,
) -> Vec<AcceptanceResult> {
    let mut object = back_end("one", "server", 4_000, object_version(version, generation));
    object.spec.slots = slots;
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(object));
    let statuses = router.configure(event);
    statuses.into_iter().map(|write| write.acceptance).collect()
}

#[test]
fn accepted_service_is_in_force_when_its_status_says_so() {
    let mut router = SingleRouter::bootstrap();
    let results = put_service(&mut router, "one", "gallery", "gallery.example");
    let replica = router.node.replica();
    assert_eq!(results, [AcceptanceResult::Accepted(replica.revision())]);
    let id = ServiceId::new("one", "gallery");
    assert!(replica.service(&id).is_some());
}

#[test]
fn host_of_another_namespace_is_rejected() {
    let mut router = SingleRouter::bootstrap();
    put_service(&mut router, "one", "gallery", "gallery.example");
    let results = put_service(&mut router, "two", "thief", "gallery.example");
    assert!(
        matches!(results[..], [AcceptanceResult::Rejected(_)]),
        "{results:?}"
    );
    let thief = ServiceId::new("two", "thief");
    assert!(router.node.replica().service(&thief).is_none());
}

#[test]
fn released_host_can_be_claimed() {
    let mut router = SingleRouter::bootstrap();
    put_service(&mut router, "one", "gallery", "gallery.example");
    router.configure(ConfigurationEvent::Deleted {
        object: ObjectRef::Service(ServiceId::new("one", "gallery")),
        resource_version: 11,
    });
    let results = put_service(&mut router, "two", "heir", "gallery.example");
    assert!(
        matches!(results[..], [AcceptanceResult::Accepted(_)]),
        "{results:?}"
    );
}

#[test]
fn server_of_another_namespace_is_rejected() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 2, 10, 1);
    let stolen = back_end("two", "thief", 4_000, object_version(11, 1));
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(stolen));
    let statuses = router.configure(event);
    assert!(matches!(
        statuses[0].acceptance,
        AcceptanceResult::Rejected(_)
    ));
    let thief = BackEndId::new("two", "thief");
    assert!(router.node.replica().back_end(&thief).is_none());
}

#[test]
fn older_version_of_an_object_changes_nothing() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 3, 20, 2);
    let results = put_back_end(&mut router, 2, 10, 1);
    assert_eq!(results, []);
    assert_eq!(slots(&router), Some(3));
}

#[test]
fn deleted_object_is_not_restored_by_an_older_version() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 3, 20, 2);
    router.configure(ConfigurationEvent::Deleted {
        object: ObjectRef::BackEnd(BackEndId::new("one", "server")),
        resource_version: 25,
    });
    assert_eq!(slots(&router), None);
    put_back_end(&mut router, 3, 20, 2);
    assert_eq!(slots(&router), None);
}

#[test]
fn list_that_is_older_than_an_object_does_not_delete_it() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 3, 20, 2);
    router.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: Vec::new(),
        resource_version: 15,
    }));
    assert_eq!(slots(&router), Some(3));
}

#[test]
fn list_without_an_object_deletes_it_unless_it_is_withheld() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 3, 20, 2);
    let server = ObjectRef::BackEnd(BackEndId::new("one", "server"));
    router.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: vec![server],
        resource_version: 30,
    }));
    assert_eq!(slots(&router), Some(3));
    router.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: Vec::new(),
        resource_version: 30,
    }));
    assert_eq!(slots(&router), None);
}

#[test]
fn write_to_a_status_is_not_proposed_again() {
    let mut router = SingleRouter::bootstrap();
    put_back_end(&mut router, 3, 20, 2);
    let before = router.node.replica().revision();
    put_back_end(&mut router, 3, 21, 2);
    assert_eq!(router.node.replica().revision(), before);
}

#[test]
fn invalid_object_is_rejected_without_affecting_others() {
    let mut router = SingleRouter::bootstrap();
    let mut good = observed_back_end(back_end("one", "server", 4_000, object_version(10, 1)));
    let mut bad = good.clone();
    bad.object = ObjectRef::BackEnd(BackEndId::new("one", "broken"));
    let mut invalid = back_end("one", "broken", 4_100, object_version(11, 1));
    invalid.spec.slots = 0;
    bad.content = Ok(invalid);
    good.generation = 1;
    let statuses = router.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: vec![bad, good],
        withheld: Vec::new(),
        resource_version: 12,
    }));
    assert_eq!(slots(&router), Some(2));
    let rejected = statuses
        .iter()
        .filter(|write| matches!(write.acceptance, AcceptanceResult::Rejected(_)));
    assert_eq!(rejected.count(), 1);
}

#[test]
fn service_of_another_region_is_left_to_its_routers() {
    let mut router = SingleRouter::bootstrap();
    let mut object = service("one", "gallery", "gallery.example", object_version(10, 1));
    object.spec.region = "elsewhere".into();
    let event = ConfigurationEvent::ServiceChanged(observed_service(object));
    assert_eq!(router.configure(event), []);
    assert_eq!(router.node.replica().services().count(), 0);
}
