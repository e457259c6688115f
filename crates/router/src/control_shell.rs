//! The I/O shell around the core [`threadledge_control::ControlNode`].
//!
//! The core makes the decisions and performs no I/O. This module sends its
//! messages to other routers, its lease requests to back ends and its writes to
//! the platform, and feeds the responses back into the core. All inputs pass
//! through one lock, under which the clock is read, so that the core's time
//! never goes backwards and is never before the event of an input.

pub mod availability;
mod configuration;
pub mod explain;
mod leases;
mod machines;
mod observe;
mod peer_server;
mod peers;
pub mod safety;
mod shared;
pub mod status;

pub use crate::proxy::Clock;
pub use peer_server::serve_peers;
pub use shared::{ControlShell, ControlShellSettings, RecordSink};

/// Path to which routers post message batches to each other.
pub const PEER_PATH: &str = "/threadledge/v1/peer";
