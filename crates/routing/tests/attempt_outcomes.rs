//! Exhaustive tests of what attempt events show about whether a request ran.

use threadledge_routing::classify::{Execution, RetryContext, classify, may_retry};
use threadledge_routing::{AttemptEvent, AttemptFailure};
use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, UnknownReason};

fn all_retry_contexts() -> impl Iterator<Item = RetryContext> {
    (0..16).map(|bits| RetryContext {
        repeatable: bits & 1 != 0,
        body_replayable: bits & 2 != 0,
        sent: bits & 4 != 0,
        others_may_have_run: bits & 8 != 0,
    })
}

#[test]
fn an_unsent_request_was_not_run() {
    let not_run = Execution::No(NotRunReason::Unreachable);
    assert_eq!(classify(AttemptEvent::ConnectFailed, false), not_run);
    for permitted in [false, true] {
        assert_eq!(classify(AttemptEvent::SentNothing, permitted), not_run);
    }
}

#[test]
fn a_report_that_contradicts_the_permission_is_inconclusive() {
    let maybe = Execution::Maybe(UnknownReason::ConnectionLost);
    assert_eq!(classify(AttemptEvent::ConnectFailed, true), maybe);
}

#[test]
fn every_refused_request_was_not_run() {
    for refusal in Refusal::ALL {
        let ran = classify(AttemptEvent::Refused(refusal), true);
        assert_eq!(ran, Execution::No(refusal.into()));
    }
}

#[test]
fn a_failure_after_sending_may_have_run() {
    for failure in [AttemptFailure::ConnectionLost, AttemptFailure::BadAnswer] {
        for sent in [false, true] {
            let ran = classify(AttemptEvent::Failed(failure), sent);
            assert_eq!(ran, Execution::Maybe(failure.into()));
        }
    }
}

#[test]
fn a_non_repeatable_request_that_may_have_run_is_never_retried() {
    for context in all_retry_contexts().filter(|context| !context.repeatable) {
        let maybe = Execution::Maybe(UnknownReason::ConnectionLost);
        assert!(!may_retry(maybe, context));
        let not_run = Execution::No(NotRunReason::WrongOwner);
        let again = may_retry(not_run, context);
        assert!(!again || !context.others_may_have_run);
    }
}

#[test]
fn a_sent_body_that_cannot_be_replayed_is_never_retried() {
    for context in all_retry_contexts().filter(|it| it.sent && !it.body_replayable) {
        for ran in [
            Execution::No(NotRunReason::Overloaded),
            Execution::Maybe(UnknownReason::BadAnswer),
        ] {
            assert!(!may_retry(ran, context));
        }
    }
}

#[test]
fn an_unsent_request_may_always_be_retried_if_nothing_else_ran() {
    for context in all_retry_contexts().filter(|it| !it.sent && !it.others_may_have_run) {
        let not_run = Execution::No(NotRunReason::Unreachable);
        assert!(may_retry(not_run, context));
    }
}
