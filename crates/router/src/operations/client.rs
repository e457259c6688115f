//! Client of the operators' service, for the subcommands and tests.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Url;
use serde::de::DeserializeOwned;
use thiserror::Error;
use threadledge_net::HttpClient;

use super::report::{ExplainRequest, Explanation, StatusReport};
use super::service::{HEADER_PARAMETER, ProblemBody, path};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Error of an operator's request.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The router did not respond.
    #[error(
        "{address} did not answer ({cause}); check that the router runs and that this is its operator-address"
    )]
    NoAnswer {
        /// Address of the router.
        address: SocketAddr,
        /// The underlying error.
        cause: String,
    },
    /// The router refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Description of the problem and its remedy.
        message: String,
    },
    /// The response cannot be parsed.
    #[error("the response cannot be parsed ({0}); use the same version on both sides")]
    Unreadable(#[from] serde_json::Error),
}

/// Client of one router's operators' service.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    http: HttpClient,
}

impl OperatorClient {
    /// Creates a client of the router whose `operator-address` is `address`.
    pub fn new(address: SocketAddr) -> Self {
        OperatorClient {
            address,
            http: HttpClient::default(),
        }
    }

    /// Returns the state of the router.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn status(&self) -> Result<StatusReport, ClientError> {
        self.request_json("GET", path::STATUS).await
    }

    /// Returns how the router would route a request.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]. A request that would reach no slice is refused with
    /// the status that its caller would receive.
    pub async fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ClientError> {
        self.request_json("GET", &explain_path(request)).await
    }

    /// Starts a planned stop.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn drain(&self) -> Result<(), ClientError> {
        self.send("POST", path::DRAIN).await.map(drop)
    }

    async fn request_json<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
    ) -> Result<T, ClientError> {
        let body = self.send(method, path).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn send(&self, method: &str, path: &str) -> Result<Vec<u8>, ClientError> {
        let no_answer = |cause: String| ClientError::NoAnswer {
            address: self.address,
            cause,
        };
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .body(Vec::new())
            .map_err(|error| no_answer(error.to_string()))?;
        let response = self
            .http
            .send(self.address, request, TIMEOUT)
            .await
            .map_err(|error| no_answer(error.to_string()))?;
        let status = response.status().as_u16();
        let succeeded = response.status().is_success();
        let body = response.into_body();
        if succeeded {
            Ok(body)
        } else {
            Err(ClientError::Refused {
                status,
                message: refusal_message(&body),
            })
        }
    }
}

fn refusal_message(body: &[u8]) -> String {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => problem.message,
        Err(_) => String::from_utf8_lossy(body).trim().to_owned(),
    }
}

/// Returns the percent-encoded path and query that ask to explain `request`.
fn explain_path(request: &ExplainRequest) -> String {
    let Ok(mut url) = Url::parse("http://router") else {
        return path::EXPLAIN.to_owned();
    };
    url.set_path(path::EXPLAIN);
    {
        let mut query = url.query_pairs_mut();
        query.append_pair("host", &request.host);
        query.append_pair("method", &request.method);
        query.append_pair("path", &request.path);
        for (name, value) in &request.headers {
            query.append_pair(HEADER_PARAMETER, &format!("{name}:{value}"));
        }
    }
    match url.query() {
        Some(query) => format!("{}?{query}", path::EXPLAIN),
        None => path::EXPLAIN.to_owned(),
    }
}
