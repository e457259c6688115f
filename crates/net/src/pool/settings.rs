//! Settings of pools.

use std::time::Duration;

use super::ResponseIds;
use crate::head::MAX_HEAD_BYTES;

/// Settings of a [`Pool`](super::Pool).
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Maximum number of open connections per address, including idle ones,
    /// unless `Pool::set_connection_limit` sets another limit for the address.
    pub connections_per_address: usize,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Largest response head, in bytes; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest response body, in bytes, that is read whole.
    pub max_body_bytes: u64,
    /// How to treat a response that does not announce where its body ends.
    pub unframed_bodies: UnframedBodies,
    /// How responses name the request that they answer. If they must, a request
    /// without an id always uses a new connection.
    pub response_ids: ResponseIds,
    /// Time after which a silent peer is detected, even while nothing is sent:
    /// the kernel sends keepalive probes. `None` keeps the defaults of the
    /// kernel, which are hours.
    pub dead_peer_timeout: Option<Duration>,
    /// Time without any response on a reused connection after which the other
    /// connections that were idle at the time of its request are closed instead
    /// of reused: if one of them is dead, all may be. Exchanges on new
    /// connections have no such effect, because they say nothing about old
    /// connections. Must be longer than a healthy peer delays a response.
    pub suspect_idle_after: Option<Duration>,
}

/// How to treat a response whose body ends when the connection closes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnframedBodies {
    /// Refuse the response: its end cannot be distinguished from truncation by
    /// a peer that closes gracefully while it fails.
    #[default]
    Refuse,
    /// Treat a graceful close as the end of the body, and a reset as
    /// truncation.
    ReadUntilClose,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connections_per_address: 64,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 64 * 1024 * 1024,
            unframed_bodies: UnframedBodies::default(),
            response_ids: ResponseIds::default(),
            dead_peer_timeout: None,
            suspect_idle_after: None,
        }
    }
}
