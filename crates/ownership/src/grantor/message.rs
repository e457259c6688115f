//! What goes into a grantor and what comes out of it.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse, LeaseSequence, LoadReport};
use threadledge_types::{BackEndId, SessionId, Timing};

use crate::command::Command;

/// Settings of a grantor.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantorSettings {
    /// Durations that safety depends on.
    pub timing: Timing,
    /// A request without answer for this long is sent again.
    pub retry_interval: Duration,
    /// Interval of requests while a release or a preparation is awaited.
    pub poll_interval: Duration,
    /// An owner that has to go lets a slice go after this time even if the
    /// next owner is not ready, or if there is none.
    pub handover_timeout: Duration,
    /// A proposal that was not applied for this long is made again.
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

/// What a grantor is told.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantorInput {
    /// Time passed.
    Tick,
    /// A back end answered. The time of the step must have been read after
    /// the answer arrived.
    Response {
        /// The back end the request went to.
        from: BackEndId,
        /// Its answer.
        response: Box<LeaseResponse>,
    },
    /// A request got no answer.
    Failed {
        /// The back end the request went to.
        back_end: BackEndId,
        /// Order of the request.
        order: LeaseSequence,
    },
    /// Entries of the log were applied to the state machine.
    Applied(Vec<RecordChange>),
}

/// What a grantor wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantorOutput {
    /// Post the request to a back end's control address.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// Append the command to the log. It must not be handed to another
    /// leader.
    Propose(Command),
    /// A back end reported its load.
    Load {
        /// Which back end.
        back_end: BackEndId,
        /// The report.
        report: LoadReport,
    },
    /// A back end with a session stopped answering, or answers again. It
    /// keeps what it owns until its lease runs out, and should be given
    /// nothing meanwhile.
    Reachability {
        /// Which back end.
        back_end: BackEndId,
        /// Whether it answers.
        reachable: bool,
    },
    /// Something happened that is worth a log line.
    Observed(Observation),
}

/// Events for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The term began: grants may be sent.
    TermBegun,
    /// A back end process answered for the first time in this term.
    SessionFound(SessionId),
    /// A later process of the same back end answered.
    SessionReplaced {
        /// The session that is over.
        former: SessionId,
        /// The process that answered.
        present: SessionId,
    },
    /// An earlier process of a back end answered and was ignored.
    StaleProcess(SessionId),
    /// The last possible lease of a session ran out.
    SessionExpired(SessionId),
    /// A back end announced that it is leaving.
    DrainAnnounced(SessionId),
    /// The holder did not report the grants it was sent; it gets them all.
    GrantsLost(SessionId),
    /// A slice was put into the holdings of a session.
    GrantIssued {
        /// The session.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// A slice was taken out of the holdings of its owner.
    GrantWithheld {
        /// The owner.
        session: SessionId,
        /// The grant.
        grant: Grant,
    },
    /// The owner confirmed that it serves the slice no more.
    ReleaseConfirmed {
        /// The owner.
        session: SessionId,
        /// The slice.
        slice: SliceKey,
    },
}
