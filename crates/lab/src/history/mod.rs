//! The events that the processes of a run record, and the assembled history
//! that the checks read.
//!
//! Every process writes its events as JSON lines to its standard output. Each
//! line is written before the step it records becomes visible to any other
//! process, so that a killed process leaves no visible step unrecorded.

mod assemble;
mod event;
mod writer;

pub use assemble::{Execution, History, OwnershipClaim, RequestRecord};
pub use event::{
    Attempt, AttemptOutcome, ConfigurationSeen, Event, ObjectRef, RequestId, SliceSeen,
};
pub use writer::{ChildLine, Recorder};
