//! A pool of the callers' idle connections to one address.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::FutureExt;
use parking_lot::Mutex;

/// Idle connections to one address; the most recently used is reused first.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl ConnectionPool {
    pub fn new(address: SocketAddr) -> Self {
        ConnectionPool {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns an idle connection that the peer has not closed, or opens a new
    /// one.
    pub async fn checkout(&self) -> io::Result<TcpStream> {
        loop {
            let Some(stream) = self.idle.lock().pop() else {
                break;
            };
            if is_open(&stream) {
                return Ok(stream);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn check_in(&self, stream: TcpStream) {
        self.idle.lock().push(stream);
    }
}

/// Returns whether an idle connection is still open: there is nothing to read,
/// neither data nor end of stream.
fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    stream.peek(&mut byte).now_or_never().is_none()
}
