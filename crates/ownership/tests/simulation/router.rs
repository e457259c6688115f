//! Routers that lead the group or led it before.

use threadledge_ownership::{Grantor, LeaderTerm, StateMachine};

use crate::clock::Clock;

pub struct Router {
    pub clock: Clock,
    pub term: LeaderTerm,
    pub machine: StateMachine,
    pub grantor: Grantor,
    /// True if the leader lease is valid.
    pub lease_valid: bool,
    /// Real time until which the router is frozen.
    pub frozen_until: u64,
    /// Real time of the earliest scheduled wake-up.
    pub wakeup: Option<u64>,
}
