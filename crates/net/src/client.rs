//! HTTP client for control traffic: JSON out, JSON back, whole or by lines.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::io::AsyncReadExt;
use http_types::{Body, Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::BodyFault;
use crate::convert::{self, ConvertError};
use crate::json_lines::JsonLines;
use crate::pool::{ExchangeError, ExchangeFault, Pool, PoolSettings, Stage};
use crate::timer;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No connection, or nothing was sent on it.
    #[error("could not reach {address} ({source}); see whether it runs and is reachable")]
    Connect {
        /// The peer.
        address: SocketAddr,
        /// What failed.
        source: ExchangeError,
    },
    /// The exchange broke after some of the request may have been received.
    #[error("the call broke ({0}); read the state back before sending it again")]
    Broken(ExchangeError),
    /// No complete answer within the time allowed.
    #[error("no complete answer from {address} in time; allow more time or look for what is slow")]
    Timeout {
        /// The peer.
        address: SocketAddr,
        /// Whether any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The peer answered with a status other than 2xx.
    #[error(
        "{address} answered with status {code}; its body names the cause: {}",
        String::from_utf8_lossy(body)
    )]
    Status {
        /// The peer.
        address: SocketAddr,
        /// The status.
        code: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The answer's body is not the JSON expected.
    #[error(
        "the answer is not the JSON expected ({0}); see whether both sides run the same version"
    )]
    Body(#[source] serde_json::Error),
    /// The answer is larger than the settings allow.
    #[error(
        "the answer of {address} is larger than {limit} bytes; ask for less or raise the limit"
    )]
    AnswerTooLarge {
        /// The peer.
        address: SocketAddr,
        /// The limit.
        limit: u64,
    },
    /// The request cannot be expressed.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// The request cannot be expressed; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The path is not valid.
    #[error("'{0}' is not a path; write /path?query")]
    Path(String),
    /// The body cannot be written as JSON.
    #[error("the body cannot be written as JSON ({0}); mend its type")]
    Json(#[from] serde_json::Error),
    /// The request has a part that async-h1 cannot send.
    #[error(transparent)]
    Convert(#[from] ConvertError),
}

impl ClientError {
    /// Whether the peer may have received, and so carried out, the request.
    pub fn may_have_been_received(&self) -> bool {
        match self {
            ClientError::Connect { .. } | ClientError::Request(_) => false,
            ClientError::Timeout { sent, .. } => *sent,
            ClientError::Broken(_)
            | ClientError::Status { .. }
            | ClientError::Body(_)
            | ClientError::AnswerTooLarge { .. } => true,
        }
    }

    /// Status and body, if the peer answered with a status other than 2xx.
    pub fn answered_status(&self) -> Option<(u16, &[u8])> {
        match self {
            ClientError::Status { code, body, .. } => Some((*code, body)),
            _ => None,
        }
    }

    fn from_exchange(error: ExchangeError) -> Self {
        let sent = error.stage.may_have_been_received();
        match error.fault {
            ExchangeFault::DeadlinePassed => ClientError::Timeout {
                address: error.address,
                sent,
            },
            _ if sent => ClientError::Broken(error),
            _ => ClientError::Connect {
                address: error.address,
                source: error,
            },
        }
    }

    pub(crate) fn from_body(address: SocketAddr, error: std::io::Error) -> Self {
        let fault = match BodyFault::of(&error) {
            Some(BodyFault::TooSlow) => return ClientError::late(address),
            Some(BodyFault::Truncated) => ExchangeFault::Truncated,
            Some(fault) => ExchangeFault::Malformed(fault.to_string()),
            None => ExchangeFault::Io(error),
        };
        ClientError::Broken(ExchangeError {
            address,
            stage: Stage::ResponseBody,
            fault,
        })
    }

    pub(crate) fn late(address: SocketAddr) -> Self {
        ClientError::Timeout {
            address,
            sent: true,
        }
    }

    fn status(address: SocketAddr, response: &Response, body: Vec<u8>) -> Self {
        ClientError::Status {
            address,
            code: u16::from(response.status()),
            body,
        }
    }
}

/// Pooled HTTP client. Clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: Pool,
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new(PoolSettings::default())
    }
}

impl HttpClient {
    /// A client with its own pool.
    pub fn new(settings: PoolSettings) -> Self {
        HttpClient {
            pool: Pool::new(settings),
        }
    }

    /// Posts `body` as JSON and reads the answer as JSON.
    pub async fn post_json<T: Serialize + ?Sized, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<R, ClientError> {
        let request = request(Method::Post, to, path, Some(json(body)?))?;
        self.call_json(to, request, timeout).await
    }

    /// Gets `path` and reads the answer as JSON.
    pub async fn get_json<R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, ClientError> {
        let request = request(Method::Get, to, path, None)?;
        self.call_json(to, request, timeout).await
    }

    /// Sends a request of the `http` crate and reads the answer whole,
    /// whatever its status.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: http::Request<Vec<u8>>,
        timeout: Duration,
    ) -> Result<http::Response<Vec<u8>>, ClientError> {
        let request =
            convert::request_to_http_types(request, &to.to_string()).map_err(RequestError::from)?;
        let (response, body) = self.call(to, request, timeout).await?;
        Ok(convert::response_to_http(&response, body).map_err(RequestError::from)?)
    }

    /// Gets `path` and reads the answer line by line, each line one JSON
    /// value, for as long as the peer sends. `timeout` bounds the time to the
    /// answer's head only.
    pub async fn get_json_lines(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<JsonLines, ClientError> {
        let request = request(Method::Get, to, path, None)?;
        let deadline = Instant::now() + timeout;
        let sent = self.pool.exchange_stream(to, request, deadline).await;
        let mut response = sent.map_err(ClientError::from_exchange)?;
        if !response.status().is_success() {
            let body = self.read_body(to, response.take_body(), deadline).await?;
            return Err(ClientError::status(to, &response, body));
        }
        Ok(JsonLines::new(
            to,
            response.take_body(),
            self.max_body_bytes(),
        ))
    }

    async fn call_json<R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<R, ClientError> {
        let (response, body) = self.call(to, request, timeout).await?;
        if !response.status().is_success() {
            return Err(ClientError::status(to, &response, body));
        }
        serde_json::from_slice(&body).map_err(ClientError::Body)
    }

    async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let deadline = Instant::now() + timeout;
        let sent = self.pool.exchange(to, request, deadline).await;
        let mut response = sent.map_err(ClientError::from_exchange)?;
        let body = response.take_body();
        let body = self.read_body(to, body, deadline).await?;
        Ok((response, body))
    }

    async fn read_body(
        &self,
        from: SocketAddr,
        body: Body,
        deadline: Instant,
    ) -> Result<Vec<u8>, ClientError> {
        let limit = self.max_body_bytes();
        let mut bytes = Vec::new();
        let mut bounded = body.take(limit + 1);
        let read = bounded.read_to_end(&mut bytes);
        match timer::timeout_at(deadline, read).await {
            Err(timer::Elapsed) => Err(ClientError::late(from)),
            Ok(Err(error)) => Err(ClientError::from_body(from, error)),
            Ok(Ok(_)) if bytes.len() as u64 > limit => Err(ClientError::AnswerTooLarge {
                address: from,
                limit,
            }),
            Ok(Ok(_)) => Ok(bytes),
        }
    }

    fn max_body_bytes(&self) -> u64 {
        self.pool.settings().max_body_bytes
    }
}

fn json<T: Serialize + ?Sized>(body: &T) -> Result<Vec<u8>, RequestError> {
    Ok(serde_json::to_vec(body)?)
}

fn request(
    method: Method,
    to: SocketAddr,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request, RequestError> {
    let url = Url::parse(&format!("http://{to}{path}"))
        .map_err(|_| RequestError::Path(path.to_owned()))?;
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.set_body(Body::from_bytes(body));
        request.set_content_type(http_types::mime::JSON);
    }
    Ok(request)
}
