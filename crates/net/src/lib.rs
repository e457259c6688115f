//! HTTP/1.1 servers, clients and connection pools on async-h1.
//!
//! async-h1 parses and writes heads; this crate adds what it leaves out:
//! bounds on sizes and times, strict framing of bodies, safe pipelining,
//! cancellation when a caller hangs up, planned stops and connection pools.

mod body;
pub mod client;
mod client_error;
pub mod convert;
mod framing;
mod head;
pub mod instant;
mod json_lines;
pub mod message;
pub mod pool;
pub mod refusal;
pub mod server;
pub mod stop;
pub mod timer;
mod transmit;
mod wire;

pub use body::{BodyFault, LEAST_BODY_BYTES_PER_SECOND};
pub use client::{ClientError, HttpClient, LargePace};
pub use head::LARGEST_HEAD;
pub use instant::Instant;
pub use json_lines::JsonLines;
pub use pool::{
    ExchangeError, ExchangeFault, Pool, PoolSettings, PooledConnection, Stage, Unframed,
};
pub use server::{ConnectionInfo, Handler, ServeReport, ServerLimits, SideBySide, serve};
pub use stop::StopSignal;
