//! Faults and operators' actions with their times.

use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, ServiceId};

/// One action at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    /// Time since the load began, in milliseconds.
    pub at_ms: u64,
    /// What is done.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    tag = "action",
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    deny_unknown_fields
)]
pub enum FaultAction {
    /// Ends a back end's process without warning.
    KillBackEnd {
        /// Which.
        back_end: BackEndId,
    },
    /// Starts a killed back end again, as a new life.
    StartBackEnd {
        /// Which.
        back_end: BackEndId,
    },
    /// Stops a back end's process in its tracks, then lets it go on.
    FreezeBackEnd {
        /// Which.
        back_end: BackEndId,
        /// For how long.
        for_ms: u64,
    },
    /// Tells a back end to leave.
    DrainBackEnd {
        /// Which.
        back_end: BackEndId,
    },
    /// Ends a router's process without warning.
    KillRouter {
        /// Which.
        router: RouterTarget,
    },
    /// Asks a router to stop in good order.
    StopRouter {
        /// Which.
        router: RouterTarget,
    },
    /// Stops a router's process in its tracks, then lets it go on.
    FreezeRouter {
        /// Which.
        router: RouterTarget,
        /// For how long.
        for_ms: u64,
    },
    /// Starts a new machine in the place of a router that has ended.
    ReplaceRouter {},
    /// Makes a back end slow and failing, while its health endpoint says that
    /// all is well.
    SickenBackEnd {
        /// Which.
        back_end: BackEndId,
        /// Service times are this many times longer.
        slow_factor: f64,
        /// Share of requests that it drops without an answer, between 0 and 1.
        error_share: f64,
        /// For how long.
        for_ms: u64,
    },
    /// Callers that mean harm: slow heads, heads and bodies that are too
    /// large, malformed requests, and hang-ups.
    HostileCallers {
        /// How many at once.
        connections: u32,
        /// For how long.
        for_ms: u64,
    },
    /// Ends the router and all back ends of one zone.
    KillZone {
        /// Number of the zone, from 0.
        zone: usize,
    },
    /// The object API answers nothing, then does again.
    StoreDown {
        /// For how long.
        for_ms: u64,
    },
    /// The next writes to the object API take effect, but their answers never
    /// arrive.
    StoreDropsAnswers {
        /// How many.
        writes: u32,
    },
    /// Changes the specification of a service, as an operator would.
    ChangeService {
        /// Which.
        service: ServiceId,
    },
}

/// A router, chosen when the time comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouterTarget {
    /// The leader of the consensus group.
    Leader,
    /// A router that does not lead it.
    Follower,
}

impl FaultAction {
    /// The back end that needs a process of its own for this action.
    pub fn lone_back_end(&self) -> Option<&BackEndId> {
        match self {
            FaultAction::KillBackEnd { back_end }
            | FaultAction::StartBackEnd { back_end }
            | FaultAction::FreezeBackEnd { back_end, .. } => Some(back_end),
            _ => None,
        }
    }

    /// Every back end that the action names.
    pub fn named_back_end(&self) -> Option<&BackEndId> {
        match self {
            FaultAction::DrainBackEnd { back_end }
            | FaultAction::SickenBackEnd { back_end, .. } => Some(back_end),
            other => other.lone_back_end(),
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
