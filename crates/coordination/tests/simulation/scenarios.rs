//! Single failures, each with its expected consequences.

use std::time::Duration;

use threadledge_coordination::{
    GrantOrder, KeyCount, LoadReport, Order, OrderId, OrderKind, Owner, RestingBackEnd,
};
use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

use super::checker::{Checker, Violation};
use super::world::{FaultChances, World};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn start_from_nothing_serves_every_key_evenly() {
    let world = World::settled(1);
    let view = world.view().expect("a record");
    for (range, name) in view.owned() {
        let fair = 65_536 / 6;
        assert!(range.len().abs_diff(fair) < 10, "{name} has {range}");
    }
}

#[test]
fn killed_coordinator_is_replaced_before_grants_expire() {
    let mut world = World::settled(2);
    let coordinator = world.coordinator().expect("a coordinator");
    world.nodes[coordinator].up = false;
    let moves = world.moves;
    for _ in 0..1_200 {
        world.step();
        assert!(world.all_served(), "keys unserved at {:?}", world.now);
    }
    assert_ne!(world.coordinator(), Some(coordinator));
    assert_eq!(
        world.moves, moves,
        "owners stay when the coordinator changes"
    );
}

#[test]
fn orders_of_a_coordinator_that_was_frozen_are_refused() {
    let mut world = World::settled(3);
    let coordinator = world.coordinator().expect("a coordinator");
    world.nodes[coordinator].frozen_until = world.now + SECOND * 4;
    world.run(SECOND * 3);
    let successor = world.coordinator().expect("another coordinator");
    assert_ne!(successor, coordinator);
    world.run(SECOND * 6);
    assert_eq!(world.coordinator(), Some(successor));
    assert!(world.all_served());
}

#[test]
fn restart_of_all_nodes_restores_service_within_seconds() {
    let mut world = World::settled(4);
    let owner = world.owner(7).expect("owned");
    for node in &mut world.nodes {
        node.up = false;
    }
    world.run(SECOND);
    for index in 0..world.nodes.len() {
        world.start_node(index);
    }
    let took = world.until_served(SECOND * 10).expect("served again");
    assert!(took <= SECOND * 3, "took {took:?}");
    world.run(SECOND * 3);
    assert_eq!(world.owner(7), Some(owner), "the owner stays");
}

#[test]
fn keys_of_a_crashed_back_end_go_to_others_after_its_grant_expires() {
    let mut world = World::settled(5);
    let owner = world.owner(100).expect("owned");
    world.back_ends.get_mut(&owner).expect("known").crash();
    let took = world.until_served(SECOND * 10).expect("served again");
    let hold = world.settings.hold;
    assert!(took <= hold + Duration::from_millis(1_500), "took {took:?}");
    assert_ne!(world.owner(100), Some(owner));
}

#[test]
fn grant_of_a_back_end_restarted_at_its_address_is_not_waited_out() {
    let mut world = World::settled(6);
    let owner = world.owner(100).expect("owned");
    world.back_ends.get_mut(&owner).expect("known").crash();
    world.add_back_end(0);
    let restarted = owner.as_str().starts_with("b0-");
    assert!(restarted, "key 100 belongs to the first back end: {owner}");
    let took = world.until_served(SECOND * 10).expect("served again");
    assert!(took < SECOND, "took {took:?}");
}

/// A process may run at the address of a crashed one before any registration
/// shows it. It does not execute an order for the crashed process, and its
/// answer shows that the crashed process has ended.
#[test]
fn grant_of_a_back_end_with_an_unregistered_restart_is_not_waited_out() {
    let mut world = World::settled(18);
    let owner = world.owner(100).expect("owned");
    assert!(owner.as_str().starts_with("b0-"), "{owner}");
    world.back_ends.get_mut(&owner).expect("known").crash();
    let restarted = world.add_unregistered_back_end(0);
    let took = world.until_served(SECOND * 10).expect("served again");
    assert!(took < SECOND * 2, "took {took:?}");
    assert_ne!(world.owner(100), Some(owner));
    assert_ne!(world.owner(100), Some(restarted));
}

#[test]
fn unreachable_back_end_keeps_its_keys_until_its_grant_expires() {
    let mut world = World::settled(7);
    let owner = world.owner(100).expect("owned");
    let now = world.now;
    world
        .back_ends
        .get_mut(&owner)
        .expect("known")
        .unreachable_until = now + SECOND * 8;
    // The checker panics if another back end gets the keys too early.
    world.run(SECOND * 15);
    assert!(world.all_served());
}

#[test]
fn draining_back_end_hands_over_at_once() {
    let mut world = World::settled(8);
    let owner = world.owner(100).expect("owned");
    world
        .registered
        .get_mut(&owner)
        .expect("registered")
        .draining = true;
    world.notify_back_ends();
    let mut waited = Duration::ZERO;
    while world.owner(100).is_none_or(|now| now == owner) {
        world.step();
        waited += Duration::from_millis(5);
        assert!(waited < Duration::from_millis(100), "still with {owner}");
    }
}

fn say_leaving(world: &mut World, name: &BackEndName) {
    let report = LoadReport {
        leaving: vec![name.clone()],
        ..LoadReport::default()
    };
    let coordinator = world.coordinator().expect("a coordinator");
    let now = world.now;
    world.nodes[coordinator].coordinator.add_load(now, &report);
}

#[test]
fn back_end_reported_leaving_by_routers_hands_over() {
    let mut world = World::settled(8);
    let owner = world.owner(100).expect("owned");
    say_leaving(&mut world, &owner);
    world.run(SECOND * 2);
    assert_ne!(world.owner(100), Some(owner));
    assert!(world.all_served());
}

/// No other back end could be assigned the keys before the store answers.
#[test]
fn back_end_reported_leaving_by_routers_keeps_its_keys_while_the_store_is_silent() {
    let mut world = World::settled(8);
    let owner = world.owner(100).expect("owned");
    world.store_down_until = world.now + SECOND * 4;
    world.run(SECOND);
    say_leaving(&mut world, &owner);
    for _ in 0..400 {
        world.step();
        assert!(world.all_served(), "keys unserved at {:?}", world.now);
    }
    world.run(SECOND * 4);
    assert_ne!(world.owner(100), Some(owner));
}

fn ask_for_rest(world: &mut World, names: &[BackEndName], left_ms: u64) {
    let resting = names.iter().map(|name| RestingBackEnd {
        back_end: name.clone(),
        left_ms,
    });
    let report = LoadReport {
        resting: resting.collect(),
        ..LoadReport::default()
    };
    let coordinator = world.coordinator().expect("a coordinator");
    let now = world.now;
    world.nodes[coordinator].coordinator.add_load(now, &report);
}

fn keys_of(world: &World, name: &BackEndName) -> u32 {
    let view = world.view().expect("a record");
    let owned = view.owned().filter(|(_, owner)| *owner == name);
    owned.map(|(range, _)| range.len()).sum()
}

#[test]
fn owner_that_asked_routers_for_rest_hands_over_and_gets_keys_again() {
    let mut world = World::settled(8);
    let owner = world.owner(100).expect("owned");
    ask_for_rest(&mut world, std::slice::from_ref(&owner), 2_000);
    world.run(SECOND);
    assert_eq!(keys_of(&world, &owner), 0);
    assert!(world.all_served());
    world.run(SECOND * 6);
    assert!(keys_of(&world, &owner) > 65_536 / 6 / 2);
    assert!(world.all_served());
}

#[test]
fn owners_keep_their_keys_if_many_ask_for_rest() {
    let mut world = World::settled(8);
    let names: Vec<BackEndName> = world.back_ends.keys().take(4).cloned().collect();
    let before: Vec<u32> = names.iter().map(|name| keys_of(&world, name)).collect();
    ask_for_rest(&mut world, &names, 2_000);
    world.run(SECOND);
    let after: Vec<u32> = names.iter().map(|name| keys_of(&world, name)).collect();
    assert_eq!(before, after);
}

#[test]
fn new_back_end_gets_its_share() {
    let mut world = World::settled(9);
    let name = world.add_back_end(50);
    world.run(SECOND * 3);
    let view = world.view().expect("a record");
    let keys: u32 = view
        .owned()
        .filter(|(_, owner)| **owner == name)
        .map(|(range, _)| range.len())
        .sum();
    assert!(keys > 65_536 / 7 / 2, "{keys} keys");
    assert!(world.all_served());
}

#[test]
fn cold_back_end_with_reduced_weight_gets_its_share_once_it_is_warm() {
    let mut world = World::settled(16);
    for node in &mut world.nodes {
        node.coordinator.set_reduced_when_cold(true);
    }
    let cold_until = world.now + SECOND * 3;
    let name = world.add_cold_back_end(50, SECOND * 3);
    let keys = |world: &World| -> u32 {
        let view = world.view().expect("a record");
        let owned = view.owned().filter(|(_, owner)| **owner == name);
        owned.map(|(range, _)| range.len()).sum()
    };
    let share = 65_536 / 7;
    // Keys that need a new owner in the meantime go to it as well.
    let leaving = world.owner(100).expect("owned");
    let registered = world.registered.get_mut(&leaving);
    registered.expect("registered").draining = true;
    world.notify_back_ends();
    while world.now < cold_until {
        let cold = keys(&world);
        assert!(cold < share * 6 / 10, "{cold} keys at {:?}", world.now);
        world.step();
    }
    assert!(keys(&world) > 0, "a few while it is cold");
    world.run(SECOND * 2);
    let after = keys(&world);
    assert!(after > share / 2, "{after} keys");
}

#[test]
fn keys_go_to_cold_back_ends_where_there_are_no_others() {
    let mut world = World::new(17, 3, 0);
    for node in &mut world.nodes {
        node.coordinator.set_reduced_when_cold(true);
    }
    world.add_cold_back_end(1, SECOND * 20);
    assert!(world.until_served(SECOND * 8).is_some());
}

#[test]
fn silent_store_stops_no_renewal_within_the_lease() {
    let mut world = World::settled(10);
    world.store_down_until = world.now + Duration::from_millis(4_500);
    for _ in 0..1_400 {
        world.step();
        assert!(world.all_served(), "keys unserved at {:?}", world.now);
    }
}

#[test]
fn coordinator_cut_off_from_the_store_is_replaced() {
    let mut world = World::settled(11);
    let coordinator = world.coordinator().expect("a coordinator");
    world.nodes[coordinator].unreachable_until = world.now + SECOND * 8;
    world.run(SECOND * 4);
    let successor = world.coordinator().expect("another coordinator");
    assert_ne!(successor, coordinator);
    world.run(SECOND * 10);
    assert!(world.all_served());
}

#[test]
fn planned_stop_releases_the_lease_quickly() {
    let mut world = World::settled(12);
    let coordinator = world.coordinator().expect("a coordinator");
    world.nodes[coordinator].coordinator.stop();
    world.run(Duration::from_millis(300));
    assert!(world.nodes[coordinator].coordinator.is_stopped());
    world.nodes[coordinator].up = false;
    world.run(SECOND);
    assert!(world.coordinator().is_some_and(|next| next != coordinator));
}

/// The world checks at each step that a coordinator never asks to be woken at
/// once without having anything to do. Its caller would otherwise spin and
/// never read the answer that the coordinator waits for.
#[test]
fn planned_stop_waits_for_orders_without_spinning() {
    let mut world = World::settled(15);
    world.chances = FaultChances {
        order_lost: 1_000,
        ..FaultChances::default()
    };
    world.run(Duration::from_millis(900));
    let coordinator = world.coordinator().expect("a coordinator");
    world.nodes[coordinator].coordinator.stop();
    world.run(SECOND);
    assert!(world.nodes[coordinator].coordinator.is_stopped());
}

#[test]
fn orders_executed_late_change_no_owner() {
    let mut world = World::settled(13);
    world.chances = FaultChances {
        order_late: 300,
        ..FaultChances::default()
    };
    world.run(SECOND * 6);
    world.chances = FaultChances::default();
    world.run(SECOND * 20);
    assert!(world.all_served());
}

/// The back end accepts connections but answers no order, including releases.
/// Unanswered releases must not delay the time at which its keys go to others.
#[test]
fn keys_of_a_back_end_that_answers_no_order_go_to_others() {
    let mut world = World::settled(19);
    let owner = world.owner(100).expect("owned");
    let now = world.now;
    let back_end = world.back_ends.get_mut(&owner).expect("known");
    back_end.unresponsive_until = now + SECOND * 20;
    // Six orders of half a second each, the grant duration, and the time to the
    // next renewal.
    let longest = SECOND * 3 + world.settings.hold + SECOND;
    while world.owner(100).as_ref() == Some(&owner) {
        world.step();
        let took = world.now.since(now);
        assert!(took <= longest, "after {took:?}: {}", world.diagnostics());
    }
}

/// A back end was silent while its keys went to others, and executes pending
/// orders late. The coordinator repeats the release until it answers. From then
/// on it refuses the pending orders.
#[test]
fn former_owner_that_answers_again_executes_no_late_order() {
    for seed in 0..20 {
        let mut world = World::settled(400 + seed);
        let owner = world.owner(100).expect("owned");
        let unresponsive_until = world.now + SECOND * 9;
        let back_end = world.back_ends.get_mut(&owner).expect("known");
        back_end.unresponsive_until = unresponsive_until;
        // A pause and a timeout of half a second each lie between two releases.
        // Late orders come up to 12 s after.
        let asked = unresponsive_until + Duration::from_millis(1_050);
        let end = unresponsive_until + SECOND * 13;
        while world.now < end {
            world.step();
            let lost = world.owner(100).as_ref() != Some(&owner);
            let mut held = world.back_ends[&owner].holds.iter();
            let held = held.any(|hold| hold.range.contains(ShardKey(100)));
            let held_after_loss = lost && held && world.now > asked;
            assert!(!held_after_loss, "seed {seed}: {}", world.diagnostics());
        }
    }
}

#[test]
fn checker_detects_two_holders() {
    let mut world = World::settled(14);
    let range = KeyRange::new(0, 10).expect("a range");
    let names: Vec<_> = world.back_ends.keys().cloned().collect();
    let owner = world.owner(5).expect("owned");
    let other = names.iter().find(|name| **name != owner).expect("another");
    let address = world.back_ends[other].entry.address;
    let order = Order {
        id: OrderId(0),
        to: Owner {
            name: other.clone(),
            address,
        },
        range,
        fence: threadledge_coordination::Fence(1),
        kind: OrderKind::Grant(GrantOrder {
            hold: SECOND,
            handover: None,
        }),
        distance: threadledge_coordination::Distance::Near,
        connection: threadledge_coordination::OrderConnection::Any,
        timeout: SECOND,
    };
    let now = world.now;
    let back_end = world.back_ends.get_mut(other).expect("known");
    back_end.execute(now, &order, false);
    let violation = Checker::holders(world.back_ends.values());
    assert!(matches!(violation, Err(Violation::TwoHolders(..))));
    let mut checker = Checker::default();
    assert_eq!(checker.granted(&order), Ok(()));
    let mut second = order.clone();
    second.to.name = owner;
    let violation = checker.granted(&second);
    assert!(matches!(violation, Err(Violation::FenceNotAbove(..))));
}

/// A released key can be assigned only by a write. While the store is silent,
/// keys that their owner could keep are not taken back.
#[test]
fn busy_keys_stay_with_their_owner_while_the_store_is_silent() {
    for offset in 0..20 {
        let mut world = World::settled(50 + offset);
        world.run(Duration::from_millis(40 * offset));
        world.store_down_until = world.now + SECOND * 4;
        let coordinator = world.coordinator().expect("a coordinator");
        for _ in 0..300 {
            let busy = (100..300).map(|key| KeyCount {
                key: ShardKey(key),
                count: 2,
            });
            let report = LoadReport {
                requests: busy.collect(),
                ..LoadReport::default()
            };
            let now = world.now;
            world.nodes[coordinator].coordinator.add_load(now, &report);
            world.step();
            assert!(world.all_served(), "keys unserved at {:?}", world.now);
        }
        let moves = world.moves;
        world.run(SECOND * 4);
        assert!(world.moves > moves, "nothing moves when the store is back");
    }
}

/// An assignment is reported to operators once it is in the store.
#[test]
fn unwritten_assignment_is_not_reported() {
    let mut world = World::settled(8);
    let owner = world.owner(100).expect("owned");
    world.registered.remove(&owner);
    world.notify_back_ends();
    world.store_down_until = world.now + SECOND * 3;
    world.notices.clear();
    world.run(SECOND * 2);
    let reported = |world: &World| {
        world
            .notices
            .iter()
            .filter(|line| line.contains("Assigned"))
            .count()
    };
    assert_eq!(reported(&world), 0, "{:?}", world.notices);
    world.run(SECOND * 4);
    assert!(reported(&world) > 0);
}
