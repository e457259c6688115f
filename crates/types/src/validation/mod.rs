//! Validates configuration objects and converts them to records.
//!
//! The functions do no input or output, so that the control core, the router's
//! `check` subcommand and the tests apply the same rules. Each reports all
//! problems of an object, not only the first, so that an operator can fix them
//! in one edit.
//!
//! [`validate_back_end`] and [`validate_service`] check an object by itself.
//! [`HostClaims`] and [`AddressClaims`] check rules that depend on other
//! objects: a host owned by another service, an address owned by another back
//! end. [`ObjectSet`] checks all objects of a deployment together.

mod addresses;
mod back_end;
mod claims;
mod hosts;
mod names;
mod object_set;
mod parse;
mod problem;
mod route;
mod selector;
mod service;

pub use addresses::AddressClaims;
pub use back_end::{MAX_CONNECTIONS, MAX_SLOTS, validate_back_end};
pub use hosts::HostClaims;
pub use object_set::{ObjectSet, split_document};
pub use parse::parse_object;
pub use problem::{ObjectReference, Problem, ProblemKind};
pub use route::{MAX_DEADLINE_MS, MAX_PATH_SEGMENT, MIN_DEADLINE_MS};
pub use selector::{compile_selector, validate_selector};
pub use service::{
    MAX_HOSTS, MAX_ROUTES, MAX_SLICES_PER_BACK_END, MAX_TOLERATED_IMBALANCE, is_for_region,
    validate_service,
};
