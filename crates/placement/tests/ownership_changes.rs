//! Tests of assignment, lost sessions, restarts, draining, joining and
//! selection.

mod common;

use std::collections::BTreeMap;

use common::{Model, NO_LIMIT, Traffic, back_end, gallery, owner_of, warm_model};
use threadledge_placement::{Action, PlannerSettings};
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::{BackEndId, ServiceId};

fn spread(rate: f64) -> Traffic {
    Traffic {
        spread: rate,
        hot: BTreeMap::new(),
    }
}

fn close_to(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() < 1e-6
}

#[test]
fn first_assignment_follows_slots() {
    let mut model = Model::new();
    model.back_end(&back_end(0), "gallery", 1);
    model.back_end(&back_end(1), "gallery", 3);
    model.open(&back_end(0), 1);
    model.open(&back_end(1), 1);
    model.service(&gallery(), 128, PlacementPolicy::default());
    let actions = model.plan(NO_LIMIT);
    assert_eq!(actions.len(), 128);
    assert_eq!(model.owned_by(&back_end(0)).len(), 32);
    assert_eq!(model.owned_by(&back_end(1)).len(), 96);
}

#[test]
fn loss_moves_exactly_the_lost_share_and_spreads_it() {
    let mut model = warm_model(15, PlacementPolicy::default(), spread(3_000.0));
    let lost = model.share_of(&back_end(4));
    let before = model.slices.clone();
    model.end_session(&back_end(4));
    model.run(60);
    assert!(close_to(model.churn_of(&gallery()), lost));
    for record in model.records() {
        let old = &before[&gallery()][&record.slice.first];
        let kept = owner_of(old) == owner_of(record);
        assert!(kept || owner_of(old) == Some(&back_end(4)));
    }
    let counts: Vec<usize> = (0..15)
        .filter(|number| *number != 4)
        .map(|number| model.owned_by(&back_end(number)).len())
        .collect();
    assert!(
        counts.iter().all(|count| (68..=69).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn restarted_back_end_gets_its_unowned_slices_back() {
    let mut model = warm_model(5, PlacementPolicy::default(), spread(1_000.0));
    let before: Vec<_> = model
        .owned_by(&back_end(2))
        .into_iter()
        .map(|record| record.slice)
        .collect();
    model.end_session(&back_end(2));
    model.open(&back_end(2), 2);
    model.plan(NO_LIMIT);
    let after: Vec<_> = model
        .owned_by(&back_end(2))
        .into_iter()
        .map(|record| record.slice)
        .collect();
    assert_eq!(before, after);
}

#[test]
fn draining_back_end_gives_up_a_bounded_number_of_slices_at_once() {
    let mut model = warm_model(6, PlacementPolicy::default(), spread(1_000.0));
    let share = model.share_of(&back_end(0));
    model.drain(&back_end(0));
    let first = model.plan(NO_LIMIT);
    assert_eq!(
        first.len(),
        PlannerSettings::default().max_evacuations_per_back_end
    );
    let mut receivers: BTreeMap<BackEndId, usize> = BTreeMap::new();
    for action in &first {
        if let Action::BeginMove { to, .. } = action {
            *receivers.entry(to.clone()).or_default() += 1;
        }
    }
    assert_eq!(receivers.len(), 5, "spread over all receivers");
    assert!(receivers.values().all(|count| *count <= 7));
    model.run(10);
    assert!(model.owned_by(&back_end(0)).is_empty());
    assert!(close_to(model.churn_of(&gallery()), share));
}

#[test]
fn back_end_that_is_no_longer_selected_gives_up_its_slices() {
    let mut model = warm_model(4, PlacementPolicy::default(), spread(1_000.0));
    model.back_end(&back_end(3), "retired", 2);
    model.run(10);
    assert!(model.owned_by(&back_end(3)).is_empty());
    assert!(model.records().all(|record| record.owner.is_some()));
}

#[test]
fn handover_is_cancelled_when_the_next_owner_begins_to_drain() {
    let mut model = warm_model(3, PlacementPolicy::default(), spread(1_000.0));
    model.drain(&back_end(0));
    model.plan(NO_LIMIT);
    model.drain(&back_end(1));
    let actions = model.plan(NO_LIMIT);
    let cancelled = actions
        .iter()
        .filter(|action| matches!(action, Action::CancelMove { .. }))
        .count();
    assert_eq!(cancelled, 16, "half of the 32 handovers went there");
    model.run(20);
    assert_eq!(model.owned_by(&back_end(2)).len(), 3 * 64);
}

#[test]
fn nothing_is_assigned_while_every_back_end_drains() {
    let mut model = Model::new();
    model.back_end(&back_end(0), "gallery", 2);
    model.open(&back_end(0), 1);
    model.drain(&back_end(0));
    model.service(&gallery(), 8, PlacementPolicy::default());
    assert_eq!(model.plan(NO_LIMIT), Vec::new());
    model.back_end(&back_end(1), "gallery", 2);
    model.open(&back_end(1), 1);
    assert_eq!(model.plan(NO_LIMIT).len(), 8);
}

#[test]
fn joining_back_end_fills_up_within_the_churn_budget() {
    let policy = PlacementPolicy {
        churn_budget_per_minute: 0.02,
        ..PlacementPolicy::default()
    };
    let mut model = warm_model(15, policy, spread(3_000.0));
    model.back_end(&back_end(15), "gallery", 2);
    model.open(&back_end(15), 1);
    model.run(120);
    let churn = model.churn_of(&gallery());
    assert!(churn > 0.0 && churn <= 0.02, "one minute moved {churn}");
    model.run(5 * 120);
    let share = model.share_of(&back_end(15)) * 16.0;
    assert!((0.85..=1.01).contains(&share), "{share} of a fair share");
    let churn = model.churn_of(&gallery());
    assert!(
        churn <= 1.0 / 16.0 + 1e-9,
        "no more than the newcomer's share"
    );
}

#[test]
fn proposal_is_repeated_only_after_its_timeout() {
    let mut model = Model::new();
    model.back_end(&back_end(0), "gallery", 2);
    model.open(&back_end(0), 1);
    model.service(&gallery(), 4, PlacementPolicy::default());
    let lost = model.planner.plan(model.now, NO_LIMIT);
    assert_eq!(lost.len(), 4);
    let timeout = PlannerSettings::default().proposal_timeout;
    assert_eq!(
        model.planner.plan(model.now + timeout / 2, NO_LIMIT),
        Vec::new()
    );
    assert_eq!(model.planner.unowned_slices(&gallery()), 4);
    assert_eq!(model.planner.plan(model.now + timeout, NO_LIMIT), lost);
}

#[test]
fn withdrawn_proposal_is_repeated_at_once() {
    let mut model = Model::new();
    model.back_end(&back_end(0), "gallery", 2);
    model.open(&back_end(0), 1);
    model.service(&gallery(), 4, PlacementPolicy::default());
    let refused = model.planner.plan(model.now, NO_LIMIT);
    model.planner.withdraw(&refused[2]);
    assert_eq!(model.planner.plan(model.now, NO_LIMIT), refused[2..3]);
}

#[test]
fn large_back_end_drains_in_few_rounds() {
    let mut model = Model::new();
    for number in 0..3 {
        model.back_end(&back_end(number), "gallery", 2);
        model.open(&back_end(number), 1);
    }
    model.service(&gallery(), 6_000, PlacementPolicy::default());
    model.run(20);
    model.drain(&back_end(0));
    // A quarter per round from 2,000 to 128 slices, then 32 per round.
    model.run(10 + 4 + 1);
    assert!(model.owned_by(&back_end(0)).is_empty());
}

#[test]
fn slices_stay_within_their_namespace() {
    let mut model = Model::new();
    let theirs = ServiceId::new("kauri", "gallery");
    let their_back_end = BackEndId::new("kauri", "gallery-00");
    model.back_end(&back_end(0), "gallery", 2);
    model.open(&back_end(0), 1);
    model.service(&theirs, 16, PlacementPolicy::default());
    model.service(&gallery(), 16, PlacementPolicy::default());
    model.run(4);
    assert!(
        model.slices[&theirs]
            .values()
            .all(|record| record.owner.is_none())
    );
    model.back_end(&their_back_end, "gallery", 2);
    model.open(&their_back_end, 1);
    model.run(4);
    assert_eq!(model.owned_by(&their_back_end).len(), 16);
    assert_eq!(model.owned_by(&back_end(0)).len(), 16);
}

#[test]
fn large_service_does_not_starve_a_small_one() {
    let mut model = Model::new();
    let large = ServiceId::new("hearts", "aaa");
    for (service, slices) in [(&large, 10_000), (&gallery(), 10)] {
        let id = BackEndId::new("hearts", service.name.clone());
        model.back_end(&id, &service.name, 2);
        model.open(&id, 1);
        model.service(service, slices, PlacementPolicy::default());
    }
    for _ in 0..3 {
        assert_eq!(model.plan(10).len(), 10);
    }
    assert_eq!(model.planner.unowned_slices(&gallery()), 0);
    assert_eq!(model.planner.unowned_slices(&large), 10_000 - 20);
}

#[test]
fn unreachable_back_end_receives_nothing_and_keeps_its_slices() {
    let mut model = warm_model(6, PlacementPolicy::default(), spread(600.0));
    let unreachable = back_end(2);
    let held = model.owned_by(&unreachable);
    model.planner.set_reachable(&unreachable, false);
    model.end_session(&back_end(4));
    model.run(20);
    assert_eq!(model.owned_by(&unreachable), held);
    model.planner.set_reachable(&unreachable, true);
    model.end_session(&back_end(5));
    model.run(20);
    assert!(model.owned_by(&unreachable).len() > held.len());
}
