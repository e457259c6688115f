//! Prints what a simulated region does in the seconds after its leader is
//! killed.

use std::time::Duration;
use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

fn main() {
    let mut world = World::new(Scenario {
        routers: 9,
        services: vec![ServicePlan::new("gallery", 15)],
        probes_per_service: 64,
        ..Default::default()
    });
    world.run_for(Duration::from_secs(8));
    let now = world.now();
    for number in 0..15 {
        let back_end = world.back_end(BackEndIndex(number));
        let process = back_end.process.as_ref().expect("runs");
        let grants = process.valid_grants(now);
        print!("{}:{} ", back_end.id.name, grants.len());
    }
    println!();
    world.reset_measures();
    let leader = world.leader().expect("a leader");
    world.kill_router(leader);
    for step in 1..60 {
        world.run_for(Duration::from_millis(100));
        let (probes, failed) = world.measures().probes();
        let roles: Vec<String> = (0..9)
            .filter_map(|number| world.router(RouterIndex(number)))
            .map(|node| format!("{}/{}", node.role(), node.term()))
            .collect();
        let now = world.now();
        let leases = (0..15)
            .filter(|number| {
                let process = world.back_end(BackEndIndex(*number)).process.as_ref();
                process.is_some_and(|process| !process.valid_grants(now).is_empty())
            })
            .count();
        println!(
            "{:>5} leader {:?} ready {} leases {leases} probes {probes} failed {failed} {}",
            step * 100,
            world.leader(),
            world.ready_routers().len(),
            roles.join(" ")
        );
    }
}
