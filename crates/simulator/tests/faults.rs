//! Each failure that the region must survive, caused in virtual time.
//!
//! Every test checks the invariants at every step of the run, and then the
//! measures: how long a probed key had no server, and which share of the keys
//! moved.

use std::time::Duration;

use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

const SERVICE: &str = "gallery";
const BACK_ENDS: usize = 12;
const SETTLE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);
/// A key is served again within this time after a crash.
const LOSS_BOUND: Duration = Duration::from_millis(2_600);
/// A key is without owner for at most this time on a planned move.
const MOVE_BOUND: Duration = Duration::from_millis(50);
/// One back end's share of the keys.
const ONE_SHARE: f64 = 1.0 / BACK_ENDS as f64;
/// A back end that comes back empty is filled within the churn budget of a
/// minute.
const REFILL: f64 = 0.02;
/// Rounding of shares.
const TOLERANCE: f64 = 1e-6;
/// The server that fails.
const VICTIM: BackEndIndex = BackEndIndex(3);

/// A region that has settled and serves every key.
fn settled_region(seed: u64) -> World {
    let mut world = World::new(Scenario {
        seed,
        routers: 9,
        services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
        probes_per_service: 48,
        ..Default::default()
    });
    world.run_for(SETTLE);
    assert!(world.leader().is_some(), "no leader after {SETTLE:?}");
    world.reset_measures();
    world
}

fn leader(world: &World) -> RouterIndex {
    world.leader().expect("a settled region has a leader")
}

/// Runs on and checks invariants, outage and moved share.
fn check(mut world: World, outage: Duration, moved: f64) {
    world.run_for(AFTER);
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
    let (probes, _) = world.measures().probes();
    assert!(probes > 0, "nothing was probed");
    let longest = world.measures().longest_outage(world.now());
    assert!(
        longest <= outage,
        "outage of {longest:?} exceeds {outage:?}"
    );
    let share = world.measures().moved_share(&world.service_id(SERVICE));
    assert!(
        share <= moved + TOLERANCE,
        "{share} of the keys moved, {moved} had to"
    );
}

fn voters_besides(world: &World, spared: RouterIndex) -> Vec<RouterIndex> {
    let view = world.router(spared).and_then(|node| node.view()).cloned();
    let voters = view.expect("the leader knows its group").voters;
    let all = (0..world.router_count()).map(RouterIndex);
    all.filter(|index| *index != spared)
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
    check(settled_region(2), Duration::ZERO, 0.0);
}

#[test]
fn killed_back_end_loses_only_its_own_share() {
    let mut world = settled_region(3);
    world.kill_back_end(VICTIM);
    check(world, LOSS_BOUND, ONE_SHARE);
}

#[test]
fn restarted_back_end_gets_its_keys_back_at_once() {
    let mut world = settled_region(4);
    world.kill_back_end(VICTIM);
    world.run_for(Duration::from_millis(300));
    world.start_back_end(VICTIM);
    check(world, Duration::from_millis(1_000), 0.0);
}

#[test]
fn frozen_back_end_that_returns_owns_nothing_that_was_given_away() {
    let mut world = settled_region(5);
    world.freeze_back_end(VICTIM);
    world.run_for(Duration::from_secs(4));
    world.thaw_back_end(VICTIM);
    check(world, LOSS_BOUND, ONE_SHARE + REFILL);
}

#[test]
fn drained_back_end_hands_its_keys_over() {
    let mut world = settled_region(6);
    world.drain_back_end(VICTIM);
    check(world, MOVE_BOUND, ONE_SHARE);
}

#[test]
fn deleted_back_end_hands_its_keys_over() {
    let mut world = settled_region(7);
    world.delete_back_end(VICTIM);
    check(world, MOVE_BOUND, ONE_SHARE);
}

#[test]
fn killed_leader_is_replaced_before_any_lease_runs_out() {
    let mut world = settled_region(8);
    let leader = leader(&world);
    world.kill_router(leader);
    check(world, Duration::ZERO, 0.0);
}

#[test]
fn paused_leader_wakes_to_another_term() {
    let mut world = settled_region(9);
    let leader = leader(&world);
    world.pause_router(leader);
    world.run_for(Duration::from_secs(3));
    world.resume_router(leader);
    check(world, Duration::ZERO, 0.0);
}

#[test]
fn leaving_leader_hands_over_without_a_gap() {
    let mut world = settled_region(10);
    let leader = leader(&world);
    world.leave_router(leader);
    world.run_for(Duration::from_secs(3));
    let gone = world.router(leader).expect("it still runs");
    assert!(gone.can_stop(), "duties still rest on the leaving router");
    world.kill_router(leader);
    check(world, Duration::ZERO, 0.0);
}

#[test]
fn leader_that_is_cut_off_serves_nobody_and_harms_nobody() {
    let mut world = settled_region(11);
    let leader = leader(&world);
    world.isolate_router(leader, true);
    world.run_for(Duration::from_secs(6));
    world.isolate_router(leader, false);
    check(world, Duration::ZERO, 0.0);
}

#[test]
fn leader_and_back_end_lost_together() {
    let mut world = settled_region(12);
    let leader = leader(&world);
    world.kill_router(leader);
    world.kill_back_end(VICTIM);
    check(world, Duration::from_millis(3_500), ONE_SHARE);
}

#[test]
fn lost_zone_costs_only_its_own_share() {
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
    check(world, Duration::from_millis(3_500), 1.0 / 3.0);
}

#[test]
fn lost_majority_is_founded_anew_without_moving_keys() {
    let mut world = settled_region(14);
    let leader = leader(&world);
    for index in voters_besides(&world, leader) {
        world.kill_router(index);
        world.start_router(index);
    }
    check(world, Duration::from_millis(4_000), 0.0);
}

#[test]
fn loss_of_every_member_is_founded_anew_from_the_copies_of_others() {
    let mut world = settled_region(19);
    let leader = leader(&world);
    let mut members = voters_besides(&world, leader);
    members.push(leader);
    for index in members {
        world.kill_router(index);
        world.start_router(index);
    }
    world.run_for(Duration::from_secs(2));
    check(world, Duration::from_millis(6_500), 0.0);
}

#[test]
fn lost_answer_of_the_founding_write_founds_one_group() {
    let mut world = World::new(Scenario {
        seed: 15,
        routers: 9,
        services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
        ..Default::default()
    });
    world.store().lose_answers(1);
    world.run_for(SETTLE);
    world.reset_measures();
    check(world, Duration::ZERO, 0.0);
}

#[test]
fn store_that_is_down_does_not_stop_a_failover() {
    let mut world = settled_region(16);
    world.store().set_down(true);
    world.store().set_machines_down(true);
    let leader = leader(&world);
    world.kill_router(leader);
    world.run_for(Duration::from_secs(3));
    world.kill_back_end(VICTIM);
    check(world, LOSS_BOUND, ONE_SHARE);
}

#[test]
fn zones_that_lose_each_other_keep_one_owner() {
    let mut world = settled_region(17);
    world.cut_zones(0, 1, true);
    world.run_for(Duration::from_secs(6));
    world.cut_zones(0, 1, false);
    world.run_for(AFTER);
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn back_end_that_is_cut_off_stops_before_its_keys_are_given_away() {
    let mut world = settled_region(18);
    world.isolate_back_end(VICTIM, true);
    world.run_for(Duration::from_secs(4));
    world.isolate_back_end(VICTIM, false);
    check(world, LOSS_BOUND, ONE_SHARE + REFILL);
}

/// The check of sole ownership must be able to fail: clocks that drift beyond
/// the margin break the lease arithmetic.
#[test]
fn clocks_that_drift_beyond_the_margin_are_caught() {
    let mut found = 0;
    for seed in 0..6 {
        let mut world = World::new(Scenario {
            seed,
            services: vec![ServicePlan::new(SERVICE, BACK_ENDS)],
            drift_ppm: 400_000,
            ..Default::default()
        });
        world.run_for(SETTLE);
        for number in 0..BACK_ENDS / 2 {
            world.isolate_back_end(BackEndIndex(number), true);
        }
        world.run_for(AFTER);
        found += world.invariants().count();
    }
    assert!(found > 0, "no schedule broke sole ownership");
}
