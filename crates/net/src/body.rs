//! Streaming message bodies. A body owns its connection while it is read and
//! releases it at the end.

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

/// Minimum rate, in bytes per second, at which a sender must deliver a body
/// once its base timeout has passed.
pub const MIN_BODY_BYTES_PER_SECOND: u32 = 1024;

/// Largest part of a body, in bytes, that is still read after a fixed deadline
/// without a pause: it may have arrived before.
const MAX_LATE_BYTES: u64 = 1024 * 1024;

/// Reason why a body could not be read to its end. It is the inner error of the
/// [`io::Error`] that a read returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyFault {
    /// The peer closed or reset the connection before the end of the body.
    #[error("the body was cut short; send all that Content-Length or the chunks announce")]
    Truncated,
    /// The framing violates HTTP/1.1; the text says how.
    #[error("the body is malformed ({0}); frame it as HTTP/1.1 says")]
    Malformed(&'static str),
    /// The body is larger than allowed.
    #[error("the body is larger than allowed; send a smaller one")]
    TooLarge,
    /// The body did not arrive within its deadline.
    #[error("the body came too slowly; send it without long pauses")]
    TooSlow,
}

impl BodyFault {
    /// Extracts the body fault from an I/O error that reading a body returned.
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

/// Deadline for receiving a body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BodyDeadline {
    /// No deadline.
    Unbounded,
    /// A fixed point in time.
    Until(Instant),
    /// `base` after `start`, extended by one second for every
    /// [`MIN_BODY_BYTES_PER_SECOND`] bytes received. Limits both long pauses
    /// and senders that trickle bytes.
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

/// State in which a body releases its connection.
#[derive(Debug)]
pub(crate) enum ReleasedConnection {
    /// The body was read to its end; the next bytes belong to the next message.
    Clean(BufferedStream),
    /// The body was dropped before its end.
    Unfinished(BufferedStream),
    /// Reading the body failed.
    Broken(BodyFault),
}

/// Called once, when the body releases its connection.
pub(crate) type ReleaseCallback = Box<dyn FnOnce(ReleasedConnection) + Send + Sync>;

/// Reads one body from a connection.
pub(crate) struct BodyReader {
    state: ReaderState,
    decoder: BodyDecoder,
    received: u64,
    max_bytes: u64,
    body_deadline: BodyDeadline,
    /// Bytes received when the deadline was first seen to have passed.
    received_in_time: Option<u64>,
    sleep: Option<Sleep>,
    on_release: Option<ReleaseCallback>,
}

/// State of a [`BodyReader`].
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
            received_in_time: None,
            sleep: None,
            on_release: Some(on_release),
        };
        reader.end_if_complete();
        reader
    }

    /// Returns the number of unread bytes that are body data, or 0 at the end
    /// of the body.
    fn poll_available(&mut self, context: &mut Context<'_>) -> Poll<Result<usize, BodyFault>> {
        loop {
            if self.is_overdue() {
                return Poll::Ready(Err(BodyFault::TooSlow));
            }
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

    /// Whether the sender has gone on for too long after a fixed deadline. A
    /// sender that never pauses is never waited for.
    fn is_overdue(&mut self) -> bool {
        let BodyDeadline::Until(deadline) = self.body_deadline else {
            return false;
        };
        if Instant::now() < deadline {
            return false;
        }
        let in_time = *self.received_in_time.get_or_insert(self.received);
        self.received - in_time >= MAX_LATE_BYTES
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

    /// Releases the connection as soon as the end of the body is known, because
    /// a reader that knows the length does not read again after the last byte.
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

    /// Stores the failure, so that a later read does not report the end of the
    /// body.
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
