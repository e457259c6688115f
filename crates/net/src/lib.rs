//! HTTP/1.1 servers, clients and connection pools on async-h1.
//!
//! async-h1 parses and writes heads; this crate adds what it leaves out:
//! bounds on sizes and times, strict framing of bodies, safe pipelining,
//! cancellation when a caller hangs up, planned stops and connection pools.

pub mod client;
pub mod convert;
pub mod pool;
pub mod server;
pub mod stop;

pub use client::{ClientError, HttpClient, JsonLines};
pub use pool::{ExchangeError, Pool, PoolSettings, Stage};
pub use server::{ConnectionInfo, ServeReport, ServerLimits, serve};
pub use stop::StopSignal;
