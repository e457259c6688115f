//! Settings, inputs and outputs of a grantor.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse, LeaseSequence, LoadReport};
use threadledge_types::{BackEndId, SessionId, Timing};

use crate::command::Command;

/// Settings of a grantor.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantorSettings {
    /// Durations on which safety depends.
    pub timing: Timing,
    /// Time after which a request is sent again if it failed or got no response.
    pub retry_interval: Duration,
    /// Interval of requests while a release or a preparation is pending.
    pub poll_interval: Duration,
    /// Time after which an owner that must give up a slice releases it even if
    /// the next owner is not ready, or if there is none.
    pub handover_timeout: Duration,
    /// Time after which a proposal that was not applied is made again.
    pub proposal_timeout: Duration,
}

impl From<Timing> for GrantorSettings {
    fn from(timing: Timing) -> Self {
        GrantorSettings {
            retry_interval: timing.renewal() / 2,
            poll_interval: Duration::from_millis(20),
            handover_timeout: Duration::from_millis(1_000),
            proposal_timeout: timing.renewal(),
            timing,
        }
    }
}

/// Inputs of a grantor.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantorInput {
    /// Time passed.
    Tick,
    /// A back end responded. The time passed to the step must have been read
    /// after the response arrived.
    Response {
        /// The back end the request went to.
        from: BackEndId,
        /// Its response.
        response: Box<LeaseResponse>,
    },
    /// A request got no response.
    Failed {
        /// The back end the request went to.
        back_end: BackEndId,
        /// Sequence of the request.
        order: LeaseSequence,
    },
    /// Entries of the log were applied to the state machine.
    Applied(Vec<RecordChange>),
}

/// Outputs of a grantor, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantorOutput {
    /// Send the request to a back end's control address.
    Send {
        /// The control address.
        to: SocketAddr,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// Append the command to the log. It must not be forwarded to another
    /// leader.
    Propose(Command),
    /// A back end reported its load.
    Load {
        /// The back end.
        back_end: BackEndId,
        /// The report.
        report: LoadReport,
    },
    /// A back end with a session stopped responding, or responds again. It
    /// keeps what it owns until its lease expires, and should receive no slices
    /// meanwhile.
    Reachability {
        /// The back end.
        back_end: BackEndId,
        /// True if it responds.
        reachable: bool,
    },
    /// An event for the log.
    Observed(Observation),
}

/// Events for logs and metrics. Variant and field names appear in log lines.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The term has begun, so grants may be sent.
    TermBegun,
    /// A back-end process responded for the first time in this term.
    SessionFound(SessionId),
    /// A later process of the same back end responded.
    SessionReplaced {
        /// The session that is over.
        former: SessionId,
        /// The session of the process that responded.
        present: SessionId,
    },
    /// An earlier process of a back end responded and was ignored.
    StaleProcess(SessionId),
    /// The last possible lease of a session expired.
    SessionExpired(SessionId),
    /// A back end announced that it is draining.
    DrainAnnounced(SessionId),
    /// The holder did not report the grants it was sent, so it is sent all of
    /// them.
    GrantsLost(SessionId),
    /// A slice was added to the grants of a session.
    GrantIssued {
        /// The session.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// A slice was removed from the grants of its owner.
    GrantWithheld {
        /// The owner.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// The owner confirmed that it no longer serves the slice.
    ReleaseConfirmed {
        /// The owner.
        session: SessionId,
        /// The slice.
        slice: SliceKey,
    },
}
