//! The I/O shell around [`threadledge_control::ControlNode`].
//!
//! The core decides; this module carries messages to other routers, lease
//! requests to back ends and writes to the platform, and feeds back what they
//! answer. All inputs pass one lock, under which the clock is read: the core
//! sees time that never goes back and that is later than the event it
//! describes.

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

/// Path on which routers post batches to each other.
pub const PEER_PATH: &str = "/threadledge/v1/peer";
