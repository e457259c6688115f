//! Many routers on a lossy network in virtual time. The simulated network
//! asserts at every step that no copy goes back and that confirmations are
//! true.

mod support;

use std::time::Duration;

use rand::RngExt;
use support::network::Network;
use support::*;
use threadledge_spread::Settings;
use threadledge_types::Timing;

const PROPAGATION_BOUND: Duration = Duration::from_secs(2);
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);

fn confirm_bound() -> Duration {
    Timing::default().confirm_bound()
}

fn converged_network(count: usize, fanout: usize, loss_percent: u32, seed: u64) -> Network {
    let mut network = Network::new(count, &Settings::default(), seed);
    network.loss_percent = loss_percent;
    network.set_tree(fanout);
    network.commit(revision(1, 1), &[service(1, 1)]);
    network.run_for(CONVERGENCE_TIME);
    assert!(network.all_at(revision(1, 1)), "seed {seed}");
    network
}

fn confirmed_count(network: &Network) -> usize {
    let bound = confirm_bound();
    (0..network.hosts.len())
        .filter(|node| {
            network
                .confirmation_age(*node)
                .is_some_and(|age| age <= bound)
        })
        .count()
}

#[test]
fn a_change_reaches_every_node_within_two_seconds_despite_losses() {
    for seed in 0..4 {
        let mut network = converged_network(300, 8, 5, seed);
        for index in 2..8 {
            let at = revision(1, index);
            network.commit(at, &[service(1, index)]);
            let end = network.now + PROPAGATION_BOUND;
            let reached = network.run_until(end, |network| network.all_at(at));
            assert!(reached, "seed {seed} index {index}");
        }
    }
}

#[test]
fn every_node_stays_confirmed_despite_losses() {
    let mut network = converged_network(300, 8, 5, 11);
    for _ in 0..40 {
        network.run_for(Duration::from_millis(250));
        assert_eq!(confirmed_count(&network), 300);
    }
}

#[test]
fn nodes_below_failed_parents_switch_to_other_candidates() {
    let mut network = converged_network(200, 8, 2, 21);
    for failed in [1, 2, 9, 17, 18] {
        network.hosts[failed].alive = false;
    }
    network.run_for(confirm_bound());
    let at = revision(1, 2);
    network.commit(at, &[service(2, 1)]);
    let end = network.now + PROPAGATION_BOUND;
    assert!(network.run_until(end, |network| network.all_at(at)));
    network.run_for(confirm_bound());
    assert_eq!(confirmed_count(&network), 195);
}

#[test]
fn a_partitioned_part_loses_confirmation_and_recovers_when_healed() {
    let mut network = converged_network(120, 8, 0, 31);
    network.partitions = (60..120).map(|node| (node, 1)).collect();
    network.run_for(confirm_bound());
    let at = revision(1, 2);
    network.commit(at, &[service(2, 1)]);
    network.run_for(Duration::from_secs(3));
    assert_eq!(confirmed_count(&network), 60);
    network.partitions.clear();
    let end = network.now + Duration::from_secs(4);
    assert!(network.run_until(end, |network| network.all_at(at)));
    network.run_for(Duration::from_secs(2));
    assert_eq!(confirmed_count(&network), 120);
}

#[test]
fn a_cycle_of_parents_is_never_confirmed() {
    let mut network = Network::new(4, &Settings::default(), 41);
    network.set_parents(1, &[0]);
    network.set_parents(2, &[1]);
    network.set_parents(3, &[2]);
    network.commit(revision(1, 1), &[service(1, 1)]);
    network.run_for(Duration::from_secs(3));
    let before: Vec<_> = (1..4)
        .map(|node| network.hosts[node].node.confirmed_as_of())
        .collect();
    network.set_parents(1, &[3]);
    network.run_for(Duration::from_secs(60));
    for node in 1..4 {
        let age = network.confirmation_age(node).expect("confirmed once");
        assert!(age >= Duration::from_secs(60), "node {node} {before:?}");
    }
}

#[test]
fn surplus_children_of_a_busy_parent_move_to_the_next_candidate() {
    let settings = Settings {
        max_children: 4,
        ..Settings::default()
    };
    let mut network = Network::new(30, &settings, 51);
    for node in 1..30 {
        let first = (node - 1) / 6;
        let parents: Vec<usize> = std::iter::once(first).chain(0..12).collect();
        network.set_parents(node, &parents);
    }
    network.commit(revision(1, 1), &[service(1, 1)]);
    network.run_for(CONVERGENCE_TIME);
    assert!(network.all_at(revision(1, 1)));
    assert_eq!(confirmed_count(&network), 30);
    let most = network
        .hosts
        .iter()
        .map(|host| host.node.child_count())
        .max();
    assert!(most <= Some(4));
}

#[test]
fn a_large_state_is_sent_in_bounded_messages_while_it_changes() {
    let mut network = Network::new(20, &Settings::default(), 61);
    network.measure_bytes = true;
    network.loss_percent = 5;
    let at = revision(1, 1);
    let slices: Vec<_> = (0..3_000).map(|number| slice(1, number * 10, at)).collect();
    network.commit(at, &slices);
    network.set_tree(4);
    let mut random = random(62);
    for index in 2..60 {
        let at = revision(1, index);
        let number = random.random_range(0..3_000);
        network.commit(
            at,
            &[slice(1, number * 10, at), slice_removed(1, index * 10)],
        );
        network.run_for(Duration::from_millis(20));
    }
    network.run_for(CONVERGENCE_TIME);
    assert!(network.all_at(revision(1, 59)));
    assert!(network.largest_message <= 64 * 1_024);
    let expected = contents(&network.hosts[0].replica);
    for host in &network.hosts {
        assert_eq!(contents(&host.replica), expected);
    }
}

#[test]
fn pages_that_arrive_after_their_timeout_are_still_assembled() {
    let mut network = Network::new(6, &Settings::default(), 65);
    network.max_delay = Duration::from_millis(300);
    let at = revision(1, 1);
    let slices: Vec<_> = (0..3_000).map(|number| slice(1, number * 10, at)).collect();
    network.commit(at, &slices);
    network.set_tree(2);
    network.run_for(Duration::from_secs(30));
    assert!(network.all_at(at));
    for host in &network.hosts {
        assert_eq!(host.replica.slice_count(), 3_000);
    }
}

#[test]
fn slow_links_delay_confirmation_but_keep_it_correct() {
    let mut network = Network::new(10, &Settings::default(), 71);
    network.max_delay = Duration::from_millis(700);
    network.set_tree(3);
    for index in 1..40 {
        network.commit(revision(1, index), &[service(1, index)]);
        network.run_for(Duration::from_millis(250));
    }
    network.run_for(confirm_bound());
    assert!(network.all_at(revision(1, 39)));
    assert_eq!(confirmed_count(&network), 10);
}

#[test]
fn random_faults_never_revert_a_copy_or_confirm_falsely() {
    for seed in 200..212 {
        let mut random = random(seed);
        let settings = Settings::default();
        let mut network = Network::new(60, &settings, seed);
        network.loss_percent = 10;
        network.max_delay = Duration::from_millis(120);
        network.set_tree(4);
        let mut generation = 1;
        for index in 1..60 {
            if index % 25 == 0 {
                generation += 1;
            }
            let at = revision(generation, index);
            network.commit(at, &random_entry(&mut random, at));
            let node = random.random_range(1..60);
            match random.random_range(0..6) {
                0 => network.hosts[node].alive = false,
                1 => network.restart(node, &settings),
                2 => network.partitions = (node..60).map(|node| (node, 1)).collect(),
                3 => network.partitions.clear(),
                _ => {}
            }
            network.set_tree(4);
            network.run_for(Duration::from_millis(random.random_range(5..400)));
        }
        network.partitions.clear();
        network.loss_percent = 0;
        network.run_for(CONVERGENCE_TIME);
        assert!(network.all_at(revision(generation, 59)), "seed {seed}");
        let expected = contents(&network.hosts[0].replica);
        for host in network.hosts.iter().filter(|host| host.alive) {
            assert_eq!(contents(&host.replica), expected, "seed {seed}");
        }
    }
}
