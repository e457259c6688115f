//! Planned stop of a router: drain requests in flight and hand over the group's
//! duties.

use std::time::Duration;

use async_std::task;
use threadledge_control::{ControlNode, Input};
use threadledge_net::{ServeReport, StopSignal};
use threadledge_types::ServiceId;
use threadledge_types::objects::RouteRule;
use threadledge_types::records::{RecordChange, RecordDelta};

use crate::control_shell::ControlShell;
use crate::events::{EventId, emit};
use crate::proxy::Proxy;

/// Minimum time for which a planned stop waits until the group no longer needs
/// this router. It waits longer while requests are in flight.
const MIN_HANDOVER_WAIT: Duration = Duration::from_secs(8);
/// Interval at which a planned stop checks whether the group still needs this
/// router.
const HANDOVER_POLL: Duration = Duration::from_millis(20);
/// Time for which a stopping router stays reachable after the handover, for
/// messages that are still in transit.
const EXIT_DELAY: Duration = Duration::from_millis(200);

/// Drains the proxy and hands over the group's duties concurrently. Returns the
/// proxy's report.
///
/// Invariant: *a planned stop cuts off no request in flight*. The proxy ends
/// when its last request is answered. Until then, and until the group no longer
/// needs this router, the control core continues: requests in flight still
/// learn of changed owners, and other routers still receive the records.
pub async fn stop_gracefully(shell: &ControlShell, proxy: Proxy) -> ServeReport {
    shell.input(Input::Leave);
    let served = StopSignal::new();
    let handover = task::spawn(await_handover(shell.clone(), served.clone()));
    let report = proxy.served.await;
    served.stop();
    if !handover.await {
        emit!(EventId::HandoverIncomplete);
    }
    task::sleep(EXIT_DELAY).await;
    report
}

/// Waits until the group no longer needs this router. Returns `false` if it
/// still does when the proxy has ended and the minimum wait is over.
async fn await_handover(shell: ControlShell, served: StopSignal) -> bool {
    let limit = shell.clock().now() + MIN_HANDOVER_WAIT;
    loop {
        if shell.with_node(ControlNode::can_stop) {
            return true;
        }
        if served.is_stopped() && shell.clock().now() >= limit {
            return false;
        }
        task::sleep(HANDOVER_POLL).await;
    }
}

/// A route whose deadline exceeds the drain timeout, so that a planned stop
/// could cut off its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongDeadlineRoute<'a> {
    /// Service of the route.
    pub service: &'a ServiceId,
    /// The route.
    pub route: &'a RouteRule,
}

/// Returns the routes of the changed services whose deadline exceeds
/// `drain_timeout`.
pub fn routes_beyond_drain(
    delta: &RecordDelta,
    drain_timeout: Duration,
) -> impl Iterator<Item = LongDeadlineRoute<'_>> {
    let services = delta.changes.iter().filter_map(|change| match change {
        RecordChange::Service(record) => Some(record),
        _ => None,
    });
    let routes = services.flat_map(|record| {
        let routes = record.spec.routes.iter();
        routes.map(|route| LongDeadlineRoute {
            service: &record.id,
            route,
        })
    });
    routes.filter(move |long| Duration::from_millis(long.route.deadline_ms) > drain_timeout)
}

/// Logs an event for each route of the changed services whose deadline exceeds
/// `drain_timeout`.
pub fn log_routes_beyond_drain(delta: &RecordDelta, drain_timeout: Duration) {
    for LongDeadlineRoute { service, route } in routes_beyond_drain(delta, drain_timeout) {
        let deadline_ms = route.deadline_ms;
        emit!(EventId::DeadlineBeyondDrain, %service, route = %route.name, deadline_ms);
    }
}

/// Logs the end of the planned stop, the last event of the process.
pub fn log_stop(report: &ServeReport) {
    if report.aborted == 0 {
        emit!(EventId::StopFinished, requests = report.requests);
    } else {
        emit!(
            EventId::StopCutShort,
            cut = report.aborted,
            requests = report.requests
        );
    }
}
