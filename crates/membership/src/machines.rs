//! Platform's list of machines, as returned by `GET /machines`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::{MachineName, RegionName, ZoneName};

/// Version of the platform's list of machines. The list may lag behind the
/// actual machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineList {
    /// Version number, which grows with every change of the list.
    pub version: u64,
    /// Machines of all regions, live and leaving.
    pub machines: Vec<Machine>,
}

/// Machine that runs a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    /// Name of the machine. A replacement may have the same name.
    pub name: MachineName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address at which other routers reach the router on this machine.
    pub peer_address: SocketAddr,
    /// Whether the machine stays or is about to be removed.
    pub state: MachineState,
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MachineState {
    /// The machine stays.
    #[default]
    Live,
    /// The machine is about to be removed.
    Leaving,
}
