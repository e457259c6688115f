//! The rehearsal kit of threadledge: stand-ins, load, experiments, history
//! checks and reports.
//!
//! The rig starts every process of a run on 127.0.0.1, bounds it in time,
//! collects what each process records, checks the guarantees on these
//! histories and measures imbalance, churn and unavailable time.

pub mod checks;
pub mod clock;
pub mod history;
pub mod load;
pub mod stand_in;
