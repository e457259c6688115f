//! The one outcome of each request, as callers see it.
//!
//! Every response of a router carries [`OUTCOME_HEADER`]. Its value is
//! `answered`, `not-run` or `unknown`; for the latter two [`REASON_HEADER`]
//! carries the reason. `not-run` promises that nothing of the request was
//! carried out, so that it is safe to send it again.

use serde::{Deserialize, Serialize};

use crate::session::Refusal;

/// Response header that carries the outcome.
pub const OUTCOME_HEADER: &str = "threadledge-outcome";
/// Response header that carries the reason of an outcome.
pub const REASON_HEADER: &str = "threadledge-reason";

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A back end answered and the caller got its whole answer.
    Answered,
    /// Nothing of the request was carried out; it is safe to send it again.
    NotRun(NotRunReason),
    /// The request may have been carried out.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// The request is malformed.
    Malformed,
    /// Head or body is larger than allowed.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The route's key is missing from the request.
    MissingKey,
    /// The key's slice has no owner now.
    NoOwner,
    /// The owner could not be connected to.
    Unreachable,
    /// The last back end asked did not own the key.
    WrongOwner,
    /// Limits are reached; come back after `Retry-After`.
    Overloaded,
    /// The partner's share of the router is used up.
    ShareExhausted,
    /// The deadline passed before the request was sent to a back end.
    DeadlinePassed,
    /// This router is stopping or has no confirmed configuration.
    NotReady,
}

/// Why it is unknown whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection broke after some of the request was sent.
    ConnectionLost,
    /// The deadline passed while the back end had the request.
    DeadlinePassed,
    /// The back end's answer was cut short or malformed.
    BadAnswer,
    /// The back end's session ended while it had the request.
    OwnerLost,
}

impl Outcome {
    /// Value of [`OUTCOME_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Value of [`REASON_HEADER`], if the outcome has one.
    pub const fn reason(self) -> Option<&'static str> {
        match self {
            Outcome::Answered => None,
            Outcome::NotRun(reason) => Some(reason.as_str()),
            Outcome::Unknown(reason) => Some(reason.as_str()),
        }
    }
}

impl NotRunReason {
    /// Every reason.
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

    /// Header form.
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

    /// HTTP status of the router's own answer.
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

    /// What the caller can do about it.
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
    /// Every reason.
    pub const ALL: [UnknownReason; 4] = [
        UnknownReason::ConnectionLost,
        UnknownReason::DeadlinePassed,
        UnknownReason::BadAnswer,
        UnknownReason::OwnerLost,
    ];

    /// Header form.
    pub const fn as_str(self) -> &'static str {
        match self {
            UnknownReason::ConnectionLost => "connection-lost",
            UnknownReason::DeadlinePassed => "deadline-passed",
            UnknownReason::BadAnswer => "bad-answer",
            UnknownReason::OwnerLost => "owner-lost",
        }
    }

    /// HTTP status of the router's own answer.
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
