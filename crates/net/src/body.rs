//! Bodies that stream from a connection and give it back at their end.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::io::{AsyncBufRead, AsyncRead};

use crate::Instant;
use crate::framing::{BodyDecoder, Piece};
use crate::timer::{self, Sleep};
use crate::wire::Wire;

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
pub(crate) enum Pace {
    /// As long as the peer likes.
    Unbounded,
    /// Until a point in time.
    Until(Instant),
    /// `base` from `start`, and one second more for each
    /// [`MIN_BODY_BYTES_PER_SECOND`] that came: bounds both a long pause and
    /// a sender that drips.
    Rate { start: Instant, base: Duration },
}

impl Pace {
    fn deadline(&self, received: u64) -> Option<Instant> {
        match *self {
            Pace::Unbounded => None,
            Pace::Until(deadline) => Some(deadline),
            Pace::Rate { start, base } => {
                let millis = received * 1_000 / u64::from(MIN_BODY_BYTES_PER_SECOND);
                Some(start + base + Duration::from_millis(millis))
            }
        }
    }
}

/// In which state a body let go of its connection.
#[derive(Debug)]
pub(crate) enum Returned {
    /// The body was read to its end; the next bytes belong to what follows.
    Clean(Wire),
    /// The body was dropped before its end.
    Unfinished(Wire),
    /// Reading failed.
    Broken(BodyFault),
}

/// Called once, when the body lets go of its connection.
pub(crate) type GiveBack = Box<dyn FnOnce(Returned) + Send + Sync>;

/// Reads one body from a connection.
pub(crate) struct BodyReader {
    state: ReaderState,
    decoder: BodyDecoder,
    received: u64,
    max_bytes: u64,
    pace: Pace,
    sleep: Option<Sleep>,
    give_back: Option<GiveBack>,
}

enum ReaderState {
    Reading(Wire),
    Ended,
    Failed(BodyFault),
}

impl BodyReader {
    pub(crate) fn new(
        wire: Wire,
        decoder: BodyDecoder,
        max_bytes: u64,
        pace: Pace,
        give_back: GiveBack,
    ) -> Self {
        let mut reader = BodyReader {
            state: ReaderState::Reading(wire),
            decoder,
            received: 0,
            max_bytes,
            pace,
            sleep: None,
            give_back: Some(give_back),
        };
        reader.end_if_complete();
        reader
    }

    /// Finds how many unread bytes are data; 0 at the end.
    fn poll_available(&mut self, context: &mut Context<'_>) -> Poll<Result<usize, BodyFault>> {
        loop {
            let wire = match &mut self.state {
                ReaderState::Reading(wire) => wire,
                ReaderState::Ended => return Poll::Ready(Ok(0)),
                ReaderState::Failed(fault) => return Poll::Ready(Err(*fault)),
            };
            match self.decoder.next(wire.unread()) {
                Err(fault) => return Poll::Ready(Err(fault)),
                Ok(Piece::Data(count)) => return Poll::Ready(Ok(count)),
                Ok(Piece::Skip(count)) => wire.consume(count),
                Ok(Piece::End) => self.end_if_complete(),
                Ok(Piece::More) => match wire.poll_fill(context) {
                    Poll::Ready(Ok(0)) if self.decoder.peer_closed() => {}
                    Poll::Ready(Ok(0) | Err(_)) => {
                        return Poll::Ready(Err(BodyFault::Truncated));
                    }
                    Poll::Ready(Ok(_)) => {}
                    Poll::Pending => return self.poll_pace(context).map(Err),
                },
            }
        }
    }

    fn poll_pace(&mut self, context: &mut Context<'_>) -> Poll<BodyFault> {
        let Some(deadline) = self.pace.deadline(self.received) else {
            return Poll::Pending;
        };
        let sleep = match &mut self.sleep {
            Some(sleep) if sleep.deadline() == deadline => sleep,
            slot => slot.insert(timer::sleep_until(deadline)),
        };
        Pin::new(sleep).poll(context).map(|()| BodyFault::TooSlow)
    }

    fn take_data(&mut self, count: usize) {
        let ReaderState::Reading(wire) = &mut self.state else {
            return;
        };
        wire.consume(count);
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
        if let ReaderState::Reading(wire) = std::mem::replace(&mut self.state, ReaderState::Ended) {
            self.let_go(Returned::Clean(wire));
        }
    }

    /// Remembers the failure, so that a later read cannot take it for the end.
    fn fail(&mut self, fault: BodyFault) -> io::Error {
        self.state = ReaderState::Failed(fault);
        self.let_go(Returned::Broken(fault));
        fault.into_error()
    }

    fn let_go(&mut self, returned: Returned) {
        self.sleep = None;
        if let Some(give_back) = self.give_back.take() {
            give_back(returned);
        }
    }

    fn unread(&self, count: usize) -> &[u8] {
        match &self.state {
            ReaderState::Reading(wire) => &wire.unread()[..count],
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
        self.get_mut().take_data(amount);
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
        if let ReaderState::Reading(wire) = std::mem::replace(&mut self.state, ReaderState::Ended) {
            self.let_go(Returned::Unfinished(wire));
        }
    }
}
