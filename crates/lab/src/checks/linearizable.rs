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
    for (number, ((service, start), mut beliefs)) in segments.into_iter().enumerate() {
        beliefs.sort_by_key(|belief| belief.begin);
        let end = starts
            .get(number + 1)
            .filter(|(next, _)| *next == service)
            .map(|(_, point)| *point);
        let used = in_segment(&executions, service, start, end);
        for pair in windows(&beliefs) {
            if let Some(violation) = judge(service, start, pair, &used) {
                violations.push(violation);
            }
        }
    }
    violations
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

/// Consecutive pairs of beliefs, or the only one.
fn windows<'a, 'b>(beliefs: &'a [&'b Belief]) -> Vec<&'a [&'b Belief]> {
    if beliefs.len() < 2 {
        return vec![beliefs];
    }
    beliefs.windows(2).collect()
}

fn judge(
    service: &ServiceId,
    start: Point,
    beliefs: &[&Belief],
    used: &[&Execution],
) -> Option<Violation> {
    let timeline = timeline(beliefs, used);
    let at = beliefs.last()?.begin;
    if WGLChecker::<AssignmentRegister>::is_linearizable(timeline) {
        return None;
    }
    let sessions: Vec<String> = beliefs
        .iter()
        .map(|belief| format!("{} under {}", belief.session, belief.grant.epoch))
        .collect();
    Some(Violation::new(
        Guarantee::Linearizable,
        at,
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

fn timeline(beliefs: &[&Belief], used: &[&Execution]) -> Operations<RegisterOperation> {
    let mut intervals = Vec::new();
    for belief in beliefs {
        let owner = (belief.session.clone(), belief.grant.epoch);
        intervals.push(Interval {
            begin: belief.begin,
            end: belief.begin,
            operation: RegisterOperation::Take(owner.0.clone(), owner.1),
        });
        intervals.push(Interval {
            begin: belief.end,
            end: belief.end,
            operation: RegisterOperation::Release(owner.0, owner.1),
        });
    }
    for execution in near_changes(beliefs, used) {
        intervals.push(Interval {
            begin: execution.begin,
            end: execution.end.unwrap_or(execution.begin),
            operation: RegisterOperation::Use(execution.session.clone(), execution.epoch),
        });
    }
    to_operations(intervals)
}

/// Executions of the judged sessions next to the borders of their beliefs.
fn near_changes<'a>(beliefs: &[&Belief], used: &[&'a Execution]) -> Vec<&'a Execution> {
    let mut chosen = Vec::new();
    for belief in beliefs {
        let own: Vec<&Execution> = used
            .iter()
            .copied()
            .filter(|execution| {
                execution.session == belief.session && execution.epoch == belief.grant.epoch
            })
            .collect();
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
