//! The assignment record of each point behaves as one register that an
//! assignment takes, its owner reads with every request it carries out, and a
//! release empties.
//!
//! The search is `todc-utils`' Wing-Gong-Lowe checker. Its cost grows with
//! the square of the history, so a long history of one register is judged in
//! windows around its changes of owner.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Point, ServiceId, SessionId, Timestamp};
use todc_utils::{Action, History as Operations, Specification, WGLChecker};

use super::segments::by_segment;
use super::{Guarantee, Violation};
use crate::history::{Belief, Execution, History};

/// Executions judged on each side of a change of owner.
const EXECUTIONS_PER_SIDE: usize = 24;

/// One operation on the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// The register is empty, or the session's own, and is taken.
    Take(SessionId, Epoch),
    /// A request is carried out by the owner.
    Use(SessionId, Epoch),
    /// The owner's belief ends.
    Release(SessionId, Epoch),
}

/// The register's rules. Its state is the owner, if any, and the highest epoch
/// so far. An owner may take the register again under a higher epoch, as when
/// a slice is split, and may end work that it began under the older one.
pub struct AssignmentRegister;

impl Specification for AssignmentRegister {
    type State = (Option<SessionId>, Epoch);
    type Operation = RegisterOperation;

    fn init() -> Self::State {
        (None, Epoch::default())
    }

    fn apply(operation: &RegisterOperation, state: &Self::State) -> (bool, Self::State) {
        let (owner, highest) = state;
        let is_owner = |session: &SessionId| owner.as_ref() == Some(session);
        match operation {
            RegisterOperation::Take(session, epoch) => {
                let free = owner.is_none() || is_owner(session);
                if free && epoch >= highest {
                    (true, (Some(session.clone()), *epoch))
                } else {
                    (false, state.clone())
                }
            }
            RegisterOperation::Use(session, epoch) => {
                (is_owner(session) && epoch <= highest, state.clone())
            }
            RegisterOperation::Release(session, epoch) => {
                if !is_owner(session) {
                    (false, state.clone())
                } else if epoch == highest {
                    (true, (None, *highest))
                } else {
                    // An older grant of the owner ends after its newer one.
                    (true, state.clone())
                }
            }
        }
    }
}

/// Runs the check.
pub fn check(history: &History) -> Vec<Violation> {
    let executions = executions_by_service(history);
    let segments = by_segment(&history.beliefs, |belief| {
        (&belief.grant.service, belief.grant.slice)
    });
    let starts: Vec<(&ServiceId, Point)> = segments.keys().copied().collect();
    let mut violations = Vec::new();
    for (number, ((service, start), beliefs)) in segments.into_iter().enumerate() {
        let end = starts
            .get(number + 1)
            .filter(|(next, _)| *next == service)
            .map(|(_, point)| *point);
        let used = in_segment(&executions, service, start, end);
        let tenures = tenures(beliefs);
        for first in 0..tenures.len().saturating_sub(1).max(1) {
            if let Some(violation) = judge(service, start, &tenures, first, &used) {
                violations.push(violation);
            }
        }
    }
    violations
}

/// A stretch of time in which one session owned the register under one epoch.
struct Tenure<'a> {
    session: &'a SessionId,
    epoch: Epoch,
    begin: Timestamp,
    end: Timestamp,
}

/// Beliefs in the order of their begins. Those of one session and epoch that
/// touch are one: when a slice is split, its parts go on under its epoch while
/// requests that began before still hold the whole.
fn tenures<'a>(mut beliefs: Vec<&'a Belief>) -> Vec<Tenure<'a>> {
    beliefs.sort_by_key(|belief| belief.begin);
    let mut tenures: Vec<Tenure<'a>> = Vec::new();
    for belief in beliefs {
        let touching = tenures.iter_mut().rev().find(|tenure| {
            tenure.session == &belief.session
                && tenure.epoch == belief.grant.epoch
                && belief.begin <= tenure.end
        });
        match touching {
            Some(tenure) => tenure.end = tenure.end.max(belief.end),
            None => tenures.push(Tenure {
                session: &belief.session,
                epoch: belief.grant.epoch,
                begin: belief.begin,
                end: belief.end,
            }),
        }
    }
    tenures
}

fn executions_by_service(
    history: &History,
) -> BTreeMap<&ServiceId, BTreeMap<Point, Vec<&Execution>>> {
    let mut by_service: BTreeMap<&ServiceId, BTreeMap<Point, Vec<&Execution>>> = BTreeMap::new();
    for execution in history.executions.iter().filter(|run| run.completed) {
        by_service
            .entry(&execution.service)
            .or_default()
            .entry(execution.point)
            .or_default()
            .push(execution);
    }
    by_service
}

fn in_segment<'a>(
    executions: &BTreeMap<&ServiceId, BTreeMap<Point, Vec<&'a Execution>>>,
    service: &ServiceId,
    start: Point,
    end: Option<Point>,
) -> Vec<&'a Execution> {
    let Some(points) = executions.get(service) else {
        return Vec::new();
    };
    let mut found: Vec<&Execution> = points
        .range(start..)
        .take_while(|(point, _)| end.is_none_or(|end| **point < end))
        .flat_map(|(_, runs)| runs.iter().copied())
        .collect();
    found.sort_by_key(|execution| execution.begin);
    found
}

/// Tenures judged together.
const TENURES_IN_A_WINDOW: usize = 2;

/// Judges a tenure and the next one, with the executions from the begin of the
/// first until that of the tenure after both.
fn judge(
    service: &ServiceId,
    start: Point,
    tenures: &[Tenure<'_>],
    first: usize,
    used: &[&Execution],
) -> Option<Violation> {
    let after = tenures.get(first + TENURES_IN_A_WINDOW);
    let window = &tenures[first..(first + TENURES_IN_A_WINDOW).min(tenures.len())];
    let from = match first {
        0 => Timestamp::ZERO,
        _ => window.first()?.begin,
    };
    let in_time = used.iter().copied().filter(|execution| {
        execution.begin >= from && after.is_none_or(|after| execution.begin < after.begin)
    });
    let in_time: Vec<&Execution> = in_time.collect();
    if WGLChecker::<AssignmentRegister>::is_linearizable(timeline(window, &in_time)) {
        return None;
    }
    let sessions: Vec<String> = window
        .iter()
        .map(|tenure| format!("{} under {}", tenure.session, tenure.epoch))
        .collect();
    Some(Violation::new(
        Guarantee::Linearizable,
        window.last()?.begin,
        format!(
            "{service} from point {start}: no order of assignments and requests explains {}",
            sessions.join(" then ")
        ),
    ))
}

/// One operation with the interval in which it took effect.
struct Interval {
    begin: Timestamp,
    end: Timestamp,
    operation: RegisterOperation,
}

fn timeline(tenures: &[Tenure<'_>], used: &[&Execution]) -> Operations<RegisterOperation> {
    let mut intervals = Vec::new();
    for tenure in tenures {
        intervals.push(Interval {
            begin: tenure.begin,
            end: tenure.begin,
            operation: RegisterOperation::Take(tenure.session.clone(), tenure.epoch),
        });
        intervals.push(Interval {
            begin: tenure.end,
            end: tenure.end,
            operation: RegisterOperation::Release(tenure.session.clone(), tenure.epoch),
        });
    }
    for execution in near_changes(used) {
        intervals.push(Interval {
            begin: execution.begin,
            end: execution.end.unwrap_or(execution.begin),
            operation: RegisterOperation::Use(execution.session.clone(), execution.epoch),
        });
    }
    to_operations(intervals)
}

/// The first and last executions of each owner, which lie next to the borders
/// of its tenure.
fn near_changes<'a>(used: &[&'a Execution]) -> Vec<&'a Execution> {
    let mut by_owner: BTreeMap<(&SessionId, Epoch), Vec<&Execution>> = BTreeMap::new();
    for execution in used {
        let owner = (&execution.session, execution.epoch);
        by_owner.entry(owner).or_default().push(execution);
    }
    let mut chosen = Vec::new();
    for own in by_owner.values() {
        let tail = own.len().saturating_sub(EXECUTIONS_PER_SIDE);
        let head = EXECUTIONS_PER_SIDE.min(tail);
        chosen.extend(&own[..head]);
        chosen.extend(&own[tail..]);
    }
    chosen
}

fn to_operations(intervals: Vec<Interval>) -> Operations<RegisterOperation> {
    // Each operation is a process of its own: (time, phase, process, action).
    let mut actions = Vec::with_capacity(intervals.len() * 2);
    for (process, interval) in intervals.into_iter().enumerate() {
        let phase = phase(&interval.operation);
        let response = Action::Response(interval.operation.clone());
        actions.push((
            (interval.begin, phase, 0),
            (process, Action::Call(interval.operation)),
        ));
        actions.push(((interval.end, phase, 1), (process, response)));
    }
    actions.sort_by_key(|(order, _)| *order);
    Operations::from_actions(actions.into_iter().map(|(_, action)| action).collect())
}

/// Order at one microsecond: a release, then a take, then uses.
fn phase(operation: &RegisterOperation) -> u8 {
    match operation {
        RegisterOperation::Release(..) => 0,
        RegisterOperation::Take(..) => 1,
        RegisterOperation::Use(..) => 2,
    }
}
