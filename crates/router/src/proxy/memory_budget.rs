//! A shared limit on the memory of buffered bodies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;

use super::stream::poll_read_buffered;

/// Spare capacity beyond a body of known length. The read that finds the end
/// of the body needs it; otherwise the whole buffer would be reallocated.
const SPARE_CAPACITY: usize = 32;

/// Returns an empty buffer with capacity for a body of `length` bytes.
pub(crate) fn buffer_for(length: Option<usize>) -> Vec<u8> {
    Vec::with_capacity(length.map_or(0, |length| length + SPARE_CAPACITY))
}

/// Number of bytes that may still be buffered, over all requests. Clones share
/// it.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    left: Arc<AtomicUsize>,
}

/// Part of the budget that is in use. Dropping it releases the bytes.
#[derive(Debug)]
pub(crate) struct Reservation {
    left: Arc<AtomicUsize>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        MemoryBudget {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Reserves `bytes`. Returns `None` if fewer are left.
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

/// A completely buffered body with its reservation.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    consumed: usize,
    _reservation: Option<Reservation>,
}

impl BufferedBody {
    pub(crate) fn new(bytes: Vec<u8>, reservation: Option<Reservation>) -> Self {
        BufferedBody {
            bytes,
            consumed: 0,
            _reservation: reservation,
        }
    }

    /// Returns the whole body.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Converts to an HTTP body, which releases the reservation when it is
    /// dropped.
    pub(crate) fn into_body(self) -> Body {
        let length = self.bytes.len();
        Body::from_reader(self, Some(length))
    }
}

impl AsyncBufRead for BufferedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        Poll::Ready(Ok(&body.bytes[body.consumed..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.consumed += amount;
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
