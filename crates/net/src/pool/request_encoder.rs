//! Encodes a request with its target as its sender wrote it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_h1::client::Encoder;
use futures::io::AsyncRead;
use http_types::Request;

use crate::target;

/// Encoder of async-h1, which writes the URL's target, behind a request line of
/// its own if the target differs from that.
pub(super) struct RequestEncoder {
    /// What is left of the own request line.
    line: Vec<u8>,
    /// The encoder's request line must be dropped.
    drops_line: bool,
    encoder: Encoder,
}

impl RequestEncoder {
    pub(super) fn new(request: Request) -> Self {
        let line = target::differing(&request)
            .map(|target| format!("{} {target} HTTP/1.1\r\n", request.method()));
        RequestEncoder {
            drops_line: line.is_some(),
            line: line.unwrap_or_default().into_bytes(),
            encoder: Encoder::new(request),
        }
    }
}

impl AsyncRead for RequestEncoder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.line.is_empty() {
            let count = self.line.len().min(buffer.len());
            buffer[..count].copy_from_slice(&self.line[..count]);
            self.line.drain(..count);
            return Poll::Ready(Ok(count));
        }
        loop {
            let count = ready!(Pin::new(&mut self.encoder).poll_read(context, buffer))?;
            if !self.drops_line || count == 0 {
                return Poll::Ready(Ok(count));
            }
            let Some(end) = buffer[..count].iter().position(|byte| *byte == b'\n') else {
                continue;
            };
            self.drops_line = false;
            buffer.copy_within(end + 1..count, 0);
            if end + 1 < count {
                return Poll::Ready(Ok(count - end - 1));
            }
        }
    }
}
