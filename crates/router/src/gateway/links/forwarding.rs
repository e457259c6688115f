//! Requests that another gateway forwards, as both sides write and read them.
//!
//! The request is sent to the peer address of the other gateway unchanged, with
//! two headers: the back end that it is for, and the deadline by the other
//! gateway's clock. The response is that of the back end, with a header that
//! says so, or an empty one with the reason why there is none. The other
//! gateway never forwards it to a third one.

use std::net::SocketAddr;

use http_types::{Request, Response};
use threadledge_dispatch::Fault;
use threadledge_net::{Instant, status};
use threadledge_paths::Witness;
use threadledge_types::deployment::ServiceName;

use super::link::fault_from_error;
use super::{BackEndLinks, Link};
use crate::proxy::headers;

/// Request header that names the back end.
pub(super) const FORWARD_TO: &str = "threadledge-forward-to";
/// Request header with the deadline.
pub(super) const FORWARD_UNTIL: &str = "threadledge-forward-until";
/// Response header with the result.
pub(super) const FORWARD_RESULT: &str = "threadledge-forward-result";
/// Response header that names gateways which reach back ends.
pub(super) const FORWARDERS: &str = "threadledge-forwarders";

/// Status of a gateway that does not know forwarded requests. Nothing was sent
/// to a back end.
const UNKNOWN_PATH_STATUS: u16 = 404;

/// Result of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ForwardResult {
    /// The response is that of the back end.
    Answered,
    /// The gateway has lost most of its own paths; nothing was sent.
    NoPath,
    /// The gateway would send the back end nothing itself, as far as it knows:
    /// it is not registered, is leaving or asked for a backoff.
    Declined,
    /// The deadline had passed or named another process; nothing was sent.
    TooLate,
    /// The gateway reaches other back ends of the service but not this one;
    /// nothing was sent.
    Unreachable,
    /// The exchange with the back end failed.
    Failed(Fault),
}

/// Results other than answers, with their names in the header.
const RESULTS: [(ForwardResult, &str); 12] = [
    (ForwardResult::Answered, "answered"),
    (ForwardResult::NoPath, "no-path"),
    (ForwardResult::Declined, "declined"),
    (ForwardResult::TooLate, "too-late"),
    (ForwardResult::Unreachable, "unreachable"),
    (ForwardResult::Failed(Fault::NoConnection), "no-connection"),
    (ForwardResult::Failed(Fault::NothingSent), "nothing-sent"),
    (ForwardResult::Failed(Fault::BodyGone), "body-gone"),
    (ForwardResult::Failed(Fault::CallerBroke), "caller-broke"),
    (ForwardResult::Failed(Fault::Broken), "broken"),
    (ForwardResult::Failed(Fault::BadAnswer), "bad-answer"),
    (ForwardResult::Failed(Fault::TimedOut), "timed-out"),
];

impl ForwardResult {
    /// Returns the name in the header.
    pub(super) fn as_str(self) -> &'static str {
        let entry = RESULTS.iter().find(|(result, _)| *result == self);
        entry.map_or("broken", |(_, name)| name)
    }

    /// Reads the header. Invariant: an unknown result counts as one after which
    /// the request may have run.
    fn parse(name: &str) -> ForwardResult {
        let entry = RESULTS.iter().find(|(_, known)| *known == name);
        entry.map_or(ForwardResult::Failed(Fault::Broken), |(result, _)| *result)
    }
}

/// Returns whether a request from another gateway is to be forwarded.
pub(in super::super) fn is_forwarded(request: &Request) -> bool {
    request.header(FORWARD_TO).is_some()
}

impl Link {
    /// Sends a request to the gateway that forwards it.
    pub(super) async fn exchange_forwarded(
        self,
        forwarder: SocketAddr,
        mut request: Request,
        deadline: Instant,
    ) -> Result<Response, Fault> {
        let Link {
            links,
            target,
            connection,
            ..
        } = self;
        let Some(until) = links.deadline_at(forwarder, deadline) else {
            return Err(Fault::PathFailed);
        };
        request.insert_header(FORWARD_TO, target.name.as_str());
        request.insert_header(FORWARD_UNTIL, until.to_string());
        let exchanged = connection.exchange(request, deadline).await;
        let mut response = match exchanged {
            Ok(response) => response,
            Err(error) => {
                links.on_unusable(&target.service, forwarder);
                return Err(match fault_from_error(&error) {
                    Fault::Unreachable | Fault::NothingSent => Fault::PathFailed,
                    fault => fault,
                });
            }
        };
        let result = headers::single(response.as_ref(), FORWARD_RESULT);
        let result = match result {
            Some(name) => ForwardResult::parse(name),
            None if status::code(&response) == UNKNOWN_PATH_STATUS => ForwardResult::NoPath,
            None => ForwardResult::Failed(Fault::Broken),
        };
        links.note_named_forwarders(&response);
        response.remove_header(FORWARD_RESULT);
        links.record_result(forwarder, &target.service, target.address, result);
        match result {
            ForwardResult::Answered => Ok(response),
            ForwardResult::NoPath | ForwardResult::TooLate | ForwardResult::Unreachable => {
                Err(Fault::PathFailed)
            }
            ForwardResult::Declined => Err(Fault::CutOff),
            ForwardResult::Failed(fault) => Err(fault),
        }
    }
}

impl BackEndLinks {
    fn note_named_forwarders(&self, response: &Response) {
        let Some(named) = headers::single(response.as_ref(), FORWARDERS) else {
            return;
        };
        for address in named.split(',').filter_map(|each| each.parse().ok()) {
            self.shared.peers.note_peer(address);
        }
    }

    /// Records what a result shows about the gateway and the back end.
    pub(super) fn record_result(
        &self,
        forwarder: SocketAddr,
        service: &ServiceName,
        back_end: SocketAddr,
        result: ForwardResult,
    ) {
        let now = self.shared.clock.now();
        let mut forwarders = self.shared.forwarders.lock();
        match result {
            ForwardResult::Answered => {
                forwarders.on_forwarded(now, service, back_end, forwarder);
            }
            ForwardResult::NoPath => {
                forwarders.on_unusable(now, service, forwarder);
                forwarders.on_missed(now, back_end, forwarder, Witness::No);
            }
            ForwardResult::TooLate => self.forget_clock_of(forwarder),
            ForwardResult::Unreachable => {
                forwarders.on_missed(now, back_end, forwarder, Witness::Yes);
            }
            ForwardResult::Declined | ForwardResult::Failed(_) => {}
        }
    }
}
