//! Back ends that say in their answers that they leave, through the real
//! program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::{Fault, StandInBackEnd};

use super::pressed::{Fleet, Outcomes};
use super::process::Ask;

/// From then on after an answer said so, nothing new is sent there.
const DRAIN: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(6);

fn keyed() -> Ask<'static> {
    Ask {
        host: "keyed.example",
        target: "/k/x",
        ..Ask::default()
    }
}

fn keys() -> Vec<u16> {
    (0..u16::MAX).step_by(1_000).collect()
}

/// Requests that came after everybody could know.
fn late(back_end: &StandInBackEnd, said: Instant) -> usize {
    let arrivals = back_end.arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at >= said + DRAIN);
    late.count()
}

#[test]
fn owner_that_said_that_it_leaves_is_still_asked() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.keyed[0];
    leaving.set_leaving(true);
    let said = Instant::now();
    let Outcomes { served, others } = fleet.press(&keyed(), &keys(), DRAIN..LENGTH);
    assert_eq!(late(leaving, said), 0);
    // The other owner has its keys.
    assert!(others * 50 < served, "{served} served, {others} not");
}

#[test]
fn owner_that_said_that_it_leaves_is_still_asked_while_the_store_is_silent() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.keyed[0];
    fleet.world.store.set_fault(Fault::Silent);
    leaving.set_leaving(true);
    let said = Instant::now();
    fleet.press(&keyed(), &keys(), DRAIN..LENGTH);
    assert_eq!(late(leaving, said), 0);
}

#[test]
fn back_end_without_keys_that_said_that_it_leaves_is_still_asked() {
    let fleet = Fleet::start();
    let leaving = &fleet.world.plain[0];
    leaving.set_leaving(true);
    let said = Instant::now();
    let Outcomes { served, others } = fleet.press(&Ask::default(), &[], DRAIN..LENGTH);
    assert_eq!(late(leaving, said), 0);
    assert!(others * 50 < served, "{served} served, {others} not");
}
