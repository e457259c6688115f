//! Tests of discovery and of proofs that a router process is gone.

mod support;

use support::*;
use threadledge_membership::{
    DeathProof, DownReason, Input, MachineList, MachineState, MemberState, Membership, Message,
    MessageBody, Output, RefutationNumber, Settings,
};

fn without_list_lag() -> Settings {
    Settings {
        max_list_lag: millis(0),
        ..Settings::default()
    }
}

#[test]
fn routers_that_know_one_other_find_all() {
    let mut network = Network::new(100, Settings::default(), 1);
    network.measure_bytes = true;
    for host in 1..100 {
        let known = list(1, [host - 1]);
        network.input(host, Input::MachineList(known));
    }
    let found = network.run_until(seconds(30), |network| network.all_see(100));
    assert!(found.is_some());
    assert!(network.largest_message < 12 * 1_024);
}

#[test]
fn a_router_that_joins_late_knows_all_and_is_known_soon() {
    let mut network = Network::new(100, Settings::default(), 2);
    network.crash(99);
    network.apply_list(&list(1, 0..99));
    network.run_for(seconds(10));
    network.restart(99, 1);
    network.input(99, Input::MachineList(list(1, 0..99)));
    let found = network.run_until(seconds(5), |network| network.all_see(100));
    assert!(found.is_some());
}

#[test]
fn an_older_or_empty_list_removes_no_member() {
    let mut network = Network::new(20, without_list_lag(), 3);
    network.join_all();
    network.apply_list(&list(5, 0..20));
    network.apply_list(&list(4, 0..3));
    network.run_for(seconds(5));
    network.apply_list(&MachineList {
        version: 0,
        machines: Vec::new(),
    });
    network.crash(19);
    network.run_for(seconds(60));
    assert!(network.all_see(19));
    let gone = identity(19, 1).id;
    assert_eq!(network.hosts[0].core.death_proof(gone), None);
}

#[test]
fn a_later_process_on_the_machine_proves_the_earlier_one_dead() {
    let mut network = Network::new(30, Settings::default(), 4);
    network.join_all();
    network.crash(8);
    network.run_for(millis(50));
    network.restart(8, 2);
    network.input(8, Input::MachineList(list(1, 0..30)));
    let old = identity(8, 1).id;
    let took = network.run_until(seconds(3), |network| {
        let others = (0..30).filter(|host| *host != 8);
        let mut states = others.map(|host| network.state_at(host, old));
        states.all(|state| state == Some(MemberState::Dead))
    });
    assert!(took.is_some());
    network.run_for(seconds(2));
    assert!(network.all_see(30));
    for host in (0..30).filter(|host| *host != 8) {
        let proof = network.hosts[host].core.death_proof(old);
        let expected = DeathProof::LaterIncarnation {
            machine: "machine-8".into(),
            successor: identity(8, 2).id,
            incarnation: identity(8, 2).incarnation,
        };
        assert_eq!(proof, Some(expected));
    }
}

#[test]
fn a_process_started_with_the_clock_set_back_joins_and_proves_nothing() {
    let mut network = Network::new(10, Settings::default(), 12);
    network.join_all();
    network.restart(8, 9);
    network.input(8, Input::MachineList(list(1, 0..10)));
    network.run_for(seconds(3));
    network.crash(8);
    network.run_for(seconds(6));
    network.restart(8, 5);
    network.input(8, Input::MachineList(list(1, 0..10)));
    network.run_for(seconds(6));
    assert!(network.all_see(10));
    let ninth = identity(8, 9).id;
    assert_eq!(network.state_at(0, ninth), Some(MemberState::Dead));
    assert_eq!(network.hosts[0].core.death_proof(ninth), None);
}

#[test]
fn removal_from_the_list_proves_death_only_of_a_silent_router_that_was_listed() {
    let mut network = Network::new(20, without_list_lag(), 5);
    network.join_all();
    let id = identity(6, 1).id;
    let remaining = || (0..20).filter(|host| *host != 6);
    network.apply_list(&list(2, 0..20));
    network.apply_list(&list(3, remaining()));
    network.run_for(seconds(5));
    assert_eq!(network.state_at(0, id), Some(MemberState::Alive));
    assert_eq!(network.hosts[0].core.death_proof(id), None);
    network.crash(6);
    network.run_for(seconds(5));
    let proof = network.hosts[0].core.death_proof(id);
    let expected = DeathProof::RemovedFromList {
        machine: "machine-6".into(),
        listed: 2,
        missing: 3,
    };
    assert_eq!(proof, Some(expected));
    let reasons = network.hosts[0].downs.iter().map(|down| down.2);
    assert_eq!(reasons.collect::<Vec<_>>(), [DownReason::RemovedFromList]);
}

#[test]
fn a_router_never_listed_or_listed_within_the_lag_is_not_proved_dead() {
    let mut network = Network::new(10, Settings::default(), 6);
    network.join_all();
    let never_listed = identity(6, 1).id;
    let listed_too_soon = identity(5, 1).id;
    network.apply_list(&list(2, 0..6));
    network.apply_list(&list(3, 0..5));
    network.crash(5);
    network.crash(6);
    network.run_for(seconds(10));
    for id in [never_listed, listed_too_soon] {
        assert_eq!(network.state_at(0, id), Some(MemberState::Dead));
        assert_eq!(network.hosts[0].core.death_proof(id), None);
    }
}

#[test]
fn a_machine_listed_as_leaving_is_leaving_until_it_is_listed_as_live() {
    let mut network = Network::new(10, Settings::default(), 7);
    network.join_all();
    let id = identity(4, 1).id;
    let mut leaving = list(2, 0..10);
    leaving.machines[4].state = MachineState::Leaving;
    network.apply_list(&leaving);
    assert_eq!(network.state_at(0, id), Some(MemberState::Leaving));
    network.apply_list(&list(3, 0..10));
    assert_eq!(network.state_at(0, id), Some(MemberState::Alive));
}

#[test]
fn dead_members_are_limited_in_age_and_number() {
    let settings = Settings {
        dead_retention: seconds(20),
        max_dead_members: 3,
        ..Settings::default()
    };
    let mut network = Network::new(30, settings, 8);
    network.join_all();
    for host in 20..30 {
        network.crash(host);
    }
    network.run_for(seconds(10));
    assert!(network.all_see(20));
    assert!(network.hosts[0].core.members().count() <= 23);
    network.run_for(seconds(30));
    assert_eq!(network.hosts[0].core.members().count(), 20);
}

#[test]
fn late_messages_of_an_earlier_process_on_the_machine_are_ignored() {
    let mut network = Network::new(3, Settings::default(), 10);
    network.join_all();
    let outputs = network.hosts[2].core.step(network.now, Input::Leave);
    let late = outputs.into_iter().find_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    network.restart(2, 2);
    network.input(2, Input::MachineList(list(1, 0..3)));
    network.run_for(seconds(5));
    let message = late.expect("a message of the earlier process");
    network.input(0, Input::Message { message });
    let old = identity(2, 1).id;
    assert_eq!(network.state_at(0, old), Some(MemberState::Dead));
    assert!(network.all_see(3));
}

#[test]
fn routers_of_another_region_are_not_members() {
    let mut network = Network::new(3, Settings::default(), 9);
    let mut both_regions = list(1, 0..3);
    both_regions.machines[2].region = "nz-north".into();
    network.input(0, Input::MachineList(both_regions.clone()));
    network.input(1, Input::MachineList(both_regions));
    network.run_for(seconds(2));
    let now = network.now;
    let mut foreign = identity(2, 1);
    foreign.region = "nz-north".into();
    let mut outside = Membership::new(Settings::default(), foreign, now);
    let outputs = outside.step(now, Input::MachineList(list(1, [])));
    assert!(outputs.is_empty());
    assert_eq!(network.hosts[0].core.alive().count(), 2);
    let message = Message {
        from: outside.identity().clone(),
        refutation: RefutationNumber::default(),
        leaving: false,
        body: MessageBody::Ping { sequence: 1 },
        updates: Vec::new(),
    };
    let message = Box::new(message);
    let outputs = network.hosts[0].core.step(now, Input::Message { message });
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::MemberUp(_)))
    );
    assert_eq!(network.hosts[0].core.alive().count(), 2);
}

#[test]
fn the_machine_list_is_camel_case_json() {
    let json = serde_json::to_value(list(3, [1])).expect("JSON");
    let expected = serde_json::json!({
        "version": 3,
        "machines": [{
            "name": "machine-1",
            "region": "luzon",
            "zone": "b",
            "peerAddress": "10.0.0.1:7000",
            "state": "live",
        }],
    });
    assert_eq!(json, expected);
}
