//! HTTP/1.1 server: one task a connection, one request at a time on each.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use futures::FutureExt;
use http_types::{Request, Response};

use crate::stop::StopSignal;

/// Bounds on what callers may cost the server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Largest head of a request, in bytes; at most 8 KB.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Connections open at once; further ones are closed at once.
    pub max_connections: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest wait for the next request on an open connection.
    pub idle_timeout: Duration,
    /// Longest time for a body, extended by one second for each kilobyte
    /// that came.
    pub body_timeout: Duration,
    /// Longest wait for a caller to take more of its answer.
    pub write_timeout: Duration,
    /// Longest wait after the stop signal for running requests to end.
    pub drain_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_head_bytes: 8 * 1024,
            max_body_bytes: 16 * 1024 * 1024,
            max_connections: 4_096,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// The two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionInfo {
    /// The caller's address.
    pub peer: SocketAddr,
    /// The address it reached.
    pub local: SocketAddr,
}

/// What a server did until it stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeReport {
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because too many were open.
    pub refused_connections: u64,
    /// Requests handed to the handler.
    pub requests: u64,
    /// Requests refused by the server itself.
    pub refused_requests: u64,
    /// Requests whose caller hung up while the handler ran.
    pub hung_up: u64,
    /// Requests cut off when the drain timeout passed.
    pub cut: u64,
}

/// Serves until `stop` is given and everything that runs has been answered,
/// or the drain timeout has passed.
///
/// The future of `handler` is dropped when the caller hangs up.
pub async fn serve<H, F>(
    listener: TcpListener,
    _limits: ServerLimits,
    stop: StopSignal,
    handler: H,
) -> ServeReport
where
    H: Fn(Request, ConnectionInfo) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut report = ServeReport::default();
    loop {
        let accepted = futures::select_biased! {
            () = stop.stopped().fuse() => break,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let Ok(local) = stream.local_addr() else {
            continue;
        };
        report.connections += 1;
        let info = ConnectionInfo { peer, local };
        let handler = handler.clone();
        async_std::task::spawn(async_h1::accept(stream, move |request| {
            let answer = handler(request, info);
            async move { Ok(answer.await) }
        }));
    }
    report
}
