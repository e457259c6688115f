//! Tests of several regions in one world: each decides independently, and all
//! read one store.

use std::time::Duration;

use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

const REGIONS: usize = 3;
const BACK_ENDS: usize = 4;
const SETTLE_TIME: Duration = Duration::from_secs(5);
const TIME_AFTER_FAULT: Duration = Duration::from_secs(8);

fn service(region: usize) -> String {
    format!("gallery-{region}")
}

fn settled_regions(seed: u64) -> World {
    let plans =
        (0..REGIONS).map(|region| ServicePlan::new(&service(region), BACK_ENDS).in_region(region));
    let mut world = World::new(Scenario {
        seed,
        regions: REGIONS,
        listed_regions: 1,
        routers: 5,
        services: plans.collect(),
        ..Default::default()
    });
    world.run_for(SETTLE_TIME);
    assert!(
        world.all_served(),
        "keys without owner after {SETTLE_TIME:?}"
    );
    world.reset_metrics();
    world
}

fn assert_undisturbed(world: &World) {
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
    let longest = world.metrics().longest_outage(world.now());
    assert_eq!(longest, Duration::ZERO);
    assert_eq!(world.metrics().total_moved_share(), 0.0);
}

#[test]
fn every_region_has_a_leader_of_its_own() {
    let world = settled_regions(1);
    for region in 0..REGIONS {
        let leader = world.region_leader(region).expect("a leader");
        assert_eq!(world.router_place(leader).region, region);
    }
}

#[test]
fn partitioned_regions_keep_serving() {
    let mut world = settled_regions(2);
    for other in 1..REGIONS {
        world.cut_regions(0, other, true);
    }
    world.run_for(TIME_AFTER_FAULT);
    for other in 1..REGIONS {
        world.cut_regions(0, other, false);
    }
    world.run_for(TIME_AFTER_FAULT);
    assert_undisturbed(&world);
}

#[test]
fn lost_leader_of_one_region_affects_no_other() {
    let mut world = settled_regions(3);
    let others: Vec<RouterIndex> = (1..REGIONS)
        .filter_map(|r| world.region_leader(r))
        .collect();
    let leader = world.region_leader(0).expect("a leader");
    world.kill_router(leader);
    world.run_for(TIME_AFTER_FAULT);
    assert_undisturbed(&world);
    let after: Vec<RouterIndex> = (1..REGIONS)
        .filter_map(|r| world.region_leader(r))
        .collect();
    assert_eq!(others, after);
}

#[test]
fn restarted_back_ends_regain_their_keys_in_their_own_region() {
    let mut world = settled_regions(4);
    for number in 0..REGIONS * BACK_ENDS {
        world.kill_back_end(BackEndIndex(number));
        world.run_for(Duration::from_millis(300));
        world.start_back_end(BackEndIndex(number));
        world.run_for(Duration::from_millis(700));
    }
    world.run_for(TIME_AFTER_FAULT);
    let violations = world.invariants().violations();
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(
        world.metrics().failing_probes(),
        0,
        "keys are without owner"
    );
    let longest = world.metrics().longest_outage(world.now());
    assert!(longest <= Duration::from_millis(1_000), "{longest:?}");
}

#[test]
fn edit_is_in_force_in_its_own_region_within_the_bound() {
    let mut world = settled_regions(5);
    for region in 0..REGIONS {
        assert!(world.edit_service(&service(region)));
    }
    world.run_for(TIME_AFTER_FAULT);
    assert_eq!(world.pending_edits(), 0);
    let times = world.metrics().times_in_force();
    assert_eq!(times.len(), REGIONS);
    assert!(times.iter().all(|time| *time <= Duration::from_secs(2)));
}
