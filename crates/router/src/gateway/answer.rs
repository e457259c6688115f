//! Responses that the gateway itself creates.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use threadledge_dispatch::{Outcome, Refusal};

/// Response to a request that no back end answered.
pub(super) fn for_outcome(outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Refused(refusal) => for_refusal(refusal),
        Outcome::Unknown(reason) => text(reason.status(), reason.as_str(), None),
    }
}

/// Response for a refusal, which promises that the request has not run and
/// never will.
pub(super) fn for_refusal(refusal: &Refusal) -> Response {
    let reason = refusal.reason;
    text(reason.status(), reason.as_str(), refusal.retry_after)
}

/// Plain-text response with a status, a reason and, where retrying helps, the
/// time to wait.
pub(super) fn text(status: u16, reason: &str, retry_after: Option<Duration>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(Body::from_string(format!("{reason}\n")));
    response.insert_header("content-type", "text/plain");
    if let Some(wait) = retry_after {
        response.insert_header("retry-after", format!("{:.3}", wait.as_secs_f64()));
    }
    response
}

/// Response with a value as JSON.
pub(super) fn json<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = text(200, "", None);
            response.set_body(body);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(_) => text(500, "unwritable", None),
    }
}
