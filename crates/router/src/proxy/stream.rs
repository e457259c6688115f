//! Bodies whose start has been read already, and answers on their way to the
//! caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;
use threadledge_net::BodyFault;
use threadledge_routing::{AttemptEvent, AttemptFailure, AttemptNumber};

use super::drive::Conclusion;

/// A body whose first bytes have been read already.
#[derive(Debug)]
pub(super) struct Prefixed {
    start: Vec<u8>,
    used: usize,
    rest: Body,
}

impl Prefixed {
    pub(super) fn new(start: Vec<u8>, rest: Body) -> Self {
        Prefixed {
            start,
            used: 0,
            rest,
        }
    }
}

impl AsyncBufRead for Prefixed {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.used < body.start.len() {
            return Poll::Ready(Ok(&body.start[body.used..]));
        }
        Pin::new(&mut body.rest).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        if self.used < self.start.len() {
            self.used += amount;
        } else {
            Pin::new(&mut self.rest).consume(amount);
        }
    }
}

impl AsyncRead for Prefixed {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}

/// An answer on its way to the caller. It tells the dispatcher how it ended;
/// one that is dropped before its end tells that the caller is gone.
///
/// Each caller gets its whole answer or sees that it did not: a fault of the
/// back end becomes a fault of this body, at which the server breaks the
/// connection off instead of ending the answer.
#[derive(Debug)]
pub(super) struct Delivery {
    body: Prefixed,
    left: Option<u64>,
    attempt: AttemptNumber,
    /// Taken when the answer has ended.
    conclusion: Option<Conclusion>,
}

impl Delivery {
    pub(super) fn new(
        body: Prefixed,
        length: Option<usize>,
        attempt: AttemptNumber,
        conclusion: Conclusion,
    ) -> Self {
        Delivery {
            body,
            left: length.map(|length| length as u64),
            attempt,
            conclusion: Some(conclusion),
        }
    }

    fn conclude(&mut self, event: AttemptEvent) {
        if let Some(conclusion) = self.conclusion.take() {
            conclusion.conclude(self.attempt, event);
        }
    }
}

fn failure(error: &io::Error) -> AttemptFailure {
    match BodyFault::of(error) {
        Some(BodyFault::Truncated | BodyFault::Malformed(_) | BodyFault::TooLarge) => {
            AttemptFailure::BadAnswer
        }
        Some(BodyFault::TooSlow) | None => AttemptFailure::ConnectionLost,
    }
}

impl AsyncBufRead for Delivery {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let delivery = self.get_mut();
        let filled = ready!(Pin::new(&mut delivery.body).poll_fill_buf(context));
        let event = match &filled {
            Ok([]) => Some(AttemptEvent::Completed),
            Ok(_) => None,
            Err(error) => Some(AttemptEvent::Failed(failure(error))),
        };
        if let Some(event) = event {
            let filled = filled.map(|_| &[][..]);
            if let Some(conclusion) = delivery.conclusion.take() {
                conclusion.conclude(delivery.attempt, event);
            }
            return Poll::Ready(filled);
        }
        Poll::Ready(filled)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
        let Some(left) = &mut self.left else {
            return;
        };
        *left = left.saturating_sub(amount as u64);
        // A reader that knows the length does not ask once more.
        if *left == 0 {
            self.conclude(AttemptEvent::Completed);
        }
    }
}

impl AsyncRead for Delivery {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}

/// Reads through a reader's own buffer.
pub(super) fn poll_read_buffered<R: AsyncBufRead>(
    mut reader: Pin<&mut R>,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    let available = ready!(reader.as_mut().poll_fill_buf(context))?;
    let count = available.len().min(buffer.len());
    buffer[..count].copy_from_slice(&available[..count]);
    reader.consume(count);
    Poll::Ready(Ok(count))
}
