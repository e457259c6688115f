//! How attempts and exchanges end.

use std::time::Duration;

/// How one attempt at a back end ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete response, or the head of a response whose body is streamed.
    Answered {
        /// The back end failed to process the request: status 500 or above.
        failed: bool,
        /// The load that the back end reported.
        load: Option<ReportedLoad>,
    },
    /// The back end declared that it did not run the request.
    NotRun {
        /// The reason.
        reason: Rejection,
        /// The load that the back end reported.
        load: Option<ReportedLoad>,
    },
    /// There was no valid response.
    Failed(Fault),
    /// The attempt was cancelled by this router, because another one was faster
    /// or because [`crate::Dispatcher::may_send`] denied it. It says nothing
    /// about the back end.
    Abandoned,
}

/// Why a back end did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It is full or leaving, or the deadline passed while the request was
    /// queued.
    Busy,
    /// It does not own the request's key.
    NotOwner,
    /// Another process runs at its address.
    OtherInstance,
    /// It considers the request malformed.
    Malformed,
}

/// Why an attempt got no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be opened. Nothing was sent.
    Unreachable,
    /// No connection could be opened by a router that reaches no other back end
    /// of the service either, so that this says nothing about the back end.
    /// Nothing was sent.
    CutOff,
    /// The way that was tried does not reach the back end, but another one may.
    /// Nothing was sent.
    PathFailed,
    /// All connections that this router may have to the back end are in use.
    /// Nothing was sent.
    NoConnection,
    /// A connection was open, but no byte of the request was written to it.
    NothingSent,
    /// The body cannot be sent again, or the caller failed to send it before
    /// any part of the request was forwarded.
    BodyGone,
    /// The caller failed to send its body after part of the request was
    /// forwarded. This says nothing about the back end.
    CallerBroke,
    /// The connection broke after part of the request was sent.
    Broken,
    /// The response was malformed, truncated, or belonged to another request.
    BadAnswer,
    /// The attempt timed out.
    TimedOut,
}

impl Fault {
    /// Whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        !matches!(
            self,
            Fault::Unreachable
                | Fault::CutOff
                | Fault::PathFailed
                | Fault::NoConnection
                | Fault::NothingSent
                | Fault::BodyGone
        )
    }
}

/// The load that a back end reports in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
}

/// The rate limit in the head of a back end's response: the requests per second
/// that it accepts from all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ReportedLimit {
    /// The response contains no limit.
    #[default]
    None,
    /// The limit in requests per second, zero or above.
    Rate(f64),
    /// The response contains a limit that is not such a number.
    Unreadable,
}

/// The parts of a response's head that affect later requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The back end's rate limit.
    pub limit: ReportedLimit,
    /// The back end is shutting down and wants no new requests.
    pub leaving: bool,
    /// The back end refused the request and asks this router to send nothing
    /// for some time.
    pub backoff: RequestedBackoff,
}

/// The backoff that a back end requests when it refuses a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// No backoff was requested.
    #[default]
    None,
    /// The requested time.
    For(Duration),
    /// The response contains a backoff that is not a valid time.
    Unreadable,
}

/// The outcome of a request that did not end with a back end's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run and will not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A refusal, which guarantees that the request did not run and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The router has no configuration yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// A back end may read the path as one of another route.
    AmbiguousPath,
    /// The request has no API key, and the route requires one.
    MissingApiKey,
    /// The API key belongs to no tenant.
    UnknownApiKey,
    /// It has not been confirmed for too long that the known API keys are
    /// current.
    KeysOutOfDate,
    /// The service requires a key, and the request has none.
    MissingKey,
    /// The service has no usable back end.
    NoBackEnd,
    /// The key currently has no owner.
    NoOwner,
    /// No slot is expected to be free in time.
    Overloaded,
    /// The back end has a rate limit, and all routers together have used it up.
    BackEndLimited,
    /// All suitable back ends asked this router for a backoff.
    BackEndResting,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The back ends that were tried did not run the request.
    Rejected,
    /// The back ends that ran the request crashed.
    CrashesBackEnds,
    /// The request may only be served in regions other than those of its
    /// service or of its key's owner.
    OutsideRegions,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [RefusalReason; 16] = [
        RefusalReason::NoConfiguration,
        RefusalReason::NoRoute,
        RefusalReason::AmbiguousPath,
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

    /// The reason's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoConfiguration => "no-configuration",
            RefusalReason::NoRoute => "no-route",
            RefusalReason::AmbiguousPath => "ambiguous-path",
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

    /// HTTP status of the response to the caller.
    pub const fn status(self) -> u16 {
        match self {
            RefusalReason::NoRoute => 404,
            RefusalReason::MissingApiKey | RefusalReason::UnknownApiKey => 401,
            RefusalReason::AmbiguousPath | RefusalReason::MissingKey => 400,
            // 421 Misdirected Request: nothing has run, and the request is
            // valid but was sent to the wrong place.
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
    /// The response was malformed or truncated.
    BadAnswer,
    /// The deadline passed.
    DeadlinePassed,
}

impl UnknownReason {
    /// The reason's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            UnknownReason::Broken => "connection-lost",
            UnknownReason::BadAnswer => "bad-answer",
            UnknownReason::DeadlinePassed => "deadline-passed",
        }
    }

    /// HTTP status of the response to the caller.
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
            | Fault::CutOff
            | Fault::PathFailed
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
