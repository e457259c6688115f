//! Prints what a simulated region does in the seconds after its leader began
//! a planned stop.

use std::time::Duration;
use threadledge_simulator::{RouterIndex, Scenario, ServicePlan, World};

fn main() {
    let mut world = World::new(Scenario {
        seed: 10,
        routers: 9,
        services: vec![ServicePlan::new("gallery", 12)],
        probes_per_service: 48,
        ..Default::default()
    });
    world.run_for(Duration::from_secs(5));
    world.reset_measures();
    let leader = world.leader().expect("a leader");
    world.leave_router(leader);
    for step in 1..30 {
        world.run_for(Duration::from_millis(100));
        let (probes, failed) = world.measures().probes();
        let roles: Vec<String> = (0..9)
            .filter_map(|number| world.router(RouterIndex(number)))
            .map(|node| {
                format!(
                    "{}/{}/{}",
                    node.role(),
                    node.term(),
                    node.view().map_or(0, |v| v.voters.len())
                )
            })
            .collect();
        println!(
            "{:>5} leader {:?} was {leader:?} ready {} probes {probes} failed {failed} {}",
            step * 100,
            world.leader(),
            world.ready_routers().len(),
            roles.join(" ")
        );
    }
}
