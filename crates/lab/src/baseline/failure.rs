//! Error responses of a baseline router to requests that no back end answered.

use http_types::Response;
use threadledge_net::error_response::{not_run, unknown};
use threadledge_net::{ExchangeError, ExchangeFault};
use threadledge_types::{NotRunReason, Outcome, UnknownReason};

/// The failure of a request that no back end answered.
pub(super) struct Failure {
    outcome: Outcome,
    detail: String,
}

impl Failure {
    /// The request was not sent.
    pub fn not_run(reason: NotRunReason, detail: &str) -> Self {
        Failure {
            outcome: Outcome::NotRun(reason),
            detail: detail.to_owned(),
        }
    }

    /// Classifies an exchange error: the outcome is unknown if the back end may
    /// have received the request, because it may then have executed it.
    pub fn from_exchange_error(error: &ExchangeError) -> Self {
        let outcome = match (error.stage.may_have_been_received(), &error.fault) {
            (true, ExchangeFault::DeadlinePassed) => {
                Outcome::Unknown(UnknownReason::DeadlinePassed)
            }
            (true, ExchangeFault::Malformed(_)) => Outcome::Unknown(UnknownReason::BadAnswer),
            (true, _) => Outcome::Unknown(UnknownReason::ConnectionLost),
            (false, ExchangeFault::NoConnectionFree) => Outcome::NotRun(NotRunReason::Overloaded),
            (false, _) => Outcome::NotRun(NotRunReason::Unreachable),
        };
        Failure {
            outcome,
            detail: error.to_string(),
        }
    }

    /// Returns the response to the caller.
    pub fn into_response(self) -> Response {
        match self.outcome {
            Outcome::NotRun(reason) => not_run(reason, &self.detail),
            Outcome::Unknown(reason) => unknown(reason, &self.detail),
            // A failure never has this outcome.
            Outcome::Answered => unknown(UnknownReason::BadAnswer, &self.detail),
        }
    }
}
