//! The latest machine list as far as it concerns this router's region.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

use threadledge_types::{MachineName, RouterIdentity};

use crate::machines::{Machine, MachineList, MachineState};

/// The machines of this router's region, and which of them have no router
/// that is known to live.
#[derive(Debug)]
pub(crate) struct MachineView {
    own: RouterIdentity,
    version: Option<u64>,
    machines: BTreeMap<MachineName, Machine>,
    unseen: BTreeMap<MachineName, SocketAddr>,
    /// The unseen machine contacted last. Every router begins at its own
    /// name, so that they do not all call on the same one.
    cursor: MachineName,
}

/// How a list compares with the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListAge {
    /// Its version is lower: it lags.
    Older,
    /// It is the same list, read again.
    Same,
    /// It is a later list.
    Newer,
}

impl MachineView {
    pub(crate) fn new(own: RouterIdentity) -> Self {
        MachineView {
            cursor: own.machine.clone(),
            own,
            version: None,
            machines: BTreeMap::new(),
            unseen: BTreeMap::new(),
        }
    }

    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    pub(crate) fn age_of(&self, list: &MachineList) -> ListAge {
        match self.version {
            Some(version) if list.version < version => ListAge::Older,
            Some(version) if list.version == version => ListAge::Same,
            _ => ListAge::Newer,
        }
    }

    /// Takes a newer list. `is_seen` tells whether a router on a machine is
    /// known to live.
    pub(crate) fn replace(&mut self, list: MachineList, is_seen: impl Fn(&MachineName) -> bool) {
        self.version = Some(list.version);
        self.machines = list
            .machines
            .into_iter()
            .filter(|machine| machine.region == self.own.region)
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        self.unseen = self
            .machines
            .values()
            .filter(|machine| machine.name != self.own.machine && !is_seen(&machine.name))
            .map(|machine| (machine.name.clone(), machine.peer_address))
            .collect();
    }

    /// Whether the list has the machine of `identity`, at its address.
    pub(crate) fn lists(&self, identity: &RouterIdentity) -> bool {
        let machine = self.machines.get(&identity.machine);
        machine.is_some_and(|machine| machine.peer_address == identity.peer_address)
    }

    /// Whether the list has a machine of this name.
    pub(crate) fn has_name(&self, name: &MachineName) -> bool {
        self.machines.contains_key(name)
    }

    /// Whether the list has the machine of `identity` as leaving.
    pub(crate) fn lists_leaving(&self, identity: &RouterIdentity) -> bool {
        let machine = self.machines.get(&identity.machine);
        self.lists(identity)
            && machine.is_some_and(|machine| machine.state == MachineState::Leaving)
    }

    /// A router on this machine lives.
    pub(crate) fn seen(&mut self, name: &MachineName) {
        self.unseen.remove(name);
    }

    /// No router on this machine is known to live any more.
    pub(crate) fn lost(&mut self, name: &MachineName) {
        if let Some(machine) = self.machines.get(name) {
            self.unseen.insert(name.clone(), machine.peer_address);
        }
    }

    /// The next machine to be contacted, each in turn.
    pub(crate) fn next_unseen(&mut self) -> Option<SocketAddr> {
        let after = (Excluded(self.cursor.clone()), Unbounded);
        let next = self.unseen.range(after).next();
        let (name, address) = next.or_else(|| self.unseen.iter().next())?;
        let address = *address;
        self.cursor = name.clone();
        Some(address)
    }
}
