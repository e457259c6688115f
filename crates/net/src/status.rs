//! Status codes that http-types does not name.
//!
//! http-types has a fixed list of status codes. A response with another code
//! holds the first code of its class, as which it is to be treated (RFC 9110,
//! section 15), and its own code as an extension.

use std::ops::{Range, RangeInclusive};

use http_types::{Response, StatusCode};

/// Position of the code in a status line of HTTP/1.1.
const CODE: Range<usize> = 9..12;
/// Codes that HTTP defines a class for.
const CODES: RangeInclusive<u16> = 100..=599;

/// Code of a response whose status http-types does not name.
#[derive(Clone, Copy, Debug)]
struct UnnamedStatus(u16);

/// Returns the status code of a response as it stands in its status line.
pub fn code(response: &Response) -> u16 {
    unnamed(response).unwrap_or_else(|| response.status().into())
}

/// Returns the status code of a response if http-types does not name it.
pub(crate) fn unnamed(response: &Response) -> Option<u16> {
    response.ext().get::<UnnamedStatus>().map(|status| status.0)
}

/// Records the code of a response that was parsed with another one.
pub(crate) fn set_unnamed(response: &mut Response, code: u16) {
    response.ext_mut().insert(UnnamedStatus(code));
}

/// Reads the code of a head if http-types does not name it.
pub(crate) fn unnamed_in_head(head: &[u8]) -> Option<u16> {
    let digits = head.get(CODE).filter(|_| ends_code(head.get(CODE.end)))?;
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let code = std::str::from_utf8(digits).ok()?.parse().ok()?;
    let is_unnamed = CODES.contains(&code) && StatusCode::try_from(code).is_err();
    is_unnamed.then_some(code)
}

/// Replaces the code of a head by the first one of its class.
pub(crate) fn set_first_of_class(head: &mut [u8]) {
    head[CODE][1..].fill(b'0');
}

/// Replaces the code of a head and drops the reason, which is that of another
/// code. Returns the new length of the head.
pub(crate) fn replace_code(head: &mut [u8], code: u16) -> usize {
    head[CODE].copy_from_slice(code.to_string().as_bytes());
    let reason = CODE.end + 1;
    let line_end = head.iter().position(|byte| *byte == b'\r');
    let line_end = line_end.unwrap_or(reason);
    head.copy_within(line_end.., reason);
    head.len() - (line_end - reason)
}

fn ends_code(next: Option<&u8>) -> bool {
    matches!(next, Some(b' ' | b'\r'))
}
