//! Validation of back ends.

use std::net::{IpAddr, SocketAddr};

use super::names::{check_metadata, check_name};
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use crate::ids::BackEndId;
use crate::objects::{BACK_END_KIND, BackEndObject, BackEndSpec};
use crate::records::BackEndRecord;

/// Largest number of slots of one back end.
pub const MAX_SLOTS: u32 = 10_000;
/// Largest number of connections of one back end.
pub const MAX_CONNECTIONS: u32 = 100_000;

/// Validates a back end object and converts it to a record.
///
/// # Errors
///
/// Returns all problems of the object, in the order of its fields.
pub fn validate_back_end(object: &BackEndObject) -> Result<BackEndRecord, Vec<Problem>> {
    let reference = ObjectReference::from_metadata(BACK_END_KIND, &object.metadata);
    let mut problems = ProblemList::new(reference);
    let metadata = check_metadata(&object.metadata, &mut problems);
    check_spec(&object.spec, &mut problems);
    problems.into_result(BackEndRecord {
        id: BackEndId::new(metadata.namespace, metadata.name),
        labels: metadata.labels,
        spec: object.spec.clone(),
        resource_version: metadata.resource_version,
        object_generation: metadata.generation,
    })
}

fn check_spec(spec: &BackEndSpec, problems: &mut ProblemList) {
    check_address("spec.address", spec.address, problems);
    check_address("spec.controlAddress", spec.control_address, problems);
    check_name("spec.zone", &spec.zone.0, problems);
    problems.check_range("spec.slots", spec.slots, 1, MAX_SLOTS);
    problems.check_range("spec.connections", spec.connections, 1, MAX_CONNECTIONS);
    // Zero connections is reported above already.
    if spec.connections > 0 && spec.connections < spec.slots {
        let kind = ProblemKind::FewerConnectionsThanSlots {
            connections: spec.connections,
            slots: spec.slots,
        };
        problems.add("spec.connections", kind);
    }
}

fn check_address(field: &str, address: SocketAddr, problems: &mut ProblemList) {
    let ip = address.ip();
    let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
    if ip.is_unspecified() || ip.is_multicast() || broadcast || address.port() == 0 {
        problems.add(field, ProblemKind::UnusableAddress(address.to_string()));
    }
}
