//! Tests of the leader's side: handovers, failures and the selection of back
//! ends.

mod failures;
mod handover;
mod harness;
mod selection;
#[path = "../support/mod.rs"]
mod support;
