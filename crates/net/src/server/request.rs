//! Parses and checks the head of a request.

use std::borrow::Cow;

use futures::FutureExt;
use http_types::headers::{CONTENT_TYPE, EXPECT, HOST};
use http_types::{Method, Request, Response, StatusCode, Version};
use threadledge_types::NotRunReason;

use crate::Instant;
use crate::buffered_stream::BufferedStream;
use crate::error_response;
use crate::framing::BodyDecoder;
use crate::head::{self, HeadBytes};
use crate::target;

/// Reason why the server itself refuses a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestFault {
    HeadTooLarge,
    BodyTooLarge,
    TooSlow,
    Malformed(String),
    Unsupported(&'static str),
}

impl RequestFault {
    /// Builds the error response.
    pub(super) fn response(&self) -> Response {
        let (reason, detail) = match self {
            RequestFault::HeadTooLarge => (NotRunReason::TooLarge, "the head is too large"),
            RequestFault::BodyTooLarge => (NotRunReason::TooLarge, "the body is too large"),
            RequestFault::TooSlow => (NotRunReason::TooSlow, "the head came too slowly"),
            RequestFault::Malformed(detail) => (NotRunReason::Malformed, detail.as_str()),
            RequestFault::Unsupported(detail) => (NotRunReason::Malformed, *detail),
        };
        let mut response = error_response::not_run(reason, detail);
        match self {
            RequestFault::HeadTooLarge => {
                response.set_status(StatusCode::RequestHeaderFieldsTooLarge);
            }
            RequestFault::Unsupported(_) => response.set_status(StatusCode::NotImplemented),
            _ => {}
        }
        response
    }
}

/// A parsed and checked request head.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) request: Request,
    /// Body framing; `None` if there is no body.
    pub(super) body: Option<BodyDecoder>,
    /// Whether the caller closes the connection after this request.
    pub(super) closes: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

/// A request whose head has arrived.
#[derive(Debug)]
pub(super) struct ReadRequest {
    pub(super) head: Result<RequestHead, RequestFault>,
    /// Time at which the end of the head arrived. The deadline of the request
    /// counts from this time, even if it waits for earlier requests.
    pub(super) read_at: Instant,
}

/// Consumes and parses a complete head of `length` bytes.
pub(super) fn take_head(
    buffered: &mut BufferedStream,
    length: usize,
    max_body_bytes: u64,
) -> ReadRequest {
    let head = parse(&buffered.unread()[..length], max_body_bytes);
    buffered.consume(length);
    let read_at = buffered.arrival_time().unwrap_or_else(Instant::now);
    ReadRequest { head, read_at }
}

/// Parses a complete head. This function is not async, so that the large
/// buffers of async-h1 do not become part of long-lived futures.
fn parse(head: &[u8], max_body_bytes: u64) -> Result<RequestHead, RequestFault> {
    head::check_bytes(head).map_err(malformed)?;
    // All bytes are available, so decoding never waits.
    let decoded = async_h1::server::decode(HeadBytes::new(head)).now_or_never();
    let mut request = match decoded.unwrap_or(Ok(None)) {
        Ok(Some((request, _body))) => request,
        Ok(None) => return Err(malformed("the head is incomplete")),
        Err(error) => return Err(RequestFault::Malformed(error.to_string())),
    };
    if !head::has_header(head, "content-type") {
        request.remove_header(CONTENT_TYPE);
    }
    check_request(&request)?;
    let sent = sent_target(head, &request)?;
    target::set(&mut request, &sent);
    let body = head::framing(request.as_ref()).map_err(malformed)?;
    if body
        .as_ref()
        .is_some_and(|body| body.announces_more_than(max_body_bytes))
    {
        return Err(RequestFault::BodyTooLarge);
    }
    let expects_continue = request
        .header(EXPECT)
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("100-continue"));
    Ok(RequestHead {
        closes: head::connection_header_has(request.as_ref(), "close"),
        body: body.filter(|body| !body.is_at_end()),
        expects_continue,
        request,
    })
}

/// Checks version, method and Host header.
fn check_request(request: &Request) -> Result<(), RequestFault> {
    if request.version() != Some(Version::Http1_1) {
        return Err(RequestFault::Unsupported("only HTTP/1.1 is served"));
    }
    if request.method() == Method::Connect {
        return Err(RequestFault::Unsupported("CONNECT is not served"));
    }
    let hosts = request
        .header(HOST)
        .map_or(0, |values| values.iter().count());
    if hosts != 1 {
        return Err(malformed("exactly one Host header is needed"));
    }
    let host = host_of(request);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    if host.is_empty() || !host.bytes().all(plain) {
        return Err(malformed("the Host header is not a host"));
    }
    Ok(())
}

/// Returns the path and query as they were sent. Checks that a target with its
/// own host names the same host as the Host header: one decides the route, and
/// the back end may use the other.
fn sent_target<'a>(head: &'a [u8], request: &Request) -> Result<Cow<'a, str>, RequestFault> {
    let mut words = head.split(|byte| *byte == b' ');
    let target = words.nth(1).unwrap_or_default();
    // The bytes of the head were checked to be ASCII.
    let target = str::from_utf8(target).map_err(|_| malformed("the target is not ASCII"))?;
    if target.contains('#') {
        return Err(malformed("the target has a fragment"));
    }
    if target.starts_with('/') {
        return Ok(Cow::Borrowed(target));
    }
    let Some(rest) = target.strip_prefix("http://") else {
        return Err(malformed("the target is neither a path nor an http URL"));
    };
    let (authority, target) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    if !host_of(request).eq_ignore_ascii_case(authority) {
        return Err(malformed(
            "the target and the Host header name different hosts",
        ));
    }
    match target.starts_with('/') {
        true => Ok(Cow::Borrowed(target)),
        false => Ok(Cow::Owned(format!("/{target}"))),
    }
}

fn host_of(request: &Request) -> &str {
    request
        .header(HOST)
        .map_or("", |values| values.last().as_str())
}

fn malformed(detail: &'static str) -> RequestFault {
    RequestFault::Malformed(detail.to_owned())
}
