//! A TCP stream with a buffer of bytes that were read but not consumed.
//!
//! async-h1 reads through a buffer that it discards together with any excess
//! bytes. Here these bytes stay with the connection, so that a pipelined
//! request is neither lost nor mistaken for a body.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::io::AsyncRead;

use crate::Instant;

/// Size of a new buffer; most heads fit into it.
const INITIAL_BUFFER: usize = 2 * 1024;
/// Size up to which the buffer grows while reads fill it.
const MAX_GROWN_BUFFER: usize = 64 * 1024;
/// Minimum free space before a read.
const MIN_FREE_SPACE: usize = 1024;

/// Bytes that arrive within this time of an earlier arrival share its
/// timestamp, so that a caller that sends byte by byte uses little memory.
const ARRIVAL_RESOLUTION: Duration = Duration::from_millis(10);
const CRLF: &[u8] = b"\r\n";

/// TCP connection with its unread bytes.
#[derive(Debug)]
pub(crate) struct BufferedStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Start of the unread bytes in `buffer`.
    start: usize,
    /// End of the unread bytes in `buffer`.
    end: usize,
    /// Whether the last read filled all free space.
    last_read_filled: bool,
    /// Total number of bytes consumed.
    consumed: u64,
    /// Arrival times of bytes that were read ahead, in order.
    arrivals: VecDeque<Arrival>,
    /// Error of the write that failed, if one did.
    write_error: Option<io::ErrorKind>,
}

/// Arrival time of bytes that were read ahead.
#[derive(Debug)]
struct Arrival {
    /// Position of the last of these bytes, counted from the start of the
    /// connection.
    last: u64,
    at: Instant,
}

impl BufferedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        BufferedStream {
            stream,
            buffer: Vec::new(),
            start: 0,
            end: 0,
            last_read_filled: false,
            consumed: 0,
            arrivals: VecDeque::new(),
            write_error: None,
        }
    }

    /// Returns the stream, for writing.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the bytes that were read but not consumed.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Marks the first `count` unread bytes as consumed.
    pub(crate) fn consume(&mut self, count: usize) {
        debug_assert!(count <= self.end - self.start);
        self.start += count;
        self.consumed += count as u64;
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Records that a write failed. What arrived before can still be read.
    pub(crate) fn record_write_error(&mut self, error: &io::Error) {
        self.write_error.get_or_insert(error.kind());
    }

    /// Whether a write has failed.
    pub(crate) fn has_write_error(&self) -> bool {
        self.write_error.is_some()
    }

    /// Reads more bytes; 0 means that the peer sends no more.
    ///
    /// Invariant: a reset is never taken for a graceful close. The kernel
    /// reports a reset once. If a write got that error, reads return what had
    /// arrived and then 0, so that the error is repeated here.
    pub(crate) fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.ensure_free_space();
        let room = &mut self.buffer[self.end..];
        let size = room.len();
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, room))?;
        if let (0, Some(error)) = (count, self.write_error) {
            return Poll::Ready(Err(error.into()));
        }
        self.end += count;
        self.last_read_filled = count == size;
        Poll::Ready(Ok(count))
    }

    /// Skips blank lines, which are allowed before a request.
    pub(crate) fn skip_blank_lines(&mut self) {
        while self.unread().starts_with(CRLF) {
            self.consume(CRLF.len());
        }
    }

    /// Records the current time as the arrival time of the bytes read last.
    pub(crate) fn record_arrival(&mut self) {
        let at = Instant::now();
        let last = self.consumed + self.unread().len() as u64;
        match self.arrivals.back_mut() {
            Some(arrival) if at - arrival.at < ARRIVAL_RESOLUTION => arrival.last = last,
            _ => self.arrivals.push_back(Arrival { last, at }),
        }
    }

    /// Returns the arrival time of the byte consumed last, if it was read
    /// ahead.
    pub(crate) fn arrival_time(&mut self) -> Option<Instant> {
        while self.arrivals.front()?.last < self.consumed {
            self.arrivals.pop_front();
        }
        self.arrivals.front().map(|arrival| arrival.at)
    }

    /// Frees a large buffer before the connection becomes idle.
    pub(crate) fn shrink(&mut self) {
        if self.start == self.end && self.buffer.len() > INITIAL_BUFFER {
            self.buffer = Vec::new();
            self.last_read_filled = false;
        }
    }

    fn ensure_free_space(&mut self) {
        if self.start > 0 && self.buffer.len() - self.end < MIN_FREE_SPACE {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let too_small = self.buffer.len() - self.end < MIN_FREE_SPACE;
        let should_grow = self.last_read_filled && self.buffer.len() < MAX_GROWN_BUFFER;
        if too_small || should_grow {
            let size = (self.buffer.len() * 2).max(INITIAL_BUFFER);
            self.buffer.resize(size, 0);
        }
    }
}
