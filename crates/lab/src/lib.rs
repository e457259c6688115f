//! The test lab of threadledge: stand-ins, load generation, experiments,
//! history checks and reports.
//!
//! The rig starts every process of a run on 127.0.0.1, limits the duration of
//! the run, collects the events that each process records, checks the
//! guarantees on the assembled history, and measures latency, imbalance, churn
//! and unavailable time.

pub mod baseline;
pub mod checks;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod experiment;
pub mod history;
pub mod hollow;
pub mod load;
pub mod measures;
pub mod report;
pub mod rig;
pub mod stand_in;
