//! A coordinator that is elected again soon after its first term, and answers
//! to the grants of that term.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::action::{ReadResult, Versioned, WriteResult};
use threadledge_coordination::election::Predecessor;
use threadledge_coordination::ownership::{Ownership, ReadConsequence};
use threadledge_coordination::{
    Action, Fence, Order, OrderConnection, OrderFault, OrderKind, OrderReply, Owner,
    OwnershipRecord, Settings, Slice, SliceState, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

const START: Timestamp = Timestamp::from_millis(10_000);
const TICK: Duration = Duration::from_millis(10);
/// Time after the start at which another node is elected.
const DEPOSED: Duration = Duration::from_secs(2);
/// Time after the start at which this node is elected again.
const ELECTED_AGAIN: Duration = Duration::from_secs(4);
/// Time after the second election at which the owner leaves.
const LEAVES: Duration = Duration::from_millis(100);
const END: Duration = Duration::from_secs(30);

/// What answers the orders of the second term. The owner itself answers none.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answers {
    /// There are none.
    Absent,
    /// The last grant of the first term ends with its answer.
    Late,
    /// Each kept connection carries a second answer to its last grant.
    Repeated,
}

fn back_end(port: u16, draining: bool) -> BackEnd {
    BackEnd {
        name: format!("b-{port}").as_str().into(),
        service: "keyed".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "zone".into(),
        slots: 4,
        draining,
        cold_for: Duration::ZERO,
        registration: u64::from(port),
    }
}

fn first_record(owner: &BackEnd) -> OwnershipRecord {
    OwnershipRecord {
        term: Term(1),
        next_fence: Fence(2),
        slices: vec![Slice {
            range: KeyRange::ALL,
            fence: Fence(1),
            state: SliceState::Owned {
                owner: Owner {
                    name: owner.name.clone(),
                    address: owner.address,
                },
                handover: None,
            },
        }],
        former: Vec::new(),
    }
}

/// Elects a node. Returns the record that it writes.
fn elect(
    now: Timestamp,
    ownership: &mut Ownership,
    term: Term,
    predecessor: Option<Predecessor>,
    found: OwnershipRecord,
) -> OwnershipRecord {
    ownership.begin_term(now, term, predecessor);
    ownership.poll(now, true);
    let found = Versioned {
        value: found,
        revision: term.0 * 100,
    };
    let read = ownership.on_read(now, ReadResult::Found(Some(found)));
    let ReadConsequence::Call(call) = read else {
        panic!("expected a write of the record for this term: {read:?}");
    };
    let Action::WriteRecord(record, _) = *call else {
        panic!("{call:?}");
    };
    let accepted = WriteResult::Accepted(term.0 * 100 + 1);
    ownership.on_write(now, record.clone(), accepted);
    record
}

/// Returns how long after the second election the owner's keys go to another
/// back end.
fn given_on(answers: Answers) -> Duration {
    let owner = back_end(80, false);
    let settings = Settings::default();
    let mut ownership = Ownership::new("keyed".into(), settings.clone());
    ownership.set_back_ends(START, std::slice::from_ref(&owner));
    let mut record = elect(START, &mut ownership, Term(2), None, first_record(&owner));
    let mut in_flight: Vec<(Timestamp, Order, Result<OrderReply, OrderFault>)> = Vec::new();
    let mut earlier = None;
    let again = START + ELECTED_AGAIN;
    let mut revision = 1_000;
    let mut now = START;
    while now < START + END {
        if now == START + DEPOSED {
            ownership.end_term();
        }
        if now == again {
            record.term = Term(3);
            let predecessor = Predecessor {
                orders_end: now + settings.lease,
                hold: settings.hold,
            };
            record = elect(now, &mut ownership, Term(4), Some(predecessor), record);
        }
        if now == again + LEAVES {
            ownership.set_back_ends(now, &[back_end(80, true), back_end(81, false)]);
            let grant = earlier.take().filter(|_| answers == Answers::Late);
            if let Some(grant) = grant {
                ownership.on_order(now, &grant, Ok(OrderReply::Granted));
            }
        }
        let due: Vec<_> = in_flight.extract_if(.., |each| each.0 <= now).collect();
        for (_, order, result) in due {
            ownership.on_order(now, &order, result);
        }
        let leads = !(START + DEPOSED..again).contains(&now);
        for action in ownership.poll(now, true).into_iter().filter(|_| leads) {
            match action {
                Action::WriteRecord(next, _) => {
                    revision += 1;
                    let goes_on = |slice: &Slice| {
                        let holder = slice.holder();
                        holder.is_some_and(|holder| holder.name != owner.name)
                    };
                    if next.slices.iter().any(goes_on) {
                        return now.since(again);
                    }
                    ownership.on_write(now, next, WriteResult::Accepted(revision));
                }
                Action::Send(order) => {
                    let is_grant = matches!(order.kind, OrderKind::Grant(_));
                    let kept = order.connection == OrderConnection::Any;
                    let is_answered = if now < again {
                        earlier = Some(order.clone()).filter(|_| is_grant);
                        is_grant
                    } else {
                        is_grant && kept && answers == Answers::Repeated
                    };
                    let (ends, result) = match is_answered {
                        true => (now + TICK, Ok(OrderReply::Granted)),
                        false => (now + order.timeout, Err(OrderFault::NoAnswer)),
                    };
                    in_flight.push((ends, order, result));
                }
                _ => {}
            }
        }
        now = now + TICK;
    }
    panic!("the keys go to nobody");
}

/// Time after the second election until which grants of the coordinator in
/// between may last.
fn earlier_grants_end() -> Duration {
    let settings = Settings::default();
    settings.lease + settings.max_grant_transit() + settings.hold
}

#[test]
fn grants_of_the_coordinator_in_between_are_waited_out() {
    assert!(given_on(Answers::Absent) >= earlier_grants_end());
}

#[test]
fn answer_to_a_grant_of_the_first_term_acknowledges_nothing_of_the_second() {
    let given_on = given_on(Answers::Late);
    assert!(
        given_on >= earlier_grants_end(),
        "given on after {given_on:?}"
    );
}

#[test]
fn second_answer_to_a_grant_of_the_first_term_acknowledges_nothing_of_the_second() {
    let given_on = given_on(Answers::Repeated);
    assert!(
        given_on >= earlier_grants_end(),
        "given on after {given_on:?}"
    );
}
