//! What ends a release, and what the coordinator reports about it.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::action::{ReadResult, ReleaseEnd, Versioned, WriteResult};
use threadledge_coordination::occupancy::EndProof;
use threadledge_coordination::ownership::{Ownership, ReadConsequence};
use threadledge_coordination::{
    Action, Fence, HandoverToken, Notice, Order, OrderConnection, OrderFault, OrderKind,
    OrderReply, Owner, OwnershipRecord, Settings, Slice, SliceState, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, KeyRange};

const START: Timestamp = Timestamp::from_millis(10_000);
const TICK: Duration = Duration::from_millis(10);
const LONGEST: Duration = Duration::from_secs(10);
/// Time after a drain at which an earlier grant ends.
const GRANT_ENDS: Duration = Duration::from_millis(500);

fn back_end(name: &str, port: u16) -> BackEnd {
    BackEnd {
        name: name.into(),
        service: "keyed".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "zone".into(),
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        registration: u64::from(port),
    }
}

/// Creates a coordinator that has just taken over a record in which `owner`
/// holds all keys.
fn taken_over(owner: &BackEnd) -> Ownership {
    taken_over_slices(&[(KeyRange::ALL, owner)])
}

/// Creates a coordinator that has just taken over a record with these slices.
fn taken_over_slices(slices: &[(KeyRange, &BackEnd)]) -> Ownership {
    let mut ownership = Ownership::new("keyed".into(), Settings::default());
    let owners: Vec<BackEnd> = slices.iter().map(|(_, owner)| (*owner).clone()).collect();
    ownership.set_back_ends(START, &owners);
    ownership.begin_term(START, Term(2), None);
    ownership.poll(START, true);
    let slice = |(range, owner): &(KeyRange, &BackEnd)| Slice {
        range: *range,
        fence: Fence(1),
        state: SliceState::Owned {
            owner: Owner {
                name: owner.name.clone(),
                address: owner.address,
            },
            handover: None,
        },
    };
    let value = OwnershipRecord {
        term: Term(1),
        next_fence: Fence(2),
        slices: slices.iter().map(slice).collect(),
        former: Vec::new(),
    };
    let found = Versioned { value, revision: 7 };
    let read = ownership.on_read(START, ReadResult::Found(Some(found)));
    let ReadConsequence::Call(call) = read else {
        panic!("expected a write of the record for this term: {read:?}");
    };
    let Action::WriteRecord(record, _) = *call else {
        panic!("{call:?}");
    };
    ownership.on_write(START, record, WriteResult::Accepted(8));
    ownership
}

/// One end of a release, as reported.
#[derive(Debug, PartialEq, Eq)]
struct Reported {
    owner: BackEndName,
    end: ReleaseEnd,
    took: Duration,
    grant_answered: bool,
}

/// Lets the first grant end with `first_grant`, drains the owner 100 ms later
/// and ends each order that follows with `later`, one tick after it was sent.
/// Returns the reported ends until a second after the first.
fn reported(
    first_grant: Result<OrderReply, OrderFault>,
    later: impl Fn(&Order) -> Result<OrderReply, OrderFault>,
) -> Vec<Reported> {
    let mut owner = back_end("b-1", 80);
    let mut ownership = taken_over(&owner);
    let grant = orders(ownership.poll(START, true)).remove(0);
    ownership.on_order(START + TICK, &grant, first_grant);
    owner.draining = true;
    let mut now = START + Duration::from_millis(100);
    ownership.set_back_ends(now, &[owner, back_end("b-2", 81)]);
    let mut reported: Vec<Reported> = Vec::new();
    let mut revision = 8;
    let mut end = now + LONGEST;
    while now < end {
        let actions = ownership.poll(now, true);
        for action in &actions {
            if let Action::WriteRecord(record, _) = action {
                revision += 1;
                let accepted = WriteResult::Accepted(revision);
                ownership.on_write(now, record.clone(), accepted);
            }
        }
        now = now + TICK;
        for order in orders(actions) {
            let result = later(&order);
            ownership.on_order(now, &order, result);
        }
        for notice in ownership.take_notices() {
            let Notice::ReleaseEnded {
                owner,
                end: how,
                took,
                grant_answered,
                ..
            } = notice
            else {
                continue;
            };
            if reported.is_empty() {
                end = now + Duration::from_secs(1);
            }
            reported.push(Reported {
                owner,
                end: how,
                took,
                grant_answered,
            });
        }
    }
    reported
}

fn orders(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| match action {
        Action::Send(order) => Some(order),
        _ => None,
    };
    actions.into_iter().filter_map(order).collect()
}

fn answered(order: &Order) -> Result<OrderReply, OrderFault> {
    Ok(match order.kind {
        OrderKind::Grant(_) => OrderReply::Granted,
        OrderKind::Release => OrderReply::Released(None),
    })
}

#[test]
fn release_that_was_answered_is_reported_as_answered() {
    let expected = Reported {
        owner: "b-1".into(),
        end: ReleaseEnd::Answered,
        took: TICK,
        grant_answered: true,
    };
    assert_eq!(reported(Ok(OrderReply::Granted), answered), [expected]);
}

#[test]
fn release_from_a_process_that_has_ended_is_reported_as_such() {
    let ended = |order: &Order| match order.to.name.as_str() {
        "b-1" => Ok(OrderReply::OtherProcess),
        _ => answered(order),
    };
    let expected = Reported {
        owner: "b-1".into(),
        end: ReleaseEnd::HolderEnded,
        took: TICK,
        grant_answered: false,
    };
    assert_eq!(reported(Err(OrderFault::NoAnswer), ended), [expected]);
}

#[test]
fn release_without_an_answer_is_reported_as_expired_by_the_clock() {
    let silent = |order: &Order| match order.to.name.as_str() {
        "b-1" => Err(OrderFault::NoAnswer),
        _ => answered(order),
    };
    let settings = Settings::default();
    let expiry = settings.hold_expiry(START + TICK, settings.hold);
    for (first_grant, grant_answered) in [
        (Ok(OrderReply::Granted), true),
        (Err(OrderFault::NoAnswer), false),
    ] {
        let ends = reported(first_grant, silent);
        let [only] = ends.as_slice() else {
            panic!("{ends:?}");
        };
        assert_eq!(only.end, ReleaseEnd::Expired);
        assert_eq!(only.grant_answered, grant_answered);
        let drained = START + Duration::from_millis(100);
        assert!(drained + only.took >= expiry, "{only:?}");
    }
}

/// Drains the process `b-1/1` and registers its restart at `port` while its
/// release is in flight. Returns whether its keys go to others within half a
/// second without an answer, and whether they do once the release is answered.
fn given_on_after_restart(port: u16) -> [bool; 2] {
    let mut owner = back_end("b-1/1", 80);
    let mut ownership = taken_over(&owner);
    let grant = orders(ownership.poll(START, true)).remove(0);
    ownership.on_order(START + TICK, &grant, Ok(OrderReply::Granted));
    owner.draining = true;
    let other = back_end("b-2", 81);
    let drained = START + Duration::from_millis(100);
    ownership.set_back_ends(drained, &[owner, other.clone()]);
    let release = orders(ownership.poll(drained, true)).remove(0);
    assert_eq!(release.kind, OrderKind::Release);
    let mut now = drained + Duration::from_millis(100);
    ownership.set_back_ends(now, &[back_end("b-1/2", port), other]);
    // The connection of the release ends with the process.
    ownership.on_order(now, &release, Err(OrderFault::NoAnswer));
    let mut given = false;
    let mut latest = release;
    for _ in 0..50 {
        for action in ownership.poll(now, true) {
            match action {
                Action::Send(order) => latest = order,
                Action::WriteRecord(..) => given = true,
                _ => {}
            }
        }
        now = now + TICK;
    }
    if given {
        return [true, true];
    }
    ownership.on_order(now, &latest, Ok(OrderReply::Released(None)));
    let actions = ownership.poll(now, true);
    let write = |action: &Action| matches!(action, Action::WriteRecord(..));
    [false, actions.iter().any(write)]
}

/// A process restarted at the same address accepts grants to the previous one.
#[test]
fn keys_that_a_restarted_process_may_hold_are_not_given_on_before_it_answers() {
    assert_eq!(given_on_after_restart(80), [false, true]);
}

#[test]
fn keys_of_a_process_that_restarted_at_another_address_are_given_on_at_once() {
    assert_eq!(given_on_after_restart(82), [true, true]);
}

/// Registers the restart of `b-1/1` at its address, then removes the
/// registration as soon as the record names the new process. Returns how long
/// after the last grant to the previous process its keys count as released.
fn given_on_after_unregistered_restart() -> Duration {
    let mut ownership = taken_over(&back_end("b-1/1", 80));
    let grant = orders(ownership.poll(START, true)).remove(0);
    let granted = START + TICK;
    ownership.on_order(granted, &grant, Ok(OrderReply::Granted));
    let other = back_end("b-2", 81);
    let mut now = START + Duration::from_millis(100);
    ownership.set_back_ends(now, &[back_end("b-1/2", 80), other.clone()]);
    let mut revision = 8;
    while now < START + LONGEST {
        for action in ownership.poll(now, true) {
            match action {
                Action::Send(order) => {
                    ownership.on_order(now, &order, Err(OrderFault::NotSent));
                }
                Action::WriteRecord(record, _) => {
                    let owner = record.slices[0].holder();
                    if owner.is_none_or(|owner| owner.name == other.name) {
                        return now.since(granted);
                    }
                    revision += 1;
                    ownership.on_write(now, record, WriteResult::Accepted(revision));
                    ownership.set_back_ends(now, std::slice::from_ref(&other));
                }
                _ => {}
            }
        }
        now = now + TICK;
    }
    panic!("the keys never went to others");
}

#[test]
fn keys_that_a_restarted_process_was_granted_under_its_former_name_are_waited_out() {
    let waited = given_on_after_unregistered_restart();
    assert!(waited >= Settings::default().hold, "{waited:?}");
}

/// Token of the former owner's state.
const TOKEN: &str = "state";

/// Drains an owner while a grant to it is in transit, answers each release with
/// `TOKEN` the first time, and lets the grant end after half a second. Returns
/// when the keys are given on after the drain, and with which token.
fn given_on_beside_an_open_grant(owner: &str) -> (Duration, Option<HandoverToken>) {
    let mut owner = back_end(owner, 80);
    let other = back_end("b-2", 81);
    let (lower, upper) = KeyRange::ALL.split_after(1 << 15).expect("two halves");
    let mut ownership = taken_over_slices(&[(lower, &owner), (upper, &other)]);
    let granted = orders(ownership.poll(START, true));
    let [grant, _grant_to_other] = granted.as_slice() else {
        panic!("{granted:?}");
    };
    owner.draining = true;
    let drained = START + Duration::from_millis(100);
    ownership.set_back_ends(drained, &[owner, other]);
    let mut token = Some(HandoverToken(TOKEN.to_owned()));
    let mut now = drained;
    while now.since(drained) < LONGEST {
        for action in ownership.poll(now, true) {
            match action {
                Action::Send(order) if order.kind == OrderKind::Release => {
                    let released = OrderReply::Released(token.take());
                    ownership.on_order(now, &order, Ok(released));
                }
                Action::WriteRecord(record, _) => {
                    let SliceState::Owned { owner, handover } = &record.slices[0].state else {
                        panic!("{record:?}");
                    };
                    assert_eq!(owner.name.as_str(), "b-2");
                    return (now.since(drained), handover.clone());
                }
                _ => {}
            }
        }
        if now == drained + GRANT_ENDS {
            ownership.on_order(now, grant, Err(OrderFault::NoAnswer));
        }
        now = now + TICK;
    }
    panic!("the keys stay with their former owner");
}

/// A process started under the same id would take that grant for keys given on.
#[test]
fn release_answered_while_a_grant_is_in_transit_is_asked_again_once_the_grant_has_ended() {
    let token = Some(HandoverToken(TOKEN.to_owned()));
    let (after, handover) = given_on_beside_an_open_grant("b-1/1");
    assert!(after > GRANT_ENDS, "{after:?}");
    assert_eq!(handover, token);
    let (after, handover) = given_on_beside_an_open_grant("b-1");
    assert!(after < GRANT_ENDS, "{after:?}");
    assert_eq!(handover, token);
}

/// Lets an owner answer neither its release nor the repetition for a while.
/// Returns the orders and the time after the repetition was sent.
fn repeated_release(ownership: &mut Ownership, owner: &BackEnd) -> (Order, Order, Timestamp) {
    let grant = orders(ownership.poll(START, true)).remove(0);
    ownership.on_order(START + TICK, &grant, Ok(OrderReply::Granted));
    let mut leaving = owner.clone();
    leaving.draining = true;
    let mut now = START + Duration::from_millis(100);
    ownership.set_back_ends(now, &[leaving, back_end("b-2", 81)]);
    let first = orders(ownership.poll(now, true)).remove(0);
    let due = now + Settings::default().order_timeout;
    while now < due {
        now = now + TICK;
        let again = orders(ownership.poll(now, true));
        if let [again] = again.as_slice() {
            return (first, again.clone(), now);
        }
    }
    panic!("the release was not repeated within the order timeout");
}

/// Returns the record that the coordinator writes after the release was answered.
fn written_after(
    ownership: &mut Ownership,
    now: Timestamp,
    release: &Order,
    handover: Option<HandoverToken>,
) -> Option<OwnershipRecord> {
    ownership.on_order(now, release, Ok(OrderReply::Released(handover)));
    let mut actions = ownership.poll(now, true).into_iter();
    actions.find_map(|action| match action {
        Action::WriteRecord(record, _) => Some(record),
        _ => None,
    })
}

/// Guards against a wait for the whole timeout of a release whose bytes are lost.
#[test]
fn release_without_an_answer_is_repeated_on_a_new_connection() {
    let owner = back_end("b-1", 80);
    let mut ownership = taken_over(&owner);
    let (first, again, now) = repeated_release(&mut ownership, &owner);
    assert_eq!(again.kind, OrderKind::Release);
    assert_eq!(again.fence, first.fence);
    assert_eq!(again.connection, OrderConnection::New);
    let token = Some(HandoverToken(TOKEN.to_owned()));
    let record = written_after(&mut ownership, now + TICK, &again, token);
    let state = record.map(|record| record.slices[0].state.clone());
    assert_eq!(state, Some(SliceState::Unowned), "the owner has released");
}

/// The first release may have taken the keys and wait for work that runs on them.
#[test]
fn repeated_release_without_state_proves_nothing_while_the_first_is_open() {
    let owner = back_end("b-1", 80);
    let mut ownership = taken_over(&owner);
    let (first, again, now) = repeated_release(&mut ownership, &owner);
    let record = written_after(&mut ownership, now + TICK, &again, None);
    assert_eq!(record, None);
    let record = written_after(&mut ownership, now + TICK, &first, None);
    assert!(record.is_some(), "the first one is answered");
}

#[test]
fn lease_is_not_released_while_a_repeated_release_may_arrive() {
    let owner = back_end("b-1", 80);
    let mut ownership = taken_over(&owner);
    let (first, again, now) = repeated_release(&mut ownership, &owner);
    ownership.on_order(now, &again, Err(OrderFault::NotSent));
    assert!(!ownership.has_no_pending_orders());
    ownership.on_order(now, &first, Err(OrderFault::NoAnswer));
    assert!(ownership.has_no_pending_orders());
}

/// Drains an owner whose first order is answered as `reply`, and returns what
/// proved its end by the time of its release.
fn proofs(reply: impl Fn(&Order) -> Result<OrderReply, OrderFault>) -> Vec<(EndProof, Duration)> {
    let mut owner = back_end("b-1", 80);
    let mut ownership = taken_over(&owner);
    let grant = orders(ownership.poll(START, true)).remove(0);
    ownership.on_order(START + TICK, &grant, reply(&grant));
    owner.draining = true;
    let drained = START + Duration::from_millis(100);
    ownership.set_back_ends(drained, &[owner, back_end("b-2", 81)]);
    for order in orders(ownership.poll(drained, true)) {
        ownership.on_order(drained + TICK, &order, reply(&order));
    }
    ownership.poll(drained + TICK, true);
    let proved = |notice| match notice {
        Notice::HolderEndProved { proof, age, .. } => Some((proof, age)),
        _ => None,
    };
    let notices = ownership.take_notices().into_iter();
    notices.filter_map(proved).collect()
}

#[test]
fn end_of_an_owner_is_reported_with_its_proof_and_the_age_of_it() {
    let gone = |_: &Order| Ok(OrderReply::OtherProcess);
    // From the first order's answer until the poll after the release.
    let age = Duration::from_millis(100);
    assert_eq!(proofs(gone), [(EndProof::GrantRefused, age)]);
    let gone_later = |order: &Order| match order.kind {
        OrderKind::Grant(_) => Ok(OrderReply::Granted),
        OrderKind::Release => Ok(OrderReply::OtherProcess),
    };
    let expected = [(EndProof::ReleaseRefused, Duration::ZERO)];
    assert_eq!(proofs(gone_later), expected);
    assert_eq!(proofs(answered), []);
}
