//! Errors of exchanges.

use std::net::SocketAddr;

use super::pairing::Unpaired;

/// Progress of an exchange at the time it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// A connection was open, but no byte of the request was written to it.
    NothingSent,
    /// Some or all of the request may have reached the peer: every byte that
    /// the kernel accepted counts, whatever happens to it afterwards.
    Sent,
    /// Part of the response head was received.
    ResponseHead,
    /// The response head was complete, the body was not.
    ResponseBody,
}

impl Stage {
    /// Whether any byte of the request may have reached the peer. Only if this
    /// is false may the request be reported as not run.
    pub const fn may_have_been_received(self) -> bool {
        !matches!(self, Stage::ConnectFailed | Stage::NothingSent)
    }
}

/// Cause of a failed exchange.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFault {
    /// The connection failed.
    #[error("the connection failed ({0}); see whether the peer runs and is reachable")]
    Io(#[from] std::io::Error),
    /// The deadline passed.
    #[error("the deadline passed; allow more time or look for what is slow")]
    DeadlinePassed,
    /// All allowed connections are in use.
    #[error("every connection is in use; raise the connection limit or send less at once")]
    NoConnectionFree,
    /// The request body could not be read from its source.
    #[error("the request's body failed ({0}); see the sender of the request")]
    RequestBody(std::io::Error),
    /// The peer closed the connection before the response was complete.
    #[error("the peer closed before its answer was whole; see the peer's log")]
    Truncated,
    /// The response violates HTTP/1.1 or a limit.
    #[error("the answer is malformed ({0}); mend the peer")]
    Malformed(String),
    /// The response cannot be told from that of another request.
    #[error("the answer is not that of the request ({0}); see why the peer answers twice")]
    Unpaired(#[from] Unpaired),
}

/// A failed exchange.
#[derive(Debug, thiserror::Error)]
#[error("exchange with {address} failed at {stage:?}: {fault}")]
pub struct ExchangeError {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Progress of the exchange.
    pub stage: Stage,
    /// Cause of the failure.
    pub fault: ExchangeFault,
}
