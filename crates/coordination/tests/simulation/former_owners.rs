//! Former owners after the coordinator that sent them releases has stopped.

use std::time::Duration;

use threadledge_types::deployment::ShardKey;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// Like `former_owner_that_answers_again_executes_no_late_order`, with a
/// planned stop of the coordinator after the keys went to others.
#[test]
fn former_owner_executes_no_late_order_after_its_coordinator_stopped() {
    let mut failures = Vec::new();
    for seed in 0..20 {
        let mut world = World::settled(400 + seed);
        let owner = world.owner(100).expect("owned");
        let unresponsive_until = world.now + SECOND * 9;
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.unresponsive_until = unresponsive_until;
        while world.owner(100).as_ref() == Some(&owner) || world.owner(100).is_none() {
            world.step();
        }
        world.run(Duration::from_millis(100));
        let coordinator = world.coordinator().expect("a coordinator");
        world.nodes[coordinator].coordinator.stop();
        let asked = unresponsive_until + Duration::from_millis(1_050);
        let end = unresponsive_until + SECOND * 13;
        let mut held_after_loss = Duration::ZERO;
        while world.now < end {
            world.step();
            let lost = world.owner(100).as_ref() != Some(&owner);
            let mut held = world.back_ends[&owner].holds.iter();
            let held = held.any(|hold| hold.range.contains(ShardKey(100)));
            if lost && held && world.now > asked {
                held_after_loss += Duration::from_millis(5);
            }
        }
        if !held_after_loss.is_zero() {
            failures.push((seed, held_after_loss));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of 20: {failures:?}",
        failures.len()
    );
}

/// A back end that was silent answers again and is assigned keys again.
/// Releases from the time of its silence are executed late and take the keys
/// until the next renewal. The bound is the same as for one such release in the
/// random schedules.
#[test]
fn late_releases_leave_keys_unserved_only_briefly() {
    let mut worst = Duration::ZERO;
    for seed in 0..60 {
        let mut world = World::new(700 + seed, 3, 1);
        assert!(world.until_served(SECOND * 5).is_some());
        let owner = world.owner(100).expect("owned");
        let unresponsive_until = world.now + SECOND * 12;
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.unresponsive_until = unresponsive_until;
        world.run(SECOND * 12);
        world.until_served(SECOND * 20).expect("served again");
        let mut unserved = Duration::ZERO;
        for _ in 0..2_600 {
            world.step();
            let served = world.all_served();
            if !served {
                unserved += Duration::from_millis(5);
            }
        }
        worst = worst.max(unserved);
    }
    assert!(worst <= Duration::from_millis(750), "{worst:?}");
}
