//! What can go wrong between a router and the platform.

use std::time::Duration;

/// Whether a write may have taken effect although it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// Certainly not: the request was never sent, or was refused.
    None,
    /// Perhaps: read the object back before anything else.
    Ambiguous,
}

/// A request to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{operation}: {kind}")]
pub struct PlatformError {
    /// What was asked, for example `PUT /apis/...`.
    pub operation: String,
    /// Why it failed.
    pub kind: PlatformErrorKind,
    /// Whether a write may have taken effect. Always
    /// [`WriteEffect::None`] for reads.
    pub effect: WriteEffect,
}

/// Why a request to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformErrorKind {
    /// No connection.
    #[error("cannot connect ({0}); check the address and that the platform runs")]
    Unreachable(String),
    /// No whole answer within the time limit.
    #[error("no whole answer within {0:?}; the platform is slow, retry later")]
    TimedOut(Duration),
    /// The connection broke before the whole answer arrived.
    #[error("the connection broke before the whole answer came ({0}); retry")]
    ConnectionLost(String),
    /// The object has another version than the write expects.
    #[error("the object has changed since it was read; read it again and decide anew")]
    Conflict,
    /// An object of this name exists.
    #[error("an object of this name exists; read it and replace it")]
    AlreadyExists,
    /// There is no such object.
    #[error("there is no such object; create it")]
    NotFound,
    /// The store no longer has the version asked for.
    #[error("the store no longer has this version; list again")]
    Gone,
    /// The store has not reached the version asked for.
    #[error("the store is behind the version asked for; it may have been restored, list again")]
    StoreBehind,
    /// Credentials are missing or unknown.
    #[error("credentials are missing or unknown; set the platform token")]
    Unauthorized,
    /// The credentials don't allow this.
    #[error("not allowed: {0}; use credentials of the namespace's partner")]
    Forbidden(String),
    /// The platform limits its readers.
    #[error("the platform limits requests; retry after {0:?}")]
    TooManyRequests(Duration),
    /// The platform refuses the object.
    #[error("refused ({status}): {message}; correct the object")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The platform's message.
        message: String,
    },
    /// The platform failed.
    #[error("the platform failed ({status}): {message}; retry later")]
    ServerFailure {
        /// HTTP status.
        status: u16,
        /// The platform's message.
        message: String,
    },
    /// The answer does not follow the conventions.
    #[error("the answer cannot be understood ({0}); check the platform's version")]
    BadAnswer(String),
    /// The answer is larger than allowed.
    #[error("the answer is larger than {0} bytes; lower the page size")]
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
    /// Builds an error of a request that certainly had no effect.
    pub fn without_effect(operation: &str, kind: PlatformErrorKind) -> Self {
        PlatformError {
            operation: operation.to_owned(),
            kind,
            effect: WriteEffect::None,
        }
    }

    /// Whether a write may have taken effect although it failed.
    pub fn is_ambiguous(&self) -> bool {
        self.effect == WriteEffect::Ambiguous
    }

    /// How long the platform asks to wait before the next request.
    pub fn retry_after(&self) -> Option<Duration> {
        match self.kind {
            PlatformErrorKind::TooManyRequests(wait) => Some(wait),
            _ => None,
        }
    }
}
