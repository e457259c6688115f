//! Which service has which host.

use super::claims::ClaimTable;
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use crate::ids::ServiceId;
use crate::objects::KEYED_SERVICE_KIND;
use crate::records::ServiceRecord;

/// Hosts of all accepted services. The claim that was accepted first holds,
/// so a later object of another partner can neither take a host nor shadow a
/// route of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostClaims {
    table: ClaimTable<String, ServiceId>,
}

impl HostClaims {
    /// Without any claim.
    pub fn new() -> Self {
        HostClaims::default()
    }

    /// Tells whether [`HostClaims::claim`] would succeed.
    ///
    /// # Errors
    ///
    /// One problem for each host that another service has.
    pub fn check(&self, service: &ServiceRecord) -> Result<(), Vec<Problem>> {
        let id = &service.id;
        let reference = ObjectReference::new(KEYED_SERVICE_KIND, &id.namespace, &id.name);
        let mut problems = ProblemList::new(reference);
        for (index, host) in service.spec.hosts.iter().enumerate() {
            if let Some(holder) = self.table.other_holder(host, id) {
                let kind = ProblemKind::HostClaimed {
                    host: host.clone(),
                    holder: holder.clone(),
                };
                problems.add(format!("spec.hosts[{index}]"), kind);
            }
        }
        problems.into_result(())
    }

    /// Claims the hosts of a service and gives up those it no longer names.
    /// Costs follow the hosts of this one service.
    ///
    /// # Errors
    ///
    /// One problem for each host that another service has; nothing changes.
    pub fn claim(&mut self, service: &ServiceRecord) -> Result<(), Vec<Problem>> {
        self.check(service)?;
        self.table.set(&service.id, service.spec.hosts.clone());
        Ok(())
    }

    /// Gives up every host of a service that is gone.
    pub fn release(&mut self, service: &ServiceId) {
        self.table.release(service);
    }

    /// The service that has a host.
    pub fn holder(&self, host: &str) -> Option<&ServiceId> {
        self.table.holder(&host.to_owned())
    }
}
