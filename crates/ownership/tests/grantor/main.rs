//! The leader's side: each failure by name.

mod bench;
mod failures;
mod handover;
mod selection;
#[path = "../support/mod.rs"]
mod support;
