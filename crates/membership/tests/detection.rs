//! Tests of failure detection on a simulated network.

mod support;

use std::time::Duration;

use support::*;
use threadledge_membership::{DownReason, Input, MemberState, Settings};

/// Maximum time until all routers consider a crashed router dead.
const DETECTION_LIMIT: Duration = Duration::from_millis(3_500);

fn joined_network(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, Settings::default(), seed);
    network.join_all();
    network
}

#[test]
fn a_crash_is_seen_by_all_within_seconds() {
    for seed in 0..3 {
        let mut network = joined_network(80, seed);
        network.loss_percent = 2;
        network.crash(7);
        let id = identity(7, 1).id;
        let took = network.run_until(DETECTION_LIMIT, |network| {
            network.all_have(id, MemberState::Dead)
        });
        assert!(took.is_some(), "seed {seed}");
        assert!(network.all_see(79));
    }
}

#[test]
fn a_zone_lost_at_once_is_seen_by_all_within_seconds() {
    for seed in 5..8 {
        let mut network = joined_network(60, seed);
        for host in (0..60).filter(|host| host % ZONES == 0) {
            network.crash(host);
        }
        let took = network.run_until(seconds(5), |network| network.all_see(40));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn idle_traffic_per_router_does_not_depend_on_the_number_of_routers() {
    let bytes_per_second = [20, 80].map(|count| {
        let mut network = joined_network(count, 6);
        network.run_for(seconds(10));
        network.measure_bytes = true;
        network.run_for(seconds(20));
        network.sent_bytes / count / 20
    });
    let [few, many] = bytes_per_second;
    assert!(many < 2_000, "{many}");
    assert!(many * 10 < few * 11, "{few} {many}");
}

#[test]
fn message_loss_alone_declares_no_member_dead() {
    for loss_percent in [5, 15] {
        let mut network = joined_network(50, 11);
        network.loss_percent = loss_percent;
        network.run_for(seconds(30));
        assert_eq!(network.down_count(), 0, "loss {loss_percent}");
    }
}

#[test]
fn a_briefly_paused_router_is_not_declared_dead() {
    let mut network = joined_network(60, 21);
    for host in 0..20 {
        network.pause(host);
        network.run_for(millis(700));
        network.resume(host);
        network.run_for(millis(300));
    }
    network.run_for(seconds(2));
    assert_eq!(network.down_count(), 0);
    assert!(network.all_see(60));
}

#[test]
fn a_long_paused_router_declares_nobody_dead_and_is_alive_again() {
    let mut network = joined_network(60, 31);
    let id = identity(3, 1).id;
    network.pause(3);
    network.run_for(seconds(6));
    let is_dead_to_others = (0..60)
        .filter(|host| *host != 3)
        .all(|host| network.state_at(host, id) == Some(MemberState::Dead));
    assert!(is_dead_to_others);
    network.resume(3);
    network.run_for(seconds(5));
    assert!(
        network.hosts[3].downs.is_empty(),
        "{:?}",
        network.hosts[3].downs
    );
    assert!(network.all_see(60));
}

#[test]
fn a_suspicion_restarts_after_a_pause() {
    let mut network = joined_network(3, 32);
    let id = identity(1, 1).id;
    network.pause(1);
    let suspected = network.run_until(seconds(3), |network| {
        network.state_at(0, id) == Some(MemberState::Suspect)
    });
    assert!(suspected.is_some());
    network.pause(0);
    network.resume(1);
    network.run_for(seconds(5));
    network.resume(0);
    network.run_for(seconds(2));
    assert!(network.hosts[0].downs.is_empty());
}

#[test]
fn sides_of_a_partition_lose_each_other_and_merge_again() {
    let mut network = joined_network(60, 41);
    network.partitions = (0..20).map(|host| (host, 1)).collect();
    network.run_for(seconds(20));
    assert_eq!(network.hosts[0].core.alive().count(), 20);
    assert_eq!(network.hosts[59].core.alive().count(), 40);
    for host in &network.hosts {
        let others = host.core.members().map(|member| member.identity.id);
        let proofs = others.filter_map(|id| host.core.death_proof(id));
        assert_eq!(proofs.count(), 0, "suspicion is not a proof");
    }
    network.partitions.clear();
    let healed = network.run_until(seconds(30), |network| network.all_see(60));
    assert!(healed.is_some());
}

#[test]
fn a_partition_heals_without_a_machine_list() {
    let mut network = joined_network(20, 42);
    network.apply_list(&list(2, []));
    network.partitions = (0..10).map(|host| (host, 1)).collect();
    network.run_for(seconds(10));
    assert!(network.all_see(10));
    network.partitions.clear();
    let healed = network.run_until(seconds(30), |network| network.all_see(20));
    assert!(healed.is_some());
}

#[test]
fn a_leaving_router_is_known_to_leave_before_it_is_gone() {
    let mut network = joined_network(60, 51);
    let id = identity(9, 1).id;
    network.input(9, Input::Leave);
    let announced = network.run_until(seconds(2), |network| {
        network.all_have(id, MemberState::Leaving)
    });
    assert!(announced.is_some());
    network.crash(9);
    network.run_for(seconds(5));
    assert!(network.all_have(id, MemberState::Dead));
    let reasons = network.hosts.iter().flat_map(|host| &host.downs);
    assert!(reasons.into_iter().all(|down| down.2 == DownReason::Left));
}

#[test]
fn an_isolated_router_does_not_declare_most_others_dead() {
    let mut network = joined_network(60, 61);
    network.partitions = [(5, 1)].into();
    network.run_for(seconds(4));
    let declared_dead = network.hosts[5].downs.len();
    assert!(declared_dead < 10, "{declared_dead}");
}
