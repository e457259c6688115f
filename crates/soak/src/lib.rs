//! A randomized soak of the real program.
//!
//! Gateways run as separate processes on loopback addresses. Everything around
//! them is a stand-in of this process: the store, the back ends, the callers,
//! and the proxies between them. Faults come from outside the gateways:
//! signals, proxies that delay, cut, reset or swallow, and a store that is
//! silent, busy or loses answers. What callers and back ends see is checked
//! against the promises of docs/rules.md while it runs.
//!
//! The seed decides which faults come when. Processes and sockets run in real
//! time, so a seed repeats the faults and not the run.

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
pub mod run;
pub mod tenants;
pub mod world;

pub use check::{Answer, Seen, Tenure, Violation};
pub use run::{Options, Summary, run};
