//! A caller's request that can be sent more than once, if its body is held.

use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Method, Request};
use parking_lot::Mutex;
use threadledge_net::message::Message;

use super::headers;
use super::inbound::{Inbound, RequestBody};
use super::memory_budget::BufferedBody;
use super::replayable_body::ReplayableBody;

/// What every attempt of one exchange sends, but for what is added for the
/// one back end.
#[derive(Debug)]
pub(crate) struct ReplayableRequest {
    template: Request,
    body: ReplayBody,
}

#[derive(Debug)]
enum ReplayBody {
    Buffered(BufferedBody),
    /// Some of it may still be coming.
    Replayable(ReplayableBody),
    /// Taken by the attempt that sends it. Invariant: a body that streams is
    /// sent at most once.
    Once(Mutex<Option<Body>>),
}

impl ReplayableRequest {
    pub(crate) fn new(inbound: Inbound) -> Self {
        let mut template = inbound.request;
        headers::strip(&mut template);
        template.remove_header(CONTENT_LENGTH);
        let body = match inbound.body {
            RequestBody::Buffered(held) => ReplayBody::Buffered(held),
            RequestBody::Replayable(kept) => ReplayBody::Replayable(kept),
            RequestBody::Streamed(body) => ReplayBody::Once(Mutex::new(Some(body))),
        };
        ReplayableRequest { template, body }
    }

    pub(crate) fn method(&self) -> Method {
        self.template.method()
    }

    /// Whether it can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        !matches!(self.body, ReplayBody::Once(_))
    }

    /// The request of one attempt; `None` when its body is gone.
    pub(crate) fn request(&self) -> Option<Request> {
        let mut request = self.template.clone();
        match &self.body {
            ReplayBody::Buffered(held) if held.bytes().is_empty() => {}
            ReplayBody::Buffered(held) => {
                request.replace_body_keeping_headers(Body::from_bytes(held.bytes().to_vec()));
            }
            ReplayBody::Replayable(kept) => {
                request.replace_body_keeping_headers(kept.body()?);
            }
            ReplayBody::Once(body) => {
                request.replace_body_keeping_headers(body.lock().take()?);
            }
        }
        Some(request)
    }
}
