//! Machines of this router's region, from the latest machine list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

use threadledge_types::{MachineName, RouterIdentity};

use crate::machines::{Machine, MachineList, MachineState};

/// Machines of this router's region, and those among them without a router that
/// is known to be alive.
#[derive(Debug)]
pub(crate) struct MachineView {
    own: RouterIdentity,
    version: Option<u64>,
    machines: BTreeMap<MachineName, Machine>,
    /// Machines without a router that is known to be alive.
    unreached: BTreeMap<MachineName, SocketAddr>,
    /// Unreached machine contacted last. Every router starts at its own name,
    /// so that they do not all contact the same machine.
    cursor: MachineName,
}

/// Version of a list relative to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionOrder {
    /// Lower version: the list lags.
    Older,
    /// Same version, read again.
    Same,
    /// Higher version.
    Newer,
}

impl MachineView {
    pub(crate) fn new(own: RouterIdentity) -> Self {
        MachineView {
            cursor: own.machine.clone(),
            own,
            version: None,
            machines: BTreeMap::new(),
            unreached: BTreeMap::new(),
        }
    }

    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    pub(crate) fn compare_version(&self, list: &MachineList) -> VersionOrder {
        match self.version {
            Some(version) if list.version < version => VersionOrder::Older,
            Some(version) if list.version == version => VersionOrder::Same,
            _ => VersionOrder::Newer,
        }
    }

    /// Replaces the list by a newer one. `is_reached` returns whether a router
    /// on the named machine is known to be alive.
    pub(crate) fn replace(&mut self, list: MachineList, is_reached: impl Fn(&MachineName) -> bool) {
        self.version = Some(list.version);
        self.machines = list
            .machines
            .into_iter()
            .filter(|machine| machine.region == self.own.region)
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.unreached = self
            .machines
            .values()
            .filter(|machine| machine.name != self.own.machine && !is_reached(&machine.name))
            .map(|machine| (machine.name.clone(), machine.peer_address))
            .collect();
    }

    /// Returns whether the list includes the machine of `identity` at its
    /// address.
    pub(crate) fn lists(&self, identity: &RouterIdentity) -> bool {
        let machine = self.machines.get(&identity.machine);
        machine.is_some_and(|machine| machine.peer_address == identity.peer_address)
    }

    /// Returns whether the list includes a machine with this name.
    pub(crate) fn has_name(&self, name: &MachineName) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns whether the list marks the machine of `identity` as leaving.
    pub(crate) fn lists_leaving(&self, identity: &RouterIdentity) -> bool {
        let machine = self.machines.get(&identity.machine);
        self.lists(identity)
            && machine.is_some_and(|machine| machine.state == MachineState::Leaving)
    }

    /// Records that a router on this machine is alive.
    pub(crate) fn mark_reached(&mut self, name: &MachineName) {
        self.unreached.remove(name);
    }

    /// Records that no router on this machine is known to be alive.
    pub(crate) fn mark_unreached(&mut self, name: &MachineName) {
        if let Some(machine) = self.machines.get(name) {
            self.unreached.insert(name.clone(), machine.peer_address);
        }
    }

    /// Returns the address of the next unreached machine, in turn.
    pub(crate) fn next_unreached(&mut self) -> Option<SocketAddr> {
        let after = (Excluded(self.cursor.clone()), Unbounded);
        let next = self.unreached.range(after).next();
        let (name, address) = next.or_else(|| self.unreached.iter().next())?;
        let address = *address;
        self.cursor = name.clone();
        Some(address)
    }
}
