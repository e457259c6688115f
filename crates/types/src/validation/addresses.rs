//! Ownership of addresses by back ends.

use std::net::SocketAddr;

use super::claims::ClaimTable;
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use crate::ids::BackEndId;
use crate::objects::BACK_END_KIND;
use crate::records::BackEndRecord;

/// Addresses of all accepted back ends, each owned by the first that claimed
/// it.
///
/// This prevents a partner from registering another partner's server for its
/// own selectors, and a server from being granted leases under two names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressClaims {
    table: ClaimTable<SocketAddr, BackEndId>,
}

impl AddressClaims {
    /// Returns an empty set of claims.
    pub fn new() -> Self {
        AddressClaims::default()
    }

    /// Checks whether [`AddressClaims::claim`] would succeed.
    ///
    /// # Errors
    ///
    /// Returns one problem for each address that another back end owns.
    pub fn check(&self, back_end: &BackEndRecord) -> Result<(), Vec<Problem>> {
        let id = &back_end.id;
        let reference = ObjectReference::new(BACK_END_KIND, &id.namespace, &id.name);
        let mut problems = ProblemList::new(reference);
        for (field, address) in addresses(back_end) {
            if let Some(owner) = self.table.other_owner(&address, id) {
                let holder = owner.clone();
                problems.add(field, ProblemKind::AddressClaimed { address, holder });
            }
        }
        problems.into_result(())
    }

    /// Claims the addresses of a back end and releases its previous ones.
    ///
    /// # Errors
    ///
    /// Returns one problem for each address that another back end owns; no
    /// claim changes then.
    pub fn claim(&mut self, back_end: &BackEndRecord) -> Result<(), Vec<Problem>> {
        self.check(back_end)?;
        let addresses = addresses(back_end).map(|(_, address)| address);
        self.table.set(&back_end.id, addresses.to_vec());
        Ok(())
    }

    /// Releases the addresses of a removed back end.
    pub fn release(&mut self, back_end: &BackEndId) {
        self.table.release(back_end);
    }
}

/// Returns the addresses of a back end with their field names.
fn addresses(back_end: &BackEndRecord) -> [(&'static str, SocketAddr); 2] {
    [
        ("spec.address", back_end.spec.address),
        ("spec.controlAddress", back_end.spec.control_address),
    ]
}
