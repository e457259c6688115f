//! What a child does to be a child of the rig: it reads its settings from
//! standard input and ends when that closes, so that no child outlives a rig
//! that died.

use std::io::{self, BufRead, Read};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use threadledge_membership::Machine;

/// Settings of a stand-in for a service of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformSettings {
    /// The object API.
    ObjectApi {
        /// Where it listens.
        address: SocketAddr,
        /// First objects.
        objects: Vec<Value>,
    },
    /// The machine list.
    MachineList {
        /// Where it listens.
        address: SocketAddr,
        /// First machines.
        machines: Vec<Machine>,
    },
}

/// Reads the one line of settings from standard input.
///
/// # Errors
///
/// The line is missing or of another form.
pub fn read_settings<T: DeserializeOwned>() -> io::Result<T> {
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    serde_json::from_str(&line).map_err(io::Error::other)
}

/// Ends this process when the rig closes the other end of standard input or
/// dies.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let mut rest = [0_u8; 64];
        // Anything but the end of the input is ignored.
        while matches!(io::stdin().lock().read(&mut rest), Ok(count) if count > 0) {}
        std::process::exit(0);
    });
}
