//! A caller's request, whose body is read ahead if it is small.

use std::io;

use async_std::task;
use futures::AsyncReadExt;
use http_types::headers::HOST;
use http_types::{Body, Headers, Request};
use threadledge_net::BodyFault;
use threadledge_net::message::Message;
use threadledge_net::target;
use threadledge_routing::{HeaderLookup, RequestHead};
use threadledge_suspects::BodyDigest;
use threadledge_types::NotRunReason;

use super::headers;
use super::memory_budget::{BufferedBody, MemoryBudget, buffer_for};
use super::replayable_body::ReplayableBody;
use super::stream::PrefixedBody;

/// Memory needed to stream a body, in bytes: the part that was read ahead
/// (64 KB), the part that was read and not yet consumed (at most 64 KB) and the
/// part that is gathered for writing (32 KB), with some room for the heads of
/// requests and responses.
pub(crate) const STREAMING_BUFFER_BYTES: usize = 192 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Buffered completely: it can be sent again.
    Buffered(BufferedBody),
    /// Sent while it arrives, and buffered as well: it can be sent again.
    Replayable(ReplayableBody),
    /// Sent while it arrives: it can be sent once.
    Streamed(Body),
}

/// A request from a caller.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// The request without its body.
    pub(crate) request: Request,
    /// The body.
    pub(crate) body: RequestBody,
    /// Digest of the body's start and length, which distinguishes requests.
    pub(crate) digest: BodyDigest,
}

impl Inbound {
    /// Reads up to `max_buffered` bytes of the body. A body that is larger, or
    /// for which `budget` has no room, is streamed.
    pub(crate) async fn read(
        mut request: Request,
        max_buffered: usize,
        budget: &MemoryBudget,
    ) -> Result<Inbound, (NotRunReason, String)> {
        if request.is_empty() == Some(true) {
            let body = RequestBody::Buffered(BufferedBody::new(Vec::new(), None));
            let digest = BodyDigest::new(Some(0), &[]);
            return Ok(Inbound {
                request,
                body,
                digest,
            });
        }
        let body = request.take_body_keeping_headers();
        let (body, digest) = read_ahead(body, max_buffered, budget)
            .await
            .map_err(read_failure)?;
        // The server can detect that the caller disconnected only after the body
        // has been read, and checks for it before it polls this task again.
        task::yield_now().await;
        Ok(Inbound {
            request,
            body,
            digest,
        })
    }

    /// Makes a streamed body replayable if it has at most `max_bytes` bytes and
    /// the budget has room for it.
    pub(crate) fn make_replayable(&mut self, max_bytes: usize, budget: &MemoryBudget) {
        let RequestBody::Streamed(body) = &mut self.body else {
            return;
        };
        let reserved_bytes = body.len().unwrap_or(max_bytes);
        if reserved_bytes > max_bytes {
            return;
        }
        if let Some(reservation) = budget.reserve(reserved_bytes + STREAMING_BUFFER_BYTES) {
            let body = std::mem::replace(body, Body::empty());
            self.body =
                RequestBody::Replayable(ReplayableBody::new(body, reserved_bytes, reservation));
        }
    }

    /// Calls `read` with the parts of the request that routing depends on.
    pub(crate) fn with_head<R>(&self, read: impl FnOnce(&RequestHead<'_>) -> R) -> R {
        let request = &self.request;
        let headers = Lookup(request.as_ref());
        read(&RequestHead {
            method: request.method().as_ref(),
            host: request
                .header(HOST)
                .map_or("", |values| values.last().as_str()),
            path: target::path(request),
            query: target::query(request),
            headers: &headers,
            body_replayable: !matches!(self.body, RequestBody::Streamed(_)),
        })
    }
}

struct Lookup<'a>(&'a Headers);

impl HeaderLookup for Lookup<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        headers::single(self.0, name)
    }
}

async fn read_ahead(
    mut body: Body,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> io::Result<(RequestBody, BodyDigest)> {
    let length = body.len();
    let announced = length.map(|length| length as u64);
    let reserved_bytes = length.unwrap_or(max_buffered).min(max_buffered);
    let Some(reservation) = budget.reserve(reserved_bytes) else {
        let digest = BodyDigest::new(announced, &[]);
        return Ok((RequestBody::Streamed(body), digest));
    };
    let mut start = buffer_for(Some(reserved_bytes));
    let limit = max_buffered as u64 + 1;
    (&mut body).take(limit).read_to_end(&mut start).await?;
    if start.len() <= max_buffered {
        // The length is known here even if the body was chunked, so that the same
        // body yields the same digest in both encodings.
        let digest = BodyDigest::new(Some(start.len() as u64), &start);
        let buffered = BufferedBody::new(start, Some(reservation));
        return Ok((RequestBody::Buffered(buffered), digest));
    }
    let digest = BodyDigest::new(announced, &start);
    let streamed = PrefixedBody::new(start, body);
    let streamed = Body::from_reader(streamed, length);
    Ok((RequestBody::Streamed(streamed), digest))
}

/// Converts an error of reading the body to the reason for refusing the request,
/// and its detail.
fn read_failure(error: io::Error) -> (NotRunReason, String) {
    let reason = match BodyFault::from_io_error(&error) {
        Some(BodyFault::TooLarge) => NotRunReason::TooLarge,
        Some(BodyFault::TooSlow) => NotRunReason::TooSlow,
        Some(BodyFault::Truncated | BodyFault::Malformed(_)) | None => NotRunReason::Malformed,
    };
    (reason, error.to_string())
}
