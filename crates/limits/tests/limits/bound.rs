//! Whatever combination of gateways, ledgers, links and the store fails, no
//! window holds more requests of a tenant than its limit plus overage and
//! slack.

use arbtest::arbitrary::{Result, Unstructured};

use super::world::{TICK_US, World};

const SECOND_US: u64 = 1_000_000;
const TENANTS: [(&str, f64, f64); 4] = [
    ("trickle", 1.0, 0.0),
    ("small", 8.0, 4.0),
    ("middle", 40.0, 20.0),
    ("large", 300.0, 150.0),
];
/// Demand of the tenants, as a multiple of their limits.
const DEMANDS: [f64; 4] = [0.6, 1.0, 3.0, 7.5];

struct Demand {
    factor: [f64; 4],
    /// Number of gateways that receive the requests.
    spread: u64,
    shift: u64,
}

fn send(world: &mut World, demand: &Demand) {
    let nodes = world.nodes.len() as u64;
    for (index, (name, rate, _)) in TENANTS.iter().enumerate() {
        let expected = rate * demand.factor[index] * TICK_US as f64 / SECOND_US as f64;
        let mut arrivals = expected as u64;
        let rest = ((expected - expected.floor()) * 1_000.0) as u64;
        if world.random(1_000) < rest {
            arrivals += 1;
        }
        for _ in 0..arrivals {
            let node = (demand.shift + world.random(demand.spread)) % nodes;
            world.request(node as usize, name);
        }
    }
}

fn inject_fault(world: &mut World) {
    let nodes = world.nodes.len() as u64;
    let one = world.random(nodes) as usize;
    let ledger = world.ledger().unwrap_or(one);
    let span = world.random(8 * SECOND_US);
    match world.random(14) {
        0 => world.kill(ledger, span),
        1 => world.kill(one, span / 4),
        2 => {
            for node in 0..world.nodes.len() {
                world.kill(node, SECOND_US);
            }
        }
        3 => {
            let share = world.random(100);
            for node in 0..world.nodes.len() {
                if world.random(100) < share {
                    world.kill(node, span);
                }
            }
        }
        4 => world.nodes[ledger].frozen_until = world.now + span,
        5 => world.nodes[one].frozen_until = world.now + span,
        6 => world.nodes[ledger].partitioned = true,
        7 => {
            for node in 0..world.nodes.len() {
                world.nodes[node].partitioned = world.random(3) == 0;
            }
        }
        8 => world.nodes[ledger].rejected_by_store = true,
        9 => {
            for node in 0..world.nodes.len() {
                world.nodes[node].rejected_by_store = world.random(3) == 0;
            }
        }
        10 => world.store_down = true,
        11 => world.fault_permille = world.random(400),
        _ => heal(world),
    }
}

fn heal(world: &mut World) {
    world.store_down = false;
    world.fault_permille = 50;
    for node in &mut world.nodes {
        node.partitioned = false;
        node.rejected_by_store = false;
    }
}

fn random_faults(draw: &mut Unstructured<'_>) -> Result<()> {
    let seed: u64 = draw.arbitrary()?;
    let mut world = World::new(seed, 12, &TENANTS);
    let mut demand = Demand {
        factor: [3.0; 4],
        spread: 12,
        shift: 0,
    };
    for _ in 0..16 {
        inject_fault(&mut world);
        for factor in &mut demand.factor {
            *factor = DEMANDS[world.random(4) as usize];
        }
        demand.spread = 1 + world.random(12);
        demand.shift = world.random(12);
        let until = world.now + SECOND_US / 2 + world.random(5 * SECOND_US);
        while world.now < until {
            send(&mut world, &demand);
            world.tick();
        }
    }
    for (name, ..) in TENANTS {
        let busiest = world.max_in_window(name, 0) as f64;
        let bound = world.bound(name);
        assert!(
            busiest <= bound,
            "seed {seed}: {name} ran {busiest} of {bound}"
        );
    }
    Ok(())
}

#[test]
fn no_window_exceeds_the_bound_under_random_faults() {
    for run in 0..40 {
        arbtest::arbtest(random_faults).seed(0x5100_0000_0000 + (run << 32 | 64));
    }
}

#[test]
fn lowered_limit_applies_within_one_window() {
    for seed in 1..9 {
        let mut world = World::new(seed * 7_919, 8, &TENANTS);
        let mut demand = Demand {
            factor: [4.0; 4],
            spread: 8,
            shift: 0,
        };
        run_for(&mut world, &mut demand, 8);
        for limit in world.limits.values_mut() {
            limit.rate /= 2.0;
            limit.burst /= 2.0;
        }
        for node in 0..world.nodes.len() {
            world.configure(node);
            run_for(&mut world, &mut demand, 0);
        }
        let applied = world.now;
        run_for(&mut world, &mut demand, 12);
        for (name, ..) in TENANTS {
            let busiest = world.max_in_window(name, applied + 5 * SECOND_US) as f64;
            let bound = world.bound(name);
            assert!(
                busiest <= bound,
                "seed {seed}: {name} ran {busiest} of {bound}"
            );
        }
    }
}

fn run_for(world: &mut World, demand: &mut Demand, seconds: u64) {
    let until = world.now + seconds * SECOND_US + SECOND_US / 10;
    while world.now < until {
        send(world, demand);
        world.tick();
    }
}
