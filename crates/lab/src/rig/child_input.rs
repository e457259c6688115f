//! The child's end of the connection to the rig: a child reads its settings
//! from standard input and exits when it closes, so that no child outlives a
//! rig that died.

use std::io::{self, BufRead, Read};
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use threadledge_membership::Machine;

/// Settings of a stand-in for a platform service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformSettings {
    /// The object API.
    ObjectApi {
        /// Address to listen on.
        address: SocketAddr,
        /// Initial objects.
        objects: Vec<Value>,
    },
    /// The machine list.
    MachineList {
        /// Address to listen on.
        address: SocketAddr,
        /// Initial machines.
        machines: Vec<Machine>,
    },
}

/// Reads the settings from one line of JSON on standard input.
///
/// # Errors
///
/// Fails if the line is missing or cannot be parsed.
pub fn read_settings<T: DeserializeOwned>() -> io::Result<T> {
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    serde_json::from_str(&line).map_err(io::Error::other)
}

/// Spawns a thread that exits this process when standard input closes, because
/// the rig closed it or died.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let mut rest = [0_u8; 64];
        // All input is ignored; only its end matters.
        while matches!(io::stdin().lock().read(&mut rest), Ok(count) if count > 0) {}
        std::process::exit(0);
    });
}
