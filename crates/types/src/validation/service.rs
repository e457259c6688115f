//! Validation of keyed services.

use std::collections::BTreeSet;

use super::names::{check_metadata, check_name, is_dns_name};
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use super::route::check_routes;
use super::selector::check_selector;
use crate::ids::{RegionName, ServiceId};
use crate::objects::{KEYED_SERVICE_KIND, KeyedServiceObject, KeyedServiceSpec, PlacementPolicy};
use crate::records::ServiceRecord;

/// Largest number of hosts of one service.
pub const MAX_HOSTS: usize = 64;
/// Largest number of routes of one service.
pub const MAX_ROUTES: usize = 256;
/// Largest value of `toleratedImbalance`, the ratio of the busiest back end's
/// load to the mean load.
pub const MAX_TOLERATED_IMBALANCE: f64 = 10.0;
/// Largest initial number of slices per back end.
pub const MAX_SLICES_PER_BACK_END: u32 = 4_096;

/// Validates a keyed service object and converts it to a record.
///
/// # Errors
///
/// Returns all problems of the object, in the order of its fields.
pub fn validate_service(object: &KeyedServiceObject) -> Result<ServiceRecord, Vec<Problem>> {
    let reference = ObjectReference::from_metadata(KEYED_SERVICE_KIND, &object.metadata);
    let mut problems = ProblemList::new(reference);
    let metadata = check_metadata(&object.metadata, &mut problems);
    check_spec(&object.spec, &mut problems);
    problems.into_result(ServiceRecord {
        id: ServiceId::new(metadata.namespace, metadata.name),
        spec: object.spec.clone(),
        resource_version: metadata.resource_version,
        object_generation: metadata.generation,
    })
}

/// Returns true if `region` is the home region of the service, whose routers
/// assign its slices. A service of another region is not an error; it is
/// accepted there.
pub fn is_for_region(spec: &KeyedServiceSpec, region: &RegionName) -> bool {
    spec.region == *region
}

fn check_spec(spec: &KeyedServiceSpec, problems: &mut ProblemList) {
    check_name("spec.region", &spec.region.0, problems);
    check_count("spec.hosts", spec.hosts.len(), MAX_HOSTS, problems);
    check_hosts(&spec.hosts, problems);
    check_selector(&spec.back_end_selector, problems);
    check_count("spec.routes", spec.routes.len(), MAX_ROUTES, problems);
    // Routes are compared pairwise, so their number must be bounded.
    if spec.routes.len() <= MAX_ROUTES {
        check_routes(&spec.routes, problems);
    }
    check_placement(&spec.placement, problems);
}

fn check_count(field: &str, count: usize, max: usize, problems: &mut ProblemList) {
    if count == 0 {
        problems.add(field, ProblemKind::Empty);
    } else if count > max {
        problems.add(field, ProblemKind::TooMany { count, most: max });
    }
}

fn check_hosts(hosts: &[String], problems: &mut ProblemList) {
    let mut seen = BTreeSet::new();
    for (index, host) in hosts.iter().enumerate() {
        let field = format!("spec.hosts[{index}]");
        if !is_dns_name(host) {
            problems.add(field, ProblemKind::InvalidHost(host.clone()));
        } else if !seen.insert(host) {
            problems.add(field, ProblemKind::Duplicate(host.clone()));
        }
    }
}

fn check_placement(placement: &PlacementPolicy, problems: &mut ProblemList) {
    problems.check_range(
        "spec.placement.toleratedImbalance",
        placement.tolerated_imbalance,
        1.0,
        MAX_TOLERATED_IMBALANCE,
    );
    problems.check_range(
        "spec.placement.churnBudgetPerMinute",
        placement.churn_budget_per_minute,
        0.0,
        1.0,
    );
    problems.check_range(
        "spec.placement.slicesPerBackEnd",
        placement.slices_per_back_end,
        1,
        MAX_SLICES_PER_BACK_END,
    );
}
