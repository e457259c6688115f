//! Simulates many gateways and ledgers in one process, in virtual time.

mod bound;
mod service;
mod steps;
mod world;
