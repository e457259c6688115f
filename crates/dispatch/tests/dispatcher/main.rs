//! The request path in virtual time.

mod choice;
mod fleet;
mod outcomes;
mod parts;
mod schedules;
mod support;
