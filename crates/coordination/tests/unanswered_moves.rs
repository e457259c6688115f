//! Moves of keys whose owner leaves orders unanswered.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::action::{ReadResult, ReleaseEnd, Versioned, WriteResult};
use threadledge_coordination::ownership::{Ownership, ReadConsequence};
use threadledge_coordination::{
    Action, Fence, LoadReport, Notice, Order, OrderFault, OrderKind, OrderReply, Owner,
    OwnershipRecord, Settings, Slice, SliceState, SpeedSample, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange};

const START: Timestamp = Timestamp::from_millis(10_000);
const TICK: Duration = Duration::from_millis(10);
/// Time between two load reports of a router.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How the owner treats orders.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Orders {
    /// Grants are answered, releases are not.
    ReleasesUnanswered,
    /// None is answered, but the owner serves requests.
    AllUnanswered,
}

/// A coordinator, the owner of all keys and an idle back end.
struct World {
    ownership: Ownership,
    owner: BackEnd,
    idle: BackEnd,
    orders: Orders,
    /// The owner serves requests until then.
    serves_until: Timestamp,
    in_flight: Vec<(Timestamp, Order)>,
    sent: Vec<Order>,
    notices: Vec<Notice>,
    next_report: Timestamp,
    revision: u64,
    /// Time at which the record first named the idle back end.
    moved_at: Option<Timestamp>,
}

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

impl World {
    fn new(orders: Orders, serves_until: Timestamp) -> Self {
        let owner = back_end("b-1", 80);
        let mut ownership = Ownership::new("keyed".into(), Settings::default());
        ownership.set_back_ends(START, std::slice::from_ref(&owner));
        ownership.begin_term(START, Term(2), None);
        ownership.poll(START, true);
        let value = OwnershipRecord {
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
        World {
            ownership,
            owner,
            idle: back_end("b-2", 81),
            orders,
            serves_until,
            in_flight: Vec::new(),
            sent: Vec::new(),
            notices: Vec::new(),
            next_report: START,
            revision: 8,
            moved_at: None,
        }
    }

    fn register_both(&mut self, now: Timestamp) {
        let both = [self.owner.clone(), self.idle.clone()];
        self.ownership.set_back_ends(now, &both);
    }

    fn run(&mut self, from: Timestamp, until: Timestamp) {
        let mut now = from;
        while now < until {
            self.report_load(now);
            self.end_orders(now);
            for action in self.ownership.poll(now, true) {
                match action {
                    Action::WriteRecord(record, _) => self.write(now, record),
                    Action::Send(order) => self.send(now, order),
                    _ => {}
                }
            }
            self.notices.extend(self.ownership.take_notices());
            now = now + TICK;
        }
    }

    /// Reports a request that the owner has served.
    fn report_load(&mut self, now: Timestamp) {
        if now < self.next_report || now >= self.serves_until {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let served = LoadReport {
            speeds: vec![SpeedSample {
                back_end: self.owner.name.clone(),
                count: 1,
                work_s: 0.1,
            }],
            ..LoadReport::default()
        };
        self.ownership.add_load(now, &served);
    }

    fn send(&mut self, now: Timestamp, order: Order) {
        let ends = if self.is_answered(&order) {
            now + TICK
        } else {
            now + order.timeout
        };
        self.sent.push(order.clone());
        self.in_flight.push((ends, order));
    }

    fn is_answered(&self, order: &Order) -> bool {
        let is_grant = matches!(order.kind, OrderKind::Grant(_));
        order.to.name != self.owner.name || (is_grant && self.orders == Orders::ReleasesUnanswered)
    }

    fn end_orders(&mut self, now: Timestamp) {
        let due = |(ends, _): &mut (Timestamp, Order)| *ends <= now;
        let ended: Vec<_> = self.in_flight.extract_if(.., due).collect();
        for (_, order) in ended {
            let result = match order.kind {
                _ if !self.is_answered(&order) => Err(OrderFault::NoAnswer),
                OrderKind::Grant(_) => Ok(OrderReply::Granted),
                OrderKind::Release => Ok(OrderReply::Released(None)),
            };
            self.ownership.on_order(now, &order, result);
        }
    }

    fn write(&mut self, now: Timestamp, record: OwnershipRecord) {
        let names_idle = |slice: &Slice| {
            let holder = slice.holder();
            holder.is_some_and(|holder| holder.name == self.idle.name)
        };
        if record.slices.iter().any(names_idle) {
            self.moved_at.get_or_insert(now);
        }
        self.revision += 1;
        let accepted = WriteResult::Accepted(self.revision);
        self.ownership.on_write(now, record, accepted);
    }

    fn releases(&self) -> Vec<&Order> {
        let is_release = |order: &&Order| order.kind == OrderKind::Release;
        self.sent.iter().filter(is_release).collect()
    }
}

#[test]
fn keys_of_an_owner_that_answers_no_release_are_not_moved_for_balance() {
    let end = START + Duration::from_secs(15);
    let mut world = World::new(Orders::ReleasesUnanswered, end);
    world.register_both(START);
    world.run(START, end);
    let releases = world.releases();
    assert!(!releases.is_empty(), "no move was tried");
    assert_eq!(world.moved_at, None, "releases: {releases:?}");
    let ended = world.notices.iter().find_map(|notice| match notice {
        Notice::ReleaseEnded { end, .. } => Some(*end),
        _ => None,
    });
    assert_eq!(ended, Some(ReleaseEnd::CalledOff));
}

#[test]
fn owner_keeps_called_off_keys_under_a_fence_above_that_of_the_release() {
    let end = START + Duration::from_secs(15);
    let mut world = World::new(Orders::ReleasesUnanswered, end);
    world.register_both(START);
    world.run(START, end);
    let first = world.releases()[0].clone();
    let grants = world.sent.iter().filter(|order| {
        let is_grant = order.kind != OrderKind::Release;
        order.id > first.id && is_grant && order.range.contains(first.range.first)
    });
    let fences: Vec<Fence> = grants.map(|order| order.fence).collect();
    assert!(!fences.is_empty(), "the owner is granted {first:?} again");
    let above = |fence: &Fence| *fence > first.fence;
    assert!(fences.iter().all(above), "{fences:?} after {first:?}");
}

#[test]
fn owner_that_serves_requests_is_not_lost_by_unanswered_orders() {
    let serves_until = START + Duration::from_secs(10);
    let mut world = World::new(Orders::AllUnanswered, serves_until);
    world.register_both(START);
    world.run(START, serves_until);
    assert_eq!(world.moved_at, None);
    world.run(serves_until, serves_until + Duration::from_secs(8));
    assert!(
        world.moved_at.is_some(),
        "it is lost once it serves nothing"
    );
}
