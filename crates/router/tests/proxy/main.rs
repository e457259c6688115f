//! Tests of the proxy between callers and back ends, including failures of the
//! back end.

mod back_end;
mod caller;
mod faults;
mod forwarding;
mod metrics;
mod planned_stop;
mod world;
