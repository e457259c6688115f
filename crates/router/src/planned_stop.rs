//! A planned stop, from the last accepted connection to the end.

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

/// Shortest time for which a planned stop waits for the group to do without
/// this router. It waits longer while requests are in flight.
const HANDOVER_LIMIT: Duration = Duration::from_secs(8);
/// Pause between looks at whether the group does without this router.
const HANDOVER_POLL: Duration = Duration::from_millis(20);
/// Time that a stopping router stays reachable after its last duty, for
/// messages on their way.
const LINGER: Duration = Duration::from_millis(200);

/// Finishes what runs and hands over the group's duties, both at once.
///
/// Kept here: *a planned stop cuts off no request in flight*. The proxy ends
/// when its last request is answered. Until then and until the group does
/// without this router, the control core goes on: requests in flight still
/// learn of owners that change, and other routers still get the records.
pub async fn stop_gracefully(shell: &ControlShell, proxy: Proxy) -> ServeReport {
    shell.input(Input::Leave);
    let served = StopSignal::new();
    let handover = task::spawn(hand_over(shell.clone(), served.clone()));
    let report = proxy.served.await;
    served.stop();
    if !handover.await {
        emit!(EventId::HandoverIncomplete);
    }
    task::sleep(LINGER).await;
    report
}

/// Waits until the group does without this router. Returns whether it does.
async fn hand_over(shell: ControlShell, served: StopSignal) -> bool {
    let limit = shell.clock().now() + HANDOVER_LIMIT;
    loop {
        if shell.with_node(ControlNode::may_stop) {
            return true;
        }
        if served.is_stopped() && shell.clock().now() >= limit {
            return false;
        }
        task::sleep(HANDOVER_POLL).await;
    }
}

/// A route whose requests a planned stop could cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LongDeadlineRoute<'a> {
    /// Service of the route.
    pub service: &'a ServiceId,
    /// The route.
    pub route: &'a RouteRule,
}

/// Routes among the changed services with a deadline beyond `drain_timeout`.
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

/// Writes an event for each route whose requests a planned stop could cut
/// off.
pub fn log_routes_beyond_drain(delta: &RecordDelta, drain_timeout: Duration) {
    for LongDeadlineRoute { service, route } in routes_beyond_drain(delta, drain_timeout) {
        let deadline_ms = route.deadline_ms;
        emit!(EventId::DeadlineBeyondDrain, %service, route = %route.name, deadline_ms);
    }
}

/// Writes the last event of the process.
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
