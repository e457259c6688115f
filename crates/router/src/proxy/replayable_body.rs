//! A request body that is forwarded while it arrives and buffered as well, so
//! that it can be sent again from its start.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;
use parking_lot::Mutex;
use threadledge_net::BodyFault;

use super::memory_budget::Reservation;
use super::stream::poll_read_buffered;

/// Bytes that a reader copies from the buffer at once: as many as are sent in
/// one write.
const CHUNK_BYTES: usize = 32 * 1024;

/// A body that is still arriving, with the bytes received so far. Clones share
/// them.
#[derive(Clone, Debug)]
pub(crate) struct ReplayableBody {
    buffer: Arc<Mutex<Buffer>>,
    length: Option<usize>,
}

/// The bytes received so far and the source of the remaining ones.
#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    source: Source,
    /// Maximum number of bytes that are buffered.
    max_bytes: usize,
    /// The reader whose waker is registered with the source. A source holds
    /// one waker and wakes it when another replaces it, so two readers that
    /// polled it would wake each other forever.
    polling_reader: Option<u64>,
    /// Wakers of the other readers that wait for more bytes.
    waiting: Vec<Waker>,
    /// Number of readers created so far.
    reader_count: u64,
    _reservation: Reservation,
}

/// The source of the bytes that are not buffered yet.
#[derive(Debug)]
enum Source {
    Open(Body),
    Ended,
    /// It failed before its end.
    Failed(Option<BodyFault>),
    /// The body exceeded the buffer and the reader that got furthest took the
    /// source over. The body can no longer be replayed.
    HandedOver,
}

impl ReplayableBody {
    /// Buffers up to `max_bytes` bytes, which `reservation` must cover.
    pub(crate) fn new(source: Body, max_bytes: usize, reservation: Reservation) -> Self {
        let length = source.len();
        let buffer = Buffer {
            bytes: Vec::with_capacity(length.unwrap_or(0)),
            source: Source::Open(source),
            max_bytes,
            polling_reader: None,
            waiting: Vec::new(),
            reader_count: 0,
            _reservation: reservation,
        };
        ReplayableBody {
            buffer: Arc::new(Mutex::new(buffer)),
            length,
        }
    }

    /// Returns the body from its start, or `None` when it exceeded the buffer
    /// and can no longer be replayed.
    pub(crate) fn body(&self) -> Option<Body> {
        let mut buffer = self.buffer.lock();
        if matches!(buffer.source, Source::HandedOver) {
            return None;
        }
        buffer.reader_count += 1;
        let reader = BodyReader {
            number: buffer.reader_count,
            buffer: self.buffer.clone(),
            offset: 0,
            chunk: Vec::new(),
            consumed: 0,
            remainder: None,
        };
        Some(Body::from_reader(reader, self.length))
    }
}

/// Result of polling the source.
#[derive(PartialEq, Eq)]
enum SourcePoll {
    /// The source delivered bytes, which are buffered now, or it ended or
    /// failed.
    Buffered,
    /// The source has more bytes than the buffer may hold.
    LimitReached,
}

/// The next part of the body for a reader.
enum NextPart {
    Chunk(Vec<u8>),
    End,
    /// The unbuffered remainder, to be read from the source directly.
    Remainder(Body),
}

impl Buffer {
    /// Returns the part of the body that starts at `offset`.
    fn poll_next_part(
        &mut self,
        reader: u64,
        offset: usize,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<NextPart>> {
        if offset == self.bytes.len() {
            match &mut self.source {
                Source::Open(_) => {}
                Source::Ended => return Poll::Ready(Ok(NextPart::End)),
                Source::Failed(fault) => return Poll::Ready(Err(failure(*fault))),
                Source::HandedOver => return Poll::Ready(Err(failure(None))),
            }
            if ready!(self.poll_source(reader, context)) == SourcePoll::LimitReached {
                return Poll::Ready(Ok(self.hand_over_source()));
            }
            return self.poll_next_part(reader, offset, context);
        }
        let end = self.bytes.len().min(offset + CHUNK_BYTES);
        Poll::Ready(Ok(NextPart::Chunk(self.bytes[offset..end].to_vec())))
    }

    fn hand_over_source(&mut self) -> NextPart {
        let source = std::mem::replace(&mut self.source, Source::HandedOver);
        self.wake_all();
        match source {
            Source::Open(remainder) => NextPart::Remainder(remainder),
            Source::Ended | Source::Failed(_) | Source::HandedOver => NextPart::End,
        }
    }

    /// Moves available bytes from the source into the buffer, up to its limit.
    fn poll_source(&mut self, reader: u64, context: &mut Context<'_>) -> Poll<SourcePoll> {
        if self.polling_reader.is_some_and(|polling| polling != reader) {
            self.waiting.push(context.waker().clone());
            return Poll::Pending;
        }
        let Source::Open(source) = &mut self.source else {
            return Poll::Ready(SourcePoll::Buffered);
        };
        let room = self.max_bytes - self.bytes.len();
        let mut source = Pin::new(source);
        match source.as_mut().poll_fill_buf(context) {
            Poll::Pending => {
                self.polling_reader = Some(reader);
                return Poll::Pending;
            }
            Poll::Ready(Ok([])) => self.source = Source::Ended,
            Poll::Ready(Ok(_)) if room == 0 => return Poll::Ready(SourcePoll::LimitReached),
            Poll::Ready(Ok(available)) => {
                let count = available.len().min(room);
                self.bytes.extend_from_slice(&available[..count]);
                source.consume(count);
            }
            Poll::Ready(Err(error)) => {
                self.source = Source::Failed(BodyFault::from_io_error(&error))
            }
        }
        self.wake_all();
        Poll::Ready(SourcePoll::Buffered)
    }

    fn wake_all(&mut self) {
        self.polling_reader = None;
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }
}

fn failure(fault: Option<BodyFault>) -> io::Error {
    match fault {
        Some(fault) => io::Error::new(io::ErrorKind::InvalidData, fault),
        None => io::ErrorKind::UnexpectedEof.into(),
    }
}

/// Reads a replayable body from its start.
struct BodyReader {
    number: u64,
    buffer: Arc<Mutex<Buffer>>,
    /// Number of bytes copied from the shared buffer so far.
    offset: usize,
    chunk: Vec<u8>,
    /// Number of bytes of `chunk` that have been read.
    consumed: usize,
    /// The source, once this reader has taken it over.
    remainder: Option<Body>,
}

impl BodyReader {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let part = ready!(
            self.buffer
                .lock()
                .poll_next_part(self.number, self.offset, context)
        )?;
        self.consumed = 0;
        self.chunk.clear();
        match part {
            NextPart::Chunk(chunk) => {
                self.offset += chunk.len();
                self.chunk = chunk;
            }
            NextPart::End => {}
            NextPart::Remainder(remainder) => self.remainder = Some(remainder),
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut buffer = self.buffer.lock();
        if buffer.polling_reader == Some(self.number) {
            // Another reader has to poll the source instead.
            buffer.wake_all();
        }
    }
}

impl AsyncBufRead for BodyReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        if reader.consumed == reader.chunk.len() && reader.remainder.is_none() {
            ready!(reader.poll_chunk(context))?;
        }
        match &mut reader.remainder {
            Some(remainder) => Pin::new(remainder).poll_fill_buf(context),
            None => Poll::Ready(Ok(&reader.chunk[reader.consumed..])),
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        match &mut self.remainder {
            Some(remainder) => Pin::new(remainder).consume(amount),
            None => self.consumed += amount,
        }
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}
