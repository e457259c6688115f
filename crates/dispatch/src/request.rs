//! Inputs and outputs of the dispatcher for one request.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_suspects::RequestIdentity;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, KeyDigest, ServiceName, ShardKey};

use crate::outcome::Outcome;

/// Identifies an exchange: one request of a caller with its single outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Identifies an attempt within its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// The parts of a request's head that decide on its route and its tenant.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Host, as sent by the caller.
    pub host: &'a str,
    /// Path, without the query.
    pub path: &'a str,
    /// Digest of the caller's API key.
    pub api_key: Option<&'a KeyDigest>,
}

/// The parts of a request that the dispatcher needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo<'a> {
    /// Method, as sent by the caller.
    pub method: &'a str,
    /// Host, path and API key.
    pub head: RequestHead<'a>,
    /// Time since the request's head arrived. All timeouts of the request count
    /// from that moment, even if it waited for its body or for earlier requests
    /// of its connection.
    pub age: Duration,
    /// How long the caller waits, counted from the arrival of the head.
    pub time_left: Option<Duration>,
    /// The request's key, if it has one.
    pub key: Option<ShardKey>,
    /// The request can be sent more than once, because its whole body is
    /// buffered.
    pub replayable: bool,
    /// Hash by which repetitions of the request are recognised, and its sender.
    pub identity: RequestIdentity,
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's number within its exchange.
    pub id: AttemptId,
    /// The back end.
    pub back_end: BackEndName,
    /// Its service.
    pub service: ServiceName,
    /// Address at which the back end accepts requests.
    pub address: SocketAddr,
    /// Distance between this router and the back end.
    pub distance: Distance,
    /// The back end was chosen because it owns the request's key.
    pub keyed: bool,
    /// Number of connections that this router may have to the back end.
    pub connection_limit: usize,
    /// When the request must have been answered.
    pub deadline: Timestamp,
    /// Time without a response after which the path to the back end is checked.
    pub path_patience: Duration,
}

/// The next step for an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start this attempt, and call [`crate::Dispatcher::next`] again at once.
    Send(Attempt),
    /// Wait until an attempt ends, until [`crate::Dispatcher::take_woken`]
    /// returns this exchange, or until the given time.
    Wait(Timestamp),
    /// Answer the caller with this outcome.
    Finish(Outcome),
    /// The exchange has already ended.
    Ended,
}
