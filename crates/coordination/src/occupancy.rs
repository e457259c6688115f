//! Which process runs at an address.
//!
//! One address serves one process at a time, and a process that has ended
//! never comes back under its name. Registrations do not tell which one runs:
//! each is a statement of its writer that may take effect after the writer
//! has ended, and a process that lives may lack one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_types::deployment::{BackEnd, BackEndName};

/// Registrations by address, over all services.
#[derive(Debug, Default)]
pub struct Occupancy {
    by_address: BTreeMap<SocketAddr, Vec<Registrant>>,
}

/// A back end that is registered at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Registrant {
    name: BackEndName,
    /// When it registered, as the store counts.
    registration: u64,
}

/// An address at which several back ends are registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedAddress {
    /// The address.
    pub address: SocketAddr,
    /// The registrations there, the latest last.
    pub back_ends: Vec<BackEndName>,
}

impl Occupancy {
    /// Takes the back ends that are registered now. Returns the addresses that
    /// a further registration came to share.
    pub fn set_registered(&mut self, all: &[BackEnd]) -> Vec<SharedAddress> {
        let earlier = std::mem::take(&mut self.by_address);
        for back_end in all {
            let there = self.by_address.entry(back_end.address).or_default();
            there.push(Registrant {
                name: back_end.name.clone(),
                registration: back_end.registration,
            });
        }
        let mut shared = Vec::new();
        for (address, there) in &mut self.by_address {
            there.sort_by_key(|registrant| registrant.registration);
            let known = earlier.get(address);
            let is_known = |each| known.is_some_and(|known| known.contains(each));
            if there.len() < 2 || there.iter().all(is_known) {
                continue;
            }
            let names = there.iter().map(|registrant| registrant.name.clone());
            shared.push(SharedAddress {
                address: *address,
                back_ends: names.collect(),
            });
        }
        shared
    }

    /// The latest registration at an address.
    pub fn latest(&self, address: SocketAddr) -> Option<u64> {
        let there = self.by_address.get(&address)?;
        there.last().map(|registrant| registrant.registration)
    }
}
