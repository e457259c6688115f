//! Composition: one routing machine from its settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::net::TcpListener;
use async_std::task;
use thiserror::Error;
use threadledge_control::{ControlNode, ControlSettings, Input};
use threadledge_net::{ServeReport, StopSignal};
use threadledge_types::{Incarnation, RouterId, RouterIdentity};

use crate::control_shell::{ControlShell, ControlShellSettings, serve_peers};
use crate::events::{EventId, emit};
use crate::metrics::Metrics;
use crate::operations::{Operations, stop_on_signal};
use crate::proxy::{Clock, Observation, Observer, Proxy, ProxyHandle, ProxySettings};
use crate::running_router::{RunningRouter, watch_readiness};
use crate::settings::Settings;

/// Longest time a planned stop waits for the group to do without this router.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);
/// Pause between looks at whether the group does without this router.
const HANDOVER_POLL: Duration = Duration::from_millis(20);
/// Time that a stopping router stays reachable after its last duty, for
/// messages on their way.
const LINGER: Duration = Duration::from_millis(200);

/// Why a router stopped with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on ({cause}); free the port or change the address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        cause: std::io::Error,
    },
    /// The signals that ask for a planned stop cannot be registered.
    #[error("signals cannot be registered ({0}); check the limits of the process")]
    Signals(std::io::Error),
    /// The metrics cannot be registered.
    #[error("metrics cannot be registered ({0}); report this as a fault")]
    Metrics(prometheus::Error),
}

/// Listening sockets of one router.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs one routing machine until its planned stop has ended.
///
/// # Errors
///
/// It cannot start.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let listeners = listen(&settings).await?;
    let metrics = Metrics::new(SystemTime::now()).map_err(RunError::Metrics)?;
    let drain = StopSignal::new();
    stop_on_signal(drain.clone()).map_err(RunError::Signals)?;

    let clock = Clock::start();
    let identity = identity(&settings);
    let proxy = start_proxy(
        &settings,
        &identity,
        clock,
        listeners.callers,
        &drain,
        &metrics,
    );
    let finished = StopSignal::new();
    let shell = start_control(&settings, identity, clock, proxy.handle.clone(), &finished);
    let peers = task::spawn(serve_peers(
        shell.clone(),
        listeners.peers,
        finished.clone(),
    ));
    let router = RunningRouter::new(
        shell.clone(),
        proxy.handle.clone(),
        settings.timing.confirm_bound(),
        drain.clone(),
        metrics.clone(),
    );
    let operations = Operations::new(Arc::new(router.clone()), metrics);
    let operators = task::spawn(crate::operations::serve(
        listeners.operators,
        operations,
        finished.clone(),
    ));
    task::spawn(watch_readiness(router, finished.clone()));
    emit!(
        EventId::RouterStarted,
        router = %shell.identity().id,
        machine = %settings.machine,
        callers = %settings.caller_address
    );

    drain.stopped().await;
    let report = stop_gracefully(&shell, proxy).await;
    finished.stop();
    operators.await;
    peers.await;
    report_stop(&report);
    Ok(())
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

/// A new process is a new router: its id is drawn at random and its
/// incarnation is the wall time of its start.
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

fn start_proxy(
    settings: &Settings,
    identity: &RouterIdentity,
    clock: Clock,
    listener: TcpListener,
    drain: &StopSignal,
    metrics: &Metrics,
) -> Proxy {
    let proxy_settings = ProxySettings::with_seed(identity.id.0).with_limits(&settings.limits);
    let metrics = metrics.clone();
    let observer = Observer::new(move |observation: &Observation| {
        if let Some(outcome) = observation.outcome {
            metrics.count_request(
                observation.service.as_deref(),
                observation.route.as_deref().unwrap_or_default(),
                outcome,
                observation.elapsed,
            );
        }
    });
    ProxyHandle::start(proxy_settings, clock, listener, drain.clone(), observer)
}

fn start_control(
    settings: &Settings,
    identity: RouterIdentity,
    clock: Clock,
    proxy: ProxyHandle,
    finished: &StopSignal,
) -> ControlShell {
    let control_settings = ControlSettings {
        group_size: settings.group_size as usize,
        timing: settings.timing.clone(),
        seed: identity.id.0,
        ..Default::default()
    };
    let node = ControlNode::new(control_settings, identity, clock.now());
    ControlShell::start(ControlShellSettings {
        settings: settings.clone(),
        node,
        clock,
        records: Box::new(move |delta| {
            if let Err(error) = proxy.apply(delta) {
                tracing::error!(%error, "records do not fit the data path's copy");
            }
        }),
        stop: finished.clone(),
    })
}

/// Finishes what runs and hands over the group's duties, both at once.
///
/// Kept here: *a planned stop cuts off no request in flight*. The proxy ends
/// when its last request is answered; meanwhile the control core goes on.
async fn stop_gracefully(shell: &ControlShell, proxy: Proxy) -> ServeReport {
    shell.input(Input::Leave);
    let handover = task::spawn(hand_over(shell.clone()));
    let report = proxy.served.await;
    handover.await;
    task::sleep(LINGER).await;
    report
}

async fn hand_over(shell: ControlShell) {
    let deadline = shell.clock().now() + HANDOVER_LIMIT;
    while shell.clock().now() < deadline {
        if shell.with_node(ControlNode::may_stop) {
            return;
        }
        task::sleep(HANDOVER_POLL).await;
    }
}

fn report_stop(report: &ServeReport) {
    if report.cut == 0 {
        emit!(EventId::StopFinished, requests = report.requests);
    } else {
        emit!(
            EventId::StopCutShort,
            cut = report.cut,
            requests = report.requests
        );
    }
}
