//! Scheduled faults and operator actions.

use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, ServiceId};

/// An action scheduled at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    /// Time since the load began, in milliseconds.
    pub at_ms: u64,
    /// The action.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// A fault or operator action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "action",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum FaultAction {
    /// Kills the process of a back end.
    KillBackEnd {
        /// The back end.
        back_end: BackEndId,
    },
    /// Restarts a killed back end with a new incarnation.
    StartBackEnd {
        /// The back end.
        back_end: BackEndId,
    },
    /// Suspends the process of a back end, then resumes it.
    FreezeBackEnd {
        /// The back end.
        back_end: BackEndId,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Tells a back end to drain.
    DrainBackEnd {
        /// The back end.
        back_end: BackEndId,
    },
    /// Kills the process of a router.
    KillRouter {
        /// The router.
        router: RouterTarget,
    },
    /// Asks a router to stop gracefully.
    StopRouter {
        /// The router.
        router: RouterTarget,
    },
    /// Suspends the process of a router, then resumes it.
    FreezeRouter {
        /// The router.
        router: RouterTarget,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Replaces a router that has ended with a new machine.
    ReplaceRouter {},
    /// Makes a back end slow and drop requests while its health endpoint still
    /// reports healthy.
    SickenBackEnd {
        /// The back end.
        back_end: BackEndId,
        /// Multiple of the normal service times.
        slow_factor: f64,
        /// Share of requests dropped without a response, between 0 and 1.
        error_share: f64,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Runs hostile callers: slow heads, oversized heads and bodies, malformed
    /// requests, and early disconnects.
    HostileCallers {
        /// Number of concurrent callers.
        connections: u32,
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Kills the router and all back ends of one zone.
    KillZone {
        /// Number of the zone, from 0.
        zone: usize,
    },
    /// Makes the object API close connections without a response, then
    /// recover.
    StoreDown {
        /// Duration, in milliseconds.
        for_ms: u64,
    },
    /// Makes the next writes to the object API take effect without a response.
    StoreDropsAnswers {
        /// Number of writes.
        writes: u32,
    },
    /// Changes the spec of a service, as an operator would.
    ChangeService {
        /// The service.
        service: ServiceId,
    },
}

/// A router by its role, selected when the action starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouterTarget {
    /// The leader of the consensus group.
    Leader,
    /// A router that does not lead the group.
    Follower,
}

impl FaultAction {
    /// Returns the back end that needs a process of its own for this action.
    pub fn back_end_to_isolate(&self) -> Option<&BackEndId> {
        match self {
            FaultAction::KillBackEnd { back_end }
            | FaultAction::StartBackEnd { back_end }
            | FaultAction::FreezeBackEnd { back_end, .. } => Some(back_end),
            _ => None,
        }
    }

    /// Returns the back end that the action names, if any.
    pub fn affected_back_end(&self) -> Option<&BackEndId> {
        match self {
            FaultAction::DrainBackEnd { back_end }
            | FaultAction::SickenBackEnd { back_end, .. } => Some(back_end),
            other => other.back_end_to_isolate(),
        }
    }
}

impl fmt::Display for FaultAction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultAction::KillBackEnd { back_end } => write!(formatter, "kill {back_end}"),
            FaultAction::StartBackEnd { back_end } => write!(formatter, "start {back_end}"),
            FaultAction::FreezeBackEnd { back_end, for_ms } => {
                write!(formatter, "freeze {back_end} for {for_ms} ms")
            }
            FaultAction::DrainBackEnd { back_end } => write!(formatter, "drain {back_end}"),
            FaultAction::KillRouter { router } => write!(formatter, "kill the {router}"),
            FaultAction::StopRouter { router } => write!(formatter, "stop the {router}"),
            FaultAction::FreezeRouter { router, for_ms } => {
                write!(formatter, "freeze the {router} for {for_ms} ms")
            }
            FaultAction::ReplaceRouter {} => formatter.write_str("replace a router that ended"),
            FaultAction::SickenBackEnd {
                back_end,
                slow_factor,
                error_share,
                for_ms,
            } => write!(
                formatter,
                "{back_end} is {slow_factor} times slower and drops {error_share} of its requests for {for_ms} ms"
            ),
            FaultAction::HostileCallers {
                connections,
                for_ms,
            } => write!(formatter, "{connections} hostile callers for {for_ms} ms"),
            FaultAction::KillZone { zone } => write!(formatter, "kill zone {zone}"),
            FaultAction::StoreDown { for_ms } => {
                write!(formatter, "object API down for {for_ms} ms")
            }
            FaultAction::StoreDropsAnswers { writes } => {
                write!(formatter, "object API drops the answers of {writes} writes")
            }
            FaultAction::ChangeService { service } => write!(formatter, "change {service}"),
        }
    }
}

impl fmt::Display for RouterTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RouterTarget::Leader => "leader",
            RouterTarget::Follower => "follower",
        })
    }
}
