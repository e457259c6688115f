//! A caller's request that can be sent more than once, if its body is held.

use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Method, Request};
use parking_lot::Mutex;
use threadledge_net::message::Message;

use super::budget::Held;
use super::headers;
use super::inbound::{Inbound, RequestBody};
use super::kept::KeptBody;

/// What every attempt of one exchange sends, but for what is added for the
/// one back end.
#[derive(Debug)]
pub(crate) struct Replay {
    template: Request,
    body: ReplayBody,
}

#[derive(Debug)]
enum ReplayBody {
    Whole(Held),
    /// Some of it may still be coming.
    Kept(KeptBody),
    /// Taken by the attempt that sends it. Invariant: a body that streams is
    /// sent at most once.
    Once(Mutex<Option<Body>>),
}

impl Replay {
    pub(crate) fn new(inbound: Inbound) -> Self {
        let mut template = inbound.request;
        headers::strip(&mut template);
        template.remove_header(CONTENT_LENGTH);
        let body = match inbound.body {
            RequestBody::Whole(held) => ReplayBody::Whole(held),
            RequestBody::Kept(kept) => ReplayBody::Kept(kept),
            RequestBody::Streamed(body) => ReplayBody::Once(Mutex::new(Some(body))),
        };
        Replay { template, body }
    }

    pub(crate) fn method(&self) -> Method {
        self.template.method()
    }

    /// Whether it can be sent more than once.
    pub(crate) fn is_held(&self) -> bool {
        !matches!(self.body, ReplayBody::Once(_))
    }

    /// The request of one attempt; `None` when its body is gone.
    pub(crate) fn request(&self) -> Option<Request> {
        let mut request = self.template.clone();
        match &self.body {
            ReplayBody::Whole(held) if held.bytes().is_empty() => {}
            ReplayBody::Whole(held) => {
                request.replace_body_keeping_headers(Body::from_bytes(held.bytes().to_vec()));
            }
            ReplayBody::Kept(kept) => {
                request.replace_body_keeping_headers(kept.body()?);
            }
            ReplayBody::Once(body) => {
                request.replace_body_keeping_headers(body.lock().take()?);
            }
        }
        Some(request)
    }
}
