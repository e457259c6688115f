//! The operators' HTTP service.

use std::sync::Arc;

use async_std::net::TcpListener;
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use threadledge_net::{ServeReport, ServerLimits, StopSignal};

use super::report::ExplainRequest;
use super::view::RouterView;
use crate::metrics::Metrics;

/// Paths of the operators' service.
pub mod path {
    /// Liveness of the process.
    pub const HEALTH: &str = "/healthz";
    /// Readiness of the router.
    pub const READY: &str = "/readyz";
    /// Metrics in the Prometheus text format.
    pub const METRICS: &str = "/metrics";
    /// State of the router.
    pub const STATUS: &str = "/v1/status";
    /// Explanation of how a request would be routed.
    pub const EXPLAIN: &str = "/v1/explain";
    /// Starts a planned stop.
    pub const DRAIN: &str = "/v1/drain";
}

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 64;
/// Maximum size of a request body, in bytes. No request needs one.
const MAX_BODY_BYTES: u64 = 4_096;
/// Query parameter of `explain` that carries a request header as `name:value`.
/// It may be repeated.
pub(super) const HEADER_PARAMETER: &str = "header";

/// Responds to operators' requests about a router.
#[derive(Clone)]
pub struct OperatorService {
    view: Arc<dyn RouterView>,
    metrics: Metrics,
}

impl OperatorService {
    /// Creates a service that reports from `view` and `metrics`.
    pub fn new(view: Arc<dyn RouterView>, metrics: Metrics) -> Self {
        OperatorService { view, metrics }
    }

    /// Returns the response to a request.
    pub fn respond(&self, request: &Request) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Get, path::HEALTH) => text(StatusCode::Ok, "ok\n".to_owned()),
            (Method::Get, path::READY) => self.ready(),
            (Method::Get, path::METRICS) => self.metrics_text(),
            (Method::Get, path::STATUS) => json(StatusCode::Ok, &self.view.status()),
            (Method::Get, path::EXPLAIN) => self.explain(request),
            (Method::Post, path::DRAIN) => self.drain(),
            (method, path) => unknown_endpoint(method, path),
        }
    }

    fn ready(&self) -> Response {
        let readiness = self.view.readiness();
        if readiness.is_ready() {
            return text(StatusCode::Ok, "ready\n".to_owned());
        }
        let mut body = String::new();
        for reason in &readiness.reasons {
            body.push_str(&format!("{reason}: {}\n", reason.remedy()));
        }
        text(StatusCode::ServiceUnavailable, body)
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.encode() {
            Ok(body) => {
                let mut response = text(StatusCode::Ok, body);
                response.insert_header("content-type", Metrics::CONTENT_TYPE);
                response
            }
            Err(error) => text(StatusCode::InternalServerError, format!("{error}\n")),
        }
    }

    fn explain(&self, request: &Request) -> Response {
        let explain_request = match parse_explain(request) {
            Ok(explain_request) => explain_request,
            Err(remedy) => return problem(StatusCode::BadRequest, remedy.to_owned()),
        };
        match self.view.explain(&explain_request) {
            Ok(explanation) => json(StatusCode::Ok, &explanation),
            Err(error) => {
                let status = StatusCode::try_from(error.reason().status())
                    .unwrap_or(StatusCode::InternalServerError);
                problem(status, error.to_string())
            }
        }
    }

    fn drain(&self) -> Response {
        self.view.start_drain();
        text(StatusCode::Accepted, "draining\n".to_owned())
    }
}

/// Serves operators until `stop` is signalled.
///
/// Signal `stop` only when the planned stop has ended, so that operators can
/// observe it until then.
pub async fn serve(
    listener: TcpListener,
    service: OperatorService,
    stop: StopSignal,
) -> ServeReport {
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_BODY_BYTES,
        ..ServerLimits::default()
    };
    threadledge_net::serve(listener, limits, stop, move |request, _| {
        let response = service.respond(&request);
        async move { response }
    })
    .await
}

/// Body of an error response.
#[derive(Debug, Serialize, serde::Deserialize)]
pub struct ProblemBody {
    /// Description of the problem and its remedy.
    pub message: String,
}

fn parse_explain(request: &Request) -> Result<ExplainRequest, &'static str> {
    let mut explain_request = ExplainRequest {
        method: "GET".to_owned(),
        ..ExplainRequest::default()
    };
    for (name, value) in request.url().query_pairs() {
        match name.as_ref() {
            "host" => explain_request.host = value.into_owned(),
            "method" => explain_request.method = value.into_owned(),
            "path" => explain_request.path = value.into_owned(),
            HEADER_PARAMETER => explain_request.headers.push(parse_header(&value)?),
            _ => return Err("unknown parameter; use host, method, path and header=name:value"),
        }
    }
    if explain_request.host.is_empty() || explain_request.path.is_empty() {
        return Err("host or path is missing; add both parameters");
    }
    if !explain_request.path.starts_with('/') {
        return Err("path does not start with '/'; add it");
    }
    Ok(explain_request)
}

fn parse_header(text: &str) -> Result<(String, String), &'static str> {
    match text.split_once(':') {
        Some((name, value)) if !name.is_empty() => {
            Ok((name.to_ascii_lowercase(), value.trim().to_owned()))
        }
        _ => Err("header is not name:value; write for example header=x-key:42"),
    }
}

fn unknown_endpoint(method: Method, requested: &str) -> Response {
    let known = match requested {
        path::HEALTH | path::READY | path::METRICS | path::STATUS | path::EXPLAIN => Some("GET"),
        path::DRAIN => Some("POST"),
        _ => None,
    };
    match known {
        Some(allowed) => {
            let message = format!("{method} is not allowed here; use {allowed}");
            let mut response = problem(StatusCode::MethodNotAllowed, message);
            response.insert_header("allow", allowed);
            response
        }
        None => problem(
            StatusCode::NotFound,
            format!(
                "no such path; use {}, {}, {}, {}, {} or {}",
                path::HEALTH,
                path::READY,
                path::METRICS,
                path::STATUS,
                path::EXPLAIN,
                path::DRAIN
            ),
        ),
    }
}

fn problem(status: StatusCode, message: String) -> Response {
    json(status, &ProblemBody { message })
}

fn text(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

fn json(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            let mut response = Response::new(status);
            response.set_body(bytes);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(error) => text(StatusCode::InternalServerError, format!("{error}\n")),
    }
}
