//! The platform's list of machines, as `GET /machines` returns it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::{MachineName, RegionName, ZoneName};

/// One version of the platform's list of machines. It may lag behind the
/// machines themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineList {
    /// Grows with every change of the list.
    pub version: u64,
    /// The machines of every region, live and leaving.
    pub machines: Vec<Machine>,
}

/// One machine that runs a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    /// Its name; a replacement may come under the same name.
    pub name: MachineName,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address on which other routers reach its router.
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: MachineState,
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MachineState {
    /// It stays.
    #[default]
    Live,
    /// It is about to go.
    Leaving,
}
