//! Tests that every check accepts a correct run and detects the fault that it
//! is meant for.

mod support;

use support::*;
use threadledge_lab::checks::{self, Check, Guarantee};
use threadledge_lab::history::{AttemptOutcome, ConfigurationSeen, Event, ObjectRef, SliceSeen};
use threadledge_types::session::Grant;
use threadledge_types::{Epoch, Point, Slice};

/// Asserts that `check` assert_detects no violation in a correct run, and exactly one
/// after `fault` is added.
fn assert_detects(check: Check, guarantee: Guarantee, fault: Vec<Event>) {
    let mut run = correct_run();
    assert_eq!(check(&assemble(run.clone())), Vec::new(), "correct run");
    run.push(fault);
    let found = check(&assemble(run));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].guarantee, guarantee);
}

#[test]
fn a_correct_run_has_no_violations() {
    assert_eq!(checks::check_all(&assemble(correct_run())), Vec::new());
}

#[test]
fn two_simultaneous_claims_violate_single_owner() {
    assert_detects(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        ownership("c", 3, 2_999, 3_500),
    );
}

#[test]
fn an_execution_after_the_lease_expired_violates_single_owner() {
    assert_detects(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        execution("a", 1, 9, 995, 1_001),
    );
}

#[test]
fn an_execution_under_a_stale_epoch_violates_single_owner() {
    assert_detects(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        execution("b", 1, 9, 1_100, 1_110),
    );
}

#[test]
fn a_decreasing_epoch_violates_durable_assignment() {
    assert_detects(
        checks::durable::check,
        Guarantee::DurableAssignment,
        ownership("c", 1, 3_100, 3_500)
            .into_iter()
            .map(|event| match event {
                Event::GrantTaken { at, session, .. } => Event::GrantTaken {
                    at,
                    session,
                    grant: grant(0),
                },
                Event::GrantReleased { at, session, .. } => Event::GrantReleased {
                    at,
                    session,
                    grant: grant(0),
                },
                other => other,
            })
            .collect(),
    );
}

#[test]
fn one_epoch_for_two_sessions_violates_durable_assignment() {
    assert_detects(
        checks::durable::check,
        Guarantee::DurableAssignment,
        ownership("c", 2, 3_100, 3_500),
    );
}

#[test]
fn a_router_that_reverts_an_assignment_violates_durable_assignment() {
    let view = |at: u64, epoch: u64| {
        Event::SliceSeen(SliceSeen {
            begin: millis(at),
            end: millis(at + 1),
            router: "router-1".to_owned(),
            service: service(),
            slice: Slice::ALL,
            owner: None,
            epoch: Epoch(revision(epoch)),
        })
    };
    assert_detects(
        checks::durable::check,
        Guarantee::DurableAssignment,
        vec![view(1_000, 2), view(2_000, 1), view(9_000, 1)],
    );
}

#[test]
fn a_response_to_another_request_violates_own_answer() {
    let mut wrong = request(1, vec![attempt(0, 95, 115, AttemptOutcome::Answered)]);
    if let Event::RequestEnded { answer_matches, .. } = &mut wrong {
        *answer_matches = Some(false);
    }
    assert_detects(checks::answers::check, Guarantee::OwnAnswer, vec![wrong]);
}

#[test]
fn a_response_without_an_execution_violates_own_answer() {
    let invented = request(9, vec![attempt(0, 95, 115, AttemptOutcome::Answered)]);
    assert_detects(checks::answers::check, Guarantee::OwnAnswer, vec![invented]);
}

#[test]
fn an_execution_of_a_request_reported_as_not_run_violates_not_run() {
    let mut fault = execution("b", 2, 9, 1_100, 1_110);
    fault.push(request(
        9,
        vec![attempt(0, 1_090, 1_120, AttemptOutcome::NotRun)],
    ));
    assert_detects(checks::not_run::check, Guarantee::NotRun, fault);
}

#[test]
fn an_execution_before_the_only_attempt_that_may_have_run_violates_not_run() {
    let mut fault = execution("b", 2, 9, 1_100, 1_110);
    fault.push(request(
        9,
        vec![
            attempt(0, 1_090, 1_120, AttemptOutcome::NotRun),
            attempt(1, 1_125, 1_150, AttemptOutcome::Unknown),
        ],
    ));
    assert_detects(checks::not_run::check, Guarantee::NotRun, fault);
}

#[test]
fn a_second_execution_violates_at_most_once() {
    assert_detects(
        checks::at_most_once::check,
        Guarantee::AtMostOnce,
        execution("b", 2, 2, 1_100, 1_110),
    );
}

#[test]
fn new_work_long_after_the_drain_notice_violates_draining() {
    let mut fault = vec![Event::DrainBegan {
        at: millis(1_100),
        session: session("b"),
    }];
    fault.extend(execution("b", 2, 9, 4_200, 4_210));
    assert_detects(checks::draining::check, Guarantee::Draining, fault);
}

#[test]
fn a_drain_notice_applies_only_to_the_incarnation_that_received_it() {
    let mut other_incarnation = session("b");
    other_incarnation.incarnation.0 += 1;
    let mut run = correct_run();
    run.push(vec![Event::DrainBegan {
        at: millis(1),
        session: other_incarnation,
    }]);
    run.push(execution("b", 2, 9, 4_200, 4_210));
    assert!(checks::draining::check(&assemble(run)).is_empty());
}

#[test]
fn a_request_interrupted_after_the_stop_began_violates_planned_stop() {
    let fault = vec![
        Event::PlannedStopBegan {
            at: millis(2_000),
            router: 1,
        },
        request(9, vec![attempt(1, 1_990, 2_010, AttemptOutcome::Cut)]),
    ];
    assert_detects(checks::planned_stop::check, Guarantee::PlannedStop, fault);
}

fn configuration(at: u64, index: u64, ready: bool) -> Event {
    Event::ConfigurationSeen(ConfigurationSeen {
        at: millis(at),
        router: "router-1".to_owned(),
        revision: revision(index),
        ready,
    })
}

#[test]
fn a_decreasing_revision_violates_configuration() {
    assert_detects(
        checks::configuration::check,
        Guarantee::Configuration,
        vec![configuration(10, 7, true), configuration(20, 6, true)],
    );
}

#[test]
fn serving_by_an_old_revision_violates_configuration() {
    assert_detects(
        checks::configuration::check,
        Guarantee::Configuration,
        vec![
            Event::ConfigurationAccepted {
                at: millis(100),
                object: ObjectRef("KeyedService kasamahan/gallery".to_owned()),
                revision: revision(9),
            },
            configuration(5_000, 8, true),
            configuration(5_200, 8, false),
            configuration(5_300, 8, true),
        ],
    );
}

#[test]
fn acquiring_while_another_session_owns_is_not_linearizable() {
    assert_detects(
        checks::linearizable::check,
        Guarantee::Linearizable,
        ownership("c", 3, 2_999, 3_500),
    );
}

#[test]
fn a_request_outside_its_ownership_is_not_linearizable() {
    assert_detects(
        checks::linearizable::check,
        Guarantee::Linearizable,
        execution("b", 2, 9, 1_002, 1_005),
    );
}

/// Returns a run in which the slice of `a` is split at 500 ms under the same
/// epoch, while a request that started before still holds the whole slice.
fn split_run() -> Vec<Vec<Event>> {
    let (low, high) = Slice::ALL.split_at(Point(1 << 63)).expect("two halves");
    let part = |slice| Grant { slice, ..grant(1) };
    let taken = |at, grant| Event::GrantTaken {
        at: millis(at),
        session: session("a"),
        grant,
    };
    let released = |at, grant| Event::GrantReleased {
        at: millis(at),
        session: session("a"),
        grant,
    };
    let lease = Event::LeaseExtended {
        at: millis(0),
        session: session("a"),
        until: millis(1_000),
    };
    vec![
        vec![
            lease,
            taken(0, grant(1)),
            taken(500, part(low)),
            taken(500, part(high)),
        ],
        vec![
            released(600, grant(1)),
            released(1_000, part(low)),
            released(1_000, part(high)),
        ],
        execution("a", 1, 1, 100, 110),
        execution("a", 1, 2, 490, 590),
        execution("a", 1, 3, 700, 710),
        ownership("b", 2, 1_010, 2_000),
        execution("b", 2, 4, 1_100, 1_110),
    ]
}

#[test]
fn a_split_under_the_same_epoch_has_no_violations() {
    assert_eq!(checks::check_all(&assemble(split_run())), Vec::new());
}

/// Returns a run in which `a` releases its slice at 500 ms and acquires half of
/// it under the same epoch at `reacquired_at`, with a request in between.
fn reduced_slice_run(reacquired_at: u64) -> Vec<Vec<Event>> {
    let (low, _) = Slice::ALL.split_at(Point(1 << 63)).expect("two halves");
    let mut owned = ownership("a", 1, 0, 1_000);
    if let Event::GrantReleased { at, .. } = &mut owned[2] {
        *at = millis(500);
    }
    owned.push(Event::GrantTaken {
        at: millis(reacquired_at),
        session: session("a"),
        grant: Grant {
            slice: low,
            ..grant(1)
        },
    });
    vec![owned, execution("a", 1, 1, 490, 520)]
}

#[test]
fn a_request_may_run_across_a_split_but_not_across_a_gap() {
    let check = checks::single_owner::check;
    assert_eq!(check(&assemble(reduced_slice_run(500))), Vec::new());
    assert_eq!(check(&assemble(reduced_slice_run(501))).len(), 1);
}

#[test]
fn a_request_by_the_old_owner_after_a_split_slice_moved_is_not_linearizable() {
    let mut run = split_run();
    run.push(execution("a", 1, 9, 1_200, 1_210));
    let found = checks::linearizable::check(&assemble(run));
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn a_request_between_lease_expiry_and_renewal_is_not_linearizable() {
    let mut owned = ownership("a", 1, 0, 1_000);
    owned.pop();
    owned.push(Event::LeaseExtended {
        at: millis(1_500),
        session: session("a"),
        until: millis(2_000),
    });
    let mut run = vec![owned];
    run.push(execution("a", 1, 1, 500, 510));
    run.push(execution("a", 1, 2, 1_600, 1_610));
    assert_eq!(
        checks::linearizable::check(&assemble(run.clone())),
        Vec::new()
    );
    run.push(execution("a", 1, 3, 1_200, 1_210));
    let found = checks::linearizable::check(&assemble(run));
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn claims_of_a_killed_process_end_with_it() {
    let mut run = vec![ownership("a", 1, 0, 9_000)];
    run[0].pop();
    run.push(vec![Event::ProcessEnded {
        at: millis(500),
        process: "back-ends-1".to_owned(),
        sessions: vec![session("a")],
        planned: false,
    }]);
    run.push(ownership("b", 2, 600, 900));
    let history = assemble(run);
    assert_eq!(history.claims[0].end, millis(500));
    assert_eq!(checks::single_owner::check(&history), Vec::new());
}

#[test]
fn claims_pause_between_lease_expiry_and_renewal() {
    let mut run = ownership("a", 1, 0, 1_000);
    run.pop();
    run.push(Event::LeaseExtended {
        at: millis(1_500),
        session: session("a"),
        until: millis(2_000),
    });
    let history = assemble(vec![run]);
    let intervals: Vec<_> = history
        .claims
        .iter()
        .map(|claim| (claim.begin.as_millis(), claim.end.as_millis()))
        .collect();
    assert_eq!(intervals, vec![(0, 1_000), (1_500, 2_000)]);
}

/// Generates a run of consecutive owners with gaps, each of which executes one
/// request while it owns the slice.
fn random_run(draw: &mut arbtest::arbitrary::Unstructured<'_>) -> Vec<Vec<Event>> {
    let mut run = Vec::new();
    let mut at = 0_u64;
    let owners = draw.int_in_range(2..=6).unwrap_or(2);
    for epoch in 1..=owners {
        let begin = at + draw.int_in_range(0..=50).unwrap_or(0);
        let end = begin + draw.int_in_range(4..=500).unwrap_or(4);
        let name = ["a", "b", "c"][(epoch % 3) as usize];
        run.push(ownership(name, epoch, begin, end));
        run.push(execution(name, epoch, epoch, begin + 1, begin + 2));
        let answered = attempt(0, begin, begin + 3, AttemptOutcome::Answered);
        run.push(vec![request(epoch, vec![answered])]);
        at = end;
    }
    run
}

#[test]
fn random_runs_with_one_owner_at_a_time_pass_and_any_overlap_is_detected() {
    for seed in 0..200_u64 {
        arbtest::arbtest(|draw| {
            let mut run = random_run(draw);
            assert_eq!(checks::check_all(&assemble(run.clone())), Vec::new());
            let last = assemble(run.clone())
                .claims
                .last()
                .expect("an owner")
                .clone();
            let begin = last.end.as_millis() - 1;
            run.push(ownership("d", 99, begin, begin + 10));
            let found = checks::check_all(&assemble(run));
            let guarantees: Vec<_> = found.iter().map(|one| one.guarantee).collect();
            assert_eq!(
                guarantees,
                vec![Guarantee::SingleOwner, Guarantee::Linearizable]
            );
            Ok(())
        })
        .seed((seed << 32) | 0x40);
    }
}
