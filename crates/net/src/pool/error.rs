//! How exchanges fail.

use std::net::SocketAddr;

/// How far an exchange had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection could be opened: nothing was sent.
    ConnectFailed,
    /// A connection was open, and no byte of the request was handed to it.
    NothingSent,
    /// Some of the request, or all, may have reached the peer: bytes that the
    /// kernel took count, whatever becomes of them.
    Sent,
    /// Some of the response's head came.
    ResponseHead,
    /// The head came whole, the body did not.
    ResponseBody,
}

impl Stage {
    /// Whether any byte of the request may have reached the peer. Only when
    /// not may a request be called not run.
    pub const fn may_have_been_received(self) -> bool {
        !matches!(self, Stage::ConnectFailed | Stage::NothingSent)
    }
}

/// What ended an exchange.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFault {
    /// The connection failed.
    #[error("the connection failed ({0}); see whether the peer runs and is reachable")]
    Io(#[from] std::io::Error),
    /// The deadline passed.
    #[error("the deadline passed; allow more time or look for what is slow")]
    DeadlinePassed,
    /// Every connection allowed is in use.
    #[error("every connection is in use; raise the connection limit or send less at once")]
    NoConnectionFree,
    /// The body of the request could not be read from where it comes from.
    #[error("the request's body failed ({0}); see the sender of the request")]
    RequestBody(std::io::Error),
    /// The peer closed before the response was whole.
    #[error("the peer closed before its answer was whole; see the peer's log")]
    Truncated,
    /// The response breaks HTTP/1.1 or a limit.
    #[error("the answer is malformed ({0}); mend the peer")]
    Malformed(String),
}

/// A failed exchange.
#[derive(Debug, thiserror::Error)]
#[error("exchange with {address} failed at {stage:?}: {fault}")]
pub struct ExchangeError {
    /// The peer.
    pub address: SocketAddr,
    /// How far the exchange had come.
    pub stage: Stage,
    /// What ended it.
    pub fault: ExchangeFault,
}
