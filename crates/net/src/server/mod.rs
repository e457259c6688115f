//! HTTP/1.1 server: one task a connection. Requests of one connection run one
//! at a time, or side by side where the handler says so; answers leave in the
//! order of their requests.

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

/// Wait after the kernel refused to accept, for example for want of file
/// descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves until `stop` is given and everything that runs has been answered,
/// or the drain timeout has passed.
///
/// The future of `handler` is dropped when the caller hangs up, and is not
/// polled for one that has. A caller that shuts down its sending side is taken
/// to have hung up. One that still sends its body, or has sent all of it, is
/// looked for once the body has been read and the future is polled again.
///
/// Requests that a caller sends before it has its answers run side by side as
/// far as the [`Handler`] and the limits let them. A close that an answer or
/// the stop asks for waits for the requests begun behind it; those that were
/// not begun are not run.
///
/// A planned stop cuts off nothing: connections that wait to be accepted are
/// still taken, running requests are answered with `Connection: close`, and
/// connections without a request stay open for the time of
/// [`ServerLimits::stop_idle_timeout`], for requests already on their way.
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
                    tracing::warn!(%error, "accepting a connection failed");
                    timer::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Takes the connections that the kernel has completed already: closing
    /// the listener would reset them, with requests that they carry.
    fn accept_backlog(&self, listener: &TcpListener) {
        while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
            self.start(stream, peer);
        }
    }

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
