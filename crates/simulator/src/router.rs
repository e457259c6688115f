//! Model of a router and its process.

use std::net::SocketAddr;

use threadledge_control::{ControlNode, Input, Output};
use threadledge_types::{MachineName, Revision, RouterId, Timestamp};

use crate::clock::ModelClock;
use crate::event::Event;
use crate::network::Place;

/// A machine that runs a router.
pub struct RouterModel {
    /// Name of the machine in the machine list.
    pub machine: MachineName,
    /// Region and zone of the machine.
    pub place: Place,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Its process, if one runs.
    pub process: Option<RouterProcess>,
    /// Number of processes started so far; numbers the incarnations.
    pub incarnations: u64,
}

/// One incarnation of a router.
pub struct RouterProcess {
    /// The control core.
    pub node: ControlNode,
    /// The process's clock.
    pub clock: ModelClock,
    /// A paused process neither receives nor does anything.
    pub paused: bool,
    /// Events that arrived while the process was paused.
    pub deferred_events: Vec<Event>,
    /// True while the process watches the store.
    pub watching: bool,
    /// Revision of its copy of the records after the last step.
    pub revision: Revision,
    /// Version of the machine list that the core received last.
    pub machines_version: Option<u64>,
    /// Bytes of the JSON batch around its messages.
    pub envelope_bytes: u64,
}

impl RouterModel {
    /// Returns the process, unless it is paused.
    pub fn running_process(&mut self) -> Option<&mut RouterProcess> {
        self.process.as_mut().filter(|process| !process.paused)
    }

    /// Id of the process, if one runs.
    pub fn id(&self) -> Option<RouterId> {
        let process = self.process.as_ref()?;
        Some(process.node.identity().id)
    }
}

impl RouterProcess {
    /// Steps the core at the simulation time `now`.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.node.step(self.clock.read(now), input)
    }
}
