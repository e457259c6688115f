//! Simulation of coordinators in virtual time against a modelled store and
//! modelled back ends, with faults. The invariants are checked at every step.

mod back_end;
mod checker;
mod former_owners;
mod handovers;
mod late_grants;
mod merged_grants;
mod registrations;
mod resets;
mod resignation;
mod restarts;
mod scenarios;
mod schedules;
mod stale_registrations;
mod store;
mod work;
mod world;
