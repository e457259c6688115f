//! Registrations that take effect after their writer has ended.
//!
//! Guards against two back ends that hold the same keys and both work on them.
//! A back end crashed unnoticed by the store. Another process started at its
//! address, registered and was assigned keys. Then a delayed write of the
//! crashed back end's registration took effect. The coordinator treated the
//! latest registration at an address as the running process and all others as
//! ended, without waiting for their grants to expire. In the same step it gave
//! the keys of the running process to others, without asking it. Its log shows
//! a release with reason `Replaced` in the millisecond of that registration,
//! while the back end that lost its keys answered throughout and was assigned
//! keys again later.
//!
//! A registration may come late, or be missing for a running process. Only an
//! answer from the address shows which process is running.

use std::time::Duration;

use threadledge_types::deployment::BackEndName;

use super::world::World;

const SECOND: Duration = Duration::from_secs(1);

/// Lets key 100 pass to a process that started where another one crashed, whose
/// registration is gone. Returns the running and the crashed process.
fn restarted(world: &mut World) -> [BackEndName; 2] {
    let crashed = world.owner(100).expect("owned");
    world.back_ends.get_mut(&crashed).expect("known").crash();
    world.registered.remove(&crashed);
    world.notify_back_ends();
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
fn late_registration_takes_no_keys_from_the_running_process() {
    for seed in 0..20 {
        let mut world = World::settled(100 + seed);
        let [living, crashed] = restarted(&mut world);
        let keys = keys_of(&world, &living);
        world.register_again(&crashed);
        for _ in 0..600 {
            world.step();
            assert_eq!(keys_of(&world, &living), keys, "seed {seed}");
            assert_eq!(keys_of(&world, &crashed), 0, "seed {seed}");
            assert!(world.all_served(), "seed {seed}: {}", world.diagnostics());
        }
        // A registration of another service at the address has no effect
        // either.
        world.register_elsewhere(&living, "another");
        for _ in 0..600 {
            world.step();
            assert_eq!(keys_of(&world, &living), keys, "seed {seed}");
        }
    }
}

/// A back end that cannot reach the store has no registration and continues to
/// serve. If routers cannot reach it either, it holds its keys until its grants
/// expire.
#[test]
fn grant_of_a_back_end_without_a_registration_is_waited_out() {
    for seed in 0..20 {
        let mut world = World::settled(200 + seed);
        let [living, crashed] = restarted(&mut world);
        world.registered.remove(&living);
        world.register_again(&crashed);
        let back_end = world.back_ends.get_mut(&living).expect("known");
        back_end.unreachable_until = world.now + SECOND * 8;
        // The checker panics if others get the keys while the back end holds
        // them.
        world.run(SECOND * 9);
        assert_eq!(keys_of(&world, &living), 0, "seed {seed}");
        assert_eq!(keys_of(&world, &crashed), 0, "seed {seed}");
        assert!(world.all_served(), "seed {seed}: {}", world.diagnostics());
    }
}
