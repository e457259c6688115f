//! Tests of the machine list and its faults: lagging, stale and down.

use std::time::Duration;

use threadledge_lab::stand_in::machine_list::{
    MachineCommand, MachineListFault, MachineListServer, MachineListState,
};
use threadledge_membership::{Machine, MachineList, MachineState};
use threadledge_object_api::{MachineListClient, PlatformErrorKind, TransportSettings};
use threadledge_types::{MachineName, RegionName, Timestamp, ZoneName};

use super::support::{listener, run_with_timeout};

fn machine(name: &str) -> Machine {
    Machine {
        name: MachineName::from(name),
        region: RegionName::from("luzon"),
        zone: ZoneName::from("luzon-a"),
        peer_address: "127.0.0.1:9000".parse().expect("an address"),
        state: MachineState::Live,
    }
}

fn names(list: Option<MachineList>) -> Vec<String> {
    let machines = list.map(|list| list.machines).unwrap_or_default();
    machines.into_iter().map(|machine| machine.name.0).collect()
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn changes_show_after_the_lag() {
    let mut state = MachineListState::new(vec![machine("a")]);
    state.set_fault(MachineListFault::Lag(1_000));
    state.change(at(5_000), MachineCommand::Set(Box::new(machine("b"))));
    assert_eq!(names(state.visible_at(at(5_999))), ["a"]);
    assert_eq!(names(state.visible_at(at(6_000))), ["a", "b"]);
}

#[test]
fn stale_list_stays_behind_until_the_fault_ends() {
    let mut state = MachineListState::new(vec![machine("a")]);
    state.change(at(1), MachineCommand::Set(Box::new(machine("b"))));
    state.set_fault(MachineListFault::Stale(1));
    state.change(at(2), MachineCommand::Remove(MachineName::from("a")));
    assert_eq!(names(state.visible_at(at(9))), ["a"]);
    state.set_fault(MachineListFault::Stale(0));
    assert_eq!(names(state.visible_at(at(9))), ["b"]);
}

#[test]
fn leaving_machine_is_marked_and_versions_grow() {
    let mut state = MachineListState::new(vec![machine("a")]);
    state.change(at(1), MachineCommand::Leaving(MachineName::from("a")));
    let list = state.visible_at(at(1)).expect("up");
    assert_eq!(list.version, 2);
    assert_eq!(list.machines[0].state, MachineState::Leaving);
}

#[test]
fn client_reads_the_list_and_reports_that_it_is_down() {
    run_with_timeout(async {
        let served = MachineListServer::serve(listener().await, vec![machine("a")]);
        let server = served.expect("the listener has an address");
        let client = MachineListClient::new(server.address(), TransportSettings::default());
        let list: MachineList = client.machines().await.expect("up");
        assert_eq!(names(Some(list)), ["a"]);
        server.set_fault(MachineListFault::Down(true));
        let error = client.machines::<MachineList>().await.expect_err("down");
        assert!(
            matches!(error.kind, PlatformErrorKind::ConnectionLost(_)),
            "{error}"
        );
        server.set_fault(MachineListFault::Down(false));
        server.change(MachineCommand::Replace(vec![machine("b")]));
        let list: MachineList = client.machines().await.expect("up");
        assert_eq!(names(Some(list)), ["b"]);
    });
}

#[test]
fn commands_are_accepted_over_http() {
    run_with_timeout(async {
        let served = MachineListServer::serve(listener().await, vec![]);
        let server = served.expect("the listener has an address");
        let command = MachineCommand::Set(Box::new(machine("a")));
        let url = format!("http://{}/lab/machines", server.address());
        let mut request = http_types::Request::post(url.as_str());
        request.set_body(serde_json::to_vec(&command).expect("JSON"));
        let stream = async_std::net::TcpStream::connect(server.address()).await;
        let answer = async_h1::connect(stream.expect("up"), request).await;
        assert!(answer.expect("answered").status().is_success());
        let client = MachineListClient::new(
            server.address(),
            TransportSettings {
                response_timeout: Duration::from_secs(5),
                ..TransportSettings::default()
            },
        );
        let list: MachineList = client.machines().await.expect("up");
        assert_eq!(names(Some(list)), ["a"]);
    });
}
