//! Coordinators in virtual time against a modelled store and modelled back
//! ends, under faults. The invariants are checked at every step.

mod back_end;
mod checker;
mod doubt;
mod handed_back;
mod joined;
mod lives;
mod named;
mod registrations;
mod schedules;
mod store;
mod successor;
mod world;
