//! A caller's request as it is sent to back ends.

use std::time::Duration;

use http_types::{Method, Request};
use threadledge_routing::Attempt;
use threadledge_types::session::{
    DEADLINE_HEADER, EPOCH_HEADER, POINT_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER,
};

use super::inbound::Inbound;
use super::replayable_request::ReplayableRequest;

/// The request that every attempt of an exchange sends.
#[derive(Debug)]
pub(super) struct Outbound {
    replay: ReplayableRequest,
}

impl Outbound {
    pub(super) fn new(inbound: Inbound) -> Self {
        Outbound {
            replay: ReplayableRequest::new(inbound),
        }
    }

    pub(super) fn method(&self) -> Method {
        self.replay.method()
    }

    /// Returns the request for one attempt, or `None` if its body can no longer
    /// be sent.
    pub(super) fn request(&self, attempt: &Attempt, deadline_left: Duration) -> Option<Request> {
        let mut request = self.replay.request()?;
        request.insert_header(EPOCH_HEADER, attempt.epoch.to_string());
        request.insert_header(SERVICE_HEADER, attempt.service.to_string());
        request.insert_header(POINT_HEADER, attempt.point.to_string());
        request.insert_header(DEADLINE_HEADER, deadline_left.as_millis().to_string());
        request.insert_header(REQUEST_ID_HEADER, format_request_id(attempt.request_id));
        Some(request)
    }
}

/// Formats a request id for its header.
pub(super) fn format_request_id(request_id: u64) -> String {
    format!("{request_id:016x}")
}
