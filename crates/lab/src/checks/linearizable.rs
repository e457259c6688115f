//! Checks that the assignment record of each point is linearizable: it behaves
//! as one register that an assignment acquires, its owner reads with every
//! request it executes, and a release clears.
//!
//! The search is the Wing-Gong-Lowe checker of `todc-utils`. Its cost grows
//! with the square of the history, so a long history of one register is checked
//! in windows around its changes of owner.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Point, ServiceId, SessionId, Timestamp};
use todc_utils::{Action, History as Operations, Specification, WGLChecker};

use super::segments::by_segment;
use super::{Guarantee, Violation};
use crate::history::{Execution, History, OwnershipClaim};

/// Number of executions checked on each side of a change of owner.
const EXECUTIONS_PER_SIDE: usize = 24;

/// One operation on the register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// A session acquires the register, which is empty or already its own.
    Acquire(SessionId, Epoch),
    /// The owner executes a request.
    Use(SessionId, Epoch),
    /// The owner's claim ends.
    Release(SessionId, Epoch),
}

/// Sequential specification of the register. Its state is the owner, if any,
/// and the highest epoch so far. An owner may acquire the register again under
/// a higher epoch, for example when a slice is split, and may finish work that
/// it started under the older one.
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
            RegisterOperation::Acquire(session, epoch) => {
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
                    // The owner releases an older grant after it acquired a newer one.
                    (true, state.clone())
                }
            }
        }
    }
}

/// Returns a violation for each window of a register that is not linearizable.
pub fn check(history: &History) -> Vec<Violation> {
    let executions = executions_by_service(history);
    let segments = by_segment(&history.claims, |claim| {
        (&claim.grant.service, claim.grant.slice)
    });
    let starts: Vec<(&ServiceId, Point)> = segments.keys().copied().collect();
    let mut violations = Vec::new();
    for (number, ((service, start), claims)) in segments.into_iter().enumerate() {
        let end = starts
            .get(number + 1)
            .filter(|(next, _)| *next == service)
            .map(|(_, point)| *point);
        let executions_used = executions_in_segment(&executions, service, start, end);
        let tenures = tenures(claims);
        for first in 0..tenures.len().saturating_sub(1).max(1) {
            if let Some(violation) = check_window(service, start, &tenures, first, &executions_used)
            {
                violations.push(violation);
            }
        }
    }
    violations
}

/// An interval in which one session owned the register under one epoch.
struct Tenure<'a> {
    session: &'a SessionId,
    epoch: Epoch,
    begin: Timestamp,
    end: Timestamp,
}

/// Converts claims to tenures, ordered by start time. Adjoining or
/// overlapping claims of one session and epoch are merged: when a slice is
/// split, its parts continue under its epoch while requests that started before
/// still hold the whole slice.
fn tenures<'a>(mut claims: Vec<&'a OwnershipClaim>) -> Vec<Tenure<'a>> {
    claims.sort_by_key(|claim| claim.begin);
    let mut tenures: Vec<Tenure<'a>> = Vec::new();
    for claim in claims {
        let touching = tenures.iter_mut().rev().find(|tenure| {
            tenure.session == &claim.session
                && tenure.epoch == claim.grant.epoch
                && claim.begin <= tenure.end
        });
        match touching {
            Some(tenure) => tenure.end = tenure.end.max(claim.end),
            None => tenures.push(Tenure {
                session: &claim.session,
                epoch: claim.grant.epoch,
                begin: claim.begin,
                end: claim.end,
            }),
        }
    }
    tenures
}

/// Groups the completed executions by service and point.
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

/// Returns the executions with points from `start` to before `end`, ordered by
/// start time.
fn executions_in_segment<'a>(
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

/// Number of tenures checked together.
const TENURES_PER_WINDOW: usize = 2;

/// Checks a tenure and the next one, with the executions from the start of the
/// first to the start of the tenure after both.
fn check_window(
    service: &ServiceId,
    start: Point,
    tenures: &[Tenure<'_>],
    first: usize,
    executions_used: &[&Execution],
) -> Option<Violation> {
    let after = tenures.get(first + TENURES_PER_WINDOW);
    let window = &tenures[first..(first + TENURES_PER_WINDOW).min(tenures.len())];
    let from = match first {
        0 => Timestamp::ZERO,
        _ => window.first()?.begin,
    };
    let in_time = executions_used.iter().copied().filter(|execution| {
        execution.begin >= from && after.is_none_or(|after| execution.begin < after.begin)
    });
    let in_time: Vec<&Execution> = in_time.collect();
    if WGLChecker::<AssignmentRegister>::is_linearizable(to_history(window, &in_time)) {
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

/// An operation and the interval in which it took effect.
struct Interval {
    begin: Timestamp,
    end: Timestamp,
    operation: RegisterOperation,
}

/// Converts tenures and executions to the operations of the register.
fn to_history(
    tenures: &[Tenure<'_>],
    executions_used: &[&Execution],
) -> Operations<RegisterOperation> {
    let mut intervals = Vec::new();
    for tenure in tenures {
        intervals.push(Interval {
            begin: tenure.begin,
            end: tenure.begin,
            operation: RegisterOperation::Acquire(tenure.session.clone(), tenure.epoch),
        });
        intervals.push(Interval {
            begin: tenure.end,
            end: tenure.end,
            operation: RegisterOperation::Release(tenure.session.clone(), tenure.epoch),
        });
    }
    for execution in executions_near_changes(executions_used) {
        intervals.push(Interval {
            begin: execution.begin,
            end: execution.end.unwrap_or(execution.begin),
            operation: RegisterOperation::Use(execution.session.clone(), execution.epoch),
        });
    }
    to_operations(intervals)
}

/// Selects the first and last executions of each owner, which are closest to
/// the ends of its tenure.
fn executions_near_changes<'a>(executions_used: &[&'a Execution]) -> Vec<&'a Execution> {
    let mut by_owner: BTreeMap<(&SessionId, Epoch), Vec<&Execution>> = BTreeMap::new();
    for execution in executions_used {
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

/// Orders the calls and responses of operations for the checker.
fn to_operations(intervals: Vec<Interval>) -> Operations<RegisterOperation> {
    // Each operation is a process of its own. Actions are ordered by time,
    // then phase, then call before response.
    let mut actions = Vec::with_capacity(intervals.len() * 2);
    for (process, interval) in intervals.into_iter().enumerate() {
        let phase = phase_of(&interval.operation);
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

/// Returns the order of operations within one microsecond: releases, then
/// acquisitions, then uses.
fn phase_of(operation: &RegisterOperation) -> u8 {
    match operation {
        RegisterOperation::Release(..) => 0,
        RegisterOperation::Acquire(..) => 1,
        RegisterOperation::Use(..) => 2,
    }
}
