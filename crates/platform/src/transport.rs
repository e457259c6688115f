//! One HTTP exchange with the platform.
//!
//! Requests are built by `kube-core` with the types of `http`; `async-h1`
//! uses those of `http-types`. The two meet here and nowhere else.
//!
//! Each exchange has its own connection: the platform gets few requests, and
//! a write on a reused connection that the peer is just closing could not be
//! told from one that took effect.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::headers::{ACCEPT, AUTHORIZATION, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http_types::{Method, Response, Url};
use kube_core::response::Status;

use crate::error::{PlatformError, PlatformErrorKind, WriteEffect};

/// Bounds of one exchange.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Longest time from the request to the whole answer; for a watch, to
    /// the head of the answer.
    pub answer_timeout: Duration,
    /// Largest answer, and largest line of a watch, in bytes.
    pub max_answer_bytes: usize,
    /// Token sent as `Authorization: Bearer`, if any.
    pub token: Option<String>,
}

impl Default for TransportSettings {
    fn default() -> Self {
        TransportSettings {
            connect_timeout: Duration::from_secs(2),
            answer_timeout: Duration::from_secs(10),
            max_answer_bytes: 16 << 20,
            token: None,
        }
    }
}

/// Waits when the platform limits requests without saying how long.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait taken from `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
const JSON: &str = "application/json";

/// Exchanges with one address.
#[derive(Clone, Debug)]
pub struct Transport {
    address: SocketAddr,
    settings: TransportSettings,
}

impl Transport {
    /// Exchanges with `address` within the bounds of `settings`.
    pub fn new(address: SocketAddr, settings: TransportSettings) -> Self {
        Transport { address, settings }
    }

    /// The bounds in force.
    pub fn settings(&self) -> &TransportSettings {
        &self.settings
    }

    /// Sends a request and reads the whole body of a successful answer.
    ///
    /// # Errors
    ///
    /// Any failure, with the effect a write may have had.
    pub async fn exchange(
        &self,
        request: http::Request<Vec<u8>>,
    ) -> Result<Vec<u8>, PlatformError> {
        let operation = Operation::of(&request);
        let stream = self.connect(&operation).await?;
        let limit = self.settings.answer_timeout;
        let whole = Box::pin(self.send_and_read(&operation, stream, request));
        match timeout(limit, whole).await {
            Ok(result) => result,
            Err(_) => Err(operation.lost(PlatformErrorKind::TimedOut(limit))),
        }
    }

    /// Sends a request and gives the successful answer with its body unread.
    ///
    /// # Errors
    ///
    /// Any failure until the head of the answer.
    pub async fn open(&self, request: http::Request<Vec<u8>>) -> Result<Response, PlatformError> {
        let operation = Operation::of(&request);
        let stream = self.connect(&operation).await?;
        let limit = self.settings.answer_timeout;
        let head = Box::pin(self.send(&operation, stream, request));
        match timeout(limit, head).await {
            Ok(result) => result,
            Err(_) => Err(operation.lost(PlatformErrorKind::TimedOut(limit))),
        }
    }

    async fn connect(&self, operation: &Operation) -> Result<TcpStream, PlatformError> {
        let limit = self.settings.connect_timeout;
        let unreachable = |error: io::Error| {
            let kind = PlatformErrorKind::Unreachable(error.to_string());
            PlatformError::without_effect(&operation.name, kind)
        };
        match timeout(limit, TcpStream::connect(self.address)).await {
            Ok(connected) => connected.map_err(unreachable),
            Err(_) => Err(unreachable(io::ErrorKind::TimedOut.into())),
        }
    }

    async fn send_and_read(
        &self,
        operation: &Operation,
        stream: TcpStream,
        request: http::Request<Vec<u8>>,
    ) -> Result<Vec<u8>, PlatformError> {
        let response = self.send(operation, stream, request).await?;
        self.read_body(operation, response).await
    }

    async fn send(
        &self,
        operation: &Operation,
        stream: TcpStream,
        request: http::Request<Vec<u8>>,
    ) -> Result<Response, PlatformError> {
        let request = self.convert(operation, request)?;
        // From here on the request may reach the store, whatever comes back.
        // Boxed, because the library's future holds whole buffers and every
        // future around it would hold them again.
        let answer = Box::pin(async_h1::connect(stream, request)).await;
        let response = answer.map_err(|error| {
            operation.lost(PlatformErrorKind::ConnectionLost(error.to_string()))
        })?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(self.refusal(operation, response).await)
        }
    }

    fn convert(
        &self,
        operation: &Operation,
        request: http::Request<Vec<u8>>,
    ) -> Result<http_types::Request, PlatformError> {
        let bad_request = |text: String| {
            let kind = PlatformErrorKind::BadRequest(text);
            PlatformError::without_effect(&operation.name, kind)
        };
        let (parts, body) = request.into_parts();
        let url = format!("http://{}{}", self.address, parts.uri);
        let url = Url::parse(&url).map_err(|error| bad_request(error.to_string()))?;
        let method: Method = parts
            .method
            .as_str()
            .parse()
            .map_err(|_| bad_request(format!("method {}", parts.method)))?;
        let mut converted = http_types::Request::new(method, url);
        converted.insert_header(ACCEPT, JSON);
        converted.insert_header(CONNECTION, "close");
        if let Some(token) = &self.settings.token {
            converted.insert_header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if !body.is_empty() {
            converted.set_body(body);
            converted.insert_header(CONTENT_TYPE, JSON);
        }
        Ok(converted)
    }

    async fn read_body(
        &self,
        operation: &Operation,
        response: Response,
    ) -> Result<Vec<u8>, PlatformError> {
        let most = self.settings.max_answer_bytes;
        let expected = response.len();
        let mut body = Vec::new();
        // One byte more than allowed tells a body at the limit from one over it.
        let mut limited = response.take(most as u64 + 1);
        let read = limited.read_to_end(&mut body).await;
        read.map_err(|error| operation.lost(PlatformErrorKind::ConnectionLost(error.to_string())))?;
        if body.len() > most {
            return Err(operation.lost(PlatformErrorKind::TooLarge(most)));
        }
        if expected.is_some_and(|length| length > body.len()) {
            let cut_short = PlatformErrorKind::ConnectionLost("body cut short".to_owned());
            return Err(operation.lost(cut_short));
        }
        Ok(body)
    }

    /// Turns an unsuccessful answer into an error.
    async fn refusal(&self, operation: &Operation, response: Response) -> PlatformError {
        let code = u16::from(response.status());
        let wait = retry_after(&response);
        let body = self
            .read_body(operation, response)
            .await
            .unwrap_or_default();
        let status: Status = serde_json::from_slice(&body).unwrap_or_default();
        let kind = kind_of(code, wait, &status);
        match kind {
            // A server that failed may have failed after it wrote.
            PlatformErrorKind::ServerFailure { .. } => operation.lost(kind),
            _ => PlatformError::without_effect(&operation.name, kind),
        }
    }
}

/// Names a request in errors and knows whether it writes.
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

    /// A failure after which a write may have taken effect.
    pub(crate) fn lost(&self, kind: PlatformErrorKind) -> PlatformError {
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

/// Kind of a refusal by its HTTP status and reason.
pub(crate) fn kind_of(code: u16, wait: Duration, status: &Status) -> PlatformErrorKind {
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

/// Beginning of the object API's message for a version it has not reached.
const STORE_BEHIND_MESSAGE: &str = "Too large resource version";
