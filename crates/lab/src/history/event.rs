//! The events of a run.

use serde::{Deserialize, Serialize};
use threadledge_types::{
    Epoch, Point, Revision, ServiceId, SessionId, Slice, Timestamp, session::Grant,
};

/// Names one request of one caller within a run; the same on every attempt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A configuration object, as `kind namespace/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectRef(pub String);

/// What one attempt of a caller ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The router said `answered`.
    Answered,
    /// The router said `not-run`.
    NotRun,
    /// The router said `unknown`.
    Unknown,
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The connection ended before the answer was complete.
    Cut,
    /// The caller's own time ran out.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the caller was promised that nothing ran.
    pub fn promises_not_run(self) -> bool {
        matches!(self, AttemptOutcome::NotRun | AttemptOutcome::NotSent)
    }
}

/// One attempt of a caller at one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the router among the caller's routers.
    pub router: usize,
    /// When the attempt began.
    pub begin: Timestamp,
    /// When its outcome was known.
    pub end: Timestamp,
    /// What it ended with.
    pub outcome: AttemptOutcome,
    /// Reason header, or what went wrong on the connection.
    pub reason: Option<String>,
    /// Status code, when there was an answer.
    pub status: Option<u16>,
}

/// One router's view of one slice at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceSeen {
    /// When it was asked.
    pub begin: Timestamp,
    /// When the answer came.
    pub end: Timestamp,
    /// The router's name in the run.
    pub router: String,
    /// Which service.
    pub service: ServiceId,
    /// Which slice.
    pub slice: Slice,
    /// Owner, if any.
    pub owner: Option<SessionId>,
    /// Fencing epoch.
    pub epoch: Epoch,
}

/// One router's configuration at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationSeen {
    /// When it was asked.
    pub at: Timestamp,
    /// The router's name in the run.
    pub router: String,
    /// Revision it has in force.
    pub revision: Revision,
    /// Whether it says that it takes new work.
    pub ready: bool,
}

/// One line of a process's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A back end began to carry out a request.
    ExecutionBegan {
        /// When.
        at: Timestamp,
        /// Who.
        session: SessionId,
        /// Which request.
        request: RequestId,
        /// Which service.
        service: ServiceId,
        /// Point of the request's key.
        point: Point,
        /// Epoch the back end served it under.
        epoch: Epoch,
    },
    /// A back end stopped working on a request.
    ExecutionEnded {
        /// When.
        at: Timestamp,
        /// Who.
        session: SessionId,
        /// Which request.
        request: RequestId,
        /// False when it was abandoned before it took effect.
        completed: bool,
    },
    /// A back end took a grant.
    GrantTaken {
        /// When.
        at: Timestamp,
        /// Who.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// A back end stopped believing in a grant.
    GrantReleased {
        /// When.
        at: Timestamp,
        /// Who.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// A back end's lease was extended.
    LeaseExtended {
        /// When.
        at: Timestamp,
        /// Who.
        session: SessionId,
        /// When the lease ends by the holder's clock.
        until: Timestamp,
    },
    /// A caller's request ended.
    RequestEnded {
        /// When the open-loop schedule wanted it sent.
        intended: Timestamp,
        /// Which request.
        request: RequestId,
        /// Which service.
        service: ServiceId,
        /// Point of its key.
        point: Point,
        /// Whether it may be carried out more than once.
        repeatable: bool,
        /// Every attempt, in order; the last one's outcome is the request's.
        attempts: Vec<Attempt>,
        /// Whether the answer was whole and the caller's own; `None` without
        /// an answer.
        answer_matches: Option<bool>,
    },
    /// A process of the run ended or was ended.
    ProcessEnded {
        /// When.
        at: Timestamp,
        /// Name of the process in the run.
        process: String,
        /// Sessions that lived in it.
        sessions: Vec<SessionId>,
        /// Whether the rig asked it to stop in good order.
        planned: bool,
    },
    /// The rig asked a router to stop in good order.
    PlannedStopBegan {
        /// When.
        at: Timestamp,
        /// Number of the router among the callers' routers.
        router: usize,
    },
    /// A back end was told to leave.
    DrainBegan {
        /// When.
        at: Timestamp,
        /// Which life of which back end.
        session: SessionId,
    },
    /// The platform showed an object as accepted.
    ConfigurationAccepted {
        /// When its acceptance was first seen.
        at: Timestamp,
        /// Which object.
        object: ObjectRef,
        /// Revision at which it is in force.
        revision: Revision,
    },
    /// A router told its configuration.
    ConfigurationSeen(ConfigurationSeen),
    /// A router told the owner of a slice.
    SliceSeen(SliceSeen),
    /// A fault was caused.
    Fault {
        /// When.
        at: Timestamp,
        /// What was done.
        what: String,
    },
}
