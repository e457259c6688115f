//! The request path in virtual time.

mod choice;
mod cold;
mod fleet;
mod outcomes;
mod parts;
mod schedules;
mod support;
