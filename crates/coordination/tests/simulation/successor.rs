//! Former owners after the coordinator that asked them has stopped.

use std::time::Duration;

use threadledge_types::deployment::ShardKey;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// As `former_owner_that_answers_again_takes_no_late_order`, with a planned
/// stop of the coordinator after the keys went to others.
#[test]
fn former_owner_takes_no_late_order_after_its_coordinator_stopped() {
    let mut broken = Vec::new();
    for seed in 0..20 {
        let mut world = World::settled(400 + seed);
        let owner = world.owner(100).expect("owned");
        let deaf_until = world.now + SECOND * 9;
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.deaf_until = deaf_until;
        while world.owner(100).as_ref() == Some(&owner) || world.owner(100).is_none() {
            world.step();
        }
        world.run(Duration::from_millis(100));
        let coordinator = world.coordinator().expect("one coordinates");
        world.nodes[coordinator].coordinator.stop();
        let asked = deaf_until + Duration::from_millis(1_050);
        let end = deaf_until + SECOND * 13;
        let mut beside = Duration::ZERO;
        while world.now < end {
            world.step();
            let lost = world.owner(100).as_ref() != Some(&owner);
            let mut held = world.back_ends[&owner].holds.iter();
            let held = held.any(|hold| hold.range.contains(ShardKey(100)));
            if lost && held && world.now > asked {
                beside += Duration::from_millis(5);
            }
        }
        if !beside.is_zero() {
            broken.push((seed, beside));
        }
    }
    assert!(broken.is_empty(), "{} of 20: {broken:?}", broken.len());
}

/// A back end was silent and answers again; it is given keys again. Releases
/// of the time of its silence are carried out late, and take the keys until
/// the next renewal. The bound is that of one such release in the schedules.
#[test]
fn late_releases_take_no_keys_for_long() {
    let mut worst = Duration::ZERO;
    for seed in 0..20 {
        let mut world = World::new(700 + seed, 3, 1);
        assert!(world.until_served(SECOND * 5).is_some());
        let owner = world.owner(100).expect("owned");
        let deaf_until = world.now + SECOND * 12;
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.deaf_until = deaf_until;
        world.run(SECOND * 12);
        world.until_served(SECOND * 20).expect("served again");
        let mut gone = Duration::ZERO;
        for _ in 0..2_600 {
            world.step();
            let served = world.all_served();
            if !served {
                gone += Duration::from_millis(5);
            }
        }
        worst = worst.max(gone);
    }
    assert!(worst <= Duration::from_millis(750), "{worst:?}");
}
