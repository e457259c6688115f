//! Tests that the objects of both example deployments are valid and have the
//! current sizes.

use std::collections::BTreeMap;
use std::path::PathBuf;

use threadledge_lab::stand_in::object_api::ObjectStore;
use threadledge_lab::stand_in::object_api::seed::{create_objects, read_objects};
use threadledge_types::validation::ObjectSet;

fn directory(deployment: &str) -> PathBuf {
    let crate_directory = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    crate_directory.join("../../examples").join(deployment)
}

fn object_set(deployment: &str) -> ObjectSet {
    let objects = read_objects(&directory(deployment)).expect("readable");
    let mut set = ObjectSet::new();
    for (path, object) in &objects {
        let added = set.add(object);
        assert!(added.is_ok(), "{}: {added:?}", path.display());
    }
    assert_eq!(set.cross_object_problems(), []);
    let mut store = ObjectStore::new();
    create_objects(&mut store, objects, "2026-01-01T00:00:00Z").expect("conventional");
    set
}

/// Returns the number of back ends that each service selects.
fn sizes(set: &ObjectSet) -> BTreeMap<&str, usize> {
    let size = |service| {
        let service: &threadledge_types::records::ServiceRecord = service;
        (service.id.name.as_str(), set.selected(service).count())
    };
    set.services().map(size).collect()
}

fn assert_capacity(set: &ObjectSet, slots: u32, connections: u32) {
    for back_end in set.back_ends() {
        let capacity = (back_end.spec.slots, back_end.spec.connections);
        assert_eq!(capacity, (slots, connections), "{}", back_end.id);
    }
    let mut zones: Vec<_> = set
        .back_ends()
        .map(|back_end| &back_end.spec.zone)
        .collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), 3);
}

#[test]
fn luzon_has_the_current_sizes() {
    let set = object_set("luzon");
    let expected = [("gallery", 15), ("courtship", 7), ("mailbag", 12)];
    assert_eq!(sizes(&set), expected.into());
    assert_capacity(&set, 2, 130);
}

#[test]
fn nz_north_has_the_current_sizes() {
    let set = object_set("nz-north");
    let expected = [("quote-svc", 15), ("order-svc", 6), ("catalogue-svc", 13)];
    assert_eq!(sizes(&set), expected.into());
    assert_capacity(&set, 3, 50);
}

#[test]
fn both_deployments_fit_on_one_machine() {
    let mut addresses = Vec::new();
    for deployment in ["luzon", "nz-north"] {
        for back_end in object_set(deployment).back_ends() {
            addresses.extend([back_end.spec.address, back_end.spec.control_address]);
        }
    }
    let count = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), count);
}
