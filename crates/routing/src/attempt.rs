//! What the dispatcher and the shell that drives it tell each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::session::Refusal;
use threadledge_types::{
    BackEndId, Epoch, Incarnation, NotRunReason, Outcome, Point, ServiceId, Timestamp,
};

/// One request of one caller, from its arrival to its one outcome. Numbers
/// are never used twice by one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Number of an attempt within its exchange, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// One sending of the request to one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number within the exchange.
    pub number: AttemptNumber,
    /// The back end.
    pub back_end: Arc<BackEndId>,
    /// BackEndProcess of the back end's process that owns the key.
    pub incarnation: Incarnation,
    /// Where to connect.
    pub address: SocketAddr,
    /// Epoch to send in the `threadledge-epoch` header.
    pub epoch: Epoch,
    /// Service to send in the `threadledge-service` header.
    pub service: Arc<ServiceId>,
    /// Point to send in the `threadledge-point` header.
    pub point: Point,
    /// Number to send in the `threadledge-request-id` header, the same on
    /// every attempt.
    pub request_id: u64,
    /// Time left now. [`SendDecision::Proceed`] carries the time left when
    /// sending begins, which is the one to send.
    pub deadline_left: Duration,
    /// Connections this router may have open to the back end, busy and idle.
    pub connection_limit: u32,
    /// Whether this is a hedge: another attempt is running meanwhile.
    pub hedge: bool,
}

/// What the shell shall do next for an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Get a connection to the back end, then ask
    /// [`Dispatcher::start_sending`](crate::Dispatcher::start_sending).
    Send(Attempt),
    /// Abandon this attempt and close its connection. No event is needed.
    Cancel(AttemptNumber),
    /// Pass the answer of this attempt to the caller. Comes once, before
    /// `Finish` with `answered`.
    Deliver(AttemptNumber),
    /// Nothing to do before `until`, an event of an attempt or a wake-up.
    Wait {
        /// When to call `next` at the latest.
        until: Timestamp,
    },
    /// The exchange is over: abandon whatever attempts still run, closing
    /// their connections. The dispatcher has forgotten the exchange.
    Finish(Finish),
    /// The exchange was finished or abandoned earlier.
    Gone,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The one outcome.
    pub outcome: Outcome,
    /// When the caller may come back, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Attempts that were made.
    pub attempts: u32,
}

/// A request that was turned away at the door. Nothing of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request was not run ({}): {}", reason.as_str(), reason.remedy())]
pub struct Refused {
    /// Why.
    pub reason: NotRunReason,
    /// When the caller may come back, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

/// Answer to "may the first byte of this attempt be written now?".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Write the request. From here on it may have run.
    Proceed {
        /// Time left, to send in the `threadledge-deadline-ms` header.
        deadline_left: Duration,
    },
    /// Write nothing; the connection stays clean and may be pooled. Call
    /// `next`; no event is needed.
    Abandon,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection could be had. Nothing was sent.
    ConnectFailed,
    /// The connection failed before the kernel took any byte of the request,
    /// with or without permission to send. To be reported only when that is
    /// certain: the outcome "not run" rests on it.
    SentNothing,
    /// The back end answered with the typed refusal.
    Refused(Refusal),
    /// The head of the answer is here and is no refusal.
    ResponseHead {
        /// Its status.
        status: u16,
    },
    /// The whole answer is here.
    Completed,
    /// The attempt failed after some of the request may have been sent.
    Failed(AttemptFailure),
}

/// How an attempt failed after some of the request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection broke before the whole answer was here.
    ConnectionLost,
    /// The answer was cut short, malformed or of the wrong length.
    BadAnswer,
}
