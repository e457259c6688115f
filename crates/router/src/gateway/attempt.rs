//! Carries out one attempt at a back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::{Body, Method, Response};
use threadledge_dispatch::{Attempt, AttemptEnd, ExchangeId, Fault};
use threadledge_net::message::Message;
use threadledge_net::status;
use threadledge_paths::Search;
use threadledge_ports::HeaderCodec;
use threadledge_types::deployment::TenantName;

use super::dispatch::Dispatch;
use super::links::{BackEndLinks, Target};
use super::usage::Usage;
use crate::proxy::answer::{AnswerBody, drain_available, read_ahead};
use crate::proxy::headers;
use crate::proxy::inbound::Inbound;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::replayable_request::ReplayableRequest;

/// Response bodies of up to this size, in bytes, are read before any of the
/// response is passed on, so that a truncated response can lead to another
/// attempt.
pub(super) const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Lowest status that counts as a failure of the back end.
const MIN_FAILURE_STATUS: u16 = 500;

/// Shared resources for running attempts.
#[derive(Clone)]
pub(super) struct Attempts {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) links: BackEndLinks,
    pub(super) budget: MemoryBudget,
    pub(super) header_codec: Arc<dyn HeaderCodec>,
    pub(super) usage: Usage,
}

/// How an attempt ended, with the response if there is one.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) end: AttemptEnd,
    pub(super) response: Option<Box<Response>>,
    /// The gateway that forwarded the request, unless it was sent directly.
    pub(super) forwarder: Option<SocketAddr>,
}

impl AttemptResult {
    fn without_response(end: AttemptEnd) -> Self {
        AttemptResult {
            end,
            response: None,
            forwarder: None,
        }
    }

    fn failed(fault: Fault) -> Self {
        AttemptResult::without_response(AttemptEnd::Failed(fault))
    }
}

/// The request that every attempt of one exchange sends.
#[derive(Debug)]
pub(super) struct OutboundRequest {
    replay: ReplayableRequest,
    request_id: Option<String>,
    /// Tenant of the caller.
    pub(super) tenant: Option<TenantName>,
}

impl OutboundRequest {
    pub(super) fn new(inbound: Inbound, request_id: Option<String>) -> Self {
        OutboundRequest {
            replay: ReplayableRequest::new(inbound),
            request_id,
            tenant: None,
        }
    }

    pub(super) fn replayable(&self) -> bool {
        self.replay.is_replayable()
    }
}

impl Attempts {
    /// Runs one attempt to its end. Dropping the future closes the connection.
    pub(super) async fn run(
        self,
        exchange: ExchangeId,
        attempt: Attempt,
        outbound: Arc<OutboundRequest>,
    ) -> AttemptResult {
        let deadline = self.dispatch.clock().instant(attempt.deadline);
        let target = Target::of(&attempt, outbound.request_id.as_deref());
        let link = match self.links.open(target, deadline, Search::Brief).await {
            Ok(link) => link,
            Err(fault) => return AttemptResult::failed(fault),
        };
        // Invariant: no byte is written before the dispatcher permits it, and
        // from here on the request counts as one that may have run.
        let Some(now) = self.dispatch.may_send(exchange, attempt.id) else {
            return AttemptResult::without_response(AttemptEnd::Abandoned);
        };
        let Some(mut request) = outbound.replay.request() else {
            return AttemptResult::failed(Fault::BodyGone);
        };
        let time_left = attempt.deadline.since(now).max(Duration::from_millis(1));
        self.header_codec
            .set_target(&mut request, time_left, &attempt.back_end);
        if let Some(tenant) = &outbound.tenant {
            self.header_codec.set_tenant(&mut request, tenant);
        }
        self.usage.record_back_end_request(&attempt, request.len());
        let forwarder = link.forwarder();
        let exchanged = link.exchange(request, deadline, attempt.path_patience);
        let result = match exchanged.await {
            Ok(response) => {
                self.read_response(exchange, &attempt, &outbound, response)
                    .await
            }
            Err(fault) => AttemptResult::failed(fault),
        };
        AttemptResult {
            forwarder,
            ..result
        }
    }

    async fn read_response(
        &self,
        exchange: ExchangeId,
        attempt: &Attempt,
        outbound: &OutboundRequest,
        mut response: Response,
    ) -> AttemptResult {
        let status = status::code(&response);
        let head = self
            .header_codec
            .read_response(status, response.as_ref(), &attempt.back_end);
        // Invariant: no caller gets the response to another caller's request.
        // HTTP/1.1 pairs requests and responses only by their order; the
        // request id reveals a wrong pair.
        if head.request_id.is_some() && head.request_id != outbound.request_id {
            return AttemptResult::failed(Fault::BadAnswer);
        }
        self.dispatch
            .on_response_head(exchange, attempt.id, &head.signals);
        if let Some(reason) = head.not_run {
            self.usage.record_back_end_response(attempt, response.len());
            drain_available(response.take_body_keeping_headers());
            let load = head.load;
            return AttemptResult::without_response(AttemptEnd::NotRun { reason, load });
        }
        if response.status().is_success() && !head.stamped {
            return AttemptResult::failed(Fault::BadAnswer);
        }
        let body = response.take_body_keeping_headers();
        headers::strip(&mut response);
        let body = match self
            .read_body(outbound.replay.method(), &response, body)
            .await
        {
            Ok(body) => body,
            Err(_) => return AttemptResult::failed(Fault::BadAnswer),
        };
        self.usage.record_back_end_response(attempt, body.len());
        response.replace_body_keeping_headers(body);
        AttemptResult {
            end: AttemptEnd::Answered {
                failed: status >= MIN_FAILURE_STATUS,
                load: head.load,
            },
            response: Some(Box::new(response)),
            forwarder: None,
        }
    }

    async fn read_body(
        &self,
        method: Method,
        response: &Response,
        body: Body,
    ) -> std::io::Result<Body> {
        let bodiless = method == Method::Head || matches!(status::code(response), 204 | 304);
        if bodiless {
            return Ok(body);
        }
        Ok(
            match read_ahead(body, MAX_READ_AHEAD_BYTES, &self.budget).await? {
                AnswerBody::Complete(body) => body,
                AnswerBody::Streamed { body, length } => Body::from_reader(body, length),
            },
        )
    }
}
