//! Consensus tests in virtual time with fixed seeds.

mod arbitrary_input;
mod checker;
mod cluster;
mod elections;
mod explorer;
mod generations;
mod leases;
mod members;
mod replication;
mod schedules;
mod transfers;
