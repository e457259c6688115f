//! Types exchanged between the dispatcher and the shell that drives it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::session::Refusal;
use threadledge_types::{
    BackEndId, Epoch, Incarnation, NotRunReason, Outcome, Point, ServiceId, Timestamp,
};

/// Identifies one exchange: one request of one caller, from its arrival to its
/// single outcome. A dispatcher never reuses an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Number of an attempt within its exchange, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// One attempt to send a request to one back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number within the exchange.
    pub number: AttemptNumber,
    /// The back end to send to.
    pub back_end: Arc<BackEndId>,
    /// Incarnation of the back-end process that owns the key.
    pub incarnation: Incarnation,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Epoch to send in the `threadledge-epoch` header.
    pub epoch: Epoch,
    /// Service to send in the `threadledge-service` header.
    pub service: Arc<ServiceId>,
    /// Point to send in the `threadledge-point` header.
    pub point: Point,
    /// Request id to send in the `threadledge-request-id` header, the same on
    /// every attempt.
    pub request_id: u64,
    /// Time left until the deadline when the step was issued. Send the value
    /// from [`SendDecision::Proceed`] instead, which is the time left when
    /// sending begins.
    pub deadline_left: Duration,
    /// Maximum number of connections, busy and idle, that this router may hold
    /// to the back end.
    pub connection_limit: u32,
    /// Whether this is a hedge, sent while another attempt is still running.
    pub hedge: bool,
}

/// Next action for the shell to take for an exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Get a connection to the back end, then ask
    /// [`Dispatcher::start_sending`](crate::Dispatcher::start_sending).
    Send(Attempt),
    /// Abandon this attempt and close its connection. No event has to be
    /// reported.
    Cancel(AttemptNumber),
    /// Forward the response of this attempt to the caller. Issued once, before
    /// `Finish` with `answered`.
    Deliver(AttemptNumber),
    /// Do nothing until `until`, an event of an attempt or a wake-up.
    Wait {
        /// Latest time to call `next` again.
        until: Timestamp,
    },
    /// The exchange is over: abandon all attempts that still run and close
    /// their connections. The dispatcher no longer knows the exchange.
    Finish(Finish),
    /// The exchange was finished or abandoned earlier.
    Gone,
}

/// Outcome of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// Time after which the caller may retry, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Number of attempts made.
    pub attempts: u32,
}

/// A request that was rejected on arrival. No part of it was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request was not run ({}): {}", reason.as_str(), reason.remedy())]
pub struct Refused {
    /// Reason for the rejection.
    pub reason: NotRunReason,
    /// Time after which the caller may retry, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

/// Whether the first byte of an attempt may be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Write the request. From now on it counts as possibly run.
    Proceed {
        /// Time left until the deadline, to send in the
        /// `threadledge-deadline-ms` header.
        deadline_left: Duration,
    },
    /// Write nothing; the connection is still clean and may be pooled. Call
    /// `next`; no event has to be reported.
    Abandon,
}

/// Event that the shell reports for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection could be established. Nothing was sent.
    ConnectFailed,
    /// The connection failed before the kernel accepted any byte of the
    /// request, whether or not sending was permitted. Report this only when it
    /// is certain, because the outcome "not run" relies on it.
    SentNothing,
    /// The back end replied with a typed refusal.
    Refused(Refusal),
    /// The response head has arrived and is not a refusal.
    ResponseHead {
        /// HTTP status code.
        status: u16,
    },
    /// The complete response has arrived.
    Completed,
    /// The attempt failed after some of the request may have been sent.
    Failed(AttemptFailure),
}

/// How an attempt failed after some of the request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection broke before the complete response arrived.
    ConnectionLost,
    /// The response was truncated, malformed or of the wrong length.
    BadAnswer,
}
