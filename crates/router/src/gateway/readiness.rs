//! Readiness of this gateway, and the server for its status.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Request, Response, StatusCode};
use threadledge_net::{ServeReport, ServerLimits, StopSignal, serve};
use threadledge_ports::HeaderCodec;

use super::answer;
use super::dispatch::Dispatch;
use super::limits::Limits;
use super::metrics::GatewayMetrics;
use super::operator_keys;
use super::suspects::SuspectService;
use crate::events::{EventId, emit};
use crate::metrics::Metrics;

/// Maximum connections of the platform and of operators.
const MAX_CONNECTIONS: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const METRICS_PATH: &str = "/metrics";

/// Tracks whether this gateway should get new connections.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    configured: AtomicBool,
    back_ends_known: AtomicBool,
    stopping: AtomicBool,
    last_logged: AtomicBool,
}

impl Readiness {
    /// Records that a configuration is in force.
    pub(super) fn set_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
        self.log_change();
    }

    /// Records that the back ends are known.
    pub(super) fn set_back_ends_known(&self) {
        self.back_ends_known.store(true, Ordering::Relaxed);
        self.log_change();
    }

    /// Records that a planned stop has begun.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.log_change();
    }

    pub(super) fn is_ready(&self) -> bool {
        let configured = self.configured.load(Ordering::Relaxed);
        let back_ends_known = self.back_ends_known.load(Ordering::Relaxed);
        configured && back_ends_known && !self.stopping.load(Ordering::Relaxed)
    }

    fn log_change(&self) {
        let ready = self.is_ready();
        if self.last_logged.swap(ready, Ordering::Relaxed) == ready {
            return;
        }
        if ready {
            emit!(EventId::Ready);
        } else {
            emit!(EventId::NotReady, reason = "stopping");
        }
    }
}

/// Serves readiness, metrics and the state shown to operators. Clones share it.
#[derive(Clone)]
pub(super) struct StatusHandler {
    pub(super) readiness: Arc<Readiness>,
    pub(super) metrics: GatewayMetrics,
    pub(super) header_codec: Arc<dyn HeaderCodec>,
    /// Access to held requests, on the listener for operators.
    pub(super) suspects: Option<SuspectService>,
    /// Lookup of API keys, on the listener for operators.
    pub(super) keys: Option<Arc<Dispatch>>,
    /// Rate limits of tenants; shown only on the listener for operators.
    pub(super) limits: Limits,
}

impl StatusHandler {
    /// Serves until `stop` is signalled.
    pub(super) async fn serve(self, listener: TcpListener, stop: StopSignal) -> ServeReport {
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
            ..ServerLimits::default()
        };
        let handler = move |request: Request, _connection| {
            let answers = self.clone();
            async move { answers.respond(&request) }
        };
        serve(listener, limits, stop, handler).await
    }

    fn respond(&self, request: &Request) -> Response {
        let path = request.url().path();
        if path == self.header_codec.readiness_path() {
            return match self.readiness.is_ready() {
                true => answer::text(200, "ready", None),
                false => answer::text(503, "not-ready", None),
            };
        }
        if path == METRICS_PATH {
            return self.metrics_text();
        }
        let suspects = self.suspects.as_ref();
        let response = suspects.and_then(|suspects| suspects.answer_operator(request));
        let keys = self.keys.as_ref();
        let response = response.or_else(|| operator_keys::answer_operator(keys?, request));
        // Only operators may see limits; `suspects` is set only on their
        // listener.
        let response = response.or_else(|| suspects.and(self.limits.answer_operator(request)));
        response.unwrap_or_else(|| answer::text(404, "unknown-path", None))
    }

    fn metrics_text(&self) -> Response {
        self.limits.update_metrics();
        match self.metrics.text() {
            Ok(text) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(text);
                response.insert_header("content-type", Metrics::CONTENT_TYPE);
                response
            }
            Err(error) => answer::text(500, &error.to_string(), None),
        }
    }
}
