//! Refusals of the object API, in its own form.

use kube_core::response::{Status, reason};

/// A refusal: HTTP status, machine-readable reason and message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {reason}: {message}")]
pub struct ApiError {
    /// HTTP status.
    pub code: u16,
    /// Reason in CamelCase.
    pub reason: &'static str,
    /// What is wrong.
    pub message: String,
}

impl ApiError {
    fn new(code: u16, reason: &'static str, message: impl Into<String>) -> Self {
        ApiError {
            code,
            reason,
            message: message.into(),
        }
    }

    /// The request cannot be understood.
    pub fn bad_request(message: impl Into<String>) -> Self {
        ApiError::new(400, reason::BAD_REQUEST, message)
    }

    /// No or unknown credentials.
    pub fn unauthorized() -> Self {
        ApiError::new(401, reason::UNAUTHORIZED, "send a known bearer token")
    }

    /// The credentials don't allow it.
    pub fn forbidden(message: impl Into<String>) -> Self {
        ApiError::new(403, reason::FORBIDDEN, message)
    }

    /// There is no such object or path.
    pub fn not_found(what: impl std::fmt::Display) -> Self {
        ApiError::new(404, reason::NOT_FOUND, format!("{what} not found"))
    }

    /// The name is taken.
    pub fn already_exists(what: impl std::fmt::Display) -> Self {
        let message = format!("{what} already exists");
        ApiError::new(409, reason::ALREADY_EXISTS, message)
    }

    /// A condition of the write does not hold.
    pub fn conflict(what: impl std::fmt::Display) -> Self {
        let message = format!("{what} has been modified; read it again and retry");
        ApiError::new(409, reason::CONFLICT, message)
    }

    /// The version was compacted.
    pub fn gone(version: u64, oldest: u64) -> Self {
        let message = format!("too old resource version: {version} ({oldest})");
        ApiError::new(410, reason::EXPIRED, message)
    }

    /// The object breaks the conventions.
    pub fn invalid(message: impl Into<String>) -> Self {
        ApiError::new(422, reason::INVALID, message)
    }

    /// Too many readers.
    pub fn too_many_requests() -> Self {
        let message = "too many requests, try again later";
        ApiError::new(429, reason::TOO_MANY_REQUESTS, message)
    }

    /// The version lies ahead of the store.
    pub fn too_large_version(version: u64, current: u64) -> Self {
        let message = format!("Too large resource version: {version}, current: {current}");
        ApiError::new(504, reason::TIMEOUT, message)
    }

    /// The answer's body.
    pub fn status(&self) -> Status {
        Status::failure(&self.message, self.reason).with_code(self.code)
    }
}
