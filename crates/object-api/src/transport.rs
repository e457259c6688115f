//! A single HTTP exchange with the platform.
//!
//! Each exchange has its own connection: the platform receives few requests,
//! and a write on a reused connection that the peer is closing could not be
//! distinguished from one that took effect.

use std::net::SocketAddr;
use std::time::Duration;

use futures::io::AsyncReadExt;
use http_types::Response;
use http_types::headers::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use kube_core::response::Status;
use threadledge_net::{
    BodyFault, ExchangeError, ExchangeFault, Instant, Pool, PoolSettings, convert, status, timer,
};

use crate::error::{PlatformError, PlatformErrorKind, WriteEffect};

/// Settings of the exchanges.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum time from the request to the complete response; for a watch, to
    /// the response head.
    pub response_timeout: Duration,
    /// Largest response, and largest line of a watch, in bytes.
    pub max_response_bytes: usize,
    /// Token sent as `Authorization: Bearer`, if any.
    pub token: Option<String>,
}

impl Default for TransportSettings {
    fn default() -> Self {
        TransportSettings {
            connect_timeout: Duration::from_secs(2),
            response_timeout: Duration::from_secs(10),
            max_response_bytes: 16 << 20,
            token: None,
        }
    }
}

/// Delay after a rate limit response without `Retry-After`.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest delay accepted from `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
const JSON: &str = "application/json";

/// HTTP transport to one address.
#[derive(Clone, Debug)]
pub struct Transport {
    address: SocketAddr,
    settings: TransportSettings,
    pool: Pool,
}

impl Transport {
    /// Creates a transport to `address` with these settings.
    pub fn new(address: SocketAddr, settings: TransportSettings) -> Self {
        let pool = Pool::new(PoolSettings {
            // With a zero timeout no idle connection is ever reused.
            idle_timeout: Duration::ZERO,
            connect_timeout: settings.connect_timeout,
            ..PoolSettings::default()
        });
        Transport {
            address,
            settings,
            pool,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &TransportSettings {
        &self.settings
    }

    /// Sends a request and reads the whole body of a successful response.
    ///
    /// # Errors
    ///
    /// Any failure, with the effect that a write may have had.
    pub async fn exchange(
        &self,
        request: http::Request<Vec<u8>>,
    ) -> Result<Vec<u8>, PlatformError> {
        let operation = Operation::of(&request);
        let request = self.convert(&operation, request)?;
        let deadline = Instant::now() + self.settings.response_timeout;
        let exchanged = self.pool.exchange(self.address, request, deadline).await;
        let response = exchanged.map_err(|error| self.exchange_error(&operation, error))?;
        if response.status().is_success() {
            self.read_body(&operation, response).await
        } else {
            Err(self.error_from_response(&operation, response).await)
        }
    }

    /// Sends a request and returns the successful response with its body
    /// unread, which may be endless.
    ///
    /// # Errors
    ///
    /// Any failure up to the response head.
    pub async fn open(&self, request: http::Request<Vec<u8>>) -> Result<Response, PlatformError> {
        let operation = Operation::of(&request);
        let request = self.convert(&operation, request)?;
        let deadline = Instant::now() + self.settings.response_timeout;
        let exchanging = self.pool.exchange_stream(self.address, request, deadline);
        let response = exchanging
            .await
            .map_err(|error| self.exchange_error(&operation, error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let error =
            timer::timeout_at(deadline, self.error_from_response(&operation, response)).await;
        let timed_out = PlatformErrorKind::TimedOut(self.settings.response_timeout);
        Err(error.unwrap_or_else(|_| operation.unknown_effect(timed_out)))
    }

    fn convert(
        &self,
        operation: &Operation,
        request: http::Request<Vec<u8>>,
    ) -> Result<http_types::Request, PlatformError> {
        let has_body = !request.body().is_empty();
        let host = self.address.to_string();
        let mut request = convert::request_to_http_types(request, &host).map_err(|error| {
            let kind = PlatformErrorKind::BadRequest(error.to_string());
            PlatformError::without_effect(&operation.name, kind)
        })?;
        request.insert_header(ACCEPT, JSON);
        if let Some(token) = &self.settings.token {
            request.insert_header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if has_body {
            request.insert_header(CONTENT_TYPE, JSON);
        }
        Ok(request)
    }

    /// Converts the error of an exchange. The request certainly had no effect
    /// only if none of its bytes can have been sent.
    fn exchange_error(&self, operation: &Operation, error: ExchangeError) -> PlatformError {
        if !error.stage.may_have_been_received() {
            let kind = PlatformErrorKind::Unreachable(error.fault.to_string());
            return PlatformError::without_effect(&operation.name, kind);
        }
        let kind = match error.fault {
            ExchangeFault::DeadlinePassed => {
                PlatformErrorKind::TimedOut(self.settings.response_timeout)
            }
            ExchangeFault::Malformed(text) => PlatformErrorKind::BadAnswer(text),
            fault => PlatformErrorKind::ConnectionLost(fault.to_string()),
        };
        operation.unknown_effect(kind)
    }

    async fn read_body(
        &self,
        operation: &Operation,
        response: Response,
    ) -> Result<Vec<u8>, PlatformError> {
        let limit = self.settings.max_response_bytes;
        let mut body = Vec::new();
        // Reading one byte more than allowed distinguishes a body at the limit
        // from one above it.
        let mut limited = response.take(limit as u64 + 1);
        let read = limited.read_to_end(&mut body).await;
        read.map_err(|error| operation.unknown_effect(self.body_error(&error)))?;
        if body.len() > limit {
            return Err(operation.unknown_effect(PlatformErrorKind::TooLarge(limit)));
        }
        Ok(body)
    }

    fn body_error(&self, error: &std::io::Error) -> PlatformErrorKind {
        match BodyFault::from_io_error(error) {
            Some(BodyFault::TooSlow) => PlatformErrorKind::TimedOut(self.settings.response_timeout),
            _ => PlatformErrorKind::ConnectionLost(error.to_string()),
        }
    }

    /// Converts an unsuccessful response into an error.
    async fn error_from_response(
        &self,
        operation: &Operation,
        response: Response,
    ) -> PlatformError {
        let code = status::code(&response);
        let wait = retry_after(&response);
        let body = self
            .read_body(operation, response)
            .await
            .unwrap_or_default();
        let status: Status = serde_json::from_slice(&body).unwrap_or_default();
        let kind = error_kind(code, wait, &status);
        match kind {
            // A server error may occur after the write took effect.
            PlatformErrorKind::ServerFailure { .. } => operation.unknown_effect(kind),
            _ => PlatformError::without_effect(&operation.name, kind),
        }
    }
}

/// Name of a request in errors, and whether it writes.
pub(crate) struct Operation {
    pub(crate) name: String,
    writes: bool,
}

impl Operation {
    pub(crate) fn of(request: &http::Request<Vec<u8>>) -> Self {
        Operation {
            name: format!("{} {}", request.method(), request.uri().path()),
            writes: !request.method().is_safe(),
        }
    }

    /// Builds an error after which a write may have taken effect.
    pub(crate) fn unknown_effect(&self, kind: PlatformErrorKind) -> PlatformError {
        let effect = if self.writes {
            WriteEffect::Ambiguous
        } else {
            WriteEffect::None
        };
        PlatformError {
            operation: self.name.clone(),
            kind,
            effect,
        }
    }
}

fn retry_after(response: &Response) -> Duration {
    let header = response.header(RETRY_AFTER);
    let seconds = header.and_then(|values| values.last().as_str().parse().ok());
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).min(MAX_RETRY_AFTER),
        None => DEFAULT_RETRY_AFTER,
    }
}

/// Maps the HTTP status and reason of a refused request to an error kind.
pub(crate) fn error_kind(code: u16, wait: Duration, status: &Status) -> PlatformErrorKind {
    let message = status.message.clone();
    match code {
        401 => PlatformErrorKind::Unauthorized,
        403 => PlatformErrorKind::Forbidden(message),
        404 => PlatformErrorKind::NotFound,
        409 if status.is_already_exists() => PlatformErrorKind::AlreadyExists,
        409 => PlatformErrorKind::Conflict,
        410 => PlatformErrorKind::Gone,
        429 => PlatformErrorKind::TooManyRequests(wait),
        504 if message.contains(STORE_BEHIND_MESSAGE) => PlatformErrorKind::StoreBehind,
        400..=499 => PlatformErrorKind::Refused {
            status: code,
            message,
        },
        _ => PlatformErrorKind::ServerFailure {
            status: code,
            message,
        },
    }
}

/// Start of the message that the object API sends for a version it has not
/// reached.
const STORE_BEHIND_MESSAGE: &str = "Too large resource version";
