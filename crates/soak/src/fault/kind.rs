//! Kinds of faults.

use std::time::Duration;

use crate::proxy::Directions;
use crate::proxy::copies::CopyTiming;

/// Kind of fault, printed under these names in plans and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A gateway is killed and restarted.
    Kill(usize),
    /// Every gateway is killed at once and restarted.
    KillAll,
    /// A gateway is paused with SIGSTOP.
    Pause(usize),
    /// A gateway is asked to stop, and restarted once it has.
    Stop(usize),
    /// A gateway is told to reload its settings file.
    Reload(usize),
    /// The store answers no requests.
    StoreSilent,
    /// The store rejects all requests as overloaded.
    StoreBusy,
    /// The store applies writes but loses the responses.
    StoreLosesAnswers,
    /// The store compacts its history.
    StoreForgets,
    /// Bytes between a gateway and the store are dropped in both directions.
    StoreCut(usize),
    /// Responses of the store to a gateway are dropped.
    StoreDeaf(usize),
    /// Connections between a gateway and the store are reset.
    StoreReset(usize),
    /// Connections to a back end are reset.
    BackEndReset(usize),
    /// Bytes to and from a back end are dropped.
    BackEndCut(usize),
    /// Responses of a back end are dropped.
    BackEndDeaf(usize),
    /// Bytes to and from a back end are delayed.
    BackEndSlow(usize),
    /// A back end registers as draining and is replaced by another one.
    Replace(usize),
    /// The operator writes another configuration.
    Configure,
    /// The operator drains the zone of this number, and later restores it.
    DrainZone(usize),
    /// Connections to a back end are partitioned, for all gateways or for one;
    /// bytes are buffered and delivered some time after the partition has
    /// healed.
    BackEndHold {
        /// The back end.
        back_end: usize,
        /// Directions that are cut.
        ways: Directions,
        /// The gateway to which the partition is limited.
        gateway: Option<usize>,
        /// Time from the healing until buffered bytes are delivered.
        lag: Duration,
    },
    /// Connections between a gateway and the store are partitioned, and bytes
    /// are buffered.
    StoreHold {
        /// The gateway.
        gateway: usize,
        /// Directions that are cut.
        ways: Directions,
        /// Time from the healing until buffered bytes are delivered.
        lag: Duration,
    },
    /// Existing connections to a back end stall for good; new connections work.
    BackEndMute(usize),
    /// Existing connections between a gateway and the store stall for good.
    StoreMute(usize),
    /// Existing connections between a gateway and all other gateways stall for
    /// good.
    PeersMute(usize),
    /// A back end crashes, and another process serves at its address.
    Restart {
        /// The back end.
        back_end: usize,
        /// Time until the next process serves and is registered.
        dark: Duration,
        /// True if the registration of the dead process expires before that.
        lapses: bool,
        /// Time from then until the old registration is written again.
        late: Duration,
    },
    /// A back end reports that it is slow for a while, as after its start.
    Cold(usize),
    /// A back end announces a rate limit in its responses.
    NamesLimit {
        /// The back end.
        back_end: usize,
        /// Requests per ten seconds that it accepts.
        in_ten_s: u32,
    },
    /// A back end announces in its responses that it is leaving, and is
    /// replaced afterwards.
    SaysLeaving(usize),
    /// A back end rejects every request and asks for a backoff.
    AsksRest {
        /// The back end.
        back_end: usize,
        /// Length of the backoff.
        rest: Duration,
    },
    /// A back end leaves grants unanswered and applies them later.
    LateGrants {
        /// The back end.
        back_end: usize,
        /// Delay after which the grants are applied.
        lateness: Duration,
    },
    /// A back end sends some of its answers twice.
    Doubles {
        /// The back end.
        back_end: usize,
        /// Time of the second copy.
        timing: CopyTiming,
        /// Percentage of the answers that are sent twice.
        percent: u32,
    },
    /// A back end leaves grants and releases unanswered and applies them later.
    LateOrders {
        /// The back end.
        back_end: usize,
        /// Longest delay after which one is applied.
        lateness: Duration,
    },
    /// A back end leaves, its process ends later, and another one has come at
    /// another address.
    Leave {
        /// The back end.
        back_end: usize,
        /// True if it registers as draining; else its registration vanishes.
        says_draining: bool,
        /// True if a back end of another service takes over its address.
        reused: bool,
    },
    /// A back end cannot reach the store: its registration lapses while it
    /// serves on.
    Unregistered(usize),
    /// A gateway gets the processor only for a part of each period.
    SlowGateway {
        /// The gateway.
        gateway: usize,
        /// Time for which it runs in each period.
        share: Duration,
    },
    /// A back end reads each connection slowly, so that what it was sent waits
    /// unread.
    SlowReader {
        /// The back end.
        back_end: usize,
        /// Rate at which it reads each connection.
        bytes_per_s: u32,
    },
    /// Other traffic fills the link between two regions.
    LinkFull {
        /// Directions that are full, as seen from the first region.
        ways: Directions,
        /// How long the queue is, as a time.
        queue: Duration,
    },
    /// The gateway that holds the lease of a coordinator is killed.
    KillCoordinator,
    /// The gateway that holds the lease of a coordinator is paused.
    PauseCoordinator,
    /// The store answers after this time.
    StoreSlow(Duration),
    /// The store answers no write and applies it after this time.
    StoreWritesLate(Duration),
    /// The store turns some gateways away.
    StoreTurnsAway {
        /// The first of them.
        first: usize,
        /// Their number; after the last gateway comes the first.
        count: usize,
        /// True if it does not answer them; else it rejects their calls.
        silently: bool,
    },
}

impl Kind {
    /// Returns whether the fault may keep a gateway from reaching the store or
    /// from running, or requests from reaching a back end in time.
    pub const fn may_disconnect(self) -> bool {
        !matches!(
            self,
            Kind::Reload(_)
                | Kind::BackEndReset(_)
                | Kind::BackEndCut(_)
                | Kind::BackEndDeaf(_)
                | Kind::BackEndSlow(_)
                | Kind::Replace(_)
                | Kind::Configure
                | Kind::DrainZone(_)
                | Kind::BackEndMute(_)
                | Kind::Restart { .. }
                | Kind::Cold(_)
                | Kind::LateGrants { .. }
                | Kind::NamesLimit { .. }
                | Kind::SaysLeaving(_)
                | Kind::AsksRest { .. }
                | Kind::Doubles { .. }
                | Kind::LateOrders { .. }
                | Kind::Leave { .. }
                | Kind::Unregistered(_)
                | Kind::SlowGateway { .. }
                | Kind::SlowReader { .. }
        )
    }

    /// Time from the end of the fault until the bytes that it buffered are
    /// delivered.
    pub const fn lag(self) -> Duration {
        match self {
            Kind::BackEndHold { lag, .. } | Kind::StoreHold { lag, .. } => lag,
            _ => Duration::ZERO,
        }
    }
}
