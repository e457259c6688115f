//! The leader's side: each failure by name.

mod bench;
mod failures;
mod handover;
#[path = "../support/mod.rs"]
mod support;
