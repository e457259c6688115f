//! The running router as its operators see and command it.

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

/// Pause between looks at the readiness.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// Views and commands of one running router. Clones share it.
#[derive(Clone)]
pub struct RunningRouter {
    shell: ControlShell,
    proxy: ProxyHandle,
    confirm_bound: Duration,
    drain: StopSignal,
    metrics: Metrics,
}

impl RunningRouter {
    /// Composes the views from the running parts.
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
        // A router that has its configuration is not put out by a newcomer
        // that differs from it.
        if !readiness.is_ready() && self.shell.has_differing_routers() {
            readiness.reasons.push(NotReadyReason::SafetySettingsDiffer);
        }
        if self.drain.is_stopped() {
            readiness.reasons.push(NotReadyReason::Draining);
        }
        readiness
    }

    /// Reads the clock under the core's lock, so that no confirmation lies in
    /// the future.
    fn look<R>(&self, read: impl FnOnce(&ControlNode, Timestamp) -> R) -> R {
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
        self.look(|node, now| StatusReport {
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
        self.look(|node, now| self.readiness_of(node, now))
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

/// Keeps the data path's readiness and the control metrics up to date, and
/// writes what the data path noticed about back ends, until `stop` is given.
pub async fn watch_readiness(router: RunningRouter, stop: StopSignal) {
    let mut announced = None;
    while !stop.is_stopped() {
        let (readiness, state) =
            router.look(|node, now| (router.readiness_of(node, now), control_state(node, now)));
        router.proxy.set_ready(may_take_work(&readiness));
        let routers = u32::try_from(state.members).unwrap_or(u32::MAX);
        router.proxy.set_router_count(routers);
        router.metrics.set_control(&state);
        announce(&mut announced, &readiness);
        router.proxy.take_notices().iter().for_each(log_notice);
        task::sleep(READINESS_INTERVAL).await;
    }
}

fn control_state(node: &ControlNode, now: Timestamp) -> ControlState {
    ControlState {
        term: node.term(),
        revision: node.replica().revision(),
        members: node.live_routers() as u64,
        confirmed_age: status::confirmed_age(node, now),
    }
}

/// A stopping router still answers what reaches it; only a router that may
/// lack configuration refuses.
fn may_take_work(readiness: &Readiness) -> bool {
    let mut reasons = readiness.reasons.iter();
    reasons.all(|reason| *reason == NotReadyReason::Draining)
}

fn log_notice(notice: &Notice) {
    match notice {
        Notice::Ejected { back_end, .. } => emit!(EventId::BackEndEjected, %back_end),
        Notice::Returned { back_end } => emit!(EventId::BackEndReadmitted, %back_end),
    }
}

fn announce(announced: &mut Option<Readiness>, readiness: &Readiness) {
    if announced.as_ref() == Some(readiness) {
        return;
    }
    let unconfirmed = NotReadyReason::RevisionNotConfirmed;
    let was_unconfirmed = announced
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
    *announced = Some(readiness.clone());
}
