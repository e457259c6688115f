//! Builds the `Accepted` condition in the status of configuration objects.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{Condition, Time};

use crate::epoch::Revision;
use crate::objects::{ACCEPTED_CONDITION, AcceptanceStatus};
use crate::validation::Problem;

/// Reason of an `Accepted` condition whose status is true.
pub const ACCEPTED_REASON: &str = "Accepted";
/// Longest message of a condition, in bytes, that the Kubernetes API
/// conventions allow.
pub const MAX_MESSAGE_LENGTH: usize = 32_768;

const TRUE: &str = "True";
const FALSE: &str = "False";

/// Builds the `Accepted` condition: true if `problems` is empty, false
/// otherwise.
///
/// `observed_generation` is the `metadata.generation` that was validated, and
/// `now` the wall-clock time. The transition time of `previous` is kept if the
/// condition's status did not change.
pub fn accepted_condition(
    observed_generation: i64,
    problems: &[Problem],
    previous: Option<&Condition>,
    now: Time,
) -> Condition {
    let status = if problems.is_empty() { TRUE } else { FALSE };
    let unchanged = previous.filter(|condition| condition.status == status);
    let last_transition_time = match unchanged {
        Some(condition) => condition.last_transition_time.clone(),
        None => now,
    };
    Condition {
        type_: ACCEPTED_CONDITION.to_owned(),
        status: status.to_owned(),
        reason: reason_of(problems).to_owned(),
        message: message_of(problems),
        observed_generation: Some(observed_generation),
        last_transition_time,
    }
}

/// Returns the status of an object after validation.
///
/// `revision` is the revision at which the object took effect. Pass `None` for
/// a rejected object: it keeps the revision of its last accepted version, which
/// stays in effect.
pub fn acceptance_status(
    previous: Option<&AcceptanceStatus>,
    condition: Condition,
    revision: Option<Revision>,
) -> AcceptanceStatus {
    let mut status = previous.cloned().unwrap_or_default();
    let others = |other: &Condition| other.type_ != condition.type_;
    status.conditions.retain(others);
    status.conditions.push(condition);
    if let Some(revision) = revision {
        status.revision = Some(revision.to_string());
    }
    status
}

/// Returns the `Accepted` condition of a status.
pub fn find_accepted(status: &AcceptanceStatus) -> Option<&Condition> {
    let is_accepted = |condition: &&Condition| condition.type_ == ACCEPTED_CONDITION;
    status.conditions.iter().find(is_accepted)
}

fn reason_of(problems: &[Problem]) -> &'static str {
    match problems.first() {
        Some(problem) => problem.kind.reason(),
        None => ACCEPTED_REASON,
    }
}

fn message_of(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(describe).collect();
    let mut message = lines.join("\n");
    if message.len() > MAX_MESSAGE_LENGTH {
        let end = message.floor_char_boundary(MAX_MESSAGE_LENGTH);
        message.truncate(end);
    }
    message
}

/// Formats one problem without the object's name, since the condition is part
/// of that object.
fn describe(problem: &Problem) -> String {
    let remedy = problem.kind.remedy();
    format!("{}: {}; {remedy}", problem.field, problem.kind)
}
