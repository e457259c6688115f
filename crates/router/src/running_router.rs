//! Operators' view of a running router.

use std::time::Duration;

use async_std::task;
use threadledge_control::ControlNode;
use threadledge_net::StopSignal;
use threadledge_routing::Notice;
use threadledge_types::Timestamp;

use crate::control_shell::{ControlShell, explain, status};
use crate::events::{EventId, emit};
use crate::metrics::{ControlState, Metrics};
use crate::operations::{
    ExplainError, ExplainRequest, Explanation, NotReadyReason, Readiness, RouterView, StatusReport,
};
use crate::proxy::ProxyHandle;

/// Interval at which readiness is updated.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// Reports the state of a running router and controls it. Clones share it.
#[derive(Clone)]
pub struct RunningRouter {
    shell: ControlShell,
    proxy: ProxyHandle,
    confirm_bound: Duration,
    drain: StopSignal,
    metrics: Metrics,
}

impl RunningRouter {
    /// Creates the view from the running components.
    pub fn new(
        shell: ControlShell,
        proxy: ProxyHandle,
        confirm_bound: Duration,
        drain: StopSignal,
        metrics: Metrics,
    ) -> Self {
        RunningRouter {
            shell,
            proxy,
            confirm_bound,
            drain,
            metrics,
        }
    }

    fn readiness_of(&self, node: &ControlNode, now: Timestamp) -> Readiness {
        let mut readiness = status::readiness(node, now, self.confirm_bound);
        // A router that has its configuration stays ready when another router
        // with different settings appears.
        if !readiness.is_ready() && self.shell.has_differing_routers() {
            readiness.reasons.push(NotReadyReason::SafetySettingsDiffer);
        }
        if self.drain.is_stopped() {
            readiness.reasons.push(NotReadyReason::Draining);
        }
        readiness
    }

    /// Calls `read` with the core and the time. The clock is read under the
    /// core's lock, so that no confirmation lies in the future.
    fn with_node_and_time<R>(&self, read: impl FnOnce(&ControlNode, Timestamp) -> R) -> R {
        let clock = self.shell.clock();
        self.shell.with_node(|node| read(node, clock.now()))
    }
}

impl RouterView for RunningRouter {
    fn status(&self) -> StatusReport {
        let load_at = self.shell.clock().now();
        let load = self
            .proxy
            .with_dispatcher(|dispatcher| dispatcher.load(load_at));
        self.with_node_and_time(|node, now| StatusReport {
            router: node.identity().clone(),
            uptime_ms: now.as_millis(),
            readiness: self.readiness_of(node, now),
            revision: node.replica().revision(),
            confirmed_age_ms: status::confirmed_age(node, now).map(whole_millis),
            requests_in_flight: u64::from(load.exchanges),
            members: status::members(node),
            groups: status::group(node).into_iter().collect(),
            sessions: status::sessions(node),
            services: status::services(node),
        })
    }

    fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainError> {
        self.shell.with_node(|node| explain::explain(node, request))
    }

    fn readiness(&self) -> Readiness {
        self.with_node_and_time(|node, now| self.readiness_of(node, now))
    }

    fn start_drain(&self) {
        if !self.drain.is_stopped() {
            emit!(EventId::StopRequested, cause = "operator");
            self.drain.stop();
        }
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Updates the proxy's readiness and the control metrics, and logs the proxy's
/// notices about back ends, until `stop` is signalled.
pub async fn watch_readiness(router: RunningRouter, stop: StopSignal) {
    let mut logged = None;
    while !stop.is_stopped() {
        let (readiness, state) = router.with_node_and_time(|node, now| {
            (router.readiness_of(node, now), control_state(node, now))
        });
        router.proxy.set_ready(accepts_requests(&readiness));
        let routers = u32::try_from(state.members).unwrap_or(u32::MAX);
        router.proxy.set_router_count(routers);
        router.metrics.set_control(&state);
        log_readiness_change(&mut logged, &readiness);
        router.proxy.take_notices().iter().for_each(log_notice);
        task::sleep(READINESS_INTERVAL).await;
    }
}

fn control_state(node: &ControlNode, now: Timestamp) -> ControlState {
    ControlState {
        term: node.term(),
        revision: node.replica().revision(),
        members: node.live_router_count() as u64,
        confirmed_age: status::confirmed_age(node, now),
    }
}

/// Returns whether the proxy may accept requests. A draining router still
/// serves requests that reach it; one that may lack configuration refuses them.
fn accepts_requests(readiness: &Readiness) -> bool {
    let mut reasons = readiness.reasons.iter();
    reasons.all(|reason| *reason == NotReadyReason::Draining)
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::Ejected { back_end, .. } => emit!(EventId::BackEndEjected, %back_end),
        Notice::Readmitted { back_end } => emit!(EventId::BackEndReadmitted, %back_end),
    }
}

/// Logs a change of the readiness since the last call.
fn log_readiness_change(logged: &mut Option<Readiness>, readiness: &Readiness) {
    if logged.as_ref() == Some(readiness) {
        return;
    }
    let unconfirmed = NotReadyReason::RevisionNotConfirmed;
    let was_unconfirmed = logged
        .as_ref()
        .is_some_and(|former| former.reasons.contains(&unconfirmed));
    if readiness.reasons.contains(&unconfirmed) && !was_unconfirmed {
        emit!(EventId::RevisionNotConfirmed);
    }
    if readiness.is_ready() {
        emit!(EventId::Ready);
    } else {
        let reasons: Vec<&str> = readiness
            .reasons
            .iter()
            .map(|reason| reason.as_str())
            .collect();
        emit!(EventId::NotReady, reasons = reasons.join(","));
    }
    *logged = Some(readiness.clone());
}
