//! Tests of planned moves, releases and the requests they cause.

use threadledge_ownership::{Command, GrantorInput, ObjectChange, Observation};
use threadledge_types::Point;
use threadledge_types::records::SliceRecord;
use threadledge_types::session::GrantsUpdate;

use crate::harness::{Harness, at, name};
use crate::support::{
    address, back_end, back_end_id, begin_move, cancel_move, objects, put_back_end, put_service,
    service, service_id,
};

const KEY: Point = Point(1);

fn first_slice(harness: &Harness) -> SliceRecord {
    harness.log.slices()[0].clone()
}

fn owner(harness: &Harness) -> u16 {
    let owner = first_slice(harness).owner.expect("owned");
    let number = (0..100).find(|number| owner.back_end == back_end_id(&name(*number)));
    number.expect("a known back end")
}

/// Starts moving the first slice to a back end that does not own it. Returns
/// the numbers of the owner and the next owner.
fn begin(harness: &mut Harness) -> (u16, u16) {
    let from = owner(harness);
    let to = u16::from(from == 0);
    let command = begin_move(&first_slice(harness), &back_end_id(&name(to)));
    harness.propose(command);
    (from, to)
}

#[test]
fn a_planned_move_leaves_the_key_unserved_for_a_moment_only() {
    let mut harness = Harness::settled(2, 4);
    let (_, to) = begin(&mut harness);
    let mut unserved = 0;
    while harness.addresses_serving(KEY) != vec![address(to)] {
        unserved += u64::from(harness.addresses_serving(KEY).is_empty());
        harness.run_for(1);
        assert!(unserved < 50);
    }
    println!("planned move: no owner for {unserved} ms");
}

#[test]
fn the_owner_keeps_the_slice_until_the_next_one_is_ready() {
    let mut harness = Harness::settled(2, 4);
    harness.marks_ready = false;
    let (from, to) = begin(&mut harness);
    harness.run_for(5_000);
    assert_eq!(harness.addresses_serving(KEY), vec![address(from)]);
    harness.marks_ready = true;
    harness.run_for(100);
    assert_eq!(harness.addresses_serving(KEY), vec![address(to)]);
}

#[test]
fn a_move_waits_for_admitted_requests_to_finish() {
    let mut harness = Harness::settled(2, 4);
    let epoch = first_slice(&harness).epoch;
    let from = owner(&harness);
    let service = service_id("s");
    let now = at(harness.now);
    let permit = harness.holder(from).admit(now, &service, KEY, epoch);
    let permit = permit.expect("served");
    begin(&mut harness);
    harness.run_for(2_000);
    let now = at(harness.now);
    assert_eq!(harness.holder(from).may_commit(now, &permit), Ok(()));
    assert_eq!(first_slice(&harness).epoch, epoch, "not moved yet");
    harness.holder(from).finish(permit);
    harness.run_for(100);
    assert!(first_slice(&harness).epoch > epoch);
}

#[test]
fn a_release_whose_response_is_lost_is_not_assumed_done() {
    let mut harness = Harness::settled(2, 4);
    harness.assigns = false;
    let from = owner(&harness);
    let epoch = first_slice(&harness).epoch;
    begin(&mut harness);
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    harness.run_until_condition(1_000, |harness| harness.observed(withheld).is_some());
    harness.responses_lost.insert(address(from));
    harness.run_for(1_000);
    assert_eq!(first_slice(&harness).epoch, epoch);
    harness.responses_lost.clear();
    harness.run_for(600);
    assert!(first_slice(&harness).epoch > epoch, "a retry confirmed it");
}

#[test]
fn late_and_repeated_responses_confirm_nothing() {
    let mut harness = Harness::settled(2, 4);
    let from = owner(&harness);
    let id = back_end_id(&name(from));
    let request =
        harness.run_until_condition(1_000, |harness| !harness.grant_requests(from).is_empty());
    assert!(request <= 1_000);
    let (_, request) = harness.grant_requests(from)[0].clone();
    let now = at(harness.now);
    harness.run_for(10);
    let mut late = harness.holder(from).clone().handle(now, request);
    late.releasing.clear();
    begin(&mut harness);
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    harness.run_until_condition(1_000, |harness| harness.observed(withheld).is_some());
    harness.unreachable.insert(address(from));
    for _ in 0..3 {
        let response = Box::new(late.clone());
        let from = id.clone();
        harness.step(GrantorInput::Response { from, response });
    }
    let confirmed = |seen: &Observation| matches!(seen, Observation::ReleaseConfirmed { .. });
    assert_eq!(harness.observed(confirmed), None);
}

#[test]
fn a_cancelled_move_returns_the_slice_under_the_same_epoch() {
    let mut harness = Harness::settled(2, 4);
    let from = owner(&harness);
    let record = first_slice(&harness);
    begin(&mut harness);
    harness.unreachable.insert(address(from));
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    harness.run_until_condition(1_000, |harness| harness.observed(withheld).is_some());
    let command = cancel_move(&record);
    harness.propose(command);
    harness.run_for(10);
    harness.unreachable.clear();
    harness.run_for(600);
    assert_eq!(harness.addresses_serving(KEY), vec![address(from)]);
    assert_eq!(first_slice(&harness).epoch, record.epoch);
}

#[test]
fn a_draining_owner_releases_its_slices_in_time_without_a_next_owner() {
    let mut harness = Harness::settled(1, 2);
    harness.holder(0).begin_drain();
    harness.run_for(2_000);
    assert_eq!(harness.holder(0).held_grants(), Vec::new());
    let released = |command: &Command| matches!(command, Command::Release { .. });
    assert!(harness.proposed(released).is_some());
    assert_eq!(harness.log.machine.misplaced().len(), 0);
}

#[test]
fn an_owner_that_is_selected_again_in_time_gets_its_slices_back() {
    for by_service in [false, true] {
        let mut harness = Harness::settled(1, 2);
        let epoch = first_slice(&harness).epoch;
        harness.assigns = false;
        let label = |version, pool| {
            if by_service {
                put_service(service("s", version, pool, 2))
            } else {
                put_back_end(back_end(&name(0), version, 0, pool))
            }
        };
        harness.commit(&label(2, "green"));
        harness.run_for(900);
        harness.unreachable.insert(address(0));
        harness.run_for(200);
        let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
        assert!(harness.observed(withheld).is_some());
        harness.commit(&label(3, "blue"));
        harness.unreachable.clear();
        harness.run_for(600);
        assert_eq!(harness.addresses_serving(KEY), vec![address(0)]);
        assert_eq!(first_slice(&harness).epoch, epoch);
    }
}

#[test]
fn a_proposed_release_is_completed_even_if_no_longer_needed() {
    let mut harness = Harness::settled(1, 1);
    harness.assigns = false;
    harness.loses_proposals = true;
    let label = |version, pool| put_back_end(back_end(&name(0), version, 0, pool));
    harness.commit(&label(2, "green"));
    harness.run_for(1_500);
    let release = |command: &Command| matches!(command, Command::Release { .. });
    assert!(harness.proposed(release).is_some());
    let proposed = harness.proposed.iter().map(|(_, command)| command);
    let mut releases = proposed.filter(|command| release(command));
    let delayed = releases.next().expect("proposed").clone();
    harness.commit(&label(3, "blue"));
    harness.run_for(1_000);
    assert_eq!(
        harness.addresses_serving(KEY),
        Vec::new(),
        "the proposed release may still commit"
    );
    harness.commit(&delayed);
    assert_eq!(first_slice(&harness).owner, None);
}

#[test]
fn a_draining_process_without_a_session_gets_none() {
    let mut harness = Harness::new(1, 1);
    harness.holder(0).begin_drain();
    harness.run_for(1_000);
    assert_eq!(harness.log.machine.sessions().count(), 0);
}

#[test]
fn slices_of_a_deleted_service_are_released_at_once() {
    let mut harness = Harness::settled(2, 4);
    let id = service_id("s");
    let change = ObjectChange::DeleteService {
        id: id.clone(),
        resource_version: 2,
    };
    harness.commit(&objects(vec![change]));
    harness.run_for(100);
    assert_eq!(harness.holder(0).held_grants(), Vec::new());
    assert_eq!(harness.holder(1).held_grants(), Vec::new());
    assert_eq!(harness.log.machine.slices(&id).count(), 0);
}

#[test]
fn a_back_end_that_is_no_longer_selected_releases_its_slices() {
    let mut harness = Harness::settled(2, 2);
    let from = owner(&harness);
    harness.commit(&put_back_end(back_end(&name(from), 2, from, "green")));
    harness.run_for(2_000);
    assert_eq!(harness.holder(from).held_grants(), Vec::new());
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn a_change_of_one_slice_sends_only_its_grants() {
    let mut harness = Harness::settled(2, 500);
    begin(&mut harness);
    harness.run_for(400);
    let updates = harness.sent.iter().map(|(_, request)| &request.grants);
    let mut grants = 0;
    for update in updates {
        match update {
            GrantsUpdate::Full { .. } => panic!("a full state was sent"),
            GrantsUpdate::Delta { add, remove, .. } => grants += add.len() + remove.len(),
            GrantsUpdate::Unchanged { .. } | GrantsUpdate::Inquire => {}
        }
    }
    assert_eq!(grants, 2, "one taken from the owner, one given to the next");
}

#[test]
fn renewals_are_spread_over_the_interval() {
    let mut harness = Harness::settled(100, 1);
    harness.run_for(1_000);
    let mut busiest = 0;
    for window in 0..20 {
        let from = 1_000 + window * 50;
        let within = |(when, _): &&(u64, _)| (from..from + 50).contains(when);
        busiest = busiest.max(harness.sent.iter().filter(within).count());
    }
    println!("busiest 50 ms of a second with 100 back ends: {busiest} requests");
    assert!(busiest <= 50, "{busiest}");
}
