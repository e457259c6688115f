//! Injects one fault after the other into a simulated region and prints, for
//! each, the longest outage of any probed key, the share of keys that moved,
//! and the violations.
//!
//! `cargo run --release -p threadledge-simulator --example faults -- SEED`

use std::time::Duration;
use threadledge_simulator::{BackEndIndex, RouterIndex, Scenario, ServicePlan, World};

const SETTLE_TIME: Duration = Duration::from_secs(8);
const TIME_AFTER_FAULT: Duration = Duration::from_secs(10);

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        routers: 9,
        services: vec![ServicePlan::new("gallery", 15)],
        probes_per_service: 64,
        ..Default::default()
    }
}

type Fault = fn(&mut World);

fn main() {
    let seed = std::env::args().nth(1);
    let seed = seed.and_then(|text| text.parse().ok()).unwrap_or(1);
    let faults: Vec<(&str, Fault)> = vec![
        ("none", |_| {}),
        ("back end killed", |world| {
            world.kill_back_end(BackEndIndex(3))
        }),
        ("back end restarted", |world| {
            world.kill_back_end(BackEndIndex(3));
            world.run_for(Duration::from_millis(300));
            world.start_back_end(BackEndIndex(3));
        }),
        ("back end frozen 4 s", |world| {
            world.freeze_back_end(BackEndIndex(3));
            world.run_for(Duration::from_secs(4));
            world.unfreeze_back_end(BackEndIndex(3));
        }),
        ("back end drained", |world| {
            world.drain_back_end(BackEndIndex(3))
        }),
        ("back end joins", |world| {
            world.add_back_end_to_service("gallery");
        }),
        ("leader killed", |world| {
            let leader = world.leader().expect("a leader");
            world.kill_router(leader);
        }),
        ("leader paused 3 s", |world| {
            let leader = world.leader().expect("a leader");
            world.pause_router(leader);
            world.run_for(Duration::from_secs(3));
            world.resume_router(leader);
        }),
        ("leader leaves", |world| {
            let leader = world.leader().expect("a leader");
            world.request_router_stop(leader);
        }),
        ("leader cut off 6 s", |world| {
            let leader = world.leader().expect("a leader");
            world.isolate_router(leader, true);
            world.run_for(Duration::from_secs(6));
            world.isolate_router(leader, false);
        }),
        ("leader and back end killed", |world| {
            let leader = world.leader().expect("a leader");
            world.kill_router(leader);
            world.kill_back_end(BackEndIndex(3));
        }),
        ("zone of the leader lost", |world| {
            let leader = world.leader().expect("a leader");
            let zone = world.router_place(leader).zone;
            for number in 0..world.router_count() {
                if world.router_place(RouterIndex(number)).zone == zone {
                    world.kill_router(RouterIndex(number));
                }
            }
            for number in 0..world.back_end_count() {
                if world.back_end(BackEndIndex(number)).place.zone == zone {
                    world.kill_back_end(BackEndIndex(number));
                }
            }
        }),
        ("two group members restarted", |world| {
            let voters: Vec<_> = world
                .router(world.leader().expect("a leader"))
                .and_then(|node| node.view().cloned())
                .expect("a view")
                .voters;
            for number in 0..world.router_count() {
                let id = world
                    .router(RouterIndex(number))
                    .map(|node| node.identity().id);
                if voters.iter().skip(1).any(|voter| Some(voter.id) == id) {
                    world.kill_router(RouterIndex(number));
                    world.start_router(RouterIndex(number));
                }
            }
        }),
        ("store down", |world| world.store().set_down(true)),
        ("store down, back end killed", |world| {
            world.store().set_down(true);
            world.kill_back_end(BackEndIndex(3));
        }),
    ];
    println!(
        "{:32} {:>12} {:>8} {:>8} {:>10}",
        "fault", "outage ms", "keys", "moved", "violations"
    );
    for (name, fault) in faults {
        let mut world = World::new(scenario(seed));
        world.run_for(SETTLE_TIME);
        world.reset_metrics();
        fault(&mut world);
        world.run_for(TIME_AFTER_FAULT);
        let service = world.service_id("gallery");
        println!(
            "{:32} {:>12} {:>8} {:>8.4} {:>10}",
            name,
            world.metrics().longest_outage(world.now()).as_millis(),
            world.metrics().outages().len(),
            world.metrics().moved_share(&service),
            world.invariants().count(),
        );
        for violation in world.invariants().violations().iter().take(2) {
            println!("    {violation}");
        }
    }
}
