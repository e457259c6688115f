//! Every check passes a sound run and fails on the fault it is meant for.

mod support;

use support::*;
use threadledge_lab::checks::{self, Check, Guarantee};
use threadledge_lab::history::{AttemptOutcome, ConfigurationSeen, Event, ObjectRef, SliceSeen};
use threadledge_types::session::Grant;
use threadledge_types::{Epoch, Point, Slice};

/// Asserts that `check` finds exactly one breach, once `fault` is planted.
fn finds(check: Check, guarantee: Guarantee, fault: Vec<Event>) {
    let mut run = sound_run();
    assert_eq!(check(&assemble(run.clone())), Vec::new(), "sound run");
    run.push(fault);
    let found = check(&assemble(run));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].guarantee, guarantee);
}

#[test]
fn a_sound_run_breaches_nothing() {
    assert_eq!(checks::check_all(&assemble(sound_run())), Vec::new());
}

#[test]
fn two_believers_at_one_moment_breach_single_owner() {
    finds(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        ownership("c", 3, 2_999, 3_500),
    );
}

#[test]
fn an_execution_after_the_lease_lapsed_breaches_single_owner() {
    finds(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        execution("a", 1, 9, 995, 1_001),
    );
}

#[test]
fn an_execution_under_a_stale_epoch_breaches_single_owner() {
    finds(
        checks::single_owner::check,
        Guarantee::SingleOwner,
        execution("b", 1, 9, 1_100, 1_110),
    );
}

#[test]
fn an_epoch_that_goes_down_breaches_durable_assignment() {
    finds(
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
fn one_epoch_for_two_sessions_breaches_durable_assignment() {
    finds(
        checks::durable::check,
        Guarantee::DurableAssignment,
        ownership("c", 2, 3_100, 3_500),
    );
}

#[test]
fn a_router_that_forgets_an_assignment_breaches_durable_assignment() {
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
    finds(
        checks::durable::check,
        Guarantee::DurableAssignment,
        vec![view(1_000, 2), view(2_000, 1), view(9_000, 1)],
    );
}

#[test]
fn another_requests_answer_breaches_own_answer() {
    let mut wrong = request(1, vec![attempt(0, 95, 115, AttemptOutcome::Answered)]);
    if let Event::RequestEnded { answer_matches, .. } = &mut wrong {
        *answer_matches = Some(false);
    }
    finds(checks::answers::check, Guarantee::OwnAnswer, vec![wrong]);
}

#[test]
fn an_answer_without_an_execution_breaches_own_answer() {
    let invented = request(9, vec![attempt(0, 95, 115, AttemptOutcome::Answered)]);
    finds(checks::answers::check, Guarantee::OwnAnswer, vec![invented]);
}

#[test]
fn an_execution_of_a_request_said_not_to_have_run_breaches_not_run() {
    let mut fault = execution("b", 2, 9, 1_100, 1_110);
    fault.push(request(
        9,
        vec![attempt(0, 1_090, 1_120, AttemptOutcome::NotRun)],
    ));
    finds(checks::not_run::check, Guarantee::NotRun, fault);
}

#[test]
fn an_execution_before_the_only_attempt_that_may_have_run_breaches_not_run() {
    let mut fault = execution("b", 2, 9, 1_100, 1_110);
    fault.push(request(
        9,
        vec![
            attempt(0, 1_090, 1_120, AttemptOutcome::NotRun),
            attempt(1, 1_125, 1_150, AttemptOutcome::Unknown),
        ],
    ));
    finds(checks::not_run::check, Guarantee::NotRun, fault);
}

#[test]
fn a_second_execution_breaches_at_most_once() {
    finds(
        checks::at_most_once::check,
        Guarantee::AtMostOnce,
        execution("b", 2, 2, 1_100, 1_110),
    );
}

#[test]
fn new_work_long_after_the_drain_notice_breaches_draining() {
    let mut fault = vec![Event::DrainBegan {
        at: millis(1_100),
        session: session("b"),
    }];
    fault.extend(execution("b", 2, 9, 4_200, 4_210));
    finds(checks::draining::check, Guarantee::Draining, fault);
}

#[test]
fn a_drain_notice_binds_only_the_life_that_got_it() {
    let mut former = session("b");
    former.incarnation.0 += 1;
    let mut run = sound_run();
    run.push(vec![Event::DrainBegan {
        at: millis(1),
        session: former,
    }]);
    run.push(execution("b", 2, 9, 4_200, 4_210));
    assert!(checks::draining::check(&assemble(run)).is_empty());
}

#[test]
fn a_request_cut_after_the_stop_began_breaches_planned_stop() {
    let fault = vec![
        Event::PlannedStopBegan {
            at: millis(2_000),
            router: 1,
        },
        request(9, vec![attempt(1, 1_990, 2_010, AttemptOutcome::Cut)]),
    ];
    finds(checks::planned_stop::check, Guarantee::PlannedStop, fault);
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
fn a_revision_that_goes_down_breaches_configuration() {
    finds(
        checks::configuration::check,
        Guarantee::Configuration,
        vec![configuration(10, 7, true), configuration(20, 6, true)],
    );
}

#[test]
fn serving_by_an_old_revision_breaches_configuration() {
    finds(
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
fn a_take_while_another_owns_is_not_linearizable() {
    finds(
        checks::linearizable::check,
        Guarantee::Linearizable,
        ownership("c", 3, 2_999, 3_500),
    );
}

#[test]
fn a_request_outside_its_ownership_is_not_linearizable() {
    finds(
        checks::linearizable::check,
        Guarantee::Linearizable,
        execution("b", 2, 9, 1_002, 1_005),
    );
}

/// Owner `a` whose slice is split at 500 ms under the same epoch, while a
/// request that began before still holds the whole.
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
fn a_split_under_the_same_epoch_breaches_nothing() {
    assert_eq!(checks::check_all(&assemble(split_run())), Vec::new());
}

/// Owner `a` whose slice is cut down at 500 ms, and taken up again under the
/// same epoch at `again`.
fn cut_down_run(again: u64) -> Vec<Vec<Event>> {
    let (low, _) = Slice::ALL.split_at(Point(1 << 63)).expect("two halves");
    let mut owned = ownership("a", 1, 0, 1_000);
    if let Event::GrantReleased { at, .. } = &mut owned[2] {
        *at = millis(500);
    }
    owned.push(Event::GrantTaken {
        at: millis(again),
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
    assert_eq!(check(&assemble(cut_down_run(500))), Vec::new());
    assert_eq!(check(&assemble(cut_down_run(501))).len(), 1);
}

#[test]
fn a_request_by_the_old_owner_after_a_split_slice_moved_is_not_linearizable() {
    let mut run = split_run();
    run.push(execution("a", 1, 9, 1_200, 1_210));
    let found = checks::linearizable::check(&assemble(run));
    assert_eq!(found.len(), 1, "{found:?}");
}

#[test]
fn a_request_between_a_lapse_and_the_renewal_is_not_linearizable() {
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
fn a_killed_process_believes_nothing_from_its_end_on() {
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
fn belief_pauses_between_a_lapse_and_the_next_renewal() {
    let mut run = ownership("a", 1, 0, 1_000);
    run.pop();
    run.push(Event::LeaseExtended {
        at: millis(1_500),
        session: session("a"),
        until: millis(2_000),
    });
    let history = assemble(vec![run]);
    let stretches: Vec<_> = history
        .claims
        .iter()
        .map(|belief| (belief.begin.as_millis(), belief.end.as_millis()))
        .collect();
    assert_eq!(stretches, vec![(0, 1_000), (1_500, 2_000)]);
}

/// Owners one after the other with gaps, drawn from `draw`, each serving one
/// request in the middle of its time.
fn drawn_run(draw: &mut arbtest::arbitrary::Unstructured<'_>) -> Vec<Vec<Event>> {
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
fn drawn_runs_with_one_owner_at_a_time_breach_nothing_and_any_overlap_is_found() {
    for seed in 0..200_u64 {
        arbtest::arbtest(|draw| {
            let mut run = drawn_run(draw);
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
