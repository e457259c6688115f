//! Determines which process runs at an address.
//!
//! One address serves one process at a time, and a process that has ended never
//! returns under its name: a back end that restarts under its id is a new
//! process with a new name. Registrations do not show which process is running.
//! Each is a statement of its writer and may take effect after the writer has
//! ended, and a running process may lack one. Only an answer from the address
//! is proof:
//!
//! - a process that answers an order addressed to it is running, so all others
//!   that had registered there before the order was sent have ended;
//! - a process has ended if another process answers for it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName};

use crate::order::{Order, OrderId, OrderKind};
use crate::record::Owner;

/// Registrations by address over all services, and the back ends that are known
/// to have ended.
#[derive(Debug, Default)]
pub struct Occupancy {
    by_address: BTreeMap<SocketAddr, Vec<Registrant>>,
    ended: BTreeMap<BackEndName, EndEvidence>,
}

/// What proved that a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndEvidence {
    /// The kind of proof.
    pub proof: EndProof,
    /// Time at which it was known.
    pub since: Timestamp,
}

/// A kind of proof that a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// Another process refused a grant that was addressed to it.
    GrantRefused,
    /// Another process refused a release that was addressed to it.
    ReleaseRefused,
    /// Another process that is registered at its address answered an order.
    AddressAnswered,
    /// It restarted under its id at another address.
    RestartedElsewhere,
}

/// A back end that is registered at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Registrant {
    name: BackEndName,
    /// Number of the registration, assigned by the store in increasing order.
    registration: u64,
    /// The last order that was sent before this registration was known.
    last_order_before: OrderId,
}

/// Changes found in a new set of registrations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistrationChanges {
    /// Addresses with a new registration.
    pub addresses: Vec<SocketAddr>,
    /// Those of them that have more than one registration.
    pub shared: Vec<SharedAddress>,
}

/// An address at which several back ends are registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedAddress {
    /// The address.
    pub address: SocketAddr,
    /// The back ends registered there, in order of registration.
    pub back_ends: Vec<BackEndName>,
}

impl Occupancy {
    /// Replaces the set of registered back ends. `last_order` is the last order
    /// sent so far, and `is_owner` returns whether a back end owns keys.
    pub fn set_registered(
        &mut self,
        all: &[BackEnd],
        last_order: OrderId,
        is_owner: impl Fn(&BackEndName) -> bool,
    ) -> RegistrationChanges {
        let registered: BTreeSet<&BackEndName> = all.iter().map(|each| &each.name).collect();
        self.ended
            .retain(|name, _| registered.contains(name) || is_owner(name));
        let earlier = std::mem::take(&mut self.by_address);
        for back_end in all {
            let registrants = self.by_address.entry(back_end.address).or_default();
            let known = earlier.get(&back_end.address).and_then(|known| {
                let mut known = known.iter();
                known.find(|registrant| registrant.is(back_end)).cloned()
            });
            registrants.push(known.unwrap_or_else(|| Registrant {
                name: back_end.name.clone(),
                registration: back_end.registration,
                last_order_before: last_order,
            }));
        }
        let mut changes = RegistrationChanges::default();
        for (address, registrants) in &mut self.by_address {
            registrants.sort_by_key(|registrant| registrant.registration);
            let known = earlier.get(address);
            let is_known = |each| known.is_some_and(|known| known.contains(each));
            if registrants.iter().all(is_known) {
                continue;
            }
            changes.addresses.push(*address);
            if registrants.len() < 2 {
                continue;
            }
            let names = registrants.iter().map(|registrant| registrant.name.clone());
            changes.shared.push(SharedAddress {
                address: *address,
                back_ends: names.collect(),
            });
        }
        changes
    }

    /// Handles an answer from the process that an order addressed. The others
    /// that had registered at its address before the order was sent have ended.
    /// Returns whether any of them was not known to have ended.
    pub fn on_answer(&mut self, now: Timestamp, order: &Order) -> bool {
        let Some(registrants) = self.by_address.get(&order.to.address) else {
            return false;
        };
        let known = self.ended.len();
        let before = registrants
            .iter()
            .filter(|each| each.last_order_before < order.id);
        // A restarted process also answers for the process before it.
        let others = before
            .filter(|each| each.name != order.to.name && !each.name.is_restart_of(&order.to.name));
        for other in others {
            let evidence = self.ended.entry(other.name.clone());
            evidence.or_insert(EndEvidence {
                proof: EndProof::AddressAnswered,
                since: now,
            });
        }
        self.ended.len() > known
    }

    /// Handles an answer from another process than the one that an order
    /// addressed. Returns whether that one was not known to have ended.
    pub fn on_other_process(&mut self, now: Timestamp, order: &Order) -> bool {
        let known = self.ended.len();
        let proof = match order.kind {
            OrderKind::Grant(_) => EndProof::GrantRefused,
            OrderKind::Release => EndProof::ReleaseRefused,
        };
        let evidence = self.ended.entry(order.to.name.clone());
        evidence.or_insert(EndEvidence { proof, since: now });
        self.ended.len() > known
    }

    /// Returns whether a back end is known to have ended.
    pub fn has_ended(&self, name: &BackEndName) -> bool {
        self.ended.contains_key(name)
    }

    /// Returns what proved that a back end has ended.
    pub fn end_evidence(&self, name: &BackEndName) -> Option<EndEvidence> {
        self.ended.get(name).copied()
    }

    /// Returns whether an order to `owner` would show which of several
    /// processes is running at its address.
    pub fn is_ambiguous(&self, owner: &Owner) -> bool {
        !self.has_ended(&owner.name) && self.others_at_address(owner).next().is_some()
    }

    /// Returns whether `owner` may be assigned keys: it is not known to have
    /// ended, and no other back end at its address owns keys. One that owns
    /// keys is already being asked, and moving keys is not worthwhile before
    /// its answer. Others are never asked, so there is no answer to wait for.
    /// If `owner` itself has ended, the first order to it shows that.
    pub fn may_run(&self, owner: &Owner, is_owner: impl Fn(&BackEndName) -> bool) -> bool {
        let mut others = self.others_at_address(owner);
        !self.has_ended(&owner.name) && !others.any(|other| is_owner(&other.name))
    }

    /// Returns the other back ends that are registered at the address of
    /// `owner` and may be running there.
    fn others_at_address<'a>(&'a self, owner: &'a Owner) -> impl Iterator<Item = &'a Registrant> {
        let registrants = self.by_address.get(&owner.address).into_iter().flatten();
        registrants.filter(|each| each.name != owner.name && !self.has_ended(&each.name))
    }
}

impl Registrant {
    fn is(&self, back_end: &BackEnd) -> bool {
        self.name == back_end.name && self.registration == back_end.registration
    }
}
