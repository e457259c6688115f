//! How attempts and exchanges end.

use std::time::Duration;

/// How one attempt at a back end ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer, or the head of one that is passed on as it comes.
    Answered {
        /// The back end failed on the request: a status of 500 or above.
        failed: bool,
        /// The load that the back end told.
        load: Option<ReportedLoad>,
    },
    /// The back end did not run the request, and said so.
    NotRun {
        /// Why.
        reason: Rejection,
        /// The load that the back end told.
        load: Option<ReportedLoad>,
    },
    /// There is no answer.
    Failed(Fault),
    /// It was given up here, because another attempt was faster or because
    /// [`crate::Dispatcher::may_send`] said no. Nothing is known of the back
    /// end from it.
    Abandoned,
}

/// Why a back end did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is full or leaving, or the time was up before its turn.
    Busy,
    /// It does not hold the key.
    NotOwner,
    /// Another process runs at the address.
    OtherInstance,
    /// It found the request malformed.
    Malformed,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened: nothing was sent.
    Unreachable,
    /// Every connection that this router may have there is used: nothing was
    /// sent.
    NoConnection,
    /// A connection was open, and no byte of the request was handed to it.
    NothingSent,
    /// The body can't be sent again, or its caller failed before any of the
    /// request was sent.
    BodyGone,
    /// The caller failed to send its body after some of the request was sent.
    /// It says nothing of the back end.
    CallerBroke,
    /// The connection broke after some of the request was sent.
    Broken,
    /// The answer was malformed, cut short or another request's.
    BadAnswer,
    /// The time was up.
    TimedOut,
}

impl Fault {
    /// Whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            Fault::Unreachable | Fault::NoConnection | Fault::NothingSent | Fault::BodyGone
        )
    }
}

/// What a back end tells of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// What the head of a back end's answer says of the requests a second that it
/// takes from all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// It names no limit.
    #[default]
    None,
    /// It names this one, in requests a second: zero or above.
    Rate(f64),
    /// It names something that is no such number.
    Unreadable,
}

/// What the head of a back end's answer says that concerns later requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The requests a second that it takes.
    pub limit: ReportedLimit,
    /// It leaves, and wants nothing new.
    pub leaving: bool,
    /// It turned the request away and wants nothing from this router for a
    /// while.
    pub backoff: RequestedBackoff,
}

/// The rest that a back end asks for when it turns a request away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// None.
    #[default]
    None,
    /// So long.
    For(Duration),
    /// Something that is no time.
    Unreadable,
}

/// The outcome of a request that no back end's answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing of the request was run, and nothing will be.
    Refused(Refusal),
    /// It may have run.
    Unknown(UnknownReason),
}

/// A refusal: the promise that the request has not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The caller shows no key, and the route asks for one.
    MissingApiKey,
    /// The caller shows a key that no tenant holds.
    UnknownApiKey,
    /// Nobody has confirmed for too long which keys are known.
    KeysOutOfDate,
    /// The service is divided by key and the request has none.
    MissingKey,
    /// No back end of the service can be used.
    NoBackEnd,
    /// Nobody owns the key now.
    NoOwner,
    /// No slot will be free in time.
    Overloaded,
    /// The back end names a limit, and all routers together have used it up.
    BackEndLimited,
    /// Every back end that could take it asked this router for rest.
    BackEndResting,
    /// The time was up before the request was sent.
    DeadlinePassed,
    /// Back ends that were asked did not run it.
    Rejected,
    /// Each back end that ran it ended.
    CrashesBackEnds,
    /// It may be served in other regions only than those in which its service
    /// or its key is.
    OutsideRegions,
}

impl RefusalReason {
    /// Every reason.
    pub const ALL: [RefusalReason; 15] = [
        RefusalReason::NoConfiguration,
        RefusalReason::NoRoute,
        RefusalReason::MissingApiKey,
        RefusalReason::UnknownApiKey,
        RefusalReason::KeysOutOfDate,
        RefusalReason::MissingKey,
        RefusalReason::NoBackEnd,
        RefusalReason::NoOwner,
        RefusalReason::Overloaded,
        RefusalReason::BackEndLimited,
        RefusalReason::BackEndResting,
        RefusalReason::DeadlinePassed,
        RefusalReason::Rejected,
        RefusalReason::CrashesBackEnds,
        RefusalReason::OutsideRegions,
    ];

    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no-configuration",
            RefusalReason::NoRoute => "no-route",
            RefusalReason::MissingApiKey => "missing-api-key",
            RefusalReason::UnknownApiKey => "unknown-api-key",
            RefusalReason::KeysOutOfDate => "keys-out-of-date",
            RefusalReason::MissingKey => "missing-key",
            RefusalReason::NoBackEnd => "no-back-end",
            RefusalReason::NoOwner => "no-owner",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::BackEndLimited => "back-end-limited",
            RefusalReason::BackEndResting => "back-end-resting",
            RefusalReason::DeadlinePassed => "deadline-passed",
            RefusalReason::Rejected => "rejected",
            RefusalReason::CrashesBackEnds => "crashes-back-ends",
            RefusalReason::OutsideRegions => "outside-regions",
        }
    }

    /// HTTP status of the answer.
    pub const fn status(self) -> u16 {
        match self {
            RefusalReason::NoRoute => 404,
            RefusalReason::MissingApiKey | RefusalReason::UnknownApiKey => 401,
            RefusalReason::MissingKey => 400,
            // Nothing has run; the request is proper, and is in the wrong place.
            RefusalReason::OutsideRegions => 421,
            RefusalReason::NoConfiguration
            | RefusalReason::KeysOutOfDate
            | RefusalReason::NoBackEnd
            | RefusalReason::NoOwner
            | RefusalReason::Overloaded
            | RefusalReason::BackEndLimited
            | RefusalReason::BackEndResting
            | RefusalReason::DeadlinePassed
            | RefusalReason::Rejected
            | RefusalReason::CrashesBackEnds => 503,
        }
    }
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnknownReason {
    /// The connection broke.
    Broken,
    /// The answer was malformed or cut short.
    BadAnswer,
    /// The time was up.
    DeadlinePassed,
}

impl UnknownReason {
    /// Name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            UnknownReason::Broken => "connection-lost",
            UnknownReason::BadAnswer => "bad-answer",
            UnknownReason::DeadlinePassed => "deadline-passed",
        }
    }

    /// HTTP status of the answer.
    pub const fn status(self) -> u16 {
        match self {
            UnknownReason::Broken | UnknownReason::BadAnswer => 502,
            UnknownReason::DeadlinePassed => 504,
        }
    }
}

impl From<Fault> for UnknownReason {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Unreachable
            | Fault::NoConnection
            | Fault::NothingSent
            | Fault::BodyGone
            | Fault::CallerBroke
            | Fault::Broken => UnknownReason::Broken,
            Fault::BadAnswer => UnknownReason::BadAnswer,
            Fault::TimedOut => UnknownReason::DeadlinePassed,
        }
    }
}
