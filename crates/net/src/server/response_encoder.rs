//! Encodes responses.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_h1::server::Encoder;
use futures::io::AsyncRead;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Response, StatusCode};

use crate::status;

/// Yields the bytes of one response and fails if its body is shorter than the
/// head announced, so that a truncated response never looks complete.
#[derive(Debug)]
pub(super) struct ResponseEncoder {
    encoder: Encoder,
    head_pending: bool,
    strips_framing: bool,
    /// Status code to send in place of the one that http-types names.
    unnamed_status: Option<u16>,
    body_remaining: Option<u64>,
}

impl ResponseEncoder {
    pub(super) fn new(mut response: Response, method: Method) -> Self {
        // Only the body determines the framing: with a second, different one
        // two readers could see two different responses.
        response.remove_header(CONTENT_LENGTH);
        response.remove_header(TRANSFER_ENCODING);
        let named_status = response.status();
        let bodiless = has_no_body(named_status) || method == Method::Head;
        let length = response.len().map(|length| length as u64);
        // async-h1 omits the body only in responses to HEAD; responses with
        // status 204 or 304 have none either.
        let method = if bodiless { Method::Head } else { method };
        let unnamed_status = status::unnamed(&response);
        ResponseEncoder {
            encoder: Encoder::new(response, method),
            head_pending: true,
            strips_framing: forbids_length(named_status),
            unnamed_status,
            body_remaining: if bodiless { None } else { length },
        }
    }

    /// Records that the head was read, writes a status code that http-types
    /// does not name, and removes the framing headers if the status forbids
    /// them. Returns the length of the head.
    fn finish_head(&mut self, head: &mut [u8]) -> usize {
        self.head_pending = false;
        if let Some(code) = self.unnamed_status {
            return status::replace_code(head, code);
        }
        if self.strips_framing {
            return remove_framing(head);
        }
        head.len()
    }

    /// Counts body bytes, and fails if the body ends before its announced
    /// length.
    fn check_body_length(&mut self, count: usize) -> io::Result<usize> {
        let Some(remaining) = &mut self.body_remaining else {
            return Ok(count);
        };
        if count == 0 && *remaining > 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        *remaining = remaining.saturating_sub(count as u64);
        Ok(count)
    }
}

/// The encoder yields the whole head in the first read if the buffer is large
/// enough, and then the body. A head that does not fit is rejected.
impl AsyncRead for ResponseEncoder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.encoder).poll_read(context, buffer))?;
        if !self.head_pending {
            return Poll::Ready(self.check_body_length(count));
        }
        let read = &mut buffer[..count];
        if read.ends_with(b"\r\n\r\n") {
            return Poll::Ready(Ok(self.finish_head(read)));
        }
        Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
    }
}

/// Whether responses of this status never have a body.
pub(crate) fn has_no_body(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NoContent
        || status == StatusCode::NotModified
}

fn forbids_length(status: StatusCode) -> bool {
    status.is_informational() || status == StatusCode::NoContent
}

/// Removes the framing headers from a head and returns its new length.
fn remove_framing(head: &mut [u8]) -> usize {
    let mut kept = 0;
    let mut start = 0;
    while start < head.len() {
        let rest = &head[start..];
        let line = rest.iter().position(|byte| *byte == b'\n');
        let end = start + line.map_or(rest.len(), |position| position + 1);
        let is_framing = head[start..end].starts_with(b"content-length:")
            || head[start..end].starts_with(b"transfer-encoding:");
        if !is_framing {
            head.copy_within(start..end, kept);
            kept += end - start;
        }
        start = end;
    }
    kept
}
