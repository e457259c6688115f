//! Back ends that refuse requests and request a backoff, through the real
//! program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use async_std::task::block_on;

use super::load::{Fleet, Outcomes, send_load};
use super::process::{TestRequest, World, eventually};

/// Requested backoff.
const BACKOFF: Duration = Duration::from_secs(3);
/// Time after the request for a backoff from which the gateway has to comply.
const BACKOFF_KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Requests of one gateway that may still arrive during the backoff.
const MAX_DISTURBING_REQUESTS: usize = 2;
const DURATION: Duration = Duration::from_secs(7);

fn request_backoff(back_ends: &[&StandInBackEnd]) {
    for back_end in back_ends {
        back_end.set_retry_after(Some("3"));
    }
}

/// Returns the maximum number of requests that arrived during one requested
/// backoff.
fn max_arrivals_in_backoff(back_end: &StandInBackEnd) -> usize {
    let arrivals: Vec<Instant> = back_end
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .collect();
    let arrivals_after = |requested_at: &Instant| {
        let backoff = *requested_at + BACKOFF_KNOWN_AFTER..*requested_at + BACKOFF;
        arrivals.iter().filter(|at| backoff.contains(*at)).count()
    };
    arrivals.iter().map(arrivals_after).max().unwrap_or(0)
}

fn keyed() -> TestRequest<'static> {
    TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    }
}

#[test]
fn back_ends_that_all_requested_a_backoff_get_almost_no_requests_during_it() {
    let world = World::start();
    let back_ends: Vec<&StandInBackEnd> = world.plain.iter().collect();
    request_backoff(&back_ends);
    send_load(
        &[&world.gateway],
        &TestRequest::default(),
        &[],
        BACKOFF_KNOWN_AFTER..DURATION,
    );
    for back_end in back_ends {
        assert!(
            max_arrivals_in_backoff(back_end) <= MAX_DISTURBING_REQUESTS,
            "{}",
            max_arrivals_in_backoff(back_end)
        );
    }
}

#[test]
fn owner_that_requested_a_backoff_gets_almost_no_requests_during_it() {
    let world = World::start();
    let backing_off = &world.keyed[0];
    request_backoff(&[backing_off]);
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    send_load(
        &[&world.gateway],
        &keyed(),
        &keys,
        BACKOFF_KNOWN_AFTER..DURATION,
    );
    assert!(
        max_arrivals_in_backoff(backing_off) <= MAX_DISTURBING_REQUESTS,
        "{}",
        max_arrivals_in_backoff(backing_off)
    );
}

#[test]
fn back_end_that_requested_a_backoff_gets_almost_no_requests_while_others_have_room() {
    let world = World::start();
    let backing_off = &world.plain[0];
    request_backoff(&[backing_off]);
    let outcomes = send_load(
        &[&world.gateway],
        &TestRequest::default(),
        &[],
        BACKOFF_KNOWN_AFTER..DURATION,
    );
    assert!(
        max_arrivals_in_backoff(backing_off) <= MAX_DISTURBING_REQUESTS,
        "{}",
        max_arrivals_in_backoff(backing_off)
    );
    let Outcomes { served, others } = outcomes;
    assert!(others * 50 < served, "{served} served, {others} not");
}

#[test]
fn keys_of_an_owner_that_is_backing_off_are_served_by_others() {
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
    request_backoff(&[&fleet.world.keyed[0]]);
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    let counted = Duration::from_secs(2)..DURATION;
    let Outcomes { served, others } = fleet.send_load(&keyed(), &keys, counted);
    assert!(others * 20 < served, "{served} served, {others} not");
}
