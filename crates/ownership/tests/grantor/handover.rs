//! Planned moves, releases and the traffic they cause.

use threadledge_ownership::{Command, GrantorInput, ObjectChange, Observation};
use threadledge_types::Point;
use threadledge_types::records::SliceRecord;
use threadledge_types::session::GrantsUpdate;

use crate::bench::{Bench, at, name};
use crate::support::{
    address, back_end, back_end_id, begin_move, cancel_move, objects, put_back_end, put_service,
    service, service_id,
};

const KEY: Point = Point(1);

fn first_slice(bench: &Bench) -> SliceRecord {
    bench.log.slices()[0].clone()
}

fn owner(bench: &Bench) -> u16 {
    let owner = first_slice(bench).owner.expect("owned");
    let number = (0..100).find(|number| owner.back_end == back_end_id(&name(*number)));
    number.expect("a known back end")
}

/// Starts moving the first slice to a back end that does not own it.
fn begin(bench: &mut Bench) -> (u16, u16) {
    let from = owner(bench);
    let to = u16::from(from == 0);
    let command = begin_move(&first_slice(bench), &back_end_id(&name(to)));
    bench.propose(command);
    (from, to)
}

#[test]
fn a_planned_move_leaves_the_key_unserved_for_a_moment_only() {
    let mut bench = Bench::settled(2, 4);
    let (_, to) = begin(&mut bench);
    let mut unserved = 0;
    while bench.servers_of(KEY) != vec![address(to)] {
        unserved += u64::from(bench.servers_of(KEY).is_empty());
        bench.run_for(1);
        assert!(unserved < 50);
    }
    println!("planned move: no owner for {unserved} ms");
}

#[test]
fn the_owner_keeps_the_slice_until_the_next_one_is_ready() {
    let mut bench = Bench::settled(2, 4);
    bench.prepares = false;
    let (from, to) = begin(&mut bench);
    bench.run_for(5_000);
    assert_eq!(bench.servers_of(KEY), vec![address(from)]);
    bench.prepares = true;
    bench.run_for(100);
    assert_eq!(bench.servers_of(KEY), vec![address(to)]);
}

#[test]
fn running_work_holds_the_move_up_until_it_ends() {
    let mut bench = Bench::settled(2, 4);
    let epoch = first_slice(&bench).epoch;
    let from = owner(&bench);
    let service = service_id("s");
    let now = at(bench.now);
    let permit = bench.holder(from).admit(now, &service, KEY, epoch);
    let permit = permit.expect("served");
    begin(&mut bench);
    bench.run_for(2_000);
    let now = at(bench.now);
    assert_eq!(bench.holder(from).may_commit(now, &permit), Ok(()));
    assert_eq!(first_slice(&bench).epoch, epoch, "not moved yet");
    bench.holder(from).finish(permit);
    bench.run_for(100);
    assert!(first_slice(&bench).epoch > epoch);
}

#[test]
fn a_release_whose_answer_is_lost_is_not_taken_for_done() {
    let mut bench = Bench::settled(2, 4);
    bench.places = false;
    let from = owner(&bench);
    let epoch = first_slice(&bench).epoch;
    begin(&mut bench);
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    bench.run_until_true(1_000, |bench| bench.observed(withheld).is_some());
    bench.muted.insert(address(from));
    bench.run_for(1_000);
    assert_eq!(first_slice(&bench).epoch, epoch);
    bench.muted.clear();
    bench.run_for(600);
    assert!(first_slice(&bench).epoch > epoch, "a retry confirmed it");
}

#[test]
fn late_and_repeated_answers_confirm_nothing() {
    let mut bench = Bench::settled(2, 4);
    let from = owner(&bench);
    let id = back_end_id(&name(from));
    let request = bench.run_until_true(1_000, |bench| !bench.granting(from).is_empty());
    assert!(request <= 1_000);
    let (_, request) = bench.granting(from)[0].clone();
    let now = at(bench.now);
    bench.run_for(10);
    let mut late = bench.holder(from).clone().handle(now, request);
    late.releasing.clear();
    begin(&mut bench);
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    bench.run_until_true(1_000, |bench| bench.observed(withheld).is_some());
    bench.silent.insert(address(from));
    for _ in 0..3 {
        let response = Box::new(late.clone());
        let from = id.clone();
        bench.step(GrantorInput::Response { from, response });
    }
    let confirmed = |seen: &Observation| matches!(seen, Observation::ReleaseConfirmed { .. });
    assert_eq!(bench.observed(confirmed), None);
}

#[test]
fn a_cancelled_move_gives_the_slice_back_under_the_same_epoch() {
    let mut bench = Bench::settled(2, 4);
    let from = owner(&bench);
    let record = first_slice(&bench);
    begin(&mut bench);
    bench.silent.insert(address(from));
    let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
    bench.run_until_true(1_000, |bench| bench.observed(withheld).is_some());
    let command = cancel_move(&record);
    bench.propose(command);
    bench.run_for(10);
    bench.silent.clear();
    bench.run_for(600);
    assert_eq!(bench.servers_of(KEY), vec![address(from)]);
    assert_eq!(first_slice(&bench).epoch, record.epoch);
}

#[test]
fn a_draining_owner_lets_go_in_time_even_if_nobody_is_there_to_follow() {
    let mut bench = Bench::settled(1, 2);
    bench.holder(0).begin_drain();
    bench.run_for(2_000);
    assert_eq!(bench.holder(0).held_grants(), Vec::new());
    let released = |command: &Command| matches!(command, Command::Release { .. });
    assert!(bench.proposed(released).is_some());
    assert_eq!(bench.log.machine.misplaced().len(), 0);
}

#[test]
fn an_owner_that_is_selected_again_in_time_gets_its_slices_back() {
    for by_service in [false, true] {
        let mut bench = Bench::settled(1, 2);
        let epoch = first_slice(&bench).epoch;
        bench.places = false;
        let label = |version, pool| {
            if by_service {
                put_service(service("s", version, pool, 2))
            } else {
                put_back_end(back_end(&name(0), version, 0, pool))
            }
        };
        bench.commit(&label(2, "green"));
        bench.run_for(900);
        bench.silent.insert(address(0));
        bench.run_for(200);
        let withheld = |seen: &Observation| matches!(seen, Observation::GrantWithheld { .. });
        assert!(bench.observed(withheld).is_some());
        bench.commit(&label(3, "blue"));
        bench.silent.clear();
        bench.run_for(600);
        assert_eq!(bench.servers_of(KEY), vec![address(0)]);
        assert_eq!(first_slice(&bench).epoch, epoch);
    }
}

#[test]
fn a_release_that_was_proposed_is_seen_through_even_if_it_is_needless_by_then() {
    let mut bench = Bench::settled(1, 1);
    bench.places = false;
    bench.loses_proposals = true;
    let label = |version, pool| put_back_end(back_end(&name(0), version, 0, pool));
    bench.commit(&label(2, "green"));
    bench.run_for(1_500);
    let release = |command: &Command| matches!(command, Command::Release { .. });
    assert!(bench.proposed(release).is_some());
    let proposed = bench.proposed.iter().map(|(_, command)| command);
    let mut releases = proposed.filter(|command| release(command));
    let delayed = releases.next().expect("proposed").clone();
    bench.commit(&label(3, "blue"));
    bench.run_for(1_000);
    assert_eq!(bench.servers_of(KEY), Vec::new(), "it may yet commit");
    bench.commit(&delayed);
    assert_eq!(first_slice(&bench).owner, None);
}

#[test]
fn a_draining_process_without_a_session_gets_none() {
    let mut bench = Bench::new(1, 1);
    bench.holder(0).begin_drain();
    bench.run_for(1_000);
    assert_eq!(bench.log.machine.sessions().count(), 0);
}

#[test]
fn slices_of_a_deleted_service_are_released_at_once() {
    let mut bench = Bench::settled(2, 4);
    let id = service_id("s");
    let change = ObjectChange::DeleteService {
        id: id.clone(),
        resource_version: 2,
    };
    bench.commit(&objects(vec![change]));
    bench.run_for(100);
    assert_eq!(bench.holder(0).held_grants(), Vec::new());
    assert_eq!(bench.holder(1).held_grants(), Vec::new());
    assert_eq!(bench.log.machine.slices(&id).count(), 0);
}

#[test]
fn a_back_end_that_is_selected_no_more_lets_its_slices_go() {
    let mut bench = Bench::settled(2, 2);
    let from = owner(&bench);
    bench.commit(&put_back_end(back_end(&name(from), 2, from, "green")));
    bench.run_for(2_000);
    assert_eq!(bench.holder(from).held_grants(), Vec::new());
    assert_eq!(bench.servers_of(KEY).len(), 1);
}

#[test]
fn a_change_of_one_slice_sends_one_grant_and_not_all() {
    let mut bench = Bench::settled(2, 500);
    begin(&mut bench);
    bench.run_for(400);
    let updates = bench.sent.iter().map(|(_, request)| &request.grants);
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
    let mut bench = Bench::settled(100, 1);
    bench.run_for(1_000);
    let mut busiest = 0;
    for window in 0..20 {
        let from = 1_000 + window * 50;
        let within = |(when, _): &&(u64, _)| (from..from + 50).contains(when);
        busiest = busiest.max(bench.sent.iter().filter(within).count());
    }
    println!("busiest 50 ms of a second with 100 back ends: {busiest} requests");
    assert!(busiest <= 50, "{busiest}");
}
