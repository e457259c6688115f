//! Back ends that announce in their responses that they are leaving, with the
//! real program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::{Fault, StandInBackEnd};

use super::load::{Fleet, Outcomes};
use super::process::TestRequest;

/// Time after the announcement from which a back end must get no new requests.
const DRAIN_DELAY: Duration = Duration::from_secs(2);
const RUN_TIME: Duration = Duration::from_secs(6);

fn keyed() -> TestRequest<'static> {
    TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    }
}

fn keys() -> Vec<u16> {
    (0..u16::MAX).step_by(1_000).collect()
}

/// Number of requests that arrived after every gateway could know of the
/// announcement.
fn late_arrivals(back_end: &StandInBackEnd, announced: Instant) -> usize {
    let arrivals = back_end.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at >= announced + DRAIN_DELAY);
    late.count()
}

#[test]
fn leaving_owner_gets_no_new_requests() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.keyed[0];
    leaving.set_leaving(true);
    let announced = Instant::now();
    let Outcomes { served, others } = fleet.send_load(&keyed(), &keys(), DRAIN_DELAY..RUN_TIME);
    assert_eq!(late_arrivals(leaving, announced), 0);
    // The other owner holds its keys.
    assert!(others * 50 < served, "{served} served, {others} not");
}

#[test]
fn leaving_owner_gets_no_new_requests_while_the_store_is_silent() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.keyed[0];
    fleet.world.store.set_fault(Fault::Silent);
    leaving.set_leaving(true);
    let announced = Instant::now();
    fleet.send_load(&keyed(), &keys(), DRAIN_DELAY..RUN_TIME);
    assert_eq!(late_arrivals(leaving, announced), 0);
}

#[test]
fn leaving_back_end_without_keys_gets_no_new_requests() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.plain[0];
    leaving.set_leaving(true);
    let announced = Instant::now();
    let Outcomes { served, others } =
        fleet.send_load(&TestRequest::default(), &[], DRAIN_DELAY..RUN_TIME);
    assert_eq!(late_arrivals(leaving, announced), 0);
    assert!(others * 50 < served, "{served} served, {others} not");
}
