//! A simulated routing machine.

use std::net::SocketAddr;

use threadledge_control::{ControlNode, Input, Output};
use threadledge_types::{MachineName, Revision, RouterId, Timestamp};

use crate::clock::ModelClock;
use crate::event::Event;
use crate::network::Place;

/// One routing machine.
pub struct RouterModel {
    /// Its name in the machine list.
    pub machine: MachineName,
    /// Where it stands.
    pub place: Place,
    /// Where other routers reach it.
    pub address: SocketAddr,
    /// Its process, if it runs.
    pub process: Option<RouterProcess>,
    /// Lives so far; numbers the incarnations.
    pub lives: u64,
}

/// One life of a router.
pub struct RouterProcess {
    /// The control core.
    pub node: ControlNode,
    /// The process's clock.
    pub clock: ModelClock,
    /// Paused: neither sees nor does anything.
    pub paused: bool,
    /// Events that came in while it was paused.
    pub held_back: Vec<Event>,
    /// It watches the store.
    pub watching: bool,
    /// Highest revision its copy of the records was seen at.
    pub revision: Revision,
    /// Version of the machine list it was given last.
    pub machines_version: Option<u64>,
    /// Bytes of the batch around its messages.
    pub envelope_bytes: u64,
}

impl RouterModel {
    /// The running process, unless it is paused.
    pub fn awake(&mut self) -> Option<&mut RouterProcess> {
        self.process.as_mut().filter(|process| !process.paused)
    }

    /// Id of the process.
    pub fn id(&self) -> Option<RouterId> {
        let process = self.process.as_ref()?;
        Some(process.node.identity().id)
    }
}

impl RouterProcess {
    /// Steps the core at the simulator's `now`.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.node.step(self.clock.read(now), input)
    }
}
