//! A randomized soak test of the real program.
//!
//! Gateways run as separate processes on loopback addresses. Everything around
//! them is a stand-in inside this process: the store, the back ends, the
//! callers and the proxies between them. Faults are injected from outside the
//! gateways: signals, proxies that delay, drop, buffer or reset, and a store
//! that is silent, overloaded or loses responses. While the soak runs, the
//! observations of callers and back ends are checked against the guarantees in
//! docs/rules.md.
//!
//! The seed decides which faults are injected when. Processes and sockets run
//! in real time, so a seed repeats the faults but not the exact run.

pub mod backpressure;
pub mod caller;
pub mod check;
pub mod crashing;
pub mod fault;
pub mod ownership;
pub mod peers;
pub mod pipelined;
pub mod process;
pub mod proxy;
pub mod regions;
pub mod run;
pub mod tenants;
pub mod world;

pub use check::{Answer, RequestRecord, Tenure, Violation};
pub use fault::Fault;
pub use run::{Options, Summary, run};
