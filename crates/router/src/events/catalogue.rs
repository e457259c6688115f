//! The catalogue of events.

use super::EventLevel;

/// Declares the events: variant, number, name, level, meaning, action.
macro_rules! events {
    ($($variant:ident = $number:literal, $name:literal, $level:ident,
        $meaning:literal, $action:literal;)*) => {
        /// A numbered event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum EventId {
            $(#[doc = $meaning] $variant,)*
        }

        impl EventId {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [EventId] = &[$(EventId::$variant,)*];

            /// Number; never given to another event.
            pub const fn number(self) -> u32 {
                match self {
                    $(EventId::$variant => $number,)*
                }
            }

            /// Short name in kebab case.
            pub const fn name(self) -> &'static str {
                match self {
                    $(EventId::$variant => $name,)*
                }
            }

            /// Severity.
            pub const fn level(self) -> EventLevel {
                match self {
                    $(EventId::$variant => EventLevel::$level,)*
                }
            }

            /// What happened.
            pub const fn meaning(self) -> &'static str {
                match self {
                    $(EventId::$variant => $meaning,)*
                }
            }

            /// What an operator should do.
            pub const fn action(self) -> &'static str {
                match self {
                    $(EventId::$variant => $action,)*
                }
            }
        }
    };
}

// 1xx: process. 2xx: membership and consensus. 3xx: ownership.
// 4xx: configuration. 5xx: requests. 6xx: placement.
events! {
    RouterStarted = 101, "router-started", Info,
        "The process started and listens on all its addresses.",
        "None.";
    StopRequested = 102, "stop-requested", Info,
        "A planned stop was asked for, by a signal or by an operator.",
        "None.";
    StopFinished = 103, "stop-finished", Info,
        "The planned stop ended: no request was left in flight.",
        "None.";
    StopCutShort = 104, "stop-cut-short", Error,
        "The drain timeout passed with requests still in flight; they were cut off.",
        "Raise limits.drain-timeout-ms above the longest deadline of any route.";
    ListenFailed = 105, "listen-failed", Error,
        "An address of the settings cannot be listened on.",
        "Free the port or change the address in the settings.";
    Ready = 106, "ready", Info,
        "The router takes new work.",
        "None.";
    NotReady = 107, "not-ready", Warn,
        "The router takes no new work, for the reason given.",
        "See the page on readiness in the operators' guide.";
    PeerFound = 201, "peer-found", Info,
        "Another router answered for the first time.",
        "None.";
    PeerSuspected = 202, "peer-suspected", Warn,
        "Another router stopped answering; others are asked about it.",
        "None, unless it repeats: then check that machine and its network.";
    PeerLost = 203, "peer-lost", Warn,
        "Another router is taken for dead.",
        "Replace the machine if the platform does not.";
    LeaderElected = 204, "leader-elected", Info,
        "A router became leader of a group.",
        "None, unless it repeats within minutes: then check the machines' clocks and load.";
    LeadershipLost = 205, "leadership-lost", Warn,
        "This router is no longer the leader of a group.",
        "None, unless it repeats within minutes.";
    GroupFounded = 206, "group-founded", Warn,
        "A group was founded, at first start or after the loss of its majority.",
        "At first start none; otherwise find out why a majority was lost.";
    GroupMemberAdded = 207, "group-member-added", Info,
        "A router became a voter of a group.",
        "None.";
    GroupMemberRemoved = 208, "group-member-removed", Info,
        "A router is no longer a voter of a group.",
        "None.";
    MachineListUnavailable = 209, "machine-list-unavailable", Warn,
        "The platform's machine list cannot be read; the last one read is kept.",
        "Restore the machine list service.";
    SessionOpened = 301, "session-opened", Info,
        "A back end process may be given slices.",
        "None.";
    SessionClosed = 302, "session-closed", Warn,
        "A back end process is gone or its last possible lease ran out; its slices are unowned.",
        "Restart or replace the back end if it was not meant to go.";
    BackEndDraining = 303, "back-end-draining", Info,
        "A back end announced that it is leaving; its slices are being moved.",
        "None.";
    SliceAssigned = 304, "slice-assigned", Info,
        "A slice without an owner was given one.",
        "None.";
    MoveStarted = 305, "move-started", Info,
        "The handover of a slice began.",
        "None.";
    MoveCompleted = 306, "move-completed", Info,
        "The handover of a slice ended; the next owner owns it.",
        "None.";
    MoveCancelled = 307, "move-cancelled", Info,
        "The handover of a slice was given up; the owner stays.",
        "None.";
    ConfigurationAccepted = 401, "configuration-accepted", Info,
        "An object was validated and committed; it is in force at the revision given.",
        "None.";
    ConfigurationRefused = 402, "configuration-refused", Warn,
        "An object was refused; what was in force before stays in force.",
        "Correct the object as the message says; its status carries the same text.";
    PlatformUnavailable = 403, "platform-unavailable", Warn,
        "The object API cannot be reached; what was accepted stays in force.",
        "Restore the object API.";
    PlatformRestored = 404, "platform-restored", Info,
        "The object API answers again.",
        "None.";
    PlatformWentBack = 405, "platform-went-back", Error,
        "The object API serves an older version than one already accepted; it is not taken over.",
        "Find out why the store lost writes; apply the lost objects again.";
    RevisionNotConfirmed = 406, "revision-not-confirmed", Error,
        "This router could not confirm its revision within the bound and takes no new work.",
        "Check that this machine reaches the other routers on their peer addresses.";
    WriteAmbiguous = 407, "write-ambiguous", Warn,
        "The answer to a write on the object API never came; the object is read back.",
        "None.";
    RequestRefused = 501, "request-refused", Info,
        "A request was not run, for the reason given.",
        "None for single ones; for many, see the reason in the operators' guide.";
    RequestUnknown = 502, "request-unknown", Warn,
        "It is unknown whether a request was run.",
        "None for single ones; for many, check the back end named.";
    BackEndEjected = 503, "back-end-ejected", Warn,
        "A back end gets fewer or no requests because it fails or is slow.",
        "Check the back end.";
    BackEndReadmitted = 504, "back-end-readmitted", Info,
        "An ejected back end gets requests again.",
        "None.";
    Overloaded = 505, "overloaded", Warn,
        "Requests are being refused because limits are reached.",
        "Add back ends, or routers if their own limits are named.";
    ShareExhausted = 506, "share-exhausted", Warn,
        "One namespace uses up its share of this router; its further requests are refused.",
        "Ask that partner to slow down, or raise limits.namespace-share.";
    ImbalanceTooHigh = 601, "imbalance-too-high", Warn,
        "A service's imbalance stays above what its policy tolerates and nothing that may be moved would help.",
        "Add back ends, or raise the service's churn budget.";
    SliceSplit = 602, "slice-split", Info,
        "A slice was divided around a hot key.",
        "None.";
    SlicesMerged = 603, "slices-merged", Info,
        "Two slices that went cold were joined.",
        "None.";
    NoEligibleBackEnd = 604, "no-eligible-back-end", Error,
        "A service has slices without an owner and no back end that may take them.",
        "Check the service's selector against the labels of the back ends, and start back ends.";
}
