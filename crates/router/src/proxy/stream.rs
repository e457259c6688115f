//! Bodies whose start has been read already.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;

/// A body whose first bytes have been read already.
#[derive(Debug)]
pub(crate) struct PrefixedBody {
    start: Vec<u8>,
    used: usize,
    rest: Body,
}

impl PrefixedBody {
    pub(crate) fn new(start: Vec<u8>, rest: Body) -> Self {
        PrefixedBody {
            start,
            used: 0,
            rest,
        }
    }
}

impl AsyncBufRead for PrefixedBody {
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

impl AsyncRead for PrefixedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}

/// Reads through a reader's own buffer.
pub(crate) fn poll_read_buffered<R: AsyncBufRead>(
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
