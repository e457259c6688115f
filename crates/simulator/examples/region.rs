//! Runs one simulated region and prints its state once a second.

use std::time::Duration;
use threadledge_simulator::{RouterIndex, Scenario, World};

fn main() {
    let mut world = World::new(Scenario::default());
    for second in 0..10 {
        world.run_for(Duration::from_secs(1));
        let (probes, failed) = world.metrics().probes();
        let leader = world.leader();
        let node = world.router(RouterIndex(0)).expect("runs");
        println!(
            "{second} leader {leader:?} role {} voters {} slices {} revision {} ready {} probes {probes} failed {failed} violations {}",
            node.role(),
            node.view().map_or(0, |view| view.voters.len()),
            node.replica().slice_count(),
            node.replica().revision(),
            world.ready_routers().len(),
            world.invariants().count(),
        );
    }
    println!("{:?}", world.metrics().sent());
    for violation in world.invariants().violations().iter().take(3) {
        println!("{violation}");
    }
}
