//! Prints the state of a simulated region in the seconds after the loss of a
//! zone.

use std::time::Duration;
use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

fn main() {
    let mut world = World::new(Scenario {
        seed: 13,
        routers: 9,
        services: vec![ServicePlan::new("gallery", 12)],
        probes_per_service: 48,
        ..Default::default()
    });
    world.run_for(Duration::from_secs(5));
    world.reset_metrics();
    let leader = world.leader().expect("a leader");
    let zone = world.router_place(leader).zone;
    for number in 0..9 {
        if world.router_place(RouterIndex(number)).zone == zone {
            world.kill_router(RouterIndex(number));
        }
    }
    for number in 0..12 {
        if world.back_end(BackEndIndex(number)).place.zone == zone {
            world.kill_back_end(BackEndIndex(number));
        }
    }
    let service = world.service_id("gallery");
    for step in 1..40 {
        world.run_for(Duration::from_millis(200));
        let now = world.now();
        let grants: Vec<String> = (0..12)
            .filter_map(|number| world.back_end(BackEndIndex(number)).process.as_ref())
            .map(|process| process.valid_grants(now).len().to_string())
            .collect();
        let imbalance = world
            .leader()
            .and_then(|leader| world.router(leader)?.planner()?.imbalance(&service));
        println!(
            "{:>5} imbalance {imbalance:?} moved {:.4} grants {}",
            step * 200,
            world.metrics().moved_share(&service),
            grants.join(" ")
        );
    }
}
