//! Error responses that a router generates itself, without a back end.

use http_types::{Body, Response, StatusCode};
use serde::{Deserialize, Serialize};
use threadledge_types::outcome::{OUTCOME_HEADER, REASON_HEADER};
use threadledge_types::{NotRunReason, Outcome, UnknownReason};

/// Advice to the caller when the outcome of its request is unknown.
const UNKNOWN_REMEDY: &str =
    "the request may have been carried out: read the state back before sending it again";

/// JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBody {
    /// Outcome, as in [`OUTCOME_HEADER`].
    pub outcome: String,
    /// Reason, as in [`REASON_HEADER`].
    pub reason: String,
    /// Description of this particular failure.
    pub detail: String,
    /// Advice to the caller.
    pub remedy: String,
}

/// Builds the response for a request that was not executed.
pub fn not_run(reason: NotRunReason, detail: &str) -> Response {
    let outcome = Outcome::NotRun(reason);
    build_response(reason.status(), outcome, detail, reason.remedy())
}

/// Builds the response for a request that may have been executed.
pub fn unknown(reason: UnknownReason, detail: &str) -> Response {
    let outcome = Outcome::Unknown(reason);
    build_response(reason.status(), outcome, detail, UNKNOWN_REMEDY)
}

fn build_response(status: u16, outcome: Outcome, detail: &str, remedy: &str) -> Response {
    let reason = outcome.reason().unwrap_or_default();
    let body = OutcomeBody {
        outcome: outcome.as_str().to_owned(),
        reason: reason.to_owned(),
        detail: detail.to_owned(),
        remedy: remedy.to_owned(),
    };
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    // Serializing four strings cannot fail; without a body the response would
    // still be valid.
    let json = serde_json::to_vec(&body).unwrap_or_default();
    response.set_body(Body::from_bytes(json));
    response.insert_header("content-type", "application/json");
    response.insert_header(OUTCOME_HEADER, outcome.as_str());
    response.insert_header(REASON_HEADER, reason);
    response
}
