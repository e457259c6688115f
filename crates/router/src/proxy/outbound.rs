//! A caller's request as back ends get it.

use std::time::Duration;

use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Method, Request};
use parking_lot::Mutex;
use threadledge_net::message::Message;
use threadledge_routing::Attempt;
use threadledge_types::session::{
    DEADLINE_HEADER, EPOCH_HEADER, POINT_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER,
};

use super::budget::Held;
use super::headers;
use super::inbound::{Inbound, RequestBody};

/// What every attempt of one exchange sends.
#[derive(Debug)]
pub(super) struct Outbound {
    template: Request,
    body: OutboundBody,
}

#[derive(Debug)]
enum OutboundBody {
    Whole(Held),
    /// Taken by the attempt that sends it. Invariant: a body that streams is
    /// sent at most once.
    Once(Mutex<Option<Body>>),
}

impl Outbound {
    pub(super) fn new(inbound: Inbound) -> Self {
        let mut template = inbound.request;
        headers::strip(&mut template);
        template.remove_header(CONTENT_LENGTH);
        let body = match inbound.body {
            RequestBody::Whole(held) => OutboundBody::Whole(held),
            RequestBody::Streamed(body) => OutboundBody::Once(Mutex::new(Some(body))),
        };
        Outbound { template, body }
    }

    pub(super) fn method(&self) -> Method {
        self.template.method()
    }

    /// The request of one attempt; `None` when its body is gone.
    pub(super) fn request(&self, attempt: &Attempt, deadline_left: Duration) -> Option<Request> {
        let mut request = self.template.clone();
        match &self.body {
            OutboundBody::Whole(held) if held.bytes().is_empty() => {}
            OutboundBody::Whole(held) => {
                request.replace_body_only(Body::from_bytes(held.bytes().to_vec()));
            }
            OutboundBody::Once(body) => {
                request.replace_body_only(body.lock().take()?);
            }
        }
        request.insert_header(EPOCH_HEADER, attempt.epoch.to_string());
        request.insert_header(SERVICE_HEADER, attempt.service.to_string());
        request.insert_header(POINT_HEADER, attempt.point.to_string());
        request.insert_header(DEADLINE_HEADER, deadline_left.as_millis().to_string());
        request.insert_header(REQUEST_ID_HEADER, request_id_text(attempt.request_id));
        Some(request)
    }
}

/// Header form of a request's number.
pub(super) fn request_id_text(request_id: u64) -> String {
    format!("{request_id:016x}")
}
