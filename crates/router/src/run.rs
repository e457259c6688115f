//! Composition of a running router from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_std::net::TcpListener;
use async_std::task;
use thiserror::Error;
use threadledge_control::{ControlNode, ControlSettings};
use threadledge_net::StopSignal;
use threadledge_object_api::TransportSettings;
use threadledge_types::{Incarnation, RouterId, RouterIdentity};

use crate::control_shell::{ControlShell, ControlShellSettings, serve_peers};
use crate::events::{EventId, emit};
use crate::metrics::Metrics;
use crate::operations::{OperatorService, stop_on_signal};
use crate::planned_stop::{log_routes_beyond_drain, log_stop, stop_gracefully};
use crate::platform_token::{TokenError, platform_transport};
use crate::proxy::{Clock, Observation, Observer, Proxy, ProxyHandle, ProxyMetrics, ProxySettings};
use crate::request_log::RequestLog;
use crate::running_router::{RunningRouter, watch_readiness};
use crate::settings::Settings;

/// Error that prevents a router from starting.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on ({cause}); free the port or change the address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        cause: std::io::Error,
    },
    /// The signals that request a planned stop cannot be registered.
    #[error("signals cannot be registered ({0}); check the limits of the process")]
    Signals(std::io::Error),
    /// The metrics cannot be registered.
    #[error("metrics cannot be registered ({0}); please report this bug")]
    Metrics(prometheus::Error),
    /// The platform's token cannot be loaded.
    #[error(transparent)]
    PlatformToken(#[from] TokenError),
}

/// Listening sockets of a router.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs a router until its planned stop has ended.
///
/// # Errors
///
/// Fails if the router cannot start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let platform = platform_transport(&settings)?;
    let listeners = listen(&settings).await?;
    let metrics = Metrics::new(SystemTime::now()).map_err(RunError::Metrics)?;
    let drain = StopSignal::new();
    stop_on_signal(drain.clone()).map_err(RunError::Signals)?;
    let process = Process {
        settings,
        platform,
        metrics,
        clock: Clock::start(),
        drain,
        finished: StopSignal::new(),
    };
    process.run(listeners).await;
    Ok(())
}

/// State shared by the components of a running router.
struct Process {
    settings: Settings,
    platform: TransportSettings,
    metrics: Metrics,
    clock: Clock,
    /// Requests the planned stop.
    drain: StopSignal,
    /// Signalled when the planned stop has ended, to end the other tasks.
    finished: StopSignal,
}

impl Process {
    async fn run(self, listeners: Listeners) {
        let identity = identity(&self.settings);
        let requests = RequestLog::default();
        let proxy = self.start_proxy(&identity, listeners.callers, requests.clone());
        let shell = self.start_control(identity, proxy.handle.clone());
        let finished = &self.finished;
        let peers = serve_peers(shell.clone(), listeners.peers, finished.clone());
        let router = self.running_router(&shell, &proxy);
        let service = OperatorService::new(Arc::new(router.clone()), self.metrics.clone());
        let operators = crate::operations::serve(listeners.operators, service, finished.clone());
        let servers = [task::spawn(peers), task::spawn(operators)];
        let requests = task::spawn(requests.run(finished.clone()));
        task::spawn(watch_readiness(router, finished.clone()));
        emit!(
            EventId::RouterStarted,
            router = %shell.identity().id,
            machine = %self.settings.machine,
            callers = %self.settings.caller_address
        );

        self.drain.stopped().await;
        let report = stop_gracefully(&shell, proxy).await;
        self.finished.stop();
        for server in servers {
            server.await;
        }
        requests.await;
        log_stop(&report);
    }

    fn start_proxy(
        &self,
        identity: &RouterIdentity,
        listener: TcpListener,
        requests: RequestLog,
    ) -> Proxy {
        let settings = ProxySettings::with_seed(identity.id.0).with_limits(&self.settings.limits);
        let metrics = self.metrics.clone();
        let observer = Observer::new(move |observation: &Observation| {
            requests.observe(observation);
            count_request(&metrics, observation);
        });
        let drain = self.drain.clone();
        let proxy = ProxyHandle::start(settings, self.clock, listener, drain, observer);
        self.register_proxy(&proxy.handle);
        proxy
    }

    fn register_proxy(&self, proxy: &ProxyHandle) {
        let metrics = ProxyMetrics::new(proxy.clone());
        let registered = metrics.and_then(|metrics| self.metrics.register(metrics));
        if let Err(error) = registered {
            tracing::error!(%error, "the proxy's metrics cannot be registered; please report this bug");
        }
    }

    fn start_control(&self, identity: RouterIdentity, proxy: ProxyHandle) -> ControlShell {
        let settings = ControlSettings {
            group_size: self.settings.group_size as usize,
            timing: self.settings.timing.clone(),
            seed: identity.id.0,
            ..Default::default()
        };
        let drain_timeout = self.settings.limits.drain_timeout();
        ControlShell::start(ControlShellSettings {
            settings: self.settings.clone(),
            node: ControlNode::new(settings, identity, self.clock.now()),
            platform: self.platform.clone(),
            clock: self.clock,
            records: Box::new(move |delta| {
                log_routes_beyond_drain(delta, drain_timeout);
                if let Err(error) = proxy.apply(delta) {
                    tracing::error!(%error, "the proxy cannot apply a record delta");
                }
            }),
            stop: self.finished.clone(),
        })
    }

    fn running_router(&self, shell: &ControlShell, proxy: &Proxy) -> RunningRouter {
        RunningRouter::new(
            shell.clone(),
            proxy.handle.clone(),
            self.settings.timing.confirm_bound(),
            self.drain.clone(),
            self.metrics.clone(),
        )
    }
}

fn count_request(metrics: &Metrics, observation: &Observation) {
    if let Some(outcome) = observation.outcome {
        metrics.count_request(
            observation.service.as_deref(),
            observation.route.as_deref().unwrap_or_default(),
            outcome,
            observation.elapsed,
        );
    }
}

async fn listen(settings: &Settings) -> Result<Listeners, RunError> {
    Ok(Listeners {
        callers: bind(settings.caller_address).await?,
        peers: bind(settings.peer_address).await?,
        operators: bind(settings.operator_address).await?,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|cause| {
        emit!(EventId::ListenFailed, %address, %cause);
        RunError::Listen { address, cause }
    })
}

/// Returns the identity of this process. Each process is a new router with a
/// random id; its incarnation is the wall-clock time of its start.
fn identity(settings: &Settings) -> RouterIdentity {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = started.unwrap_or_default().as_millis();
    RouterIdentity {
        id: RouterId(rand::random()),
        machine: settings.machine.clone(),
        incarnation: Incarnation(u64::try_from(millis).unwrap_or(u64::MAX)),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
    }
}
