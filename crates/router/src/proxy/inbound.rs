//! A caller's request, with its body read ahead as far as it is small.

use std::io;

use async_std::task;
use futures::AsyncReadExt;
use http_types::headers::HOST;
use http_types::{Body, Headers, Request};
use threadledge_net::BodyFault;
use threadledge_net::message::Message;
use threadledge_routing::{HeaderLookup, RequestHead};
use threadledge_suspects::BodyDigest;
use threadledge_types::NotRunReason;

use super::headers;
use super::memory_budget::{BufferedBody, MemoryBudget, buffer_for};
use super::replayable_body::ReplayableBody;
use super::stream::PrefixedBody;

/// Memory that passing a body on takes, in bytes: what was read ahead of it
/// (64 KB), what was read and not taken (64 KB at most), and what was gathered
/// to be written (32 KB), with some room for requests and answers.
pub(crate) const STREAMING_BUFFER_BYTES: usize = 192 * 1024;

/// The request's body.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Held whole: it can be sent again.
    Buffered(BufferedBody),
    /// Comes while it is sent, and is kept: it can be sent again.
    Replayable(ReplayableBody),
    /// Comes while it is sent: it can be sent once.
    Streamed(Body),
}

/// A request from a caller.
#[derive(Debug)]
pub(crate) struct Inbound {
    /// Its head.
    pub(crate) request: Request,
    /// Its body.
    pub(crate) body: RequestBody,
    /// What of the body tells requests apart.
    pub(crate) digest: BodyDigest,
}

impl Inbound {
    /// Reads the body up to `max_buffered` bytes.
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
            .map_err(refused)?;
        // The server can look for the caller only now that the body is read,
        // and does so before it polls again.
        task::yield_now().await;
        Ok(Inbound {
            request,
            body,
            digest,
        })
    }

    /// Keeps a body that streams, as far as the budget has room for up to
    /// `most` bytes of it.
    pub(crate) fn make_replayable(&mut self, most: usize, budget: &MemoryBudget) {
        let RequestBody::Streamed(body) = &mut self.body else {
            return;
        };
        let wanted = body.len().unwrap_or(most);
        if wanted > most {
            return;
        }
        if let Some(reservation) = budget.reserve(wanted + STREAMING_BUFFER_BYTES) {
            let body = std::mem::replace(body, Body::empty());
            self.body = RequestBody::Replayable(ReplayableBody::new(body, wanted, reservation));
        }
    }

    /// The parts that decisions depend on.
    pub(crate) fn with_head<R>(&self, look: impl FnOnce(&RequestHead<'_>) -> R) -> R {
        let request = &self.request;
        let url = request.url();
        let headers = Lookup(request.as_ref());
        look(&RequestHead {
            method: request.method().as_ref(),
            host: request
                .header(HOST)
                .map_or("", |values| values.last().as_str()),
            path: url.path(),
            query: url.query(),
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
    let told = length.map(|length| length as u64);
    let wanted = length.unwrap_or(max_buffered).min(max_buffered);
    let Some(reservation) = budget.reserve(wanted) else {
        let digest = BodyDigest::new(told, &[]);
        return Ok((RequestBody::Streamed(body), digest));
    };
    let mut start = buffer_for(Some(wanted));
    let limit = max_buffered as u64 + 1;
    (&mut body).take(limit).read_to_end(&mut start).await?;
    if start.len() <= max_buffered {
        // Chunks or a length: the same body is the same request.
        let digest = BodyDigest::new(Some(start.len() as u64), &start);
        let held = BufferedBody::new(start, Some(reservation));
        return Ok((RequestBody::Buffered(held), digest));
    }
    let digest = BodyDigest::new(told, &start);
    let streamed = PrefixedBody::new(start, body);
    let streamed = Body::from_reader(streamed, length);
    Ok((RequestBody::Streamed(streamed), digest))
}

fn refused(error: io::Error) -> (NotRunReason, String) {
    let reason = match BodyFault::from_io_error(&error) {
        Some(BodyFault::TooLarge) => NotRunReason::TooLarge,
        Some(BodyFault::TooSlow) => NotRunReason::TooSlow,
        Some(BodyFault::Truncated | BodyFault::Malformed(_)) | None => NotRunReason::Malformed,
    };
    (reason, error.to_string())
}
