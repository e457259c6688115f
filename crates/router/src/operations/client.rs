//! Client of the operators' service, for the subcommands and for tests.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Url;
use serde::de::DeserializeOwned;
use thiserror::Error;
use threadledge_net::HttpClient;

use super::report::{ExplainRequest, Explanation, StatusReport};
use super::service::{HEADER_PARAMETER, ProblemBody, path};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why an operator's request failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No answer came.
    #[error(
        "{address} did not answer ({cause}); check that the router runs and that this is its operator-address"
    )]
    NoAnswer {
        /// Address asked.
        address: SocketAddr,
        /// What failed.
        cause: String,
    },
    /// The router refused the request.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What is wrong and what to do about it.
        message: String,
    },
    /// The answer cannot be read.
    #[error("the answer cannot be read ({0}); use the same version on both sides")]
    Unreadable(#[from] serde_json::Error),
}

/// Asks one router's operators' service.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    http: HttpClient,
}

impl OperatorClient {
    /// A client of the router whose `operator-address` is `address`.
    pub fn new(address: SocketAddr) -> Self {
        OperatorClient {
            address,
            http: HttpClient::default(),
        }
    }

    /// State of the router.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn status(&self) -> Result<StatusReport, ClientError> {
        self.ask("GET", path::STATUS).await
    }

    /// What would become of a request.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; a request that reaches no slice is refused with
    /// the status that its caller would get.
    pub async fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ClientError> {
        self.ask("GET", &explain_path(request)).await
    }

    /// Starts a planned stop.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn drain(&self) -> Result<(), ClientError> {
        self.send("POST", path::DRAIN).await.map(drop)
    }

    async fn ask<T: DeserializeOwned>(&self, method: &str, path: &str) -> Result<T, ClientError> {
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
                message: message_of(&body),
            })
        }
    }
}

fn message_of(body: &[u8]) -> String {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => problem.message,
        Err(_) => String::from_utf8_lossy(body).trim().to_owned(),
    }
}

/// Path and query of `request`, percent-encoded.
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
