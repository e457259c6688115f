//! Decoders for the body framings of HTTP/1.1, without I/O.
//!
//! async-h1's own body decoders are not used: the one for a fixed length treats
//! a truncated body as complete, and the one for chunks may wait forever for
//! trailers that arrive in two reads, and reads the bytes that follow the
//! trailers as part of them.

use crate::body::BodyFault;

/// Maximum length of a chunk size line with its extensions, and of all trailers
/// together.
const MAX_CONTROL_BYTES: usize = 8 * 1024;
/// Maximum number of hexadecimal digits in a chunk size; the largest size
/// accepted is 2^60 - 1.
const MAX_SIZE_DIGITS: usize = 15;

/// Classification of the next unread bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeStep {
    /// The first bytes are body data: this many, at least one.
    Data(usize),
    /// The first bytes, this many, are framing.
    Framing(usize),
    /// More bytes are needed to decide.
    NeedMore,
    /// The body has ended.
    End,
}

/// Decoder of one body.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    /// The head announced the length.
    Length {
        /// Bytes not received yet.
        remaining: u64,
    },
    /// Chunked transfer coding.
    Chunked(ChunkDecoder),
    /// The body ends when the peer closes the connection.
    UntilClose {
        /// Whether the peer has closed the connection.
        closed: bool,
    },
}

impl BodyDecoder {
    pub(crate) fn chunked() -> Self {
        BodyDecoder::Chunked(ChunkDecoder::default())
    }

    /// Whether the head announced more bytes than `limit`.
    pub(crate) fn announces_more_than(&self, limit: u64) -> bool {
        matches!(self, BodyDecoder::Length { remaining } if *remaining > limit)
    }

    /// Classifies the first bytes of `unread`.
    pub(crate) fn next(&mut self, unread: &[u8]) -> Result<DecodeStep, BodyFault> {
        match self {
            BodyDecoder::Length { remaining: 0 } => Ok(DecodeStep::End),
            BodyDecoder::Length { .. } if unread.is_empty() => Ok(DecodeStep::NeedMore),
            BodyDecoder::Length { remaining } => {
                Ok(DecodeStep::Data(min_len(*remaining, unread.len())))
            }
            BodyDecoder::Chunked(decoder) => decoder.next(unread),
            BodyDecoder::UntilClose { .. } if !unread.is_empty() => {
                Ok(DecodeStep::Data(unread.len()))
            }
            BodyDecoder::UntilClose { closed: true } => Ok(DecodeStep::End),
            BodyDecoder::UntilClose { closed: false } => Ok(DecodeStep::NeedMore),
        }
    }

    /// Records that the peer closed its sending side gracefully. Returns
    /// whether that ends the body.
    pub(crate) fn peer_closed(&mut self) -> bool {
        match self {
            BodyDecoder::UntilClose { closed } => {
                *closed = true;
                true
            }
            BodyDecoder::Length { .. } | BodyDecoder::Chunked(_) => false,
        }
    }

    /// Records that `count` bytes of body data were consumed.
    pub(crate) fn consume(&mut self, count: usize) {
        let count = count as u64;
        match self {
            BodyDecoder::Length { remaining } => *remaining -= count,
            BodyDecoder::Chunked(decoder) => decoder.consume(count),
            BodyDecoder::UntilClose { .. } => {}
        }
    }

    /// Whether the end of the body is known without reading more.
    pub(crate) fn is_at_end(&self) -> bool {
        match self {
            BodyDecoder::Length { remaining } => *remaining == 0,
            BodyDecoder::Chunked(decoder) => decoder.state == ChunkState::End,
            BodyDecoder::UntilClose { closed } => *closed,
        }
    }
}

fn min_len(remaining: u64, available: usize) -> usize {
    usize::try_from(remaining).map_or(available, |remaining| remaining.min(available))
}

/// Decoder of a chunked body. Trailers are skipped.
#[derive(Debug, Default)]
pub(crate) struct ChunkDecoder {
    state: ChunkState,
    control_bytes: usize,
}

/// Position within the chunked framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size { value: u64, digits: usize },
    Extension { size: u64 },
    SizeLineFeed { size: u64 },
    Data { remaining: u64 },
    DataCarriageReturn,
    DataLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
    End,
}

impl Default for ChunkState {
    fn default() -> Self {
        ChunkState::Size {
            value: 0,
            digits: 0,
        }
    }
}

impl ChunkDecoder {
    fn next(&mut self, unread: &[u8]) -> Result<DecodeStep, BodyFault> {
        let mut used = 0;
        loop {
            match self.state {
                ChunkState::End if used == 0 => return Ok(DecodeStep::End),
                ChunkState::End => return Ok(DecodeStep::Framing(used)),
                ChunkState::Data { remaining } if used == 0 && !unread.is_empty() => {
                    return Ok(DecodeStep::Data(min_len(remaining, unread.len())));
                }
                ChunkState::Data { .. } if used > 0 => return Ok(DecodeStep::Framing(used)),
                _ => {}
            }
            let Some(byte) = unread.get(used) else {
                return Ok(if used == 0 {
                    DecodeStep::NeedMore
                } else {
                    DecodeStep::Framing(used)
                });
            };
            self.state = self.next_state(*byte)?;
            used += 1;
        }
    }

    fn consume(&mut self, count: u64) {
        if let ChunkState::Data { remaining } = self.state {
            self.state = match remaining - count {
                0 => ChunkState::DataCarriageReturn,
                remaining => ChunkState::Data { remaining },
            };
        }
    }

    /// Returns the state after one byte of framing.
    fn next_state(&mut self, byte: u8) -> Result<ChunkState, BodyFault> {
        self.control_bytes += 1;
        if self.control_bytes > MAX_CONTROL_BYTES {
            return Err(BodyFault::Malformed("chunk header or trailers too long"));
        }
        let next = match self.state {
            ChunkState::Size { value, digits } => return next_size_state(value, digits, byte),
            ChunkState::Extension { size } if byte == b'\r' => ChunkState::SizeLineFeed { size },
            ChunkState::Extension { .. } if is_printable_or_tab(byte) => self.state,
            ChunkState::SizeLineFeed { size } if byte == b'\n' => self.start_chunk(size),
            ChunkState::DataCarriageReturn if byte == b'\r' => ChunkState::DataLineFeed,
            ChunkState::DataLineFeed if byte == b'\n' => ChunkState::default(),
            ChunkState::TrailerStart if byte == b'\r' => ChunkState::LastLineFeed,
            ChunkState::TrailerStart if is_printable_or_tab(byte) => ChunkState::Trailer,
            ChunkState::Trailer if byte == b'\r' => ChunkState::TrailerLineFeed,
            ChunkState::Trailer if is_printable_or_tab(byte) => ChunkState::Trailer,
            ChunkState::TrailerLineFeed if byte == b'\n' => ChunkState::TrailerStart,
            ChunkState::LastLineFeed if byte == b'\n' => ChunkState::End,
            _ => return Err(BodyFault::Malformed("unexpected byte in chunk framing")),
        };
        Ok(next)
    }

    fn start_chunk(&mut self, size: u64) -> ChunkState {
        if size == 0 {
            return ChunkState::TrailerStart;
        }
        self.control_bytes = 0;
        ChunkState::Data { remaining: size }
    }
}

fn next_size_state(value: u64, digits: usize, byte: u8) -> Result<ChunkState, BodyFault> {
    let digit = match byte {
        b'0'..=b'9' => byte - b'0',
        b'a'..=b'f' => byte - b'a' + 10,
        b'A'..=b'F' => byte - b'A' + 10,
        b'\r' if digits > 0 => return Ok(ChunkState::SizeLineFeed { size: value }),
        b';' if digits > 0 => return Ok(ChunkState::Extension { size: value }),
        _ => return Err(BodyFault::Malformed("chunk size is not hexadecimal")),
    };
    if digits == MAX_SIZE_DIGITS {
        return Err(BodyFault::Malformed("chunk size too large"));
    }
    Ok(ChunkState::Size {
        value: value * 16 + u64::from(digit),
        digits: digits + 1,
    })
}

fn is_printable_or_tab(byte: u8) -> bool {
    byte == b'\t' || (b' '..=b'~').contains(&byte)
}
