//! HTTP/1.1 server with one task per connection. Requests of one connection run
//! one at a time, or concurrently if the handler allows it; responses are sent
//! in the order of the requests.

mod closing;
mod connection;
mod exchange;
mod handler;
mod inbound;
mod interruption;
mod limits;
mod pipeline;
mod report;
mod request;
mod request_body;
mod response_encoder;
mod service;

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::FutureExt;

use crate::Instant;
use crate::stop::StopSignal;
use crate::timer;
use connection::Connection;
use report::ConnectionTracker;
use service::Service;

pub use handler::{ConcurrentHandler, Handler};
pub use limits::ServerLimits;
pub use report::{ConnectionInfo, ServeReport};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves until `stop` is given and all running requests have been answered, or
/// the drain timeout has passed.
///
/// The future of `handler` is dropped when the caller disconnects, and is not
/// polled again afterwards. A caller that shuts down its sending side counts as
/// disconnected. While a caller is sending its body, or has sent all of it, a
/// disconnect is detected only after the body has been read and the future is
/// polled again.
///
/// Pipelined requests run concurrently as far as the [`Handler`] and the limits
/// allow. If a response or the stop signal requires the connection to close, it
/// closes after the requests already started; later ones are not run.
///
/// A graceful stop interrupts nothing: connections waiting to be accepted are
/// still accepted, running requests are answered with `Connection: close`, and
/// connections without a request stay open for
/// [`ServerLimits::stop_idle_timeout`], for requests already in transit.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: StopSignal,
    handler: H,
) -> ServeReport {
    let mut server = Server {
        limits: Arc::new(limits),
        stop,
        tracker: ConnectionTracker::new(),
        handler,
    };
    server.accept_until_stopped(&listener).await;
    server.accept_backlog(&listener);
    drop(listener);
    server.drain().await
}

/// State of a running server.
struct Server<H> {
    limits: Arc<ServerLimits>,
    stop: StopSignal,
    tracker: ConnectionTracker,
    handler: H,
}

impl<H: Handler> Server<H> {
    async fn accept_until_stopped(&mut self, listener: &TcpListener) {
        let mut stopped = self.stop.stopped();
        loop {
            let mut accept = pin!(listener.accept());
            let accepted = poll_fn(|context| {
                if Pin::new(&mut stopped).poll(context).is_ready() {
                    return Poll::Ready(None);
                }
                accept.as_mut().poll(context).map(Some)
            })
            .await;
            match accepted {
                None => return,
                Some(Ok((stream, peer))) => self.start(stream, peer),
                Some(Err(error)) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    timer::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Accepts the connections that the kernel has already established: closing
    /// the listener would reset them, together with the requests they carry.
    fn accept_backlog(&self, listener: &TcpListener) {
        while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
            self.start(stream, peer);
        }
    }

    /// Starts a task for a new connection, or rejects it if too many are open.
    fn start(&self, stream: TcpStream, peer: SocketAddr) {
        let Ok(local) = stream.local_addr() else {
            return;
        };
        let Some(guard) = self.tracker.open(self.limits.max_connections) else {
            connection::reject_connection(&stream);
            return;
        };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let info = ConnectionInfo {
            peer,
            local,
            read_at: Instant::now(),
            unanswered_before: 0,
        };
        let service = Service {
            handler: self.handler.clone(),
            info,
            limits: self.limits.clone(),
            stop: self.stop.clone(),
            guard,
        };
        async_std::task::spawn(Connection::new(stream, service).run());
    }

    /// Waits until all connections are closed, and aborts them after the drain
    /// timeout.
    async fn drain(mut self) -> ServeReport {
        self.tracker.release_server_guard();
        let drained = self.tracker.all_closed();
        if timer::timeout(self.limits.drain_timeout, drained)
            .await
            .is_err()
        {
            self.tracker.abort_all();
            self.tracker.all_closed().await;
        }
        self.tracker.report()
    }
}
