//! What gateways tell each other: the load that each sees of services divided
//! by key, for the coordinator to divide the keys by.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use threadledge_coordination::LoadReport;
use threadledge_net::{HttpClient, PoolSettings, ServeReport, ServerLimits, StopSignal, serve};
use threadledge_types::deployment::ServiceName;

use super::answer;
use super::coordination::Event;

/// Path of reports.
const LOAD_PATH: &str = "/threadledge/v1/load";
/// Longest wait for a peer. A report that is late is worth nothing.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest report taken, in bytes.
const MAX_REPORT_BYTES: u64 = 256 * 1024;
/// Connections of peers.
const MAX_CONNECTIONS: usize = 512;

/// A report with the service that it is about.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceReport {
    service: ServiceName,
    load: LoadReport,
}

/// Sends reports to other gateways.
#[derive(Clone, Debug)]
pub(super) struct PeerClient {
    client: HttpClient,
}

impl Default for PeerClient {
    fn default() -> Self {
        PeerClient {
            client: HttpClient::new(PoolSettings {
                connections_per_address: 2,
                connect_timeout: PEER_TIMEOUT,
                ..PoolSettings::default()
            }),
        }
    }
}

impl PeerClient {
    /// Sends a report and does not wait for its answer.
    pub(super) fn report(&self, to: SocketAddr, service: ServiceName, load: LoadReport) {
        let client = self.client.clone();
        task::spawn(async move {
            let report = ServiceReport { service, load };
            let sent = client.post_json::<_, ()>(to, LOAD_PATH, &report, PEER_TIMEOUT);
            // A coordinator that cannot be reached plans by what others see.
            let _ = sent.await;
        });
    }
}

/// Serves other gateways until `stop` is given.
pub(super) async fn serve_peers(
    listener: TcpListener,
    events: async_channel::Sender<Event>,
    stop: StopSignal,
) -> ServeReport {
    let limits = ServerLimits {
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: MAX_REPORT_BYTES,
        ..ServerLimits::default()
    };
    let handler = move |request: Request, _connection| take(request, events.clone());
    serve(listener, limits, stop, handler).await
}

async fn take(mut request: Request, events: async_channel::Sender<Event>) -> Response {
    if request.method() != Method::Post || request.url().path() != LOAD_PATH {
        return answer::own(404, "unknown-path", None);
    }
    let Ok(body) = request.body_bytes().await else {
        return answer::own(400, "cut-short", None);
    };
    let Ok(report) = serde_json::from_slice::<ServiceReport>(&body) else {
        return answer::own(400, "malformed-report", None);
    };
    // The channel is unbounded and closes only when the process ends.
    let _ = events.try_send(Event::Load(report.service, report.load));
    let mut response = answer::own(200, "", None);
    response.set_body("null");
    response
}
