//! Where a body ends: pure decoders of the two framings of HTTP/1.1.
//!
//! async-h1's own decoders are not used for bodies: the one for a fixed length
//! takes a body cut short for a whole one, and the one for chunks may wait for
//! ever for trailers that come in two reads and takes the bytes after them for
//! part of them.

use crate::body::BodyFault;

/// Longest line of a chunk's size with extensions, and of all trailers.
const MAX_CONTROL_BYTES: usize = 8 * 1024;
/// Digits of the largest chunk size accepted, 2^60 - 1.
const MAX_SIZE_DIGITS: usize = 15;

/// What the next unread bytes of a connection are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodeStep {
    /// The first bytes, this many and at least one, are data of the body.
    Data(usize),
    /// The first bytes, this many, belong to the framing.
    Framing(usize),
    /// More bytes are needed to tell.
    NeedMore,
    /// The body ended.
    End,
}

/// Decoder of one body.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    /// The head told the length.
    Length {
        /// Bytes still to come.
        remaining: u64,
    },
    /// The body comes in chunks.
    Chunked(ChunkDecoder),
    /// The body ends with the connection.
    UntilClose {
        /// The peer has closed.
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

    /// Says what the first of `unread` is.
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

    /// The peer closed its side in order. Says whether that ends the body.
    pub(crate) fn peer_closed(&mut self) -> bool {
        match self {
            BodyDecoder::UntilClose { closed } => {
                *closed = true;
                true
            }
            BodyDecoder::Length { .. } | BodyDecoder::Chunked(_) => false,
        }
    }

    /// Notes that `count` bytes of data were used.
    pub(crate) fn consume(&mut self, count: usize) {
        let count = count as u64;
        match self {
            BodyDecoder::Length { remaining } => *remaining -= count,
            BodyDecoder::Chunked(decoder) => decoder.consume(count),
            BodyDecoder::UntilClose { .. } => {}
        }
    }

    /// Whether the end is known without reading further.
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

/// Decoder of a chunked body. Trailers are read over.
#[derive(Debug, Default)]
pub(crate) struct ChunkDecoder {
    state: ChunkState,
    control_bytes: usize,
}

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

    /// The state after one byte of framing.
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
