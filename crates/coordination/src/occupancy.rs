//! Which process runs at an address.
//!
//! One address serves one process at a time, and a process that has ended
//! never comes back under its name: a back end that starts again under its id is
//! another life, with another name. Registrations do not tell which one runs:
//! each is a statement of its writer that may take effect after the writer
//! has ended, and a process that lives may lack one. Only an answer given at
//! the address tells:
//!
//! - a process that answers an order to it runs, so that all others that had
//!   registered there before the order was sent have ended;
//! - one for which another process answers has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use threadledge_types::deployment::{BackEnd, BackEndName};

use crate::order::{Order, OrderId};
use crate::record::Owner;

/// Registrations by address, over all services, and who is known to have
/// ended.
#[derive(Debug, Default)]
pub struct Occupancy {
    by_address: BTreeMap<SocketAddr, Vec<Registrant>>,
    ended: BTreeSet<BackEndName>,
}

/// A back end that is registered at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Registrant {
    name: BackEndName,
    /// When it registered, as the store counts.
    registration: u64,
    /// The last order that was sent before this registration was known.
    known_after: OrderId,
}

/// What changed with the registrations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newcomers {
    /// Addresses at which a registration is new.
    pub addresses: Vec<SocketAddr>,
    /// Those of them that another registration has too.
    pub shared: Vec<SharedAddress>,
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
    /// Takes the back ends that are registered now. `last_order` is the last
    /// order sent so far, `is_owner` says who owns keys.
    pub fn set_registered(
        &mut self,
        all: &[BackEnd],
        last_order: OrderId,
        is_owner: impl Fn(&BackEndName) -> bool,
    ) -> Newcomers {
        let registered: BTreeSet<&BackEndName> = all.iter().map(|each| &each.name).collect();
        self.ended
            .retain(|name| registered.contains(name) || is_owner(name));
        let earlier = std::mem::take(&mut self.by_address);
        for back_end in all {
            let there = self.by_address.entry(back_end.address).or_default();
            let known = earlier.get(&back_end.address).and_then(|known| {
                let mut known = known.iter();
                known.find(|registrant| registrant.is(back_end)).cloned()
            });
            there.push(known.unwrap_or_else(|| Registrant {
                name: back_end.name.clone(),
                registration: back_end.registration,
                known_after: last_order,
            }));
        }
        let mut newcomers = Newcomers::default();
        for (address, there) in &mut self.by_address {
            there.sort_by_key(|registrant| registrant.registration);
            let known = earlier.get(address);
            let is_known = |each| known.is_some_and(|known| known.contains(each));
            if there.iter().all(is_known) {
                continue;
            }
            newcomers.addresses.push(*address);
            if there.len() < 2 {
                continue;
            }
            let names = there.iter().map(|registrant| registrant.name.clone());
            newcomers.shared.push(SharedAddress {
                address: *address,
                back_ends: names.collect(),
            });
        }
        newcomers
    }

    /// The process that an order names answered it. Those that had registered
    /// at its address before it was sent have ended. Says whether that is new of
    /// any.
    pub fn on_answer(&mut self, order: &Order) -> bool {
        let Some(there) = self.by_address.get(&order.to.address) else {
            return false;
        };
        let known = self.ended.len();
        let before = there.iter().filter(|each| each.known_after < order.id);
        // The next life answers for the one before it.
        let others = before
            .filter(|each| each.name != order.to.name && !each.name.is_restart_of(&order.to.name));
        self.ended.extend(others.map(|each| each.name.clone()));
        self.ended.len() > known
    }

    /// Another process answered an order to `name`. Says whether that is new.
    pub fn on_other_process(&mut self, name: &BackEndName) -> bool {
        self.ended.insert(name.clone())
    }

    /// Whether a back end is known to have ended.
    pub fn has_ended(&self, name: &BackEndName) -> bool {
        self.ended.contains(name)
    }

    /// Whether an order to `owner` would tell which of several processes runs
    /// at its address.
    pub fn in_doubt(&self, owner: &Owner) -> bool {
        !self.has_ended(&owner.name) && self.rivals(owner).next().is_some()
    }

    /// Whether `owner` may be given keys: it is not known to have ended, and
    /// nobody else at its address owns keys. One who does is asked just now, and
    /// it is not worth moving keys before the answer. Nobody asks the others, so
    /// that they are no reason to wait: one that has ended shows with the first
    /// order to it.
    pub fn may_run(&self, owner: &Owner, is_owner: impl Fn(&BackEndName) -> bool) -> bool {
        let mut rivals = self.rivals(owner);
        !self.has_ended(&owner.name) && !rivals.any(|rival| is_owner(&rival.name))
    }

    /// Others that are registered at the address of `owner` and may run there.
    fn rivals<'a>(&'a self, owner: &'a Owner) -> impl Iterator<Item = &'a Registrant> {
        let there = self.by_address.get(&owner.address).into_iter().flatten();
        there.filter(|each| each.name != owner.name && !self.has_ended(&each.name))
    }
}

impl Registrant {
    fn is(&self, back_end: &BackEnd) -> bool {
        self.name == back_end.name && self.registration == back_end.registration
    }
}
