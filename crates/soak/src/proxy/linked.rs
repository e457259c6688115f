//! One connection over a link between two regions.

use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_io::Async;
use async_std::channel::{Receiver, Sender, bounded};
use futures::future::{join4, select};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use threadledge_net::{Instant, StopSignal, timer};

use super::Direction;
use super::connection::{CHUNK, Stream, set_reset_on_close};
use super::link::LinkEnd;
use super::rewriter::{RewriteBuffer, Rewriter};

/// Bytes of a packet without content, such as a reset.
const EMPTY_PACKET: usize = 60;
/// Chunks of one direction that may be on the link. The rest waits at the
/// sender, and is lost with a reset.
const WINDOW: usize = 8;

/// What travels in one direction, with the time of its arrival.
enum Packet {
    Bytes(Instant, Vec<u8>),
    Close(Instant),
    Reset(Instant),
}

/// A connection over a link.
#[derive(Clone)]
pub(super) struct LinkedConnection {
    link: LinkEnd,
    rewriter: Arc<Rewriter>,
    /// Fires once a reset has arrived at either end.
    ended: StopSignal,
}

/// One end of the connection.
#[derive(Clone)]
struct Endpoint {
    stream: Stream,
    /// A write found that the process has reset the connection.
    failed: Arc<AtomicBool>,
}

impl Endpoint {
    fn new(stream: Stream) -> Self {
        // Disables Nagle's algorithm: small messages must not wait for
        // acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
        Endpoint {
            stream,
            failed: Arc::default(),
        }
    }
}

impl LinkedConnection {
    pub(super) fn new(link: LinkEnd, rewriter: Arc<Rewriter>) -> Self {
        LinkedConnection {
            link,
            rewriter,
            ended: StopSignal::new(),
        }
    }

    /// Opens the connection to the target and forwards until both directions
    /// are closed or a reset has arrived.
    pub(super) async fn run(self, client: Stream, target: std::net::SocketAddr) {
        timer::sleep_until(self.send(Direction::There, EMPTY_PACKET)).await;
        let server = Async::<TcpStream>::connect(target).await;
        timer::sleep_until(self.send(Direction::Back, EMPTY_PACKET)).await;
        let Ok(server) = server else {
            set_reset_on_close(&client);
            return;
        };
        // What a client has written before it is connected has not left it.
        let given_up = client.get_ref().take_error();
        if !matches!(given_up, Ok(None)) {
            set_reset_on_close(&Arc::new(server));
            return;
        }
        let (client, server) = (Endpoint::new(client), Endpoint::new(Arc::new(server)));
        let (there, there_arrivals) = bounded(WINDOW);
        let (back, back_arrivals) = bounded(WINDOW);
        let forwarding = Box::pin(join4(
            self.take_bytes(client.clone(), there, Direction::There),
            self.deliver(server.clone(), there_arrivals),
            self.take_bytes(server.clone(), back, Direction::Back),
            self.deliver(client.clone(), back_arrivals),
        ));
        select(forwarding, self.ended.stopped()).await;
    }

    fn send(&self, direction: Direction, bytes: usize) -> Instant {
        self.link.send(direction, bytes)
    }

    /// Puts what a process sends on the link until it closes or resets the
    /// connection.
    async fn take_bytes(&self, from: Endpoint, link: Sender<Packet>, direction: Direction) {
        let mut chunk = vec![0; CHUNK];
        let mut rewriting = RewriteBuffer::default();
        loop {
            let mut sender = &*from.stream;
            let read = sender.read(&mut chunk).await;
            let has_failed = from.failed.load(Ordering::Relaxed);
            let bytes = match read {
                Ok(0) if !has_failed => rewriting.finish(),
                Ok(0) | Err(_) => {
                    let reset = Packet::Reset(self.send(direction, EMPTY_PACKET));
                    // Nobody waits for it once the other end is gone.
                    let _ = link.send(reset).await;
                    return;
                }
                Ok(read) => rewriting.pass(&chunk[..read], &self.rewriter, direction),
            };
            let is_last = matches!(read, Ok(0));
            if !bytes.is_empty() {
                let arrival = self.send(direction, bytes.len());
                if link.send(Packet::Bytes(arrival, bytes)).await.is_err() {
                    return;
                }
            }
            if is_last {
                let close = Packet::Close(self.send(direction, EMPTY_PACKET));
                let _ = link.send(close).await;
                return;
            }
        }
    }

    /// Hands over what arrives until the connection is closed or reset.
    async fn deliver(&self, to: Endpoint, arrivals: Receiver<Packet>) {
        while let Ok(packet) = arrivals.recv().await {
            match packet {
                Packet::Bytes(at, bytes) => {
                    timer::sleep_until(at).await;
                    if (&*to.stream).write_all(&bytes).await.is_err() {
                        to.failed.store(true, Ordering::Relaxed);
                    }
                }
                Packet::Close(at) => {
                    timer::sleep_until(at).await;
                    // A connection that is already gone cannot be closed.
                    let _ = to.stream.get_ref().shutdown(Shutdown::Write);
                    return;
                }
                Packet::Reset(at) => {
                    timer::sleep_until(at).await;
                    set_reset_on_close(&to.stream);
                    self.ended.stop();
                    return;
                }
            }
        }
    }
}
