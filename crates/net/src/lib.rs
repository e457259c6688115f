//! HTTP/1.1 servers, clients and connection pools on async-h1.
//!
//! async-h1 parses and writes message heads. This crate adds limits on sizes
//! and times, strict body framing, safe pipelining, cancellation when a caller
//! disconnects, graceful shutdown and connection pools.

mod body;
mod buffered_stream;
pub mod client;
mod client_error;
pub mod convert;
pub mod error_response;
mod framing;
mod head;
mod header_value;
pub mod instant;
mod json_lines;
pub mod message;
mod message_writer;
pub mod pool;
pub mod server;
pub mod status;
pub mod stop;
pub mod target;
pub mod timer;

pub use body::{BodyFault, MIN_BODY_BYTES_PER_SECOND};
pub use client::{BodyTimeouts, ClientError, HttpClient};
pub use head::MAX_HEAD_BYTES;
pub use header_value::is_header_value;
pub use instant::Instant;
pub use json_lines::JsonLines;
pub use pool::{
    ConnectionChoice, ExchangeError, ExchangeFault, HeldConnection, PassedOver, Pool, PoolSettings,
    PooledConnection, RequestIdentity, ResponseIds, Stage, UnframedBodies, Unpaired,
};
pub use server::{ConcurrentHandler, ConnectionInfo, Handler, ServeReport, ServerLimits, serve};
pub use stop::StopSignal;
