//! Whether this gateway takes new connections, and the server that says so.

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
use super::operate_keys;
use super::suspects::SuspectService;
use crate::events::{EventId, emit};
use crate::metrics::Metrics;

/// Connections of the platform and of operators.
const MAX_CONNECTIONS: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Whether this gateway takes new connections.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    configured: AtomicBool,
    listed: AtomicBool,
    leaving: AtomicBool,
    told: AtomicBool,
}

impl Readiness {
    /// A configuration is in force.
    pub(super) fn set_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
        self.tell();
    }

    /// The back ends are known.
    pub(super) fn set_back_ends_known(&self) {
        self.listed.store(true, Ordering::Relaxed);
        self.tell();
    }

    /// A planned stop has begun.
    pub(super) fn begin_stop(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.tell();
    }

    pub(super) fn is_ready(&self) -> bool {
        let configured = self.configured.load(Ordering::Relaxed);
        let listed = self.listed.load(Ordering::Relaxed);
        configured && listed && !self.leaving.load(Ordering::Relaxed)
    }

    fn tell(&self) {
        let ready = self.is_ready();
        if self.told.swap(ready, Ordering::Relaxed) == ready {
            return;
        }
        if ready {
            emit!(EventId::Ready);
        } else {
            emit!(EventId::NotReady, reason = "stopping");
        }
    }
}

/// Answers questions on this gateway's state. Clones share it.
#[derive(Clone)]
pub(super) struct StatusHandler {
    pub(super) readiness: Arc<Readiness>,
    pub(super) metrics: GatewayMetrics,
    pub(super) header_codec: Arc<dyn HeaderCodec>,
    /// Requests that are held, where operators ask.
    pub(super) suspects: Option<SuspectService>,
    /// Whose callers' keys are, where operators ask.
    pub(super) keys: Option<Arc<Dispatch>>,
    /// Limits of tenants; shown where operators ask.
    pub(super) limits: Limits,
}

impl StatusHandler {
    /// Serves until `stop` is given.
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
        let held = suspects.and_then(|suspects| suspects.operate(request));
        let keys = self.keys.as_ref();
        let operated = held.or_else(|| operate_keys::operate(keys?, request));
        // Only operators are shown what is held.
        let operated = operated.or_else(|| suspects.and(self.limits.operate(request)));
        operated.unwrap_or_else(|| answer::text(404, "unknown-path", None))
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
