//! How a gateway reaches back ends: over connections of its own, or through
//! other gateways that forward for it.
//!
//! A gateway may lose its path to back ends that run and that other gateways
//! reach. [`DirectPaths`] keeps which back ends the gateway cannot connect to
//! itself, and when to check them again. [`Forwarders`] keeps which other
//! gateways reached a back end, and chooses the next one to ask.
//!
//! This crate opens no sockets and reads no clock.

pub mod direct;
pub mod forwarders;
mod reached;

pub use direct::{DirectPaths, Evidence, PathChange};
pub use forwarders::{Forwarders, NextForwarder, Search};
pub use reached::Witness;
