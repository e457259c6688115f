//! Stand-in for the platform's list of machines.
//!
//! Commands change the list over HTTP. Faults make it lag by a set time, stay
//! at an older version, or close connections without a response.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{JoinHandle, spawn};
use futures::io::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use threadledge_membership::{Machine, MachineList, MachineState};
use threadledge_types::{MachineName, Timestamp};

use crate::clock;

/// Path that serves the list.
pub const MACHINES_PATH: &str = "/machines";
/// Path that accepts a [`MachineCommand`] by POST.
pub const MACHINE_COMMANDS_PATH: &str = "/lab/machines";
/// Path that accepts a [`MachineListFault`] by POST.
pub const MACHINE_FAULTS_PATH: &str = "/lab/faults";

/// Maximum size of a command, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Number of versions kept to serve a lagging or stale list.
const MAX_VERSIONS: usize = 10_000;

/// A change to the set of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineCommand {
    /// Replaces the whole list.
    Replace(Vec<Machine>),
    /// Adds a machine, or replaces the one of the same name.
    Set(Box<Machine>),
    /// Marks a machine as leaving.
    Leaving(MachineName),
    /// Removes a machine.
    Remove(MachineName),
}

/// A fault of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineListFault {
    /// While true, connections are closed without a response.
    Down(bool),
    /// Changes become visible only after this many milliseconds.
    Lag(u64),
    /// Freezes the list at this many versions before the latest; 0 ends the
    /// fault.
    Stale(u64),
}

/// The versions of the list and the faults that decide which one is served.
#[derive(Clone, Debug, Default)]
pub struct MachineListState {
    versions: VecDeque<(Timestamp, MachineList)>,
    lag: Duration,
    stale: Option<u64>,
    down: bool,
}

impl MachineListState {
    /// Creates a list at version 1, which is visible at once.
    pub fn new(machines: Vec<Machine>) -> Self {
        let first = MachineList {
            version: 1,
            machines,
        };
        MachineListState {
            versions: VecDeque::from([(Timestamp::ZERO, first)]),
            ..MachineListState::default()
        }
    }

    /// Applies a change at time `now`.
    pub fn change(&mut self, now: Timestamp, command: MachineCommand) {
        let mut next = self.latest();
        next.version += 1;
        match command {
            MachineCommand::Replace(machines) => next.machines = machines,
            MachineCommand::Set(machine) => {
                next.machines.retain(|other| other.name != machine.name);
                next.machines.push(*machine);
            }
            MachineCommand::Leaving(name) => {
                let of_name = |machine: &&mut Machine| machine.name == name;
                if let Some(machine) = next.machines.iter_mut().find(of_name) {
                    machine.state = MachineState::Leaving;
                }
            }
            MachineCommand::Remove(name) => next.machines.retain(|other| other.name != name),
        }
        next.machines
            .sort_by(|one, other| one.name.cmp(&other.name));
        self.versions.push_back((now, next));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Sets a fault.
    pub fn set_fault(&mut self, fault: MachineListFault) {
        match fault {
            MachineListFault::Down(down) => self.down = down,
            MachineListFault::Lag(milliseconds) => self.lag = Duration::from_millis(milliseconds),
            MachineListFault::Stale(0) => self.stale = None,
            MachineListFault::Stale(versions) => {
                self.stale = Some(self.latest().version.saturating_sub(versions));
            }
        }
    }

    /// Returns the version that is visible at time `now`, or `None` while the
    /// list is down.
    pub fn visible_at(&self, now: Timestamp) -> Option<MachineList> {
        if self.down {
            return None;
        }
        let visible = |(since, list): &&(Timestamp, MachineList)| {
            let late_enough = now.since(*since) >= self.lag;
            late_enough && self.stale.is_none_or(|stale| list.version <= stale)
        };
        let newest = self.versions.iter().rev().find(visible);
        let shown = newest.or_else(|| self.versions.front());
        shown.map(|(_, list)| list.clone())
    }

    fn latest(&self) -> MachineList {
        let last = self.versions.back();
        last.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// A running machine list server.
pub struct MachineListServer {
    address: SocketAddr,
    state: Arc<Mutex<MachineListState>>,
    accepting: JoinHandle<()>,
}

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response, as a fault requires")]
struct NoResponse;

impl MachineListServer {
    /// Starts serving `machines` on a bound listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener's local address cannot be read.
    pub fn serve(listener: TcpListener, machines: Vec<Machine>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(MachineListState::new(machines)));
        let accepting = spawn(accept(listener, state.clone()));
        Ok(MachineListServer {
            address,
            state,
            accepting,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies a change to the list.
    pub fn change(&self, command: MachineCommand) {
        self.state.lock().change(clock::now(), command);
    }

    /// Sets a fault.
    pub fn set_fault(&self, fault: MachineListFault) {
        self.state.lock().set_fault(fault);
    }

    /// Serves until the process ends.
    pub async fn run(self) {
        self.accepting.await;
    }

    /// Stops accepting connections.
    pub async fn stop(self) {
        self.accepting.cancel().await;
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<MachineListState>>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn(serve_connection(stream, state.clone()));
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<Mutex<MachineListState>>) {
    let served = async_h1::accept(stream, |request| {
        let state = state.clone();
        async move { respond(&state, request).await }
    })
    .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

async fn respond(
    state: &Mutex<MachineListState>,
    mut request: Request,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, MACHINES_PATH) => {
            let list = state.lock().visible_at(clock::now()).ok_or(NoResponse)?;
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(serde_json::to_vec(&list)?);
            response.insert_header("content-type", "application/json");
            Ok(response)
        }
        (Method::Post, MACHINE_COMMANDS_PATH) => {
            let command = read_json(&mut request).await?;
            state.lock().change(clock::now(), command);
            Ok(Response::new(StatusCode::NoContent))
        }
        (Method::Post, MACHINE_FAULTS_PATH) => {
            let fault = read_json(&mut request).await?;
            state.lock().set_fault(fault);
            Ok(Response::new(StatusCode::NoContent))
        }
        _ => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// Reads a JSON body. An error closes the connection: only the rig sends
/// commands, so no error response is needed.
async fn read_json<T: DeserializeOwned>(request: &mut Request) -> http_types::Result<T> {
    let mut body = Vec::new();
    request.take(MAX_BODY_BYTES).read_to_end(&mut body).await?;
    Ok(serde_json::from_slice(&body)?)
}
