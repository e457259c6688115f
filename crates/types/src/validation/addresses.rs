//! Which back end has which address.

use std::net::SocketAddr;

use super::claims::ClaimTable;
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use crate::ids::BackEndId;
use crate::objects::BACK_END_KIND;
use crate::records::BackEndRecord;

/// Addresses of all accepted back ends. The claim that was accepted first
/// holds, so no partner can put another partner's server under its own
/// selectors, and no server is leased to under two names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressClaims {
    table: ClaimTable<SocketAddr, BackEndId>,
}

impl AddressClaims {
    /// Without any claim.
    pub fn new() -> Self {
        AddressClaims::default()
    }

    /// Tells whether [`AddressClaims::claim`] would succeed.
    ///
    /// # Errors
    ///
    /// One problem for each address that another back end has.
    pub fn check(&self, back_end: &BackEndRecord) -> Result<(), Vec<Problem>> {
        let id = &back_end.id;
        let reference = ObjectReference::new(BACK_END_KIND, &id.namespace, &id.name);
        let mut problems = ProblemList::new(reference);
        for (field, address) in addresses(back_end) {
            if let Some(holder) = self.table.other_holder(&address, id) {
                let holder = holder.clone();
                problems.add(field, ProblemKind::AddressClaimed { address, holder });
            }
        }
        problems.into_result(())
    }

    /// Claims the addresses of a back end and gives up its earlier ones.
    ///
    /// # Errors
    ///
    /// One problem for each address that another back end has; nothing
    /// changes.
    pub fn claim(&mut self, back_end: &BackEndRecord) -> Result<(), Vec<Problem>> {
        self.check(back_end)?;
        let things = addresses(back_end).map(|(_, address)| address);
        self.table.set(&back_end.id, things.to_vec());
        Ok(())
    }

    /// Gives up the addresses of a back end that is gone.
    pub fn release(&mut self, back_end: &BackEndId) {
        self.table.release(back_end);
    }
}

fn addresses(back_end: &BackEndRecord) -> [(&'static str, SocketAddr); 2] {
    [
        ("spec.address", back_end.spec.address),
        ("spec.controlAddress", back_end.spec.control_address),
    ]
}
