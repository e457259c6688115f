//! Stand-in back ends: servers that hold state for each key and really
//! enforce what they were granted.
//!
//! One process hosts one or many back ends. Each has a request address and a
//! control address. It carries out a request only under a grant with the
//! request's epoch and a lease that still holds, checked when the request is
//! admitted, when a slot is free and again when the work takes effect.

mod control;
mod exchange;
mod hang_up;
mod load_meter;
mod process;
mod service_time;
mod settings;
mod sickness;
mod slots;
mod state;

pub use exchange::{ANSWER_CHECKSUM_HEADER, LAB_REQUEST_HEADER, answer_body, answer_checksum};
pub use load_meter::LoadMeter;
pub use process::{Serving, run_process, serve};
pub use service_time::ServiceTimes;
pub use settings::{BackEndSettings, ColdStart, ServiceTimeSettings};
pub use sickness::Sickness;
pub use slots::{SlotGuard, SlotRefusal, Slots};
pub use state::{Admission, BackEnd, Begun, Work};

/// Control path with which the rig makes a back end sick or well.
pub const SICKNESS_PATH: &str = "/lab/sickness";
/// Control path with which the rig tells a back end to leave.
pub const DRAIN_PATH: &str = "/lab/drain";
