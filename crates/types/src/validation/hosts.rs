//! Ownership of host names by services.

use super::claims::ClaimTable;
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use crate::ids::ServiceId;
use crate::objects::KEYED_SERVICE_KIND;
use crate::records::ServiceRecord;

/// Hosts of all accepted services, each owned by the first that claimed it.
///
/// This prevents a later object of another partner from taking over a host or
/// shadowing its routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostClaims {
    table: ClaimTable<String, ServiceId>,
}

impl HostClaims {
    /// Returns an empty set of claims.
    pub fn new() -> Self {
        HostClaims::default()
    }

    /// Checks whether [`HostClaims::claim`] would succeed.
    ///
    /// # Errors
    ///
    /// Returns one problem for each host that another service owns.
    pub fn check(&self, service: &ServiceRecord) -> Result<(), Vec<Problem>> {
        let id = &service.id;
        let reference = ObjectReference::new(KEYED_SERVICE_KIND, &id.namespace, &id.name);
        let mut problems = ProblemList::new(reference);
        for (index, host) in service.spec.hosts.iter().enumerate() {
            if let Some(owner) = self.table.other_owner(host, id) {
                let kind = ProblemKind::HostClaimed {
                    host: host.clone(),
                    holder: owner.clone(),
                };
                problems.add(format!("spec.hosts[{index}]"), kind);
            }
        }
        problems.into_result(())
    }

    /// Claims the hosts of a service and releases those that it no longer
    /// names. The cost depends on the number of hosts of this service only.
    ///
    /// # Errors
    ///
    /// Returns one problem for each host that another service owns; no claim
    /// changes then.
    pub fn claim(&mut self, service: &ServiceRecord) -> Result<(), Vec<Problem>> {
        self.check(service)?;
        self.table.set(&service.id, service.spec.hosts.clone());
        Ok(())
    }

    /// Releases all hosts of a removed service.
    pub fn release(&mut self, service: &ServiceId) {
        self.table.release(service);
    }

    /// Returns the service that owns a host.
    pub fn owner(&self, host: &str) -> Option<&ServiceId> {
        self.table.owner(&host.to_owned())
    }
}
