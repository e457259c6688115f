//! A body that is passed on while it comes and kept as well, so that it can
//! be sent again from its start.

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

/// Bytes that a reader takes at once: as many as leave in one write.
const PIECE: usize = 32 * 1024;

/// A body under way, with what came of it. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReplayableBody {
    kept: Arc<Mutex<Kept>>,
    length: Option<usize>,
}

#[derive(Debug)]
struct Kept {
    bytes: Vec<u8>,
    source: Source,
    /// Bytes that are kept at most.
    most: usize,
    /// The reader that the source wakes. A source knows one, and wakes it when
    /// another takes its place: two would wake each other without end.
    asking: Option<u64>,
    /// The others that wait for more.
    waiting: Vec<Waker>,
    /// Readers there were.
    readers: u64,
    _reservation: Reservation,
}

/// Where the rest comes from.
#[derive(Debug)]
enum Source {
    Open(Body),
    Ended,
    /// It could not be read to its end.
    Failed(Option<BodyFault>),
    /// More came than is kept: the one reader that came so far has the rest.
    Taken,
}

impl ReplayableBody {
    /// Keeps up to `most` bytes, for which the reservation has room.
    pub(crate) fn new(source: Body, most: usize, reservation: Reservation) -> Self {
        let length = source.len();
        let kept = Kept {
            bytes: Vec::with_capacity(length.unwrap_or(0)),
            source: Source::Open(source),
            most,
            asking: None,
            waiting: Vec::new(),
            readers: 0,
            _reservation: reservation,
        };
        ReplayableBody {
            kept: Arc::new(Mutex::new(kept)),
            length,
        }
    }

    /// The body from its start; `None` when more came than is kept.
    pub(crate) fn body(&self) -> Option<Body> {
        let mut kept = self.kept.lock();
        if matches!(kept.source, Source::Taken) {
            return None;
        }
        kept.readers += 1;
        let reader = KeptReader {
            number: kept.readers,
            kept: self.kept.clone(),
            read: 0,
            piece: Vec::new(),
            used: 0,
            rest: None,
        };
        Some(Body::from_reader(reader, self.length))
    }
}

/// What the source had.
#[derive(PartialEq, Eq)]
enum Found {
    /// Its end, its failure, or bytes that are kept now.
    Kept,
    /// More than is kept.
    More,
}

/// What a reader gets beyond a place.
enum More {
    Piece(Vec<u8>),
    End,
    Rest(Body),
}

impl Kept {
    fn poll_beyond(
        &mut self,
        reader: u64,
        place: usize,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<More>> {
        if place == self.bytes.len() {
            match &mut self.source {
                Source::Open(_) => {}
                Source::Ended => return Poll::Ready(Ok(More::End)),
                Source::Failed(fault) => return Poll::Ready(Err(failure(*fault))),
                Source::Taken => return Poll::Ready(Err(failure(None))),
            }
            if ready!(self.poll_source(reader, context)) == Found::More {
                return Poll::Ready(Ok(self.take_rest()));
            }
            return self.poll_beyond(reader, place, context);
        }
        let end = self.bytes.len().min(place + PIECE);
        Poll::Ready(Ok(More::Piece(self.bytes[place..end].to_vec())))
    }

    fn take_rest(&mut self) -> More {
        let taken = std::mem::replace(&mut self.source, Source::Taken);
        self.wake_all();
        match taken {
            Source::Open(rest) => More::Rest(rest),
            Source::Ended | Source::Failed(_) | Source::Taken => More::End,
        }
    }

    /// Takes what came, as far as it is kept.
    fn poll_source(&mut self, reader: u64, context: &mut Context<'_>) -> Poll<Found> {
        if self.asking.is_some_and(|asking| asking != reader) {
            self.waiting.push(context.waker().clone());
            return Poll::Pending;
        }
        let Source::Open(source) = &mut self.source else {
            return Poll::Ready(Found::Kept);
        };
        let room = self.most - self.bytes.len();
        let mut source = Pin::new(source);
        match source.as_mut().poll_fill_buf(context) {
            Poll::Pending => {
                self.asking = Some(reader);
                return Poll::Pending;
            }
            Poll::Ready(Ok([])) => self.source = Source::Ended,
            Poll::Ready(Ok(_)) if room == 0 => return Poll::Ready(Found::More),
            Poll::Ready(Ok(came)) => {
                let count = came.len().min(room);
                self.bytes.extend_from_slice(&came[..count]);
                source.consume(count);
            }
            Poll::Ready(Err(error)) => {
                self.source = Source::Failed(BodyFault::from_io_error(&error))
            }
        }
        self.wake_all();
        Poll::Ready(Found::Kept)
    }

    fn wake_all(&mut self) {
        self.asking = None;
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

/// Reads a kept body from its start.
struct KeptReader {
    number: u64,
    kept: Arc<Mutex<Kept>>,
    /// Bytes taken from what is kept.
    read: usize,
    piece: Vec<u8>,
    used: usize,
    /// What comes beyond what is kept.
    rest: Option<Body>,
}

impl KeptReader {
    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let more = ready!(
            self.kept
                .lock()
                .poll_beyond(self.number, self.read, context)
        )?;
        self.used = 0;
        self.piece.clear();
        match more {
            More::Piece(piece) => {
                self.read += piece.len();
                self.piece = piece;
            }
            More::End => {}
            More::Rest(rest) => self.rest = Some(rest),
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for KeptReader {
    fn drop(&mut self) {
        let mut kept = self.kept.lock();
        if kept.asking == Some(self.number) {
            // Another one has to ask in its place.
            kept.wake_all();
        }
    }
}

impl AsyncBufRead for KeptReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        if reader.used == reader.piece.len() && reader.rest.is_none() {
            ready!(reader.poll_piece(context))?;
        }
        match &mut reader.rest {
            Some(rest) => Pin::new(rest).poll_fill_buf(context),
            None => Poll::Ready(Ok(&reader.piece[reader.used..])),
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        match &mut self.rest {
            Some(rest) => Pin::new(rest).consume(amount),
            None => self.used += amount,
        }
    }
}

impl AsyncRead for KeptReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}
