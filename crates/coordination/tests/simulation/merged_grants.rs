//! Merge of two ranges while a grant is in flight.
//!
//! Two ranges pass to one back end one after the other under one fencing token.
//! They are merged while the grant of the first still awaits its answer. That
//! grant is no longer awaited, but may still arrive after the grant of the
//! merged range was answered. Guards against assigning the keys to others
//! before that late grant has expired.

use std::time::Duration;

use threadledge_coordination::action::{Action, ReadResult, Versioned, WriteResult};
use threadledge_coordination::ownership::{Ownership, ReadConsequence};
use threadledge_coordination::{
    Fence, Order, OrderFault, OrderKind, OrderReply, Owner, OwnershipRecord, Settings, Slice,
    SliceState, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, KeyRange, ServiceName};

const TICK: Duration = Duration::from_millis(5);

fn owner(name: &str, port: u16) -> Owner {
    Owner {
        name: BackEndName::from(name),
        address: std::net::SocketAddr::from(([10, 0, 0, 1], port)),
    }
}

fn entry(owner: &Owner) -> BackEnd {
    BackEnd {
        name: owner.name.clone(),
        service: ServiceName::from("service"),
        address: owner.address,
        zone: "zone".into(),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        registration: u64::from(owner.address.port()),
    }
}

#[test]
fn grant_in_flight_during_a_merge_is_waited_out() {
    let settings = Settings::default();
    let [b, c, d, e] = [("b", 1), ("c", 2), ("d", 3), ("e", 4)].map(|(n, p)| owner(n, p));
    let slice = |first, last, fence, owner: &Owner| Slice {
        range: KeyRange::new(first, last).expect("a range"),
        fence: Fence(fence),
        state: SliceState::Owned {
            owner: owner.clone(),
            handover: None,
        },
    };
    let record = OwnershipRecord {
        term: Term(1),
        next_fence: Fence(5),
        slices: vec![
            slice(0, 999, 1, &c),
            slice(1_000, 1_999, 2, &d),
            slice(2_000, 59_999, 3, &e),
            slice(60_000, 65_535, 4, &b),
        ],
        former: Vec::new(),
    };
    let mut ownership = Ownership::new(ServiceName::from("service"), settings.clone());
    let start = Timestamp::from_millis(10_000);
    let all: Vec<BackEnd> = [&b, &c, &d, &e].map(entry).to_vec();
    ownership.set_back_ends(start, &all);
    ownership.begin_term(start, Term(2), None);
    let mut now = start;
    let mut revision = 7;
    // End of each order in flight, with its result.
    let mut ends: Vec<(Timestamp, Order, Result<OrderReply, OrderFault>)> = Vec::new();
    // Arrival of the grant of the first range alone, just before its timeout.
    let mut alone: Option<Timestamp> = None;
    let mut both: Option<Timestamp> = None;
    for _ in 0..2_000 {
        now = now + TICK;
        let (due, later): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(at, ..)| *at <= now);
        ends = later;
        for (_, order, result) in due {
            ownership.on_order(now, &order, result);
        }
        let mut actions = ownership.poll(now, false);
        while let Some(action) = actions.pop() {
            match action {
                Action::ReadRecord => {
                    let found = Versioned {
                        value: record.clone(),
                        revision,
                    };
                    let read = ReadResult::Found(Some(found));
                    if let ReadConsequence::Call(action) = ownership.on_read(now, read) {
                        actions.push(*action);
                    }
                }
                Action::WriteRecord(next, _) => {
                    let first = next.slices[0].holder().expect("owned").name.clone();
                    if let (Some(arrived), true) = (alone, first == e.name) {
                        let held_until = settings.hold_expiry(arrived, settings.hold);
                        let both = both.expect("granted");
                        assert!(
                            now + Duration::from_millis(20) >= held_until,
                            "keys of b go to e at {now:?}; its last grant arrived at {arrived:?} \
                             and may hold until {held_until:?}; both were granted at {both:?}"
                        );
                        return;
                    }
                    revision += 1;
                    ownership.on_write(now, next, WriteResult::Accepted(revision));
                    actions.extend(ownership.poll(now, false));
                }
                Action::Send(order) => {
                    let took = now.since(start);
                    let is_grant = matches!(order.kind, OrderKind::Grant(_));
                    let name = order.to.name.clone();
                    let gone = (name == c.name || name == d.name) && took.as_millis() > 600;
                    let gone = gone || (name == b.name && took.as_millis() > 3_700);
                    let first_piece = is_grant && name == b.name && order.range.first.0 == 0;
                    let (after, result) = if gone {
                        (5, Err(OrderFault::NotSent))
                    } else if first_piece && order.range.last.0 == 999 {
                        alone = Some(now + Duration::from_millis(495));
                        (500, Err(OrderFault::NoAnswer))
                    } else if first_piece {
                        both.get_or_insert(now);
                        (5, Ok(OrderReply::Granted))
                    } else if !is_grant {
                        (5, Ok(OrderReply::Released(None)))
                    } else if name == d.name {
                        (60, Ok(OrderReply::Granted))
                    } else {
                        (5, Ok(OrderReply::Granted))
                    };
                    ends.push((now + Duration::from_millis(after), order, result));
                }
                Action::ReadLease(_) | Action::WriteLease(..) => unreachable!("no election"),
            }
        }
    }
    panic!("the keys never went to e");
}
