//! Idle connections of the callers to one address.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::FutureExt;
use parking_lot::Mutex;

/// Connections that may be used again, newest first.
#[derive(Debug)]
pub(super) struct Connections {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Connections {
    pub fn new(address: SocketAddr) -> Self {
        Connections {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// An idle connection that the other side has not closed, or a new one.
    pub async fn take(&self) -> io::Result<TcpStream> {
        loop {
            let Some(stream) = self.idle.lock().pop() else {
                break;
            };
            if still_open(&stream) {
                return Ok(stream);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Gives back a connection whose exchange ended whole.
    pub fn give_back(&self, stream: TcpStream) {
        self.idle.lock().push(stream);
    }
}

/// Nothing to read yet means open and quiet, which is what idle means.
fn still_open(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    stream.peek(&mut byte).now_or_never().is_none()
}
