//! Tests that the planner's work, counted in operations, depends on the size of
//! the change.

mod common;

use common::{Model, NO_LIMIT, back_end, gallery};
use threadledge_placement::WorkCounters;
use threadledge_types::objects::PlacementPolicy;
use threadledge_types::{BackEndId, ServiceId};

const BACK_ENDS: u32 = 20;

/// Creates a service with `slices` slices and nothing left to plan.
fn settled(slices: u32) -> Model {
    let mut model = Model::new();
    for number in 0..BACK_ENDS {
        model.back_end(&back_end(number), "gallery", 2);
        model.open(&back_end(number), 1);
    }
    let policy = PlacementPolicy {
        slices_per_back_end: slices / BACK_ENDS,
        ..PlacementPolicy::default()
    };
    model.service(&gallery(), slices, policy);
    for _ in 0..40 {
        model.now = model.now + common::STEP;
        model.plan(NO_LIMIT);
    }
    model.reset_churn();
    model
}

/// Returns the work of the plans in the two seconds after `change`.
fn work_after(model: &mut Model, change: impl FnOnce(&mut Model)) -> WorkCounters {
    let before = model.planner.work_counters();
    change(model);
    for _ in 0..4 {
        model.plan(NO_LIMIT);
        model.now = model.now + common::STEP;
    }
    let after = model.planner.work_counters();
    WorkCounters {
        services: after.services - before.services,
        back_ends: after.back_ends - before.back_ends,
        slices: after.slices - before.slices,
    }
}

#[test]
fn work_for_one_slice_does_not_depend_on_the_number_of_slices() {
    let cost = |slices| {
        let mut model = settled(slices);
        work_after(&mut model, |model| {
            let record = model.owned_by(&back_end(0)).remove(0);
            model.put_slice(threadledge_types::records::SliceRecord {
                owner: None,
                ..record
            });
        })
    };
    let small = cost(1_000);
    let large = cost(40_000);
    assert_eq!(small, large);
    assert_eq!(large.slices, 1);
    assert!(large.back_ends <= 4 * u64::from(BACK_ENDS), "{large:?}");
}

#[test]
fn work_for_a_lost_session_is_proportional_to_its_slices() {
    let mut model = settled(10_000);
    let work = work_after(&mut model, |model| model.end_session(&back_end(0)));
    assert_eq!(work.slices, 500);
}

#[test]
fn services_without_change_are_not_visited() {
    let mut model = settled(100);
    for number in 0..500 {
        let service = ServiceId::new("hearts", format!("service-{number}"));
        let id = BackEndId::new("hearts", format!("server-{number}"));
        model.back_end(&id, &service.name, 2);
        model.open(&id, 1);
        model.service(&service, 4, PlacementPolicy::default());
    }
    for _ in 0..10 {
        model.now = model.now + common::STEP;
        model.plan(NO_LIMIT);
    }
    let work = work_after(&mut model, |model| {
        let record = model.owned_by(&back_end(0)).remove(0);
        model.put_slice(record);
    });
    assert!(work.services <= 6, "{work:?}");
}

#[test]
fn changes_of_one_back_end_cost_nothing_for_other_services() {
    let mut model = settled(100);
    for number in 0..500 {
        let service = ServiceId::new("hearts", format!("service-{number}"));
        model.service(&service, 1, PlacementPolicy::default());
    }
    model.plan(NO_LIMIT);
    let before = model.planner.work_counters();
    let report = threadledge_types::session::LoadReport::default();
    model.planner.observe_load(model.now, &back_end(0), &report);
    model.drain(&back_end(0));
    let after = model.planner.work_counters();
    assert_eq!(after.services - before.services, 1);
    assert_eq!(after.back_ends - before.back_ends, 1);
}

#[test]
fn plan_without_change_does_nothing() {
    let mut model = settled(1_000);
    let work = work_after(&mut model, |_| {});
    assert_eq!(work, WorkCounters::default());
}
