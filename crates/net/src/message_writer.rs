//! Writes the output of an async-h1 encoder to a connection.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

/// Buffer size for one read from the encoder, which limits the size of a head
/// that can be sent.
const READ_SIZE: usize = 16 * 1024;
/// Bytes collected before a write, so that the head and a small body leave
/// together.
const WRITE_SIZE: usize = 32 * 1024;

thread_local! {
    /// Buffer into which encoders write. Most messages are small, so copying
    /// their bytes out of this buffer costs less than allocating one per
    /// message.
    static SCRATCH: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
}

/// Scratch buffer of the thread, returned on drop.
struct Scratch(Vec<u8>);

impl Scratch {
    fn take() -> Self {
        let mut bytes = SCRATCH.take();
        bytes.resize(READ_SIZE, 0);
        Scratch(bytes)
    }

    fn bytes(&mut self) -> &mut [u8] {
        &mut self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        SCRATCH.set(std::mem::take(&mut self.0));
    }
}

/// Reason why a message could not be sent.
#[derive(Debug)]
pub(crate) enum SendFault {
    /// The message could not be read, for example because the forwarded body
    /// was truncated.
    Source(io::Error),
    /// The connection failed.
    Stream(io::Error),
}

/// One message being sent.
#[derive(Debug)]
pub(crate) struct MessageWriter<E> {
    encoder: E,
    buffer: Vec<u8>,
    written: usize,
    ended: bool,
    bytes_sent: u64,
}

impl<E: AsyncRead + Unpin> MessageWriter<E> {
    pub(crate) fn new(encoder: E) -> Self {
        MessageWriter {
            encoder,
            buffer: Vec::new(),
            written: 0,
            ended: false,
            bytes_sent: 0,
        }
    }

    /// Whether the kernel accepted any byte, which may then reach the peer.
    pub(crate) fn any_written(&self) -> bool {
        self.bytes_sent > 0
    }

    /// Number of bytes that the kernel accepted.
    pub(crate) fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Whether bytes are waiting for the kernel to accept them.
    pub(crate) fn is_blocked(&self) -> bool {
        self.written < self.buffer.len()
    }

    /// Sends until the kernel has accepted the whole message.
    pub(crate) fn poll_send(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), SendFault>> {
        loop {
            if self.written == self.buffer.len() {
                if self.ended {
                    return Poll::Ready(Ok(()));
                }
                self.buffer.clear();
                self.written = 0;
                ready!(self.poll_fill_buffer(context)).map_err(SendFault::Source)?;
                continue;
            }
            ready!(self.poll_write(stream, context)).map_err(SendFault::Stream)?;
        }
    }

    fn poll_write(
        &mut self,
        mut stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = &self.buffer[self.written..];
        let count = ready!(Pin::new(&mut stream).poll_write(context, bytes))?;
        if count == 0 {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        self.bytes_sent += count as u64;
        self.written += count;
        Poll::Ready(Ok(()))
    }

    /// Reads the available bytes from the encoder; waits only if there are
    /// none.
    fn poll_fill_buffer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = Scratch::take();
        while self.buffer.len() < WRITE_SIZE {
            let start = self.buffer.len();
            match Pin::new(&mut self.encoder).poll_read(context, scratch.bytes()) {
                Poll::Ready(Ok(0)) => {
                    self.ended = true;
                    break;
                }
                Poll::Ready(Ok(count)) => self.buffer.extend_from_slice(&scratch.bytes()[..count]),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending if start == 0 => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
