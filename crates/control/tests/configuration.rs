//! Intake of configuration: what is accepted, refused and never reverted.

mod support;

use support::{Alone, back_end, observed_back_end, observed_service, service, stamp};
use threadledge_control::{AcceptanceResult, ConfigurationEvent, Listing, ObjectRef};
use threadledge_types::{BackEndId, ServiceId};

fn put_service(
    alone: &mut Alone,
    namespace: &str,
    name: &str,
    host: &str,
) -> Vec<AcceptanceResult> {
    let object = service(namespace, name, host, stamp(10, 1));
    let event = ConfigurationEvent::ServiceChanged(observed_service(object));
    let statuses = alone.configure(event);
    statuses.into_iter().map(|write| write.acceptance).collect()
}

fn slots(alone: &Alone) -> Option<u32> {
    let id = BackEndId::new("one", "server");
    let record = alone.node.replica().back_end(&id)?;
    Some(record.spec.slots)
}

fn put_back_end(
    alone: &mut Alone,
    slots: u32,
    version: u64,
    generation: i64,
) -> Vec<AcceptanceResult> {
    let mut object = back_end("one", "server", 4_000, stamp(version, generation));
    object.spec.slots = slots;
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(object));
    let statuses = alone.configure(event);
    statuses.into_iter().map(|write| write.acceptance).collect()
}

#[test]
fn accepted_service_is_in_force_when_its_status_says_so() {
    let mut alone = Alone::found();
    let verdicts = put_service(&mut alone, "one", "gallery", "gallery.example");
    let replica = alone.node.replica();
    assert_eq!(verdicts, [AcceptanceResult::Accepted(replica.revision())]);
    let id = ServiceId::new("one", "gallery");
    assert!(replica.service(&id).is_some());
}

#[test]
fn host_of_another_namespace_is_refused() {
    let mut alone = Alone::found();
    put_service(&mut alone, "one", "gallery", "gallery.example");
    let verdicts = put_service(&mut alone, "two", "thief", "gallery.example");
    assert!(
        matches!(verdicts[..], [AcceptanceResult::Rejected(_)]),
        "{verdicts:?}"
    );
    let thief = ServiceId::new("two", "thief");
    assert!(alone.node.replica().service(&thief).is_none());
}

#[test]
fn host_that_was_given_up_can_be_claimed() {
    let mut alone = Alone::found();
    put_service(&mut alone, "one", "gallery", "gallery.example");
    alone.configure(ConfigurationEvent::Deleted {
        object: ObjectRef::Service(ServiceId::new("one", "gallery")),
        resource_version: 11,
    });
    let verdicts = put_service(&mut alone, "two", "heir", "gallery.example");
    assert!(
        matches!(verdicts[..], [AcceptanceResult::Accepted(_)]),
        "{verdicts:?}"
    );
}

#[test]
fn server_of_another_namespace_is_refused() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 2, 10, 1);
    let stolen = back_end("two", "thief", 4_000, stamp(11, 1));
    let event = ConfigurationEvent::BackEndChanged(observed_back_end(stolen));
    let statuses = alone.configure(event);
    assert!(matches!(
        statuses[0].acceptance,
        AcceptanceResult::Rejected(_)
    ));
    let thief = BackEndId::new("two", "thief");
    assert!(alone.node.replica().back_end(&thief).is_none());
}

#[test]
fn older_version_of_an_object_changes_nothing() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 3, 20, 2);
    let verdicts = put_back_end(&mut alone, 2, 10, 1);
    assert_eq!(verdicts, []);
    assert_eq!(slots(&alone), Some(3));
}

#[test]
fn deleted_object_does_not_come_back_in_an_older_version() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 3, 20, 2);
    alone.configure(ConfigurationEvent::Deleted {
        object: ObjectRef::BackEnd(BackEndId::new("one", "server")),
        resource_version: 25,
    });
    assert_eq!(slots(&alone), None);
    put_back_end(&mut alone, 3, 20, 2);
    assert_eq!(slots(&alone), None);
}

#[test]
fn list_that_is_older_than_an_object_does_not_delete_it() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 3, 20, 2);
    alone.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: Vec::new(),
        resource_version: 15,
    }));
    assert_eq!(slots(&alone), Some(3));
}

#[test]
fn list_without_an_object_deletes_it_unless_it_is_withheld() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 3, 20, 2);
    let server = ObjectRef::BackEnd(BackEndId::new("one", "server"));
    alone.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: vec![server],
        resource_version: 30,
    }));
    assert_eq!(slots(&alone), Some(3));
    alone.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: Vec::new(),
        withheld: Vec::new(),
        resource_version: 30,
    }));
    assert_eq!(slots(&alone), None);
}

#[test]
fn write_to_a_status_is_not_proposed_again() {
    let mut alone = Alone::found();
    put_back_end(&mut alone, 3, 20, 2);
    let before = alone.node.replica().revision();
    put_back_end(&mut alone, 3, 21, 2);
    assert_eq!(alone.node.replica().revision(), before);
}

#[test]
fn unreadable_object_is_refused_and_hides_no_other() {
    let mut alone = Alone::found();
    let mut good = observed_back_end(back_end("one", "server", 4_000, stamp(10, 1)));
    let mut bad = good.clone();
    bad.object = ObjectRef::BackEnd(BackEndId::new("one", "broken"));
    let mut invalid = back_end("one", "broken", 4_100, stamp(11, 1));
    invalid.spec.slots = 0;
    bad.content = Ok(invalid);
    good.generation = 1;
    let statuses = alone.configure(ConfigurationEvent::BackEndsListed(Listing {
        objects: vec![bad, good],
        withheld: Vec::new(),
        resource_version: 12,
    }));
    assert_eq!(slots(&alone), Some(2));
    let rejected = statuses
        .iter()
        .filter(|write| matches!(write.acceptance, AcceptanceResult::Rejected(_)));
    assert_eq!(rejected.count(), 1);
}

#[test]
fn service_of_another_region_is_left_to_its_routers() {
    let mut alone = Alone::found();
    let mut object = service("one", "gallery", "gallery.example", stamp(10, 1));
    object.spec.region = "elsewhere".into();
    let event = ConfigurationEvent::ServiceChanged(observed_service(object));
    assert_eq!(alone.configure(event), []);
    assert_eq!(alone.node.replica().services().count(), 0);
}
