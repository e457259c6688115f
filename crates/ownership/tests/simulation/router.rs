//! Routers that lead or once led the group.

use threadledge_ownership::{Grantor, LeaderTerm, StateMachine};

use crate::clock::Clock;

pub struct Router {
    pub clock: Clock,
    pub term: LeaderTerm,
    pub machine: StateMachine,
    pub grantor: Grantor,
    /// The leader lease holds.
    pub lease_valid: bool,
    /// Real time until which it is frozen.
    pub frozen_until: u64,
    /// Real time of the earliest wake-up on its way.
    pub wakeup: Option<u64>,
}
