//! HTTP client for control traffic. Requests and responses carry JSON, read
//! either whole or line by line.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Body, Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Instant;
use crate::convert;
use crate::json_lines::JsonLines;
use crate::pool::{ConnectionChoice, HeldConnection, Pool, PoolSettings};
use crate::whole_body::{TimeLimits, WholeBodies};

pub use crate::client_error::{ClientError, RequestError};

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
    bodies: WholeBodies,
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
            bodies: WholeBodies::new(&settings),
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
            self.bodies.max_bytes(),
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
        let limits = TimeLimits {
            idle: Some(body_timeouts.idle),
            deadline: Instant::now() + body_timeouts.total,
        };
        let body = self.bodies.read(to, body, limits).await?;
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

    async fn read_body(
        &self,
        from: SocketAddr,
        body: Body,
        deadline: Instant,
    ) -> Result<Vec<u8>, ClientError> {
        let limits = TimeLimits {
            idle: None,
            deadline,
        };
        self.bodies.read(from, body, limits).await
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
