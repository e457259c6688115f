//! Without failures no tenant within its limit is refused, and a tenant over
//! its limit gets about what it is allowed. Service continues when the ledger
//! is lost.

use threadledge_types::deployment::TenantName;

use super::world::World;

const SECOND_US: u64 = 1_000_000;

/// Sends `rate` requests per second for `seconds`, in bursts of `together`,
/// each request to a random one of the first `spread` gateways.
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

fn served_requests(world: &World, tenant: &str) -> usize {
    world
        .runs
        .get(&TenantName::from(tenant))
        .map_or(0, Vec::len)
}

#[test]
fn tenant_within_its_limit_is_never_refused_at_any_gateway() {
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
fn tenant_far_over_its_limit_gets_about_its_limit() {
    let mut world = World::new(17, 12, &[("large", 100.0, 50.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "large", 750.0, 1, 12, 20);
    let ran = served_requests(&world, "large");
    assert!((1_900..=2_200).contains(&ran), "{ran}");
}

#[test]
fn ledger_loss_leaves_tenant_within_its_limit_served() {
    let mut world = World::new(23, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "middle", 25.0, 1, 12, 5);
    let ledger = world.ledger().expect("elected");
    world.kill(ledger, 20 * SECOND_US);
    let before = served_requests(&world, "middle");
    send(&mut world, "middle", 25.0, 1, 12, 10);
    // One of the twelve gateways is down.
    let served = served_requests(&world, "middle") - before;
    let refused = refused(&world, "middle");
    assert!(served >= 210, "{served} of 250 served, {refused} refused");
}

#[test]
fn store_outage_keeps_the_ledger_until_its_lease_ends_and_shares_follow() {
    let mut world = World::new(29, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    send(&mut world, "middle", 25.0, 1, 12, 5);
    world.store_down = true;
    let before = served_requests(&world, "middle");
    send(&mut world, "middle", 25.0, 1, 12, 9);
    let served = served_requests(&world, "middle") - before;
    let refused = refused(&world, "middle");
    assert!(served >= 200, "{served} of 225 served, {refused} refused");
}

#[test]
fn restart_of_all_recovers_the_full_rate_once_all_have_sent_requests() {
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
fn gateways_send_few_quota_requests_per_second() {
    let mut world = World::new(37, 12, &[("middle", 40.0, 20.0)]);
    world.run(2 * SECOND_US);
    let before = world.quota_requests;
    send(&mut world, "middle", 300.0, 1, 12, 10);
    let each = (world.quota_requests - before) as f64 / 120.0;
    assert!(each <= 12.0, "{each} a second");
    let calm = world.quota_requests;
    world.run(20 * SECOND_US);
    let after = world.quota_requests;
    world.run(10 * SECOND_US);
    assert_eq!(world.quota_requests, after, "{calm}: nobody sends anything");
}
