//! Answers that a router gives itself, without a back end.

use http_types::{Body, Response, StatusCode};
use serde::{Deserialize, Serialize};
use threadledge_types::outcome::{OUTCOME_HEADER, REASON_HEADER};
use threadledge_types::{NotRunReason, Outcome, UnknownReason};

/// What a caller can do about an unknown outcome.
const UNKNOWN_REMEDY: &str =
    "the request may have been carried out: read the state back before sending it again";

/// Body of such an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBody {
    /// The outcome, as in [`OUTCOME_HEADER`].
    pub outcome: String,
    /// The reason, as in [`REASON_HEADER`].
    pub reason: String,
    /// What happened in this case.
    pub detail: String,
    /// What the caller can do.
    pub remedy: String,
}

/// Answers that a request was not run.
pub fn not_run(reason: NotRunReason, detail: &str) -> Response {
    let outcome = Outcome::NotRun(reason);
    answer(reason.status(), outcome, detail, reason.remedy())
}

/// Answers that a request may have been run.
pub fn unknown(reason: UnknownReason, detail: &str) -> Response {
    let outcome = Outcome::Unknown(reason);
    answer(reason.status(), outcome, detail, UNKNOWN_REMEDY)
}

fn answer(status: u16, outcome: Outcome, detail: &str, remedy: &str) -> Response {
    let reason = outcome.reason().unwrap_or_default();
    let body = OutcomeBody {
        outcome: outcome.as_str().to_owned(),
        reason: reason.to_owned(),
        detail: detail.to_owned(),
        remedy: remedy.to_owned(),
    };
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    // Serializing four strings cannot fail; an empty body is still an answer.
    let json = serde_json::to_vec(&body).unwrap_or_default();
    response.set_body(Body::from_bytes(json));
    response.insert_header("content-type", "application/json");
    response.insert_header(OUTCOME_HEADER, outcome.as_str());
    response.insert_header(REASON_HEADER, reason);
    response
}
