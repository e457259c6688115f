//! Errors of requests to the platform.

use std::time::Duration;

/// Whether a failed write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// It had no effect: the request was never sent, or was refused.
    None,
    /// It may have taken effect: read the object back before anything else.
    Ambiguous,
}

/// Error of a request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{operation}: {kind}")]
pub struct PlatformError {
    /// The request, for example `PUT /apis/...`.
    pub operation: String,
    /// Cause of the failure.
    pub kind: PlatformErrorKind,
    /// Whether a write may have taken effect. Always [`WriteEffect::None`] for
    /// reads.
    pub effect: WriteEffect,
}

/// Cause of a failed request to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformErrorKind {
    /// No connection could be opened.
    #[error("cannot connect ({0}); check the address and that the platform runs")]
    Unreachable(String),
    /// No complete response arrived within the time limit.
    #[error("no complete response within {0:?}; the platform is slow, retry later")]
    TimedOut(Duration),
    /// The connection failed before the complete response arrived.
    #[error("the connection failed before the response was complete ({0}); retry")]
    ConnectionLost(String),
    /// The object has another version than the write expects.
    #[error(
        "the object has changed since it was read; read it again and decide based on the new version"
    )]
    Conflict,
    /// An object with this name exists.
    #[error("an object with this name exists; read it and replace it")]
    AlreadyExists,
    /// The object does not exist.
    #[error("there is no such object; create it")]
    NotFound,
    /// The store no longer has the requested version.
    #[error("the store no longer has this version; list again")]
    Gone,
    /// The store has not reached the requested version.
    #[error("the store is behind the version asked for; it may have been restored, list again")]
    StoreBehind,
    /// The credentials are missing or unknown.
    #[error("credentials are missing or unknown; set the platform token")]
    Unauthorized,
    /// The credentials do not permit the request.
    #[error("not allowed: {0}; use credentials of the namespace's partner")]
    Forbidden(String),
    /// The platform rate limits its clients.
    #[error("the platform is rate limiting requests; retry after {0:?}")]
    TooManyRequests(Duration),
    /// The platform refused the object.
    #[error("refused ({status}): {message}; correct the object")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Message from the platform.
        message: String,
    },
    /// The platform failed.
    #[error("the platform failed ({status}): {message}; retry later")]
    ServerFailure {
        /// HTTP status.
        status: u16,
        /// Message from the platform.
        message: String,
    },
    /// The response does not follow the API conventions.
    #[error("the response violates the API conventions ({0}); check the platform's version")]
    BadAnswer(String),
    /// The response is larger than allowed.
    #[error("the response is larger than {0} bytes; lower the page size")]
    TooLarge(usize),
    /// The object cannot be sent.
    #[error("the request cannot be built ({0}); correct the object")]
    BadRequest(String),
}

impl PlatformErrorKind {
    /// Whether the same request may succeed later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            PlatformErrorKind::Unreachable(_)
                | PlatformErrorKind::TimedOut(_)
                | PlatformErrorKind::ConnectionLost(_)
                | PlatformErrorKind::TooManyRequests(_)
                | PlatformErrorKind::ServerFailure { .. }
        )
    }
}

impl PlatformError {
    /// Builds the error of a request that had no effect.
    pub fn without_effect(operation: &str, kind: PlatformErrorKind) -> Self {
        PlatformError {
            operation: operation.to_owned(),
            kind,
            effect: WriteEffect::None,
        }
    }

    /// Whether a failed write may have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        self.effect == WriteEffect::Ambiguous
    }

    /// Delay that the platform requested before the next request.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.kind {
            PlatformErrorKind::TooManyRequests(wait) => Some(wait),
            _ => None,
        }
    }
}
