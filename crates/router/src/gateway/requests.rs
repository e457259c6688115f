//! Handles callers' requests, from the request head to the response head.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http_types::headers::CONNECTION;
use http_types::{Request, Response};
use threadledge_dispatch::{ExchangeId, Outcome, Refusal, RequestInfo};
use threadledge_net::{ConnectionInfo, status, target};
use threadledge_ports::RequestMetadata;
use threadledge_tenants::Admission;
use threadledge_types::NotRunReason;

use super::admission::{Head, host_of};
use super::answer;
use super::attempt::{Attempts, OutboundRequest};
use super::bodies::{self, Bodies};
use super::disconnects::{RequestTracker, Stage};
use super::exchange::{Conclusion, Exchange};
use super::limits::{LimitRefusal, Limits, Permit};
use super::log::{RequestLine, RequestLogger};
use super::metrics::GatewayMetrics;
use super::suspects::identity::{self, Sender};
use crate::proxy::inbound::Inbound;

/// Request bodies of up to this size, in bytes, are read before anything is
/// sent to a back end, so that a request that a back end refuses can be sent
/// again.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Handler of callers' requests, with the state that they share.
pub(super) struct RequestHandler {
    pub(super) attempts: Attempts,
    /// Rate limits of tenants.
    pub(super) limits: Limits,
    pub(super) logger: RequestLogger,
    pub(super) metrics: GatewayMetrics,
    /// Set when a planned stop begins; connections are then closed after their
    /// responses.
    pub(super) stopping: AtomicBool,
    pub(super) bodies: Bodies,
}

/// Releases the exchange in the dispatcher when the request ends for any
/// reason, including a dropped future.
struct ReleaseGuard<'a> {
    requests: &'a RequestHandler,
    id: ExchangeId,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        self.requests.attempts.dispatch.release(self.id);
    }
}

/// An admitted request whose body has not been read yet.
struct AdmittedRequest {
    request: Request,
    caller: RequestMetadata,
    from: IpAddr,
    head: Head,
    admission: Admission,
    /// The request is only forwarded, to a region that may serve it; none of
    /// its content may be kept here.
    in_transit: bool,
}

/// Response to an admitted request, with whether the request may have run.
enum ServeResult {
    /// The request ran or may have run.
    MayHaveRun(Response),
    /// The request certainly did not run.
    NotRun(Response),
}

impl RequestHandler {
    /// Returns whether a request may run concurrently with others of its
    /// connection. The route decides this, not the method.
    pub(super) fn may_run_concurrently(&self, request: &Request) -> bool {
        let dispatch = &self.attempts.dispatch;
        dispatch.is_repeatable(host_of(request), target::path(request))
    }

    /// Handles one request and returns its response, with the head complete and
    /// the body possibly still streaming.
    pub(super) async fn handle(
        self: Arc<Self>,
        request: Request,
        connection: ConnectionInfo,
        mut tracker: RequestTracker,
    ) -> Response {
        let from = connection.peer.ip();
        let started = connection.read_at;
        if connection.unanswered_before > 0 {
            self.metrics.record_pipelined();
        }
        let method = request.method();
        let caller = self.attempts.header_codec.read_request(request.as_ref());
        let mut line = RequestLine::new(&request, &caller, from, started);
        let mut response = self
            .answer(request, caller, from, &mut line, &mut tracker)
            .await;
        if self.stopping.load(Ordering::Relaxed) {
            response.insert_header(CONNECTION, "close");
        }
        line.status = status::code(&response);
        self.metrics.record_request(&line);
        self.logger.write(&line);
        tracker.track_response(&mut response, method);
        response
    }

    async fn answer(
        &self,
        request: Request,
        caller: RequestMetadata,
        from: IpAddr,
        line: &mut RequestLine,
        tracker: &mut RequestTracker,
    ) -> Response {
        let head = Head::from_request(&request, &caller);
        let admission = match head.admit(&self.attempts.dispatch) {
            Ok(admission) => admission,
            Err(refusal) => return refusal_response(&refusal, line),
        };
        line.tenant = admission.tenant_name().cloned();
        let in_transit = self.attempts.dispatch.passes_through(&admission);
        if in_transit {
            line.forget_content();
        }
        // Checked before any of the body is read, queued or charged to a
        // budget, so that a tenant far beyond its limit costs the other tenants
        // nothing.
        let permit = match self.acquire_permit(&admission).await {
            Ok(permit) => permit,
            Err(refusal) => {
                line.outcome = refusal.reason.as_str();
                return answer::text(429, refusal.reason.as_str(), Some(refusal.retry_after));
            }
        };
        let admitted = AdmittedRequest {
            request,
            caller,
            from,
            head,
            admission,
            in_transit,
        };
        match self.serve(admitted, line, tracker).await {
            ServeResult::MayHaveRun(response) => response,
            ServeResult::NotRun(response) => {
                permit.refund();
                response
            }
        }
    }

    /// Obtains a permit under the tenant's rate limit.
    async fn acquire_permit(&self, admission: &Admission) -> Result<Permit, LimitRefusal> {
        match admission.tenant_name() {
            Some(tenant) => self.limits.admit(tenant).await,
            None => Ok(Permit::unlimited()),
        }
    }

    async fn serve(
        &self,
        admitted: AdmittedRequest,
        line: &mut RequestLine,
        tracker: &mut RequestTracker,
    ) -> ServeResult {
        let AdmittedRequest {
            request,
            caller,
            from,
            head,
            admission,
            in_transit,
        } = admitted;
        tracker.reached(Stage::Reading);
        let read = Inbound::read(request, MAX_READ_AHEAD_BYTES, &self.attempts.budget);
        let mut inbound = match read.await {
            Ok(inbound) => inbound,
            Err((reason, _)) => {
                line.outcome = reason.as_str();
                let response = answer::text(reason.status(), reason.as_str(), None);
                return ServeResult::NotRun(response);
            }
        };
        let Some(_reservation) = self.bodies.admit(&mut inbound) else {
            let reason = NotRunReason::Overloaded;
            line.outcome = reason.as_str();
            let response =
                answer::text(reason.status(), reason.as_str(), Some(bodies::RETRY_AFTER));
            return ServeResult::NotRun(response);
        };
        let header_codec = self.attempts.header_codec.as_ref();
        // Invariant: no back end sees a caller's API key or a tenant name
        // written by the caller, whether or not API keys are required.
        header_codec.strip_caller_identity(&mut inbound.request);
        let sender = Sender {
            key: caller.key,
            tenant: admission.tenant_name(),
            address: from,
        };
        let identity = identity::compute(&inbound, sender, header_codec);
        line.identity = Some(identity.request).filter(|_| !in_transit);
        let mut outbound = OutboundRequest::new(inbound, caller.request_id);
        let info = RequestInfo {
            method: head.method.as_ref(),
            head: head.as_request_head(),
            age: line.elapsed(),
            time_left: caller.time_left,
            key: caller.key,
            replayable: outbound.replayable(),
            identity,
        };
        let (started_exchange, signal) = match self.attempts.dispatch.begin(&info) {
            Ok(started_exchange) => started_exchange,
            Err(refusal) => return ServeResult::NotRun(refusal_response(&refusal, line)),
        };
        line.record_start(&started_exchange);
        outbound.tenant = started_exchange
            .caller
            .as_ref()
            .map(|caller| caller.name.clone());
        let _guard = ReleaseGuard {
            requests: self,
            id: started_exchange.id,
        };
        let mut exchange =
            Exchange::new(self.attempts.clone(), outbound, &started_exchange, signal);
        let conclusion = exchange.run(tracker).await;
        line.attempts = std::mem::take(&mut exchange.history);
        match conclusion {
            Conclusion::Answered {
                response,
                back_end,
                forwarder,
            } => {
                line.outcome = "answered";
                line.forwarder = forwarder;
                line.back_end = Some(back_end);
                ServeResult::MayHaveRun(*response)
            }
            Conclusion::NotAnswered(outcome) => {
                line.record_own_outcome(&outcome);
                let response = answer::for_outcome(&outcome);
                match outcome {
                    Outcome::Refused(_) => ServeResult::NotRun(response),
                    Outcome::Unknown(_) => ServeResult::MayHaveRun(response),
                }
            }
        }
    }
}

fn refusal_response(refusal: &Refusal, line: &mut RequestLine) -> Response {
    line.outcome = refusal.reason.as_str();
    answer::for_refusal(refusal)
}
