//! Sends one request on one connection and classifies its outcome.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::headers::{CONNECTION, HOST};
use http_types::{Method, Request, Response, Url};
use threadledge_types::outcome::{OUTCOME_HEADER, REASON_HEADER};

use super::connection_pool::ConnectionPool;
use crate::history::{AttemptOutcome, RequestId};
use crate::stand_in::back_end::{
    ANSWER_CHECKSUM_HEADER, LAB_REQUEST_HEADER, answer_body, answer_checksum,
};

/// Status of a successful response from a back end.
pub(super) const SUCCESS_STATUS: u16 = 200;

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    pub request: RequestId,
    pub method: Method,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub repeatable: bool,
}

/// Result of one exchange.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ExchangeResult {
    pub outcome: AttemptOutcome,
    pub reason: Option<String>,
    pub status: Option<u16>,
    pub answer_matches: Option<bool>,
}

impl ExchangeResult {
    /// Returns the result of an exchange without a response.
    fn failed(outcome: AttemptOutcome, reason: impl ToString) -> Self {
        ExchangeResult {
            outcome,
            reason: Some(reason.to_string()),
            status: None,
            answer_matches: None,
        }
    }
}

/// Sends `message` and waits at most `time_limit` to connect and at most
/// `time_limit` for the complete response.
pub(super) async fn exchange(
    connections: &ConnectionPool,
    message: &OutgoingRequest,
    time_limit: Duration,
) -> ExchangeResult {
    let stream = match timeout(time_limit, connections.checkout()).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return ExchangeResult::failed(AttemptOutcome::NotSent, error),
        Err(_) => {
            return ExchangeResult::failed(AttemptOutcome::NotSent, "no connection in time");
        }
    };
    match timeout(time_limit, send(stream.clone(), message)).await {
        Ok(Ok((result, reusable))) => {
            if reusable {
                connections.check_in(stream);
            }
            result
        }
        Ok(Err(error)) => ExchangeResult::failed(AttemptOutcome::Cut, error),
        Err(_) => ExchangeResult::failed(AttemptOutcome::TimedOut, "the caller's patience ended"),
    }
}

/// Sends a request and reads the response. The flag tells whether the
/// connection can be reused.
async fn send(
    stream: TcpStream,
    message: &OutgoingRequest,
) -> http_types::Result<(ExchangeResult, bool)> {
    let mut response = async_h1::connect(stream, to_request(message)?).await?;
    let expected_length = response.len();
    let body = response.body_bytes().await?;
    let whole = expected_length.is_none_or(|length| length == body.len());
    if !whole {
        let reason = format!("{} of {expected_length:?} bytes", body.len());
        return Ok((ExchangeResult::failed(AttemptOutcome::Cut, reason), false));
    }
    let reusable = !header(&response, CONNECTION.as_str())
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok((classify(message.request, &response, &body), reusable))
}

fn to_request(message: &OutgoingRequest) -> http_types::Result<Request> {
    let url = Url::parse(&format!("http://{}{}", message.host, message.path))?;
    let mut request = Request::new(message.method, url);
    request.insert_header(HOST, message.host.as_str());
    request.insert_header(LAB_REQUEST_HEADER, message.request.to_string());
    for (name, value) in &message.headers {
        request.insert_header(name.as_str(), value.as_str());
    }
    if !message.repeatable {
        let key = format!("\"lab-{}\"", message.request);
        request.insert_header("idempotency-key", key);
        request.set_body(format!("request {}", message.request));
    }
    Ok(request)
}

/// Derives the outcome from the headers of a complete response.
fn classify(request: RequestId, response: &Response, body: &[u8]) -> ExchangeResult {
    let status = Some(u16::from(response.status()));
    let reason = header(response, REASON_HEADER).map(str::to_owned);
    match header(response, OUTCOME_HEADER) {
        Some("answered") => ExchangeResult {
            outcome: AttemptOutcome::Answered,
            reason,
            status,
            answer_matches: Some(body_matches(request, response, body)),
        },
        Some("not-run") => ExchangeResult {
            outcome: AttemptOutcome::NotRun,
            reason,
            status,
            answer_matches: None,
        },
        Some(_) => ExchangeResult {
            outcome: AttemptOutcome::Unknown,
            reason,
            status,
            answer_matches: None,
        },
        // Without the header the outcome is unknown.
        None => ExchangeResult {
            outcome: AttemptOutcome::Unknown,
            reason: Some("no outcome header".to_owned()),
            status,
            answer_matches: (status == Some(SUCCESS_STATUS))
                .then(|| body_matches(request, response, body)),
        },
    }
}

/// Returns whether the body is complete and belongs to this request.
fn body_matches(request: RequestId, response: &Response, body: &[u8]) -> bool {
    let checksum = header(response, ANSWER_CHECKSUM_HEADER);
    body == answer_body(request).as_bytes() && checksum == Some(&answer_checksum(body))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.as_str())
}
