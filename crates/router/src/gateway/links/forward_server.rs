//! Forwards requests of other gateways to back ends.

use std::sync::Arc;

use http_types::headers::CONTENT_LENGTH;
use http_types::{Request, Response, StatusCode};
use threadledge_dispatch::Fault;
use threadledge_net::message::Message;
use threadledge_net::{Instant, RequestIdentity};
use threadledge_ports::HeaderCodec;
use threadledge_types::Incarnation;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::forwarding::{FORWARD_RESULT, FORWARD_TO, FORWARD_UNTIL, FORWARDERS, ForwardResult};
use super::peer_deadlines::{ClockReading, PeerDeadline};
use super::{BackEndLinks, NEAR_CONNECT_PATIENCE, Target};
use crate::proxy::headers;

/// Forwards requests of other gateways. Clones share everything.
#[derive(Clone)]
pub(in super::super) struct ForwardServer {
    pub(in super::super) links: BackEndLinks,
    pub(in super::super) header_codec: Arc<dyn HeaderCodec>,
    /// This run of this gateway.
    pub(in super::super) incarnation: Incarnation,
}

impl ForwardServer {
    /// A reading of this gateway's clock, for the deadlines of messages to it.
    pub(in super::super) fn clock_reading(&self) -> ClockReading {
        ClockReading {
            incarnation: self.incarnation,
            now: self.links.shared.clock.now(),
        }
    }

    /// Forwards a request to the back end that it names, over a connection of
    /// this gateway's own. Dropping the future abandons the request.
    pub(in super::super) async fn forward(&self, request: Request) -> Response {
        let to = headers::single(request.as_ref(), FORWARD_TO).map(BackEndName::from);
        let service = to.and_then(|to| self.links.service_of(&to));
        match self.exchange(request).await {
            Ok(mut response) => {
                headers::strip(&mut response);
                response.insert_header(FORWARD_RESULT, ForwardResult::Answered.as_str());
                response
            }
            Err(result) => self.without_answer(result, service.as_ref()),
        }
    }

    async fn exchange(&self, mut request: Request) -> Result<Response, ForwardResult> {
        let to = headers::single(request.as_ref(), FORWARD_TO);
        let until = headers::single(request.as_ref(), FORWARD_UNTIL);
        let (Some(to), Some(until)) = (to, until) else {
            return Err(ForwardResult::NoPath);
        };
        let deadline = until.parse().map_err(|_| ForwardResult::TooLate)?;
        let deadline = self.own_deadline(&deadline)?;
        let head = self.header_codec.read_request(request.as_ref());
        let target = Target {
            request: head.request_id.as_deref().map(RequestIdentity::of),
            ..self.target(&BackEndName::from(to))?
        };
        headers::strip(&mut request);
        let body = request.take_body_keeping_headers();
        request.remove_header(CONTENT_LENGTH);
        request.replace_body_keeping_headers(body);
        let link = self.open(&target, deadline).await?;
        let left = deadline.saturating_duration_since(Instant::now());
        let exchange = link.exchange(request, deadline, left.min(NEAR_CONNECT_PATIENCE * 2));
        match exchange.await {
            Ok(response) => Ok(response),
            Err(fault) => Err(self.result_of(&target.name, fault).await),
        }
    }

    /// The instant of a deadline by this gateway's clock.
    pub(super) fn own_deadline(&self, deadline: &PeerDeadline) -> Result<Instant, ForwardResult> {
        let left = deadline.time_left(self.clock_reading());
        if left.is_zero() {
            return Err(ForwardResult::TooLate);
        }
        Ok(Instant::now() + left)
    }

    /// The back end of this name, if requests may be sent to it as far as this
    /// gateway knows.
    fn target(&self, name: &BackEndName) -> Result<Target, ForwardResult> {
        let dispatch = &self.links.shared.dispatch;
        let known = dispatch.with(|dispatcher, now| dispatcher.forward_target(now, name));
        let known = known.ok_or(ForwardResult::Declined)?;
        Ok(Target {
            name: name.clone(),
            service: known.service,
            address: known.address,
            distance: known.distance,
            connection_limit: Some(known.connection_limit),
            request: None,
        })
    }

    async fn open(&self, target: &Target, deadline: Instant) -> Result<super::Link, ForwardResult> {
        if !self.links.has_path(target.address).await {
            return Err(self.unreachable(&target.name).await);
        }
        match self.links.open_direct(target, deadline).await {
            Ok(link) => Ok(link),
            Err(fault) => Err(self.result_of(&target.name, fault).await),
        }
    }

    async fn result_of(&self, name: &BackEndName, fault: Fault) -> ForwardResult {
        match fault {
            Fault::Unreachable => self.unreachable(name).await,
            fault => ForwardResult::Failed(fault),
        }
    }

    /// The result after this gateway could not connect to a back end.
    pub(super) async fn unreachable(&self, name: &BackEndName) -> ForwardResult {
        match self.links.is_witness(name).await {
            true => ForwardResult::Unreachable,
            false => ForwardResult::NoPath,
        }
    }

    fn without_answer(&self, result: ForwardResult, service: Option<&ServiceName>) -> Response {
        let mut response = Response::new(StatusCode::BadGateway);
        response.insert_header(FORWARD_RESULT, result.as_str());
        let now = self.links.shared.clock.now();
        let forwarders = self.links.shared.forwarders.lock();
        let working = service.map(|service| forwarders.working(now, service));
        let working = working.unwrap_or_default();
        if result == ForwardResult::NoPath && !working.is_empty() {
            let working: Vec<String> = working.iter().map(ToString::to_string).collect();
            response.insert_header(FORWARDERS, working.join(","));
        }
        response
    }
}
