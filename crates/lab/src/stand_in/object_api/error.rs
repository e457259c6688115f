//! Errors of the object API, in the format of Kubernetes status objects.

use kube_core::response::{Status, reason};

/// An error response: HTTP status, machine-readable reason and message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {reason}: {message}")]
pub struct ApiError {
    /// HTTP status code.
    pub code: u16,
    /// Reason in CamelCase.
    pub reason: &'static str,
    /// Human-readable description of the problem.
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

    /// The request is malformed.
    pub fn bad_request(message: impl Into<String>) -> Self {
        ApiError::new(400, reason::BAD_REQUEST, message)
    }

    /// The credentials are missing or unknown.
    pub fn unauthorized() -> Self {
        ApiError::new(401, reason::UNAUTHORIZED, "send a known bearer token")
    }

    /// The principal's role does not allow the request.
    pub fn forbidden(message: impl Into<String>) -> Self {
        ApiError::new(403, reason::FORBIDDEN, message)
    }

    /// The object or path does not exist.
    pub fn not_found(what: impl std::fmt::Display) -> Self {
        ApiError::new(404, reason::NOT_FOUND, format!("{what} not found"))
    }

    /// An object of that name already exists.
    pub fn already_exists(what: impl std::fmt::Display) -> Self {
        let message = format!("{what} already exists");
        ApiError::new(409, reason::ALREADY_EXISTS, message)
    }

    /// A precondition of the write does not hold.
    pub fn conflict(what: impl std::fmt::Display) -> Self {
        let message = format!("{what} has been modified; read it again and retry");
        ApiError::new(409, reason::CONFLICT, message)
    }

    /// The requested version was compacted.
    pub fn gone(version: u64, oldest: u64) -> Self {
        let message = format!("too old resource version: {version} ({oldest})");
        ApiError::new(410, reason::EXPIRED, message)
    }

    /// The object is invalid.
    pub fn invalid(message: impl Into<String>) -> Self {
        ApiError::new(422, reason::INVALID, message)
    }

    /// The request was rejected to limit the load.
    pub fn too_many_requests() -> Self {
        let message = "too many requests, try again later";
        ApiError::new(429, reason::TOO_MANY_REQUESTS, message)
    }

    /// The requested version is newer than the store.
    pub fn too_large_version(version: u64, current: u64) -> Self {
        let message = format!("Too large resource version: {version}, current: {current}");
        ApiError::new(504, reason::TIMEOUT, message)
    }

    /// Returns the response body, a Kubernetes `Status` object.
    pub fn status(&self) -> Status {
        Status::failure(&self.message, self.reason).with_code(self.code)
    }
}
