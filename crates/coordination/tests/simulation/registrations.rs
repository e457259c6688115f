//! What users saw: two back ends held the same keys, and both worked on them.
//!
//! Order of events: a back end crashed out of sight of the store. Another
//! process started at its address, registered and was given keys. Then the
//! registration of the one that had crashed took effect once more: a write of
//! it that was on its way. In the same step the coordinator took the keys of
//! the one that lived and gave them to others, without asking it.
//!
//! Cause: the latest registration at an address was taken for the process that
//! runs there, and every other one for ended, whose hold need not be waited
//! out. A registration is a statement of its writer: it may come late, or be
//! missing for one that lives. Only an answer given at the address tells which
//! process runs there.
//!
//! Evidence: in the log of the coordinator the release begins in the
//! millisecond of that registration, reason `Replaced`; the back end that lost
//! its keys answered throughout and was given keys again later.

use std::time::Duration;

use threadledge_types::deployment::BackEndName;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// Key 100 belongs to a process that started where another one crashed, whose
/// registration has gone. Returns the one that lives and the one that crashed.
fn restarted(world: &mut World) -> [BackEndName; 2] {
    let crashed = world.owner(100).expect("owned");
    world.back_ends.get_mut(&crashed).expect("known").crash();
    world.registered.remove(&crashed);
    world.tell_back_ends();
    let living = world.add_back_end(0);
    world.run(SECOND * 8);
    assert!(world.all_served());
    let view = world.view().expect("a record");
    assert!(view.owned().any(|(_, owner)| *owner == living));
    [living, crashed]
}

fn keys_of(world: &World, name: &BackEndName) -> u32 {
    let view = world.view().expect("a record");
    let owned = view.owned().filter(|(_, owner)| *owner == name);
    owned.map(|(range, _)| range.len()).sum()
}

#[test]
fn registration_written_late_takes_no_keys_from_the_process_that_lives() {
    for seed in 0..20 {
        let mut world = World::settled(100 + seed);
        let [living, crashed] = restarted(&mut world);
        let keys = keys_of(&world, &living);
        world.register_again(&crashed);
        for _ in 0..600 {
            world.step();
            assert_eq!(keys_of(&world, &living), keys, "seed {seed}");
            assert_eq!(keys_of(&world, &crashed), 0, "seed {seed}");
            assert!(world.all_served(), "seed {seed}: {}", world.story());
        }
        // One of another service that registers there does no more.
        world.register_elsewhere(&living, "another");
        for _ in 0..600 {
            world.step();
            assert_eq!(keys_of(&world, &living), keys, "seed {seed}");
        }
    }
}

/// One that cannot reach the store has no registration, and serves on. One
/// that routers cannot reach either holds its keys until they run out.
#[test]
fn hold_of_a_back_end_without_a_registration_is_waited_out() {
    for seed in 0..20 {
        let mut world = World::settled(200 + seed);
        let [living, crashed] = restarted(&mut world);
        world.registered.remove(&living);
        world.register_again(&crashed);
        let back_end = world.back_ends.get_mut(&living).expect("known");
        back_end.cut_until = world.now + SECOND * 8;
        // The checker panics if others get the keys while it holds them.
        world.run(SECOND * 9);
        assert_eq!(keys_of(&world, &living), 0, "seed {seed}");
        assert_eq!(keys_of(&world, &crashed), 0, "seed {seed}");
        assert!(world.all_served(), "seed {seed}: {}", world.story());
    }
}
