//! Bodies of which the first bytes have already been read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;

/// A body whose first bytes were read ahead, followed by the remaining ones.
#[derive(Debug)]
pub(crate) struct PrefixedBody {
    prefix: Vec<u8>,
    consumed: usize,
    remainder: Body,
}

impl PrefixedBody {
    pub(crate) fn new(prefix: Vec<u8>, remainder: Body) -> Self {
        PrefixedBody {
            prefix,
            consumed: 0,
            remainder,
        }
    }
}

impl AsyncBufRead for PrefixedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.consumed < body.prefix.len() {
            return Poll::Ready(Ok(&body.prefix[body.consumed..]));
        }
        Pin::new(&mut body.remainder).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        if self.consumed < self.prefix.len() {
            self.consumed += amount;
        } else {
            Pin::new(&mut self.remainder).consume(amount);
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

/// Implements `poll_read` for a reader with its own buffer.
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
