//! The outcome of a request, as reported to the caller.
//!
//! Every response of a router carries [`OUTCOME_HEADER`] with the value
//! `answered`, `not-run` or `unknown`; for the latter two [`REASON_HEADER`]
//! carries the reason. `not-run` guarantees that no part of the request was
//! executed, so that it is safe to retry.

use serde::{Deserialize, Serialize};

use crate::session::Refusal;

/// Response header with the outcome.
pub const OUTCOME_HEADER: &str = "threadledge-outcome";
/// Response header with the reason of an outcome other than `answered`.
pub const REASON_HEADER: &str = "threadledge-reason";

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A back end answered and its whole response was passed on.
    Answered,
    /// No part of the request was executed; it is safe to retry.
    NotRun(NotRunReason),
    /// The request may have been executed.
    Unknown(UnknownReason),
}

/// Reason why a request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The request is malformed.
    Malformed,
    /// The head or body exceeds its size limit.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The route's key is missing from the request.
    MissingKey,
    /// The key's slice currently has no owner.
    NoOwner,
    /// No connection to the owner could be opened.
    Unreachable,
    /// The last back end that was tried did not own the key.
    WrongOwner,
    /// A capacity limit was reached; the caller can retry after `Retry-After`.
    Overloaded,
    /// The namespace has used up its share of this router's capacity.
    ShareExhausted,
    /// The deadline passed before the request was sent to a back end.
    DeadlinePassed,
    /// This router is shutting down or has no confirmed configuration.
    NotReady,
}

/// Reason why it is unknown whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection broke after part of the request was sent.
    ConnectionLost,
    /// The deadline passed while the back end was handling the request.
    DeadlinePassed,
    /// The back end's response was truncated or malformed.
    BadAnswer,
    /// The back end's session ended while it was handling the request.
    OwnerLost,
}

impl Outcome {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Returns the value of [`REASON_HEADER`], if the outcome has a reason.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Outcome::Answered => None,
            Outcome::NotRun(reason) => Some(reason.as_str()),
            Outcome::Unknown(reason) => Some(reason.as_str()),
        }
    }
}

impl NotRunReason {
    /// All reasons.
    pub const ALL: [NotRunReason; 12] = [
        NotRunReason::Malformed,
        NotRunReason::TooLarge,
        NotRunReason::TooSlow,
        NotRunReason::NoRoute,
        NotRunReason::MissingKey,
        NotRunReason::NoOwner,
        NotRunReason::Unreachable,
        NotRunReason::WrongOwner,
        NotRunReason::Overloaded,
        NotRunReason::ShareExhausted,
        NotRunReason::DeadlinePassed,
        NotRunReason::NotReady,
    ];

    /// Returns the value of [`REASON_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            NotRunReason::Malformed => "malformed",
            NotRunReason::TooLarge => "too-large",
            NotRunReason::TooSlow => "too-slow",
            NotRunReason::NoRoute => "no-route",
            NotRunReason::MissingKey => "missing-key",
            NotRunReason::NoOwner => "no-owner",
            NotRunReason::Unreachable => "unreachable",
            NotRunReason::WrongOwner => "wrong-owner",
            NotRunReason::Overloaded => "overloaded",
            NotRunReason::ShareExhausted => "share-exhausted",
            NotRunReason::DeadlinePassed => "deadline-passed",
            NotRunReason::NotReady => "not-ready",
        }
    }

    /// Returns the HTTP status of the router's response.
    pub const fn status(self) -> u16 {
        match self {
            NotRunReason::Malformed | NotRunReason::MissingKey => 400,
            NotRunReason::TooLarge => 413,
            NotRunReason::TooSlow => 408,
            NotRunReason::NoRoute => 404,
            NotRunReason::ShareExhausted => 429,
            NotRunReason::NoOwner
            | NotRunReason::Unreachable
            | NotRunReason::WrongOwner
            | NotRunReason::Overloaded
            | NotRunReason::DeadlinePassed
            | NotRunReason::NotReady => 503,
        }
    }

    /// Returns advice for the caller, to be sent with the response.
    pub const fn remedy(self) -> &'static str {
        match self {
            NotRunReason::Malformed => "send a well-formed HTTP/1.1 request",
            NotRunReason::TooLarge => "send a smaller head or body",
            NotRunReason::TooSlow => "send the whole head and body without long pauses",
            NotRunReason::NoRoute => "check the host, path and method against the service's routes",
            NotRunReason::MissingKey => "add the key that the route names",
            NotRunReason::NoOwner => "send the request again after Retry-After",
            NotRunReason::Unreachable => "send the request again after Retry-After",
            NotRunReason::WrongOwner => "send the request again after Retry-After",
            NotRunReason::Overloaded => {
                "send the request again after Retry-After, and fewer at once"
            }
            NotRunReason::ShareExhausted => "send fewer requests at once in this namespace",
            NotRunReason::DeadlinePassed => {
                "send the request again, with a longer deadline if need be"
            }
            NotRunReason::NotReady => "send the request to another router",
        }
    }
}

impl UnknownReason {
    /// All reasons.
    pub const ALL: [UnknownReason; 4] = [
        UnknownReason::ConnectionLost,
        UnknownReason::DeadlinePassed,
        UnknownReason::BadAnswer,
        UnknownReason::OwnerLost,
    ];

    /// Returns the value of [`REASON_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            UnknownReason::ConnectionLost => "connection-lost",
            UnknownReason::DeadlinePassed => "deadline-passed",
            UnknownReason::BadAnswer => "bad-answer",
            UnknownReason::OwnerLost => "owner-lost",
        }
    }

    /// Returns the HTTP status of the router's response.
    pub const fn status(self) -> u16 {
        match self {
            UnknownReason::ConnectionLost | UnknownReason::BadAnswer | UnknownReason::OwnerLost => {
                502
            }
            UnknownReason::DeadlinePassed => 504,
        }
    }
}

impl From<Refusal> for NotRunReason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::WrongOwner | Refusal::LeaseLapsed => NotRunReason::WrongOwner,
            Refusal::Overloaded => NotRunReason::Overloaded,
            Refusal::Draining => NotRunReason::NoOwner,
            Refusal::DeadlinePassed => NotRunReason::DeadlinePassed,
            Refusal::Malformed => NotRunReason::Malformed,
        }
    }
}
