//! Back ends that turn requests away and ask for rest, through the real
//! program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use async_std::task::block_on;

use super::pressed::{Fleet, Outcomes, press};
use super::process::{TestRequest, World, eventually};

/// Rest that is asked for.
const REST: Duration = Duration::from_secs(3);
/// From then on after it was asked for.
const HEARD: Duration = Duration::from_millis(500);
/// Requests of one gateway that may come while it should rest.
const ALLOWED: usize = 2;
const LENGTH: Duration = Duration::from_secs(7);

fn ask_for_rest(back_ends: &[&StandInBackEnd]) {
    for back_end in back_ends {
        back_end.set_retry_after(Some("3"));
    }
}

/// Most requests that came in one rest that was asked for.
fn disturbed(back_end: &StandInBackEnd) -> usize {
    let arrivals: Vec<Instant> = back_end
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .collect();
    let within = |asked: &Instant| {
        let rest = *asked + HEARD..*asked + REST;
        arrivals.iter().filter(|at| rest.contains(*at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn keyed() -> TestRequest<'static> {
    TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    }
}

#[test]
fn back_ends_that_all_asked_for_rest_get_requests_in_that_time() {
    let world = World::start();
    let back_ends: Vec<&StandInBackEnd> = world.plain.iter().collect();
    ask_for_rest(&back_ends);
    press(
        &[&world.gateway],
        &TestRequest::default(),
        &[],
        HEARD..LENGTH,
    );
    for back_end in back_ends {
        assert!(disturbed(back_end) <= ALLOWED, "{}", disturbed(back_end));
    }
}

#[test]
fn owner_that_asked_for_rest_gets_requests_in_that_time() {
    let world = World::start();
    let resting = &world.keyed[0];
    ask_for_rest(&[resting]);
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    press(&[&world.gateway], &keyed(), &keys, HEARD..LENGTH);
    assert!(disturbed(resting) <= ALLOWED, "{}", disturbed(resting));
}

#[test]
fn back_end_that_asked_for_rest_gets_requests_in_that_time_though_others_have_room() {
    let world = World::start();
    let resting = &world.plain[0];
    ask_for_rest(&[resting]);
    let outcomes = press(
        &[&world.gateway],
        &TestRequest::default(),
        &[],
        HEARD..LENGTH,
    );
    assert!(disturbed(resting) <= ALLOWED, "{}", disturbed(resting));
    let Outcomes { served, others } = outcomes;
    assert!(others * 50 < served, "{served} served, {others} not");
}

#[test]
fn keys_of_an_owner_that_rests_are_served_by_others() {
    let fleet = Fleet::start();
    let more: Vec<StandInBackEnd> = ["k-3", "k-4"]
        .map(|name| block_on(StandInBackEnd::start(name, true)).expect("one"))
        .into();
    for back_end in &more {
        let entry = back_end.registration("keyed", "ready");
        fleet.world.store.put("servers", &back_end.id, entry);
    }
    let held = || more.iter().all(|back_end| back_end.grants() > 0);
    eventually(|| held().then_some(()));
    ask_for_rest(&[&fleet.world.keyed[0]]);
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    let counted = Duration::from_secs(2)..LENGTH;
    let Outcomes { served, others } = fleet.press(&keyed(), &keys, counted);
    assert!(others * 20 < served, "{served} served, {others} not");
}
