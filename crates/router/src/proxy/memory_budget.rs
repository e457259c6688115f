//! A common bound on the memory of bodies that are held.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;

use super::stream::poll_read_buffered;

/// Room beyond a body of known length in which reading finds its end. Without
/// it the whole buffer would be moved to a larger one.
const END_ROOM: usize = 32;

/// An empty buffer for a body.
pub(crate) fn buffer_for(length: Option<usize>) -> Vec<u8> {
    Vec::with_capacity(length.map_or(0, |length| length + END_ROOM))
}

/// Bytes that may be held at once, over all requests. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    left: Arc<AtomicUsize>,
}

/// A part of the budget, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl MemoryBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        MemoryBudget {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Takes `bytes`; `None` when fewer are left.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let take = |left: usize| left.checked_sub(bytes);
        self.left
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, take)
            .ok()?;
        Some(Reservation {
            left: self.left.clone(),
            bytes,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.left.fetch_add(self.bytes, Ordering::AcqRel);
    }
}

/// Bytes with the part of the budget that they take.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    used: usize,
    _reservation: Option<Reservation>,
}

impl BufferedBody {
    pub(crate) fn new(bytes: Vec<u8>, reservation: Option<Reservation>) -> Self {
        BufferedBody {
            bytes,
            used: 0,
            _reservation: reservation,
        }
    }

    /// All the bytes.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// A body that gives the budget back once it has been sent.
    pub(crate) fn into_body(self) -> Body {
        let length = self.bytes.len();
        Body::from_reader(self, Some(length))
    }
}

impl AsyncBufRead for BufferedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let held = self.get_mut();
        Poll::Ready(Ok(&held.bytes[held.used..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.used += amount;
    }
}

impl AsyncRead for BufferedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}
