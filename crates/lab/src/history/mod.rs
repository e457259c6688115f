//! What the processes of a run record, and the collected history that the
//! checks read.
//!
//! Every process writes one JSON object a line on its standard output, each
//! line before the step it tells of becomes visible to anyone else, so that a
//! killed process leaves no step unrecorded.

mod assemble;
mod event;
mod writer;

pub use assemble::{Belief, Execution, History, RequestRecord};
pub use event::{
    Attempt, AttemptOutcome, ConfigurationSeen, Event, ObjectRef, RequestId, SliceSeen,
};
pub use writer::{ChildLine, Recorder};
