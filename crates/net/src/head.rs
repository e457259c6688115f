//! Reads complete message heads and performs the checks that async-h1 omits.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};
use http_types::Headers;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::buffered_stream::BufferedStream;
use crate::framing::BodyDecoder;

/// Largest head, in bytes, that async-h1 accepts.
pub const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Reason why no head could be read.
#[derive(Debug)]
pub(crate) enum HeadError {
    /// The peer closed the connection before the first byte.
    Closed,
    /// The peer closed the connection within the head.
    Truncated,
    /// The head is larger than allowed.
    TooLarge,
    /// The connection failed.
    Io(io::Error),
}

/// Incremental search for the end of a head.
#[derive(Debug, Default)]
pub(crate) struct HeadSearch {
    searched: usize,
}

impl HeadSearch {
    /// Reads until the whole head has arrived and returns its length, including
    /// the blank line. The head stays unread in `buffered`, and dropping the
    /// wait loses no bytes.
    pub(crate) fn poll(
        &mut self,
        buffered: &mut BufferedStream,
        max_bytes: usize,
        context: &mut Context<'_>,
    ) -> Poll<Result<usize, HeadError>> {
        let max_bytes = max_bytes.min(MAX_HEAD_BYTES);
        loop {
            match self.find_end(buffered.unread()) {
                Some(length) if length <= max_bytes => return Poll::Ready(Ok(length)),
                Some(_) => return Poll::Ready(Err(HeadError::TooLarge)),
                None if buffered.unread().len() >= max_bytes => {
                    return Poll::Ready(Err(HeadError::TooLarge));
                }
                None => {}
            }
            match std::task::ready!(buffered.poll_fill(context)) {
                Ok(0) if buffered.unread().is_empty() => {
                    return Poll::Ready(Err(HeadError::Closed));
                }
                Ok(0) => return Poll::Ready(Err(HeadError::Truncated)),
                Ok(_) => {}
                Err(error) => return Poll::Ready(Err(HeadError::Io(error))),
            }
        }
    }

    /// Returns the length of the head, including its blank line, if its end has
    /// arrived. Bytes already searched are not searched again.
    pub(crate) fn find_end(&mut self, unread: &[u8]) -> Option<usize> {
        let from = self.searched.saturating_sub(END_OF_HEAD.len() - 1);
        let found = unread[from..]
            .windows(END_OF_HEAD.len())
            .position(|window| window == END_OF_HEAD);
        self.searched = unread.len();
        found.map(|position| from + position + END_OF_HEAD.len())
    }
}

/// Reads until the whole head has arrived, like [`HeadSearch::poll`].
pub(crate) async fn read_head(
    buffered: &mut BufferedStream,
    max_bytes: usize,
) -> Result<usize, HeadError> {
    let mut search = HeadSearch::default();
    poll_fn(|context| search.poll(buffered, max_bytes, context)).await
}

/// Rejects bytes on which async-h1 panics or which parsers interpret
/// differently: values that are not ASCII, control characters, and line ends
/// other than CR LF.
pub(crate) fn check_bytes(head: &[u8]) -> Result<(), &'static str> {
    let mut previous = 0;
    for &byte in head {
        match byte {
            b'\n' if previous != b'\r' => return Err("a line ends without a carriage return"),
            b'\n' | b'\t' | b' '..=b'~' => {}
            b'\r' => {}
            _ => return Err("the head holds a byte that is not visible ASCII"),
        }
        if previous == b'\r' && byte != b'\n' {
            return Err("a carriage return stands alone");
        }
        previous = byte;
    }
    Ok(())
}

/// Parses the body framing from the headers strictly: either one Content-Length
/// of digits only, or `chunked` as the only transfer coding, never both.
/// Returns `None` if neither header is present.
pub(crate) fn framing(headers: &Headers) -> Result<Option<BodyDecoder>, &'static str> {
    let length = headers.get(CONTENT_LENGTH);
    let coding = headers.get(TRANSFER_ENCODING);
    match (length, coding) {
        (Some(_), Some(_)) => Err("both Content-Length and Transfer-Encoding"),
        (None, None) => Ok(None),
        (Some(values), None) => {
            let mut values = values.iter();
            let remaining = values.next().and_then(|value| parse_length(value.as_str()));
            match (remaining, values.next()) {
                (Some(remaining), None) => Ok(Some(BodyDecoder::Length { remaining })),
                (_, Some(_)) => Err("more than one Content-Length"),
                (None, None) => Err("Content-Length is not a number"),
            }
        }
        (None, Some(values)) => {
            let mut values = values.iter();
            let first = values.next().map(|value| value.as_str());
            match (first, values.next()) {
                (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                    Ok(Some(BodyDecoder::chunked()))
                }
                _ => Err("a Transfer-Encoding other than chunked"),
            }
        }
    }
}

fn parse_length(text: &str) -> Option<u64> {
    let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    // The length must also be one that a body in memory could have.
    let value = if plain { text.parse().ok() } else { None };
    value.filter(|value| *value <= usize::MAX as u64 / 2)
}

/// Whether the bytes of a head contain a header of this name. http-types cannot
/// tell, because it adds a content type of its own to every body.
pub(crate) fn has_header(head: &[u8], name: &str) -> bool {
    head.split(|byte| *byte == b'\n').any(|line| {
        let found = line.get(..name.len());
        let named = found.is_some_and(|found| found.eq_ignore_ascii_case(name.as_bytes()));
        named && line.get(name.len()) == Some(&b':')
    })
}

/// Whether a `Connection` header lists `option`.
pub(crate) fn connection_header_has(headers: &Headers, option: &str) -> bool {
    headers
        .get(http_types::headers::CONNECTION)
        .is_some_and(|values| {
            values
                .iter()
                .flat_map(|value| value.as_str().split(','))
                .any(|token| token.trim().eq_ignore_ascii_case(option))
        })
}

/// The bytes of exactly one head, for async-h1 to parse. Writes are discarded.
#[derive(Clone, Debug)]
pub(crate) struct HeadBytes {
    bytes: Vec<u8>,
    position: usize,
}

impl HeadBytes {
    pub(crate) fn new(head: &[u8]) -> Self {
        HeadBytes {
            bytes: head.to_vec(),
            position: 0,
        }
    }

    /// All bytes, for changes before they are read.
    pub(crate) fn bytes_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl AsyncRead for HeadBytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.bytes[self.position..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for HeadBytes {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
