//! Owners that leave the release of a move that need not be unanswered, and
//! still rest once it was called off.

mod shared;

use std::time::Duration;

use threadledge_coordination::action::WriteResult;
use threadledge_coordination::{
    Action, HandoverToken, LoadReport, Order, OrderFault, OrderKind, OrderReply, RestingBackEnd,
    Settings, Slice, SliceState,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

use shared::{START, TICK, back_end, taken_over};

/// Time after the start at which the owner asks for a rest.
const REST_BEGINS: Duration = Duration::from_secs(1);
/// The rest that it asks for. No keys are assigned to it for twice that time.
const REST: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(11);

/// How the owner treats releases. It answers all grants.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Releases {
    /// None is answered or carried out.
    Lost,
    /// One that finds keys is carried out and waits for work on them, which goes
    /// on. One that finds nothing is answered at once.
    WaitForWork,
}

/// What a coordinator and the owner of all keys did.
#[derive(Default)]
struct Seen {
    /// Times at which the owner was granted keys.
    grants: Vec<Timestamp>,
    releases: Vec<Timestamp>,
    writes: Vec<Timestamp>,
    /// Time at which keys went to another back end.
    given_on: Option<Timestamp>,
}

/// Lets the owner of all keys ask for a rest while three others are idle.
fn rest(releases: Releases) -> Seen {
    let owner = back_end(80);
    let mut ownership = taken_over(&owner, Settings::default());
    let mut seen = Seen::default();
    let mut in_flight: Vec<(Timestamp, Order, Result<OrderReply, OrderFault>)> = Vec::new();
    let mut revision = 8;
    let mut holds = false;
    let mut now = START;
    while now < START + END {
        if now == START + REST_BEGINS {
            let all: Vec<BackEnd> = (80..84).map(back_end).collect();
            ownership.set_back_ends(now, &all);
            let resting = RestingBackEnd {
                back_end: owner.name.clone(),
                left_ms: REST.as_millis().try_into().expect("short"),
            };
            let report = LoadReport {
                resting: vec![resting],
                ..LoadReport::default()
            };
            ownership.add_load(now, &report);
        }
        let due: Vec<_> = in_flight.extract_if(.., |each| each.0 <= now).collect();
        for (_, order, result) in due {
            ownership.on_order(now, &order, result);
        }
        for action in ownership.poll(now, true) {
            match action {
                Action::WriteRecord(record, _) => {
                    seen.writes.push(now);
                    let other = |slice: &Slice| {
                        let holder = slice.holder();
                        holder.is_some_and(|holder| holder.name != owner.name)
                    };
                    if record.slices.iter().any(other) {
                        seen.given_on.get_or_insert(now);
                    }
                    revision += 1;
                    ownership.on_write(now, record, WriteResult::Accepted(revision));
                }
                Action::Send(order) => {
                    let unanswered = (now + order.timeout, Err(OrderFault::NoAnswer));
                    let (ends, result) = match order.kind {
                        OrderKind::Grant(_) => {
                            holds |= order.to.name == owner.name;
                            (now + TICK, Ok(OrderReply::Granted))
                        }
                        OrderKind::Release if releases == Releases::Lost => unanswered,
                        OrderKind::Release if std::mem::take(&mut holds) => unanswered,
                        OrderKind::Release => (now + TICK, Ok(OrderReply::Released(None))),
                    };
                    if order.to.name == owner.name {
                        match order.kind {
                            OrderKind::Grant(_) => seen.grants.push(now),
                            OrderKind::Release => seen.releases.push(now),
                        }
                    }
                    in_flight.push((ends, order, result));
                }
                _ => {}
            }
        }
        now = now + TICK;
    }
    seen
}

#[test]
fn resting_owner_is_granted_its_keys_again_after_a_call_off() {
    let seen = rest(Releases::Lost);
    let end = START + END;
    let ends = seen.grants.iter().skip(1).chain([&end]).copied();
    let gaps = seen.grants.iter().zip(ends);
    let longest = gaps.map(|(from, until)| until.since(*from)).max();
    let (writes, releases) = (seen.writes.len(), seen.releases.len());
    assert!(
        seen.given_on.is_some() || longest < Some(Settings::default().hold),
        "keys rest with nobody: no grant for {longest:?}, {writes} writes, {releases} releases"
    );
}

#[test]
fn record_is_not_written_again_and_again_while_an_owner_rests() {
    let seen = rest(Releases::Lost);
    let (writes, releases) = (seen.writes.len(), seen.releases.len());
    assert!(writes <= 10, "{writes} writes, {releases} releases");
}

#[test]
fn stateless_answer_after_a_call_off_proves_nothing_while_the_called_off_release_is_open() {
    let seen = rest(Releases::WaitForWork);
    let Some(given_on) = seen.given_on else {
        return;
    };
    let before = seen.grants.iter().filter(|at| **at < given_on).max();
    let last = *before.expect("granted at the start");
    let lease_ends = last + Settings::default().hold;
    assert!(
        given_on >= lease_ends,
        "given on at {given_on:?}, work may run until {lease_ends:?}; releases {:?}",
        seen.releases
    );
}

/// Lets the owner of all keys leave; the first release waits for work, and its
/// connection ends without an answer.
#[test]
fn stateless_answer_proves_nothing_after_an_earlier_release_ended_without_an_answer() {
    let owner = back_end(80);
    let mut ownership = taken_over(&owner, Settings::default());
    let mut now = START;
    let Action::Send(grant) = ownership.poll(now, true).remove(0) else {
        panic!("a grant is due");
    };
    ownership.on_order(now, &grant, Ok(OrderReply::Granted));
    let lease_ends = now + Settings::default().hold;
    let leaving = BackEnd {
        draining: true,
        ..owner
    };
    ownership.set_back_ends(now, &[leaving, back_end(81)]);
    let mut in_flight: Vec<(Timestamp, Order, Result<OrderReply, OrderFault>)> = Vec::new();
    let mut sent = Vec::new();
    while now < lease_ends {
        for (_, order, result) in in_flight.extract_if(.., |each| each.0 <= now) {
            ownership.on_order(now, &order, result);
        }
        for action in ownership.poll(now, true) {
            match action {
                Action::WriteRecord(record, _) => {
                    let state = &record.slices[0].state;
                    assert!(
                        matches!(state, SliceState::Returning { .. }),
                        "work may run until {lease_ends:?}; at {now:?}: {state:?}, releases {sent:?}"
                    );
                    ownership.on_write(now, record, WriteResult::Accepted(9));
                }
                Action::Send(order) => {
                    let (ends, result) = match sent.is_empty() {
                        true => (now + order.timeout, Err(OrderFault::NoAnswer)),
                        false => (now + TICK, Ok(OrderReply::Released(None))),
                    };
                    sent.push(now);
                    in_flight.push((ends, order, result));
                }
                _ => {}
            }
        }
        now = now + TICK;
    }
}

/// An owner of all keys and an idle back end. The owner answers every order;
/// the answer to a release that takes keys waits for work of this duration. The
/// answers to its repetitions also wait, or are sent at once.
/// Returns for how long some keys were held by nobody, when the first keys were
/// given on, and how many releases took keys.
fn balance_beside_work(work: Duration, repeats_wait: bool) -> (Duration, Option<Duration>, usize) {
    let owner = back_end(80);
    let mut ownership = taken_over(&owner, Settings::default());
    ownership.set_back_ends(START, &[owner.clone(), back_end(81)]);
    let mut in_flight: Vec<(Timestamp, Order, Result<OrderReply, OrderFault>)> = Vec::new();
    // Keys that a release took from the owner, which the record still names.
    let mut taken: Vec<KeyRange> = Vec::new();
    let (mut unheld, mut given_on, mut releases) = (Duration::ZERO, None, 0);
    let mut work_ends = START;
    let mut revision = 8;
    let mut now = START;
    while now < START + Duration::from_secs(20) {
        for (_, order, result) in in_flight.extract_if(.., |each| each.0 <= now) {
            ownership.on_order(now, &order, result);
        }
        for action in ownership.poll(now, true) {
            match action {
                Action::WriteRecord(record, _) => {
                    let other = |slice: &Slice| {
                        let holder = slice.holder();
                        holder.is_some_and(|holder| holder.name != owner.name)
                    };
                    if record.slices.iter().any(other) {
                        given_on.get_or_insert(now.since(START));
                        taken.clear();
                    }
                    revision += 1;
                    ownership.on_write(now, record, WriteResult::Accepted(revision));
                }
                Action::Send(order) => {
                    let (ends, result) = match order.kind {
                        _ if order.to.name != owner.name => (now + TICK, Ok(OrderReply::Granted)),
                        OrderKind::Grant(_) => {
                            taken.retain(|range| {
                                range.last < order.range.first || order.range.last < range.first
                            });
                            (now + TICK, Ok(OrderReply::Granted))
                        }
                        OrderKind::Release if taken.contains(&order.range) => {
                            let ends = match repeats_wait {
                                true => work_ends,
                                false => now + TICK,
                            };
                            match ends < now + order.timeout {
                                true => (ends.max(now + TICK), Ok(OrderReply::Released(None))),
                                false => (now + order.timeout, Err(OrderFault::NoAnswer)),
                            }
                        }
                        OrderKind::Release => {
                            work_ends = now + work;
                            taken.push(order.range);
                            releases += 1;
                            let token = HandoverToken("state".to_owned());
                            match work < order.timeout {
                                true => (now + work, Ok(OrderReply::Released(Some(token)))),
                                false => (now + order.timeout, Err(OrderFault::NoAnswer)),
                            }
                        }
                    };
                    in_flight.push((ends, order, result));
                }
                _ => {}
            }
        }
        if !taken.is_empty() {
            unheld += TICK;
        }
        now = now + TICK;
    }
    (unheld, given_on, releases)
}

#[test]
fn keys_of_an_owner_that_works_for_long_still_move_and_are_taken_from_it_once() {
    for work in [100, 500, 800, 1_000, 1_400, 1_900] {
        for repeats_wait in [false, true] {
            let (unheld, given_on, releases) =
                balance_beside_work(Duration::from_millis(work), repeats_wait);
            let seen = format!(
                "work {work} ms, repeats wait {repeats_wait}: unheld {unheld:?}, \
                 given on {given_on:?}, {releases} releases"
            );
            assert!(given_on.is_some() && releases == 1, "{seen}");
        }
    }
}
