//! Turns configuration objects into records, reporting every problem.
//!
//! Nothing here does input or output, so that the control core, the router's
//! `check` subcommand and the tests all judge an object the same way. Each
//! function reports all the problems of an object rather than the first only,
//! so that an operator mends them in one edit.
//!
//! What can be told from one object alone is checked by [`validate_back_end`]
//! and [`validate_service`]; what depends on the other objects (a host that
//! another service has, an address that
//! another back end has) by [`HostClaims`] and [`AddressClaims`], and of a
//! whole deployment by [`ObjectSet`].

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
