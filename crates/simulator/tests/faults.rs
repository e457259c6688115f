//! Tests of each failure that a region must survive, in virtual time.
//!
//! Every test checks the invariants at every step of the run, and then the
//! metrics: how long a probed key could not be served, and which share of the
//! keys moved.

use std::time::Duration;

use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

const SERVICE: &str = "gallery";
const BACK_ENDS: usize = 12;
const SETTLE_TIME: Duration = Duration::from_secs(5);
const TIME_AFTER_FAULT: Duration = Duration::from_secs(8);
/// A key is served again within this time after a crash.
const LOSS_BOUND: Duration = Duration::from_millis(2_600);
/// A key has no owner for at most this time during a planned move.
const MOVE_BOUND: Duration = Duration::from_millis(50);
/// Share of the keys that one back end owns.
const BACK_END_SHARE: f64 = 1.0 / BACK_ENDS as f64;
/// Share of the keys that may move to a back end that returns empty: the churn
/// budget of a minute.
const REFILL_SHARE: f64 = 0.02;
/// Tolerance for rounding of shares.
const TOLERANCE: f64 = 1e-6;
/// The back end that fails.
const FAILING_BACK_END: BackEndIndex = BackEndIndex(3);

/// Returns a region that has settled and serves every key.
fn settled_region(seed: u64) -> World {
    let mut world = World::new(Scenario {
        seed,
        routers: 9,
        services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
        probes_per_service: 48,
        ..Default::default()
    });
    world.run_for(SETTLE_TIME);
    assert!(world.leader().is_some(), "no leader after {SETTLE_TIME:?}");
    world.reset_metrics();
    world
}

fn leader(world: &World) -> RouterIndex {
    world.leader().expect("a settled region has a leader")
}

/// Runs on and checks the invariants, the longest outage and the moved share.
fn run_and_check(mut world: World, outage: Duration, moved: f64) {
    world.run_for(TIME_AFTER_FAULT);
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
    let (probes, _) = world.metrics().probes();
    assert!(probes > 0, "nothing was probed");
    let longest = world.metrics().longest_outage(world.now());
    assert!(
        longest <= outage,
        "outage of {longest:?} exceeds {outage:?}"
    );
    let share = world.metrics().moved_share(&world.service_id(SERVICE));
    assert!(
        share <= moved + TOLERANCE,
        "{share} of the keys moved, {moved} had to"
    );
}

fn other_voters(world: &World, leader: RouterIndex) -> Vec<RouterIndex> {
    let view = world.router(leader).and_then(|node| node.view()).cloned();
    let voters = view.expect("the leader knows its group").voters;
    let all = (0..world.router_count()).map(RouterIndex);
    all.filter(|index| *index != leader)
        .filter(|index| {
            let id = world.router(*index).map(|node| node.identity().id);
            voters.iter().any(|voter| Some(voter.id) == id)
        })
        .collect()
}

#[test]
fn first_assignment_gives_every_back_end_the_same_share() {
    let world = settled_region(1);
    let now = world.now();
    for number in 0..BACK_ENDS {
        let back_end = world.back_end(BackEndIndex(number));
        let process = back_end.process.as_ref().expect("it runs");
        assert_eq!(process.valid_grants(now).len(), 64, "{}", back_end.id);
    }
}

#[test]
fn quiet_region_moves_nothing() {
    run_and_check(settled_region(2), Duration::ZERO, 0.0);
}

#[test]
fn killed_back_end_loses_only_its_own_share() {
    let mut world = settled_region(3);
    world.kill_back_end(FAILING_BACK_END);
    run_and_check(world, LOSS_BOUND, BACK_END_SHARE);
}

#[test]
fn restarted_back_end_gets_its_keys_back_at_once() {
    let mut world = settled_region(4);
    world.kill_back_end(FAILING_BACK_END);
    world.run_for(Duration::from_millis(300));
    world.start_back_end(FAILING_BACK_END);
    run_and_check(world, Duration::from_millis(1_000), 0.0);
}

#[test]
fn frozen_back_end_that_returns_owns_nothing_that_was_reassigned() {
    let mut world = settled_region(5);
    world.freeze_back_end(FAILING_BACK_END);
    world.run_for(Duration::from_secs(4));
    world.unfreeze_back_end(FAILING_BACK_END);
    run_and_check(world, LOSS_BOUND, BACK_END_SHARE + REFILL_SHARE);
}

#[test]
fn drained_back_end_hands_its_keys_over() {
    let mut world = settled_region(6);
    world.drain_back_end(FAILING_BACK_END);
    run_and_check(world, MOVE_BOUND, BACK_END_SHARE);
}

#[test]
fn deleted_back_end_hands_its_keys_over() {
    let mut world = settled_region(7);
    world.delete_back_end(FAILING_BACK_END);
    run_and_check(world, MOVE_BOUND, BACK_END_SHARE);
}

#[test]
fn killed_leader_is_replaced_before_any_lease_expires() {
    let mut world = settled_region(8);
    let leader = leader(&world);
    world.kill_router(leader);
    run_and_check(world, Duration::ZERO, 0.0);
}

#[test]
fn paused_leader_resumes_in_another_term() {
    let mut world = settled_region(9);
    let leader = leader(&world);
    world.pause_router(leader);
    world.run_for(Duration::from_secs(3));
    world.resume_router(leader);
    run_and_check(world, Duration::ZERO, 0.0);
}

#[test]
fn leaving_leader_hands_over_without_a_gap() {
    let mut world = settled_region(10);
    let leader = leader(&world);
    world.request_router_stop(leader);
    world.run_for(Duration::from_secs(3));
    let gone = world.router(leader).expect("it still runs");
    assert!(gone.can_stop(), "duties still rest on the leaving router");
    world.kill_router(leader);
    run_and_check(world, Duration::ZERO, 0.0);
}

#[test]
fn isolated_leader_causes_no_outage_and_no_moves() {
    let mut world = settled_region(11);
    let leader = leader(&world);
    world.isolate_router(leader, true);
    world.run_for(Duration::from_secs(6));
    world.isolate_router(leader, false);
    run_and_check(world, Duration::ZERO, 0.0);
}

#[test]
fn leader_and_back_end_lost_together() {
    let mut world = settled_region(12);
    let leader = leader(&world);
    world.kill_router(leader);
    world.kill_back_end(FAILING_BACK_END);
    run_and_check(world, Duration::from_millis(3_500), BACK_END_SHARE);
}

#[test]
fn lost_zone_moves_only_its_own_share() {
    let mut world = settled_region(13);
    let zone = world.router_place(leader(&world)).zone;
    let routers = (0..world.router_count()).map(RouterIndex);
    for index in routers.collect::<Vec<_>>() {
        if world.router_place(index).zone == zone {
            world.kill_router(index);
        }
    }
    let back_ends = (0..BACK_ENDS).map(BackEndIndex);
    for index in back_ends.collect::<Vec<_>>() {
        if world.back_end(index).place.zone == zone {
            world.kill_back_end(index);
        }
    }
    run_and_check(world, Duration::from_millis(3_500), 1.0 / 3.0);
}

#[test]
fn group_is_bootstrapped_again_after_majority_loss_without_moving_keys() {
    let mut world = settled_region(14);
    let leader = leader(&world);
    for index in other_voters(&world, leader) {
        world.kill_router(index);
        world.start_router(index);
    }
    run_and_check(world, Duration::from_millis(4_000), 0.0);
}

#[test]
fn group_is_bootstrapped_again_from_copies_after_losing_every_member() {
    let mut world = settled_region(19);
    let leader = leader(&world);
    let mut members = other_voters(&world, leader);
    members.push(leader);
    for index in members {
        world.kill_router(index);
        world.start_router(index);
    }
    world.run_for(Duration::from_secs(2));
    run_and_check(world, Duration::from_millis(6_500), 0.0);
}

#[test]
fn lost_response_to_the_bootstrap_write_creates_one_group() {
    let mut world = World::new(Scenario {
        seed: 15,
        routers: 9,
        services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
        ..Default::default()
    });
    world.store().lose_responses(1);
    world.run_for(SETTLE_TIME);
    world.reset_metrics();
    run_and_check(world, Duration::ZERO, 0.0);
}

#[test]
fn store_that_is_down_does_not_stop_a_failover() {
    let mut world = settled_region(16);
    world.store().set_down(true);
    world.store().set_machines_down(true);
    let leader = leader(&world);
    world.kill_router(leader);
    world.run_for(Duration::from_secs(3));
    world.kill_back_end(FAILING_BACK_END);
    run_and_check(world, LOSS_BOUND, BACK_END_SHARE);
}

#[test]
fn partitioned_zones_keep_a_single_owner() {
    let mut world = settled_region(17);
    world.cut_zones(0, 1, true);
    world.run_for(Duration::from_secs(6));
    world.cut_zones(0, 1, false);
    world.run_for(TIME_AFTER_FAULT);
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn isolated_back_end_stops_before_its_keys_are_reassigned() {
    let mut world = settled_region(18);
    world.isolate_back_end(FAILING_BACK_END, true);
    world.run_for(Duration::from_secs(4));
    world.isolate_back_end(FAILING_BACK_END, false);
    run_and_check(world, LOSS_BOUND, BACK_END_SHARE + REFILL_SHARE);
}

/// The check of exclusive ownership must be able to fail: clocks that drift
/// beyond the margin break the lease arithmetic.
#[test]
fn clocks_that_drift_beyond_the_margin_are_detected() {
    let mut found = 0;
    for seed in 0..6 {
        let mut world = World::new(Scenario {
            seed,
            services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
            drift_ppm: 400_000,
            ..Default::default()
        });
        world.run_for(SETTLE_TIME);
        for number in 0..BACK_ENDS / 2 {
            world.isolate_back_end(BackEndIndex(number), true);
        }
        world.run_for(TIME_AFTER_FAULT);
        found += world.invariants().count();
    }
    assert!(found > 0, "no schedule broke sole ownership");
}
