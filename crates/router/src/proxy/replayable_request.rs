//! A caller's request that can be sent more than once if its body is buffered.

use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Method, Request};
use parking_lot::Mutex;
use threadledge_net::message::Message;
use threadledge_net::target;

use super::headers;
use super::inbound::{Inbound, RequestBody};
use super::memory_budget::BufferedBody;
use super::replayable_body::ReplayableBody;

/// The request that every attempt of an exchange sends, without the headers
/// that are added for a particular back end.
#[derive(Debug)]
pub(crate) struct ReplayableRequest {
    template: Request,
    body: ReplayBody,
}

#[derive(Debug)]
enum ReplayBody {
    Buffered(BufferedBody),
    /// Part of the body may still be arriving.
    Replayable(ReplayableBody),
    /// Taken by the attempt that sends it. Invariant: a streamed body is sent at
    /// most once.
    Once(Mutex<Option<Body>>),
}

impl ReplayableRequest {
    pub(crate) fn new(inbound: Inbound) -> Self {
        let mut template = inbound.request;
        headers::strip(&mut template);
        template.remove_header(CONTENT_LENGTH);
        let body = match inbound.body {
            RequestBody::Buffered(buffered) => ReplayBody::Buffered(buffered),
            RequestBody::Replayable(replayable) => ReplayBody::Replayable(replayable),
            RequestBody::Streamed(body) => ReplayBody::Once(Mutex::new(Some(body))),
        };
        ReplayableRequest { template, body }
    }

    pub(crate) fn method(&self) -> Method {
        self.template.method()
    }

    /// Returns whether the request can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        !matches!(self.body, ReplayBody::Once(_))
    }

    /// Returns the request for one attempt, or `None` if its body can no longer
    /// be sent.
    pub(crate) fn request(&self) -> Option<Request> {
        let mut request = self.template.clone();
        target::copy(&self.template, &mut request);
        match &self.body {
            ReplayBody::Buffered(buffered) if buffered.bytes().is_empty() => {}
            ReplayBody::Buffered(buffered) => {
                request.replace_body_keeping_headers(Body::from_bytes(buffered.bytes().to_vec()));
            }
            ReplayBody::Replayable(replayable) => {
                request.replace_body_keeping_headers(replayable.body()?);
            }
            ReplayBody::Once(body) => {
                request.replace_body_keeping_headers(body.lock().take()?);
            }
        }
        Some(request)
    }
}
