//! What the shell tells of a request, and what it is told to do.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_suspects::RequestIdentity;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, KeyDigest, ShardKey};

use crate::outcome::Outcome;

/// Number of one exchange: a request of a caller and its one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Number of one attempt within its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// What of a request's head says who calls, and for what.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Host, as the caller wrote it.
    pub host: &'a str,
    /// Path, without the query.
    pub path: &'a str,
    /// Digest of the key that the caller shows.
    pub api_key: Option<&'a KeyDigest>,
}

/// What decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo<'a> {
    /// Method, as the caller wrote it.
    pub method: &'a str,
    /// Who calls, and for what.
    pub head: RequestHead<'a>,
    /// How long ago its head came. All of its times count from there, also
    /// where it waited for its body or for others of its connection.
    pub age: Duration,
    /// How long the caller waits, from when the head came.
    pub time_left: Option<Duration>,
    /// Key, if the request has one.
    pub key: Option<ShardKey>,
    /// The request can be sent more than once: its body is held whole.
    pub replayable: bool,
    /// What makes it the same request as another try, and who sends it.
    pub identity: RequestIdentity,
}

/// One attempt to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number.
    pub id: AttemptId,
    /// The back end.
    pub back_end: BackEndName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: Distance,
    /// It was taken because it owns the request's key.
    pub keyed: bool,
    /// Connections to it that may be open from here.
    pub connection_limit: usize,
    /// When the request must have been answered.
    pub deadline: Timestamp,
}

/// What to do for an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make an attempt. Ask again at once.
    Send(Attempt),
    /// Wait for an attempt, for [`crate::Dispatcher::take_woken`], or until
    /// the time given.
    Wait(Timestamp),
    /// Answer the caller.
    Finish(Outcome),
    /// The exchange is over.
    Ended,
}
