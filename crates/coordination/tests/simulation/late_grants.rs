//! Owners that answer no release and may take their last grant late.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_coordination::Settings;
use threadledge_types::deployment::{BackEndName, ShardKey};

use super::checker::Checker;
use super::world::{FaultChances, World};

const KEY: u16 = 100;
/// Longest time for which a request waits in the queue of an owner in these
/// tests.
const LONGEST_QUEUE: Duration = Duration::from_millis(1_500);

/// Lets the owner of [`KEY`] leave while it answers no order.
fn leaving_without_answers(seed: u64) -> (World, BackEndName) {
    let mut world = World::settled(seed);
    let owner = world.owner(KEY).expect("owned");
    let silent_until = world.now + Duration::from_secs(9);
    let back_end = world.back_ends.get_mut(&owner).expect("known");
    back_end.unresponsive_until = silent_until;
    let entry = world.registered.get_mut(&owner).expect("registered");
    entry.draining = true;
    world.notify_back_ends();
    (world, owner)
}

/// Returns whether a back end other than `owner` holds [`KEY`].
fn next_owner_holds(world: &World, owner: &BackEndName) -> bool {
    let mut others = world.back_ends.iter().filter(|(name, _)| *name != owner);
    others.any(|(_, other)| {
        let mut holds = other.holds.iter();
        holds.any(|hold| !hold.late && hold.range.contains(ShardKey(KEY)))
    })
}

/// Guards against two back ends that both begin requests on the same keys: the
/// former owner those left in its queue, under a grant that it took late.
#[test]
fn queue_of_a_silent_owner_runs_dry_before_the_next_one_holds_its_keys() {
    for seed in 0..20 {
        let (mut world, owner) = leaving_without_answers(800 + seed);
        let started = world.now;
        let mut last_request = world.now;
        while !next_owner_holds(&world, &owner) {
            if world.owner(KEY).as_ref() == Some(&owner) {
                last_request = world.now;
            }
            world.step();
        }
        let dry = world.now.since(last_request);
        let took = world.now.since(started);
        assert!(dry >= LONGEST_QUEUE, "seed {seed}: {dry:?}");
        assert!(took <= Duration::from_secs(4), "seed {seed}: {took:?}");
    }
}

/// Guards against keys that nobody is sent requests for, because the
/// coordinator that took them back stopped before it could give them on.
#[test]
fn owner_is_sent_requests_again_after_the_coordinator_of_its_release_stopped() {
    for seed in 0..20 {
        let (mut world, owner) = leaving_without_answers(900 + seed);
        let end = world.now + Duration::from_secs(9);
        while world.owner(KEY).is_some() {
            assert!(
                world.now < end,
                "seed {seed}: requests are sent until the end"
            );
            world.step();
        }
        world
            .back_ends
            .get_mut(&owner)
            .expect("known")
            .unresponsive_until = world.now;
        world.registered.get_mut(&owner).expect("known").draining = false;
        world.notify_back_ends();
        let coordinator = world.coordinator().expect("a coordinator");
        world.nodes[coordinator].up = false;
        while world.owner(KEY).is_none() {
            world.step();
        }
        assert_eq!(world.owner(KEY), Some(owner), "seed {seed}");
    }
}

/// Share of the orders, in thousandths, that get no answer and are carried out
/// 2 to 12 s late.
const LATE_ORDERS: u32 = 300;
/// Time for which orders are carried out late.
const LATE_FOR: Duration = Duration::from_millis(5_500);
/// Time after which no late order is left.
const LATEST: Duration = Duration::from_secs(18);

/// Back ends of another region, if `far`, else of this one.
fn region(far: bool) -> Settings {
    Settings {
        near_zones: far.then(|| BTreeSet::from(["elsewhere".into()])),
        ..Settings::default()
    }
}

/// What back ends that leave while orders are late showed.
#[derive(Debug, Default)]
struct Leaving {
    /// Time for which two back ends held the same keys.
    two_held: Duration,
    /// Time for which some key was held by nobody that it belonged to.
    unserved: Duration,
}

/// Lets half of the owners leave two seconds after a share of all orders has
/// begun to be late.
fn leaving_beside_late_orders(seed: u64, far: bool) -> Leaving {
    let mut world = World::with_settings(seed, 3, 6, region(far), false);
    let settled = world.until_served(Duration::from_secs(5));
    assert!(settled.is_some(), "seed {seed}: not served after a start");
    let started = world.now;
    world.chances = FaultChances {
        order_late: LATE_ORDERS,
        ..FaultChances::default()
    };
    world.run(Duration::from_secs(2));
    let leaving: Vec<BackEndName> = world.registered.keys().step_by(2).cloned().collect();
    for name in &leaving {
        world.registered.get_mut(name).expect("registered").draining = true;
    }
    world.notify_back_ends();
    let mut seen = Leaving::default();
    while world.now.since(started) < LATEST {
        if world.now.since(started) >= LATE_FOR {
            world.chances = FaultChances::default();
        }
        let before = world.now;
        world.step();
        if world.now.since(started).as_millis().is_multiple_of(20) && !world.all_served() {
            seen.unserved += Duration::from_millis(20);
        }
        if Checker::all_holders(world.back_ends.values()).is_err() {
            seen.two_held += world.now.since(before);
        }
    }
    seen
}

/// Guards against two back ends that hold the same keys: a release that was late
/// as well was asked again only after its whole timeout, so that the keys went
/// on by the clock.
#[test]
fn late_releases_are_repeated_before_keys_go_on_without_an_answer() {
    for seed in 7_165..7_185 {
        for far in [false, true] {
            let seen = leaving_beside_late_orders(seed, far);
            assert!(seen.two_held.is_zero(), "seed {seed}, far {far}: {seen:?}");
        }
    }
}

/// Guards against keys that nobody serves while a late release of another region
/// is awaited for its whole timeout.
#[test]
fn late_release_to_another_region_does_not_hold_keys_back() {
    for seed in 7_000..7_040 {
        let seen = leaving_beside_late_orders(seed, true);
        assert!(
            seen.unserved <= Duration::from_millis(3_100),
            "seed {seed}: {seen:?}"
        );
    }
}

/// Longest deadline that requests have in these tests.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2_500);

/// Lets the owner of [`KEY`] leave all orders unanswered for [`LATE_FOR`] and ask
/// to leave meanwhile.
/// Returns for how long it held the key beside the next owner while a request
/// could be left in its queue.
fn silent_owner(seed: u64, far: bool) -> Duration {
    let mut world = World::with_settings(seed, 3, 6, region(far), false);
    let settled = world.until_served(Duration::from_secs(5));
    assert!(settled.is_some(), "seed {seed}: not served after a start");
    let wait = u64::from(world.random(700));
    world.run(Duration::from_millis(wait));
    let owner = world.owner(KEY).expect("owned");
    let started = world.now;
    world
        .back_ends
        .get_mut(&owner)
        .expect("known")
        .unresponsive_until = started + LATE_FOR;
    let leaves = u64::from(world.random(1_500));
    world.run(Duration::from_millis(leaves));
    world
        .registered
        .get_mut(&owner)
        .expect("registered")
        .draining = true;
    world.notify_back_ends();
    let mut last_request = world.now;
    let mut both = Duration::ZERO;
    while world.now.since(started) < LATEST {
        let before = world.now;
        world.step();
        let step = world.now.since(before);
        if world.owner(KEY).as_ref() == Some(&owner) {
            last_request = world.now;
        }
        let mut holds = world.back_ends[&owner].holds.iter();
        let former = holds.any(|hold| hold.range.contains(ShardKey(KEY)));
        let queued = world.now.since(last_request) < LONGEST_DEADLINE;
        if former && queued && next_owner_holds(&world, &owner) {
            both += step;
        }
    }
    both
}

/// Guards against requests that begin at a former owner, from its queue and under
/// a late grant, while the next owner holds the keys.
#[test]
fn no_request_is_left_at_a_former_owner_that_may_take_late_grants() {
    for seed in 8_000..8_020 {
        for far in [false, true] {
            let both = silent_owner(seed, far);
            assert!(both.is_zero(), "seed {seed}, far {far}: {both:?}");
        }
    }
}
