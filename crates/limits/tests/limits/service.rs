//! Without failures nobody inside the limit is refused, and a tenant beyond it
//! gets about what it is allowed; with the ledger lost, service goes on.

use threadledge_types::deployment::TenantName;

use super::world::World;

const SECOND_US: u64 = 1_000_000;

/// Sends evenly at `rate` a second for so long, `together` at a time, each to
/// any of the first `spread` gateways.
fn send(world: &mut World, tenant: &str, rate: f64, together: u64, spread: u64, seconds: u64) {
    let until = world.now + seconds * SECOND_US;
    let pause = (SECOND_US as f64 * together as f64 / rate) as u64;
    let mut next = world.now;
    while world.now < until {
        while next <= world.now {
            next += pause;
            for _ in 0..together {
                let node = world.random(spread) as usize;
                world.request(node, tenant);
            }
        }
        world.tick();
    }
}

fn refused(world: &World, tenant: &str) -> u64 {
    let tenant = TenantName::from(tenant);
    world.refused.get(&tenant).copied().unwrap_or(0)
}

fn ran(world: &World, tenant: &str) -> usize {
    world
        .runs
        .get(&TenantName::from(tenant))
        .map_or(0, Vec::len)
}

#[test]
fn tenant_inside_its_limit_is_never_refused_wherever_its_requests_arrive() {
    let tenants = [
        ("trickle", 1.0, 1.0),
        ("small", 8.0, 4.0),
        ("large", 200.0, 100.0),
    ];
    for (name, rate, burst) in tenants {
        for together in [1, burst as u64] {
            let mut world = World::new(4_711, 76, &tenants);
            world.run(2 * SECOND_US);
            send(&mut world, name, rate * 0.95, together, 76, 20);
            assert_eq!(refused(&world, name), 0, "{name}, {together} together");
        }
    }
}

#[test]
fn tenant_far_beyond_its_limit_gets_about_its_limit() {
    let mut world = World::new(17, 12, &[("large", 100.0, 50.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "large", 750.0, 1, 12, 20);
    let ran = ran(&world, "large");
    assert!((1_900..=2_200).contains(&ran), "{ran}");
}

#[test]
fn loss_of_the_ledger_leaves_a_calm_tenant_served() {
    let mut world = World::new(23, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "middle", 25.0, 1, 12, 5);
    let ledger = world.ledger().expect("elected");
    world.kill(ledger, 20 * SECOND_US);
    let before = ran(&world, "middle");
    send(&mut world, "middle", 25.0, 1, 12, 10);
    // One gateway of twelve is down.
    let served = ran(&world, "middle") - before;
    let refused = refused(&world, "middle");
    assert!(served >= 210, "{served} of 250 served, {refused} refused");
}

#[test]
fn store_away_does_not_end_an_office_before_its_time_and_shares_follow() {
    let mut world = World::new(29, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "middle", 25.0, 1, 12, 5);
    world.store_away = true;
    let before = ran(&world, "middle");
    send(&mut world, "middle", 25.0, 1, 12, 9);
    let served = ran(&world, "middle") - before;
    let refused = refused(&world, "middle");
    assert!(served >= 200, "{served} of 225 served, {refused} refused");
}

#[test]
fn restart_of_all_regains_the_whole_when_all_have_asked() {
    let mut world = World::new(31, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "middle", 25.0, 1, 12, 5);
    for node in 0..12 {
        world.kill(node, SECOND_US);
    }
    send(&mut world, "middle", 25.0, 1, 12, 4);
    let before = refused(&world, "middle");
    send(&mut world, "middle", 25.0, 1, 12, 10);
    assert_eq!(refused(&world, "middle"), before);
}

#[test]
fn gateways_ask_a_few_times_a_second() {
    let mut world = World::new(37, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    let before = world.asks;
    send(&mut world, "middle", 300.0, 1, 12, 10);
    let each = (world.asks - before) as f64 / 120.0;
    assert!(each <= 12.0, "{each} a second");
    let calm = world.asks;
    world.run(20 * SECOND_US);
    let after = world.asks;
    world.run(10 * SECOND_US);
    assert_eq!(world.asks, after, "{calm}: nobody sends anything");
}
