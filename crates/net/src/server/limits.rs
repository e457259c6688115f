//! Bounds on what callers may cost a server.

use std::time::Duration;

use crate::head::MAX_HEAD_BYTES;

/// Requests of one connection that may run behind the one being answered:
/// with it sixteen, twice what callers of one page send at once.
const MAX_PIPELINED_REQUESTS: usize = 15;
/// Bytes of answers of one connection that may wait for their turn: four of
/// the largest that handlers hold whole.
const MAX_PIPELINED_RESPONSE_BYTES: u64 = 256 * 1024;

/// Bounds on what callers may cost the server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest head of a request, in bytes; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Requests of one connection that may run behind the one being answered,
    /// where the handler lets them [run beside](super::Handler::may_run_concurrently)
    /// it. The next ones stay unread.
    pub max_pipelined_requests: usize,
    /// Bytes of answers of one connection that wait for their turn, beyond
    /// which no further request is begun.
    pub max_pipelined_response_bytes: u64,
    /// Connections open at once; further ones are refused.
    pub max_connections: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest wait for the next request on an open connection.
    pub idle_timeout: Duration,
    /// Longest time for a body, extended by one second for each
    /// [`MIN_BODY_BYTES_PER_SECOND`](crate::MIN_BODY_BYTES_PER_SECOND)
    /// that came.
    pub body_timeout: Duration,
    /// Longest wait for a caller to take more of its answer.
    pub write_timeout: Duration,
    /// Longest wait after the stop signal for running requests to end.
    pub drain_timeout: Duration,
    /// How long connections without a request stay open after the stop
    /// signal, for requests already on their way.
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
