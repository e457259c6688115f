//! Parses and checks the head of a response.

use futures::FutureExt;
use http_types::headers::{CONTENT_TYPE, DATE};
use http_types::{Method, Response, StatusCode};

use super::UnframedBodies;
use super::error::ExchangeFault;
use crate::framing::BodyDecoder;
use crate::head::{self, HeadBytes};
use crate::status;

/// Start of a status line; each zero stands for a digit.
const STATUS_LINE_START: &[u8] = b"HTTP/0.0 000";

/// A parsed and checked response head.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) response: Response,
    /// Body framing; `None` if there is no body.
    pub(super) body: Option<BodyDecoder>,
    /// Length announced by the head, even if no body follows.
    pub(super) length: Option<usize>,
    /// Whether the peer closes the connection after this response.
    pub(super) closes: bool,
}

impl ResponseHead {
    /// Whether another head follows for the same request.
    pub(super) fn is_interim(&self) -> bool {
        self.response.status().is_informational()
    }
}

/// Parses a complete head. This function is not async, so that the large
/// buffers of async-h1 do not become part of long-lived futures.
pub(super) fn parse(
    head: &[u8],
    method: Method,
    unframed_bodies: UnframedBodies,
) -> Result<ResponseHead, ExchangeFault> {
    head::check_bytes(head).map_err(malformed)?;
    if has_second_status_line(head) {
        return Err(malformed("another answer begins within the head"));
    }
    let mut response = decode(head)?;
    remove_generated_date(&mut response);
    if !head::has_header(head, "content-type") {
        response.remove_header(CONTENT_TYPE);
    }
    let status = response.status();
    if status == StatusCode::SwitchingProtocols {
        return Err(malformed("switches protocols, which was not asked for"));
    }
    let mut framing = head::framing(response.as_ref()).map_err(malformed)?;
    let length = match &framing {
        Some(BodyDecoder::Length { remaining }) => usize::try_from(*remaining).ok(),
        _ => None,
    };
    let bodiless = method == Method::Head || has_no_body(status);
    let mut closes = head::connection_header_has(response.as_ref(), "close");
    if !bodiless && framing.is_none() {
        if unframed_bodies == UnframedBodies::Refuse {
            return Err(malformed("tells neither Content-Length nor chunks"));
        }
        framing = Some(BodyDecoder::UntilClose { closed: false });
        closes = true;
    }
    Ok(ResponseHead {
        closes,
        body: if bodiless { None } else { framing },
        length,
        response,
    })
}

/// Decodes a head, also one with a status that http-types does not name.
fn decode(head: &[u8]) -> Result<Response, ExchangeFault> {
    let mut bytes = HeadBytes::new(head);
    let unnamed = status::unnamed_in_head(head);
    if unnamed.is_some() {
        status::set_first_of_class(bytes.bytes_mut());
    }
    // All bytes are available, so decoding never waits.
    let mut response = async_h1::client::decode(bytes)
        .now_or_never()
        .ok_or_else(|| malformed("the head is incomplete"))?
        .map_err(|error| ExchangeFault::Malformed(error.to_string()))?;
    if let Some(code) = unnamed {
        status::set_unnamed(&mut response, code);
    }
    Ok(response)
}

/// Whether a second response begins within a head, because the peer cut the
/// first one short. The status of one would be taken for that of the other.
fn has_second_status_line(head: &[u8]) -> bool {
    let rest = head.get(1..).unwrap_or_default();
    rest.windows(STATUS_LINE_START.len())
        .any(is_status_line_start)
}

/// Whether bytes are a version of HTTP/1 and a status, which begin a response.
fn is_status_line_start(bytes: &[u8]) -> bool {
    let mut pairs = bytes.iter().zip(STATUS_LINE_START);
    pairs.all(|(byte, expected)| match expected {
        b'0' => byte.is_ascii_digit(),
        expected => byte == expected,
    })
}

fn has_no_body(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NoContent
        || status == StatusCode::NotModified
}

/// Removes a generated `Date` header. async-h1 adds one with a line break in
/// its value to a response without a date; forwarded, it would end the head
/// early.
fn remove_generated_date(response: &mut Response) {
    let generated = response
        .header(DATE)
        .is_some_and(|values| values.last().as_str().contains('\r'));
    if generated {
        response.remove_header(DATE);
    }
}

fn malformed(detail: &'static str) -> ExchangeFault {
    ExchangeFault::Malformed(detail.to_owned())
}
