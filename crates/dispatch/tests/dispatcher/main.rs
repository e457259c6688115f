//! The request path in virtual time.

mod choice;
mod outcomes;
mod parts;
mod schedules;
mod support;
