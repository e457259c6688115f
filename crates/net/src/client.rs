//! HTTP client for control traffic. Requests and responses carry JSON, read
//! either whole or line by line.

use std::net::SocketAddr;
use std::time::Duration;

use futures::io::AsyncReadExt;
use http_types::{Body, Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Instant;
use crate::convert;
use crate::json_lines::JsonLines;
use crate::pool::{ConnectionChoice, HeldConnection, Pool, PoolSettings};
use crate::timer;

pub use crate::client_error::{ClientError, RequestError};

/// Read buffer size for a potentially large response body.
const PART_BYTES: usize = 16 * 1024;

/// Timeouts for the body of a potentially large response.
#[derive(Clone, Copy, Debug)]
pub struct BodyTimeouts {
    /// Longest time without receiving a byte.
    pub idle: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
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
    /// Creates a client with its own pool.
    pub fn new(settings: PoolSettings) -> Self {
        HttpClient {
            pool: Pool::new(settings),
        }
    }

    /// Posts `body` as JSON and parses the response body as JSON.
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

    /// Gets `path` and parses the response body as JSON.
    pub async fn get_json<R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, ClientError> {
        let request = request(Method::Get, to, path, None)?;
        self.call_json(to, request, timeout).await
    }

    /// Sends a request of the `http` crate and reads the whole response,
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

    /// Like [`HttpClient::send`], and returns the connection with the response:
    /// the caller decides whether it is reused.
    pub async fn send_held(
        &self,
        to: SocketAddr,
        choice: ConnectionChoice,
        request: http::Request<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(http::Response<Vec<u8>>, HeldConnection), ClientError> {
        let request =
            convert::request_to_http_types(request, &to.to_string()).map_err(RequestError::from)?;
        let deadline = Instant::now() + timeout;
        let connection = match choice {
            ConnectionChoice::Any => self.pool.checkout(to, deadline).await,
            ConnectionChoice::New => self.pool.open_new(to, deadline).await,
        };
        let connection = connection.map_err(ClientError::from_exchange)?;
        let sent = connection.exchange_held(request, deadline).await;
        let (mut response, held) = sent.map_err(ClientError::from_exchange)?;
        let body = response.take_body();
        let body = self.read_body(to, body, deadline).await?;
        let response = convert::response_to_http(&response, body).map_err(RequestError::from)?;
        Ok((response, held))
    }

    /// Like [`HttpClient::send`], for potentially large responses: `timeout`
    /// limits the time until the response head, and `body_timeouts` the time
    /// for the body. A body that arrives slowly over a saturated link is read
    /// to its end, because requesting it again would saturate the link again.
    pub async fn send_with_body_timeouts(
        &self,
        to: SocketAddr,
        request: http::Request<Vec<u8>>,
        timeout: Duration,
        body_timeouts: BodyTimeouts,
    ) -> Result<http::Response<Vec<u8>>, ClientError> {
        let request =
            convert::request_to_http_types(request, &to.to_string()).map_err(RequestError::from)?;
        let (response, body) = self
            .call_with_body_timeouts(to, request, timeout, body_timeouts)
            .await?;
        Ok(convert::response_to_http(&response, body).map_err(RequestError::from)?)
    }

    /// Like [`HttpClient::post_json`], for potentially large responses: see
    /// [`HttpClient::send_with_body_timeouts`].
    pub async fn post_json_with_body_timeouts<T: Serialize + ?Sized, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
        body_timeouts: BodyTimeouts,
    ) -> Result<R, ClientError> {
        let request = request(Method::Post, to, path, Some(json(body)?))?;
        let response = self
            .call_with_body_timeouts(to, request, timeout, body_timeouts)
            .await?;
        read_json(to, response)
    }

    /// Gets `path` and reads the response line by line, one JSON value per
    /// line, for as long as the peer sends. `timeout` limits only the time
    /// until the response head.
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
        read_json(to, self.call(to, request, timeout).await?)
    }

    async fn call_with_body_timeouts(
        &self,
        to: SocketAddr,
        request: Request,
        timeout: Duration,
        body_timeouts: BodyTimeouts,
    ) -> Result<(Response, Vec<u8>), ClientError> {
        let head_deadline = Instant::now() + timeout;
        let sent = self.pool.exchange_stream(to, request, head_deadline).await;
        let mut response = sent.map_err(ClientError::from_exchange)?;
        let body = response.take_body();
        let body = self.read_large(to, body, body_timeouts).await?;
        Ok((response, body))
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

    /// Reads a body, limiting both the time without progress and the total
    /// time.
    async fn read_large(
        &self,
        from: SocketAddr,
        mut body: Body,
        body_timeouts: BodyTimeouts,
    ) -> Result<Vec<u8>, ClientError> {
        let limit = self.check_announced(from, &body)?;
        let total_deadline = Instant::now() + body_timeouts.total;
        let mut bytes = Vec::new();
        let mut part = vec![0; PART_BYTES];
        loop {
            let deadline = total_deadline.min(Instant::now() + body_timeouts.idle);
            let read = match timer::timeout_at(deadline, body.read(&mut part)).await {
                Err(timer::Elapsed) => return Err(ClientError::timed_out(from)),
                Ok(Err(error)) => return Err(ClientError::from_body(from, error)),
                Ok(Ok(read)) => read,
            };
            if read == 0 {
                return Ok(bytes);
            }
            bytes.extend_from_slice(&part[..read]);
            if bytes.len() as u64 > limit {
                return Err(ClientError::ResponseTooLarge {
                    address: from,
                    limit,
                });
            }
        }
    }

    async fn read_body(
        &self,
        from: SocketAddr,
        body: Body,
        deadline: Instant,
    ) -> Result<Vec<u8>, ClientError> {
        let limit = self.check_announced(from, &body)?;
        let mut bytes = Vec::new();
        let mut bounded = body.take(limit + 1);
        let read = bounded.read_to_end(&mut bytes);
        match timer::timeout_at(deadline, read).await {
            Err(timer::Elapsed) => Err(ClientError::timed_out(from)),
            Ok(Err(error)) => Err(ClientError::from_body(from, error)),
            Ok(Ok(_)) if bytes.len() as u64 > limit => Err(ClientError::ResponseTooLarge {
                address: from,
                limit,
            }),
            Ok(Ok(_)) => Ok(bytes),
        }
    }

    /// Returns the limit of a body that is read whole, unless the head has
    /// announced more.
    fn check_announced(&self, from: SocketAddr, body: &Body) -> Result<u64, ClientError> {
        let limit = self.max_body_bytes();
        let announced = body.len().unwrap_or_default() as u64;
        if announced > limit {
            return Err(ClientError::ResponseTooLarge {
                address: from,
                limit,
            });
        }
        Ok(limit)
    }

    fn max_body_bytes(&self) -> u64 {
        self.pool.settings().max_body_bytes
    }
}

fn read_json<R: DeserializeOwned>(
    from: SocketAddr,
    (response, body): (Response, Vec<u8>),
) -> Result<R, ClientError> {
    if !response.status().is_success() {
        return Err(ClientError::status(from, &response, body));
    }
    serde_json::from_slice(&body).map_err(ClientError::Body)
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
