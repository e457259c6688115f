//! Bodies that stream from a connection and give it back at their end.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::io::{AsyncBufRead, AsyncRead};

use crate::Instant;
use crate::buffered_stream::BufferedStream;
use crate::framing::{BodyDecoder, DecodeStep};
use crate::timer::{self, Sleep};

/// Bytes a second that a sender must keep up, beyond the time it has anyway.
pub const MIN_BODY_BYTES_PER_SECOND: u32 = 1024;

/// Why a body could not be read to its end. It is the inner error of the
/// [`io::Error`] that reading gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// The peer closed or broke the connection before the end.
    #[error("the body was cut short; send all that Content-Length or the chunks announce")]
    Truncated,
    /// The framing is broken.
    #[error("the body is malformed ({0}); frame it as HTTP/1.1 says")]
    Malformed(&'static str),
    /// The body is larger than allowed.
    #[error("the body is larger than allowed; send a smaller one")]
    TooLarge,
    /// The time for the body passed.
    #[error("the body came too slowly; send it without long pauses")]
    TooSlow,
}

impl BodyFault {
    /// The fault inside an error that reading a body gave.
    pub fn from_io_error(error: &io::Error) -> Option<BodyFault> {
        error.get_ref()?.downcast_ref::<BodyFault>().copied()
    }

    fn into_error(self) -> io::Error {
        let kind = match self {
            BodyFault::Truncated => io::ErrorKind::UnexpectedEof,
            BodyFault::Malformed(_) | BodyFault::TooLarge => io::ErrorKind::InvalidData,
            BodyFault::TooSlow => io::ErrorKind::TimedOut,
        };
        io::Error::new(kind, self)
    }
}

/// The time a body may take.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BodyDeadline {
    /// As long as the peer likes.
    Unbounded,
    /// Until a point in time.
    Until(Instant),
    /// `base` from `start`, and one second more for each
    /// [`MIN_BODY_BYTES_PER_SECOND`] that came: bounds both a long pause and
    /// a sender that drips.
    Rate { start: Instant, base: Duration },
}

impl BodyDeadline {
    fn deadline(&self, received: u64) -> Option<Instant> {
        match *self {
            BodyDeadline::Unbounded => None,
            BodyDeadline::Until(deadline) => Some(deadline),
            BodyDeadline::Rate { start, base } => {
                let millis = received * 1_000 / u64::from(MIN_BODY_BYTES_PER_SECOND);
                Some(start + base + Duration::from_millis(millis))
            }
        }
    }
}

/// In which state a body let go of its connection.
#[derive(Debug)]
pub(crate) enum ReleasedConnection {
    /// The body was read to its end; the next bytes belong to what follows.
    Clean(BufferedStream),
    /// The body was dropped before its end.
    Unfinished(BufferedStream),
    /// Reading failed.
    Broken(BodyFault),
}

/// Called once, when the body lets go of its connection.
pub(crate) type ReleaseCallback = Box<dyn FnOnce(ReleasedConnection) + Send + Sync>;

/// Reads one body from a connection.
pub(crate) struct BodyReader {
    state: ReaderState,
    decoder: BodyDecoder,
    received: u64,
    max_bytes: u64,
    body_deadline: BodyDeadline,
    sleep: Option<Sleep>,
    on_release: Option<ReleaseCallback>,
}

enum ReaderState {
    Reading(BufferedStream),
    Ended,
    Failed(BodyFault),
}

impl BodyReader {
    pub(crate) fn new(
        buffered: BufferedStream,
        decoder: BodyDecoder,
        max_bytes: u64,
        body_deadline: BodyDeadline,
        on_release: ReleaseCallback,
    ) -> Self {
        let mut reader = BodyReader {
            state: ReaderState::Reading(buffered),
            decoder,
            received: 0,
            max_bytes,
            body_deadline,
            sleep: None,
            on_release: Some(on_release),
        };
        reader.end_if_complete();
        reader
    }

    /// Finds how many unread bytes are data; 0 at the end.
    fn poll_available(&mut self, context: &mut Context<'_>) -> Poll<Result<usize, BodyFault>> {
        loop {
            let buffered = match &mut self.state {
                ReaderState::Reading(buffered) => buffered,
                ReaderState::Ended => return Poll::Ready(Ok(0)),
                ReaderState::Failed(fault) => return Poll::Ready(Err(*fault)),
            };
            match self.decoder.next(buffered.unread()) {
                Err(fault) => return Poll::Ready(Err(fault)),
                Ok(DecodeStep::Data(count)) => return Poll::Ready(Ok(count)),
                Ok(DecodeStep::Framing(count)) => buffered.consume(count),
                Ok(DecodeStep::End) => self.end_if_complete(),
                Ok(DecodeStep::NeedMore) => match buffered.poll_fill(context) {
                    Poll::Ready(Ok(0)) if self.decoder.peer_closed() => {}
                    Poll::Ready(Ok(0) | Err(_)) => {
                        return Poll::Ready(Err(BodyFault::Truncated));
                    }
                    Poll::Ready(Ok(_)) => {}
                    Poll::Pending => return self.poll_deadline(context).map(Err),
                },
            }
        }
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<BodyFault> {
        let Some(deadline) = self.body_deadline.deadline(self.received) else {
            return Poll::Pending;
        };
        let sleep = match &mut self.sleep {
            Some(sleep) if sleep.deadline() == deadline => sleep,
            slot => slot.insert(timer::sleep_until(deadline)),
        };
        Pin::new(sleep).poll(context).map(|()| BodyFault::TooSlow)
    }

    fn consume_data(&mut self, count: usize) {
        let ReaderState::Reading(buffered) = &mut self.state else {
            return;
        };
        buffered.consume(count);
        self.decoder.consume(count);
        self.received += count as u64;
        self.end_if_complete();
    }

    /// Gives the connection back as soon as the end is known: a reader that
    /// knows the length does not ask once more.
    fn end_if_complete(&mut self) {
        if !self.decoder.is_at_end() || !matches!(self.state, ReaderState::Reading(_)) {
            return;
        }
        if let ReaderState::Reading(buffered) =
            std::mem::replace(&mut self.state, ReaderState::Ended)
        {
            self.release(ReleasedConnection::Clean(buffered));
        }
    }

    /// Remembers the failure, so that a later read cannot take it for the end.
    fn fail(&mut self, fault: BodyFault) -> io::Error {
        self.state = ReaderState::Failed(fault);
        self.release(ReleasedConnection::Broken(fault));
        fault.into_error()
    }

    fn release(&mut self, released: ReleasedConnection) {
        self.sleep = None;
        if let Some(on_release) = self.on_release.take() {
            on_release(released);
        }
    }

    fn unread(&self, count: usize) -> &[u8] {
        match &self.state {
            ReaderState::Reading(buffered) => &buffered.unread()[..count],
            ReaderState::Ended | ReaderState::Failed(_) => &[],
        }
    }
}

impl AsyncBufRead for BodyReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        let available = std::task::ready!(reader.poll_available(context));
        let result = available.and_then(|count| {
            let fits = reader.received + count as u64 <= reader.max_bytes;
            if fits {
                Ok(count)
            } else {
                Err(BodyFault::TooLarge)
            }
        });
        match result {
            Ok(count) => Poll::Ready(Ok(reader.unread(count))),
            Err(fault) => Poll::Ready(Err(reader.fail(fault))),
        }
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().consume_data(amount);
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = std::task::ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        if let ReaderState::Reading(buffered) =
            std::mem::replace(&mut self.state, ReaderState::Ended)
        {
            self.release(ReleasedConnection::Unfinished(buffered));
        }
    }
}
