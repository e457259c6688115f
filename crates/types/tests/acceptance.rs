//! Tests of the `Accepted` condition against the Kubernetes API conventions.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::Time;
use k8s_openapi::jiff::Timestamp;
use threadledge_types::acceptance::{acceptance_status, accepted_condition, find_accepted};
use threadledge_types::validation::{ObjectReference, Problem, ProblemKind};
use threadledge_types::{Generation, Revision};

fn at(seconds: i64) -> Time {
    Time(Timestamp::from_second(seconds).expect("a valid time"))
}

fn problem(field: &str) -> Problem {
    Problem {
        object: ObjectReference::new("BackEnd", "kauri", "quote-01"),
        field: field.to_owned(),
        kind: ProblemKind::Empty,
    }
}

#[test]
fn condition_message_lists_every_problem_with_its_remedy() {
    let problems = [problem("spec.zone"), problem("spec.hosts")];
    let condition = accepted_condition(4, &problems, None, at(10));
    assert_eq!(condition.status, "False");
    assert_eq!(condition.reason, "MissingField");
    assert_eq!(condition.observed_generation, Some(4));
    let lines: Vec<&str> = condition.message.lines().collect();
    assert_eq!(lines[0], "spec.zone: is missing or empty; give it a value");
    assert_eq!(lines[1], "spec.hosts: is missing or empty; give it a value");
}

#[test]
fn transition_time_changes_only_with_the_status() {
    let first = accepted_condition(1, &[], None, at(10));
    let same = accepted_condition(2, &[], Some(&first), at(20));
    assert_eq!(same.last_transition_time, at(10));
    assert_eq!(same.observed_generation, Some(2));
    let rejected = accepted_condition(3, &[problem("spec")], Some(&same), at(30));
    assert_eq!(rejected.last_transition_time, at(30));
}

#[test]
fn rejected_object_keeps_the_revision_of_its_accepted_version() {
    let revision = Revision::new(Generation(1), 7);
    let accepted = accepted_condition(1, &[], None, at(10));
    let status = acceptance_status(None, accepted, Some(revision));
    let rejected = accepted_condition(2, &[problem("spec")], None, at(20));
    let status = acceptance_status(Some(&status), rejected, None);
    assert_eq!(status.revision.as_deref(), Some("1.7"));
    assert_eq!(status.conditions.len(), 1);
    let condition = find_accepted(&status).expect("an Accepted condition");
    assert_eq!(condition.status, "False");
}

#[test]
fn message_is_truncated_to_the_length_limit() {
    let many: Vec<Problem> = (0..2_000).map(|_| problem("spec.ünïcödé")).collect();
    let condition = accepted_condition(1, &many, None, at(0));
    assert!(condition.message.len() <= 32_768);
}
