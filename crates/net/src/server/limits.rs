//! Limits on the resources that callers may use.

use std::time::Duration;

use crate::head::MAX_HEAD_BYTES;

/// Requests of one connection that may run behind the current one. With that
/// one sixteen, twice what a caller sends at once to load a page.
const MAX_PIPELINED_REQUESTS: usize = 15;
/// Bytes of completed responses of one connection that may wait for their turn:
/// four of the largest responses that handlers hold in memory.
const MAX_PIPELINED_RESPONSE_BYTES: u64 = 256 * 1024;

/// Limits on the resources that callers may use.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest request head, in bytes; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of requests of one connection that run behind the current
    /// one, if the handler lets them [run
    /// concurrently](super::Handler::may_run_concurrently). Further requests
    /// stay unread.
    pub max_pipelined_requests: usize,
    /// Bytes of completed responses of one connection waiting for their turn,
    /// above which no further request is started.
    pub max_pipelined_response_bytes: u64,
    /// Maximum number of open connections; further ones are rejected.
    pub max_connections: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Maximum wait for the next request on an open connection.
    pub idle_timeout: Duration,
    /// Maximum time for a body, extended by one second for every
    /// [`MIN_BODY_BYTES_PER_SECOND`](crate::MIN_BODY_BYTES_PER_SECOND) bytes
    /// received.
    pub body_timeout: Duration,
    /// Maximum wait for a caller to read more of its response.
    pub write_timeout: Duration,
    /// Maximum wait after the stop signal for running requests to finish.
    pub drain_timeout: Duration,
    /// Time for which connections without a request stay open after the stop
    /// signal, for requests already in transit.
    pub stop_idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 16 * 1024 * 1024,
            max_pipelined_requests: MAX_PIPELINED_REQUESTS,
            max_pipelined_response_bytes: MAX_PIPELINED_RESPONSE_BYTES,
            max_connections: 4_096,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
            stop_idle_timeout: Duration::from_millis(250),
        }
    }
}
