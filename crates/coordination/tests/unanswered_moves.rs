//! Moves of keys whose owner leaves orders unanswered.

mod shared;

use std::time::Duration;

use threadledge_coordination::action::{ReleaseEnd, WriteResult};
use threadledge_coordination::ownership::Ownership;
use threadledge_coordination::{
    Action, Fence, LoadReport, Notice, Order, OrderFault, OrderKind, OrderReply, OwnershipRecord,
    Settings, Slice, SpeedSample,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName};

use shared::{START, TICK, back_end, taken_over};

/// Time between two load reports of a router.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How the owner treats orders.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Orders {
    /// Grants are answered, releases are not.
    ReleasesUnanswered,
    /// None is answered, but the owner serves requests.
    AllUnanswered,
    /// All are answered while the owner serves requests. What is in front of it
    /// accepts and resets connections after its end.
    ResetAfterEnd,
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
    /// Time between two reports that name the owner.
    report_interval: Duration,
    /// True if a report names another back end of its zone meanwhile.
    zone_is_reported: bool,
    revision: u64,
    /// Time at which the record first named the idle back end.
    moved_at: Option<Timestamp>,
}

impl World {
    fn new(orders: Orders, serves_until: Timestamp) -> Self {
        World::with_settings(orders, serves_until, Settings::default())
    }

    /// An owner in another region than the coordinator that answers no order.
    fn in_another_region(serves_until: Timestamp) -> Self {
        let settings = Settings {
            near_zones: Some(["near".into()].into()),
            ..Settings::default()
        };
        World::with_settings(Orders::AllUnanswered, serves_until, settings)
    }

    fn with_settings(orders: Orders, serves_until: Timestamp, settings: Settings) -> Self {
        let owner = back_end(80);
        let ownership = taken_over(&owner, settings);
        World {
            ownership,
            owner,
            idle: back_end(81),
            orders,
            serves_until,
            in_flight: Vec::new(),
            sent: Vec::new(),
            notices: Vec::new(),
            next_report: START,
            report_interval: REPORT_INTERVAL,
            zone_is_reported: false,
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
        let time = now.since(START).as_millis();
        if self.zone_is_reported && time.is_multiple_of(REPORT_INTERVAL.as_millis()) {
            self.report_served(now, self.idle.name.clone());
        }
        if now < self.next_report || now >= self.serves_until {
            return;
        }
        self.next_report = now + self.report_interval;
        self.report_served(now, self.owner.name.clone());
    }

    fn report_served(&mut self, now: Timestamp, back_end: BackEndName) {
        let served = LoadReport {
            speeds: vec![SpeedSample {
                back_end,
                count: 1,
                work_s: 0.1,
            }],
            ..LoadReport::default()
        };
        self.ownership.add_load(now, &served);
    }

    /// Returns when the owner first counted as lost.
    fn lost_at(&mut self, until: Timestamp) -> Option<Timestamp> {
        let mut now = START;
        while now < until {
            self.run(now, now + TICK);
            let lost = |notice: &Notice| matches!(notice, Notice::HolderLost { .. });
            if self.notices.iter().any(lost) {
                return Some(now);
            }
            now = now + TICK;
        }
        None
    }

    fn send(&mut self, now: Timestamp, order: Order) {
        let is_reset = self.orders == Orders::ResetAfterEnd;
        let ends = match self.is_answered(now, &order) || is_reset {
            true => now + TICK,
            false => now + order.timeout,
        };
        self.sent.push(order.clone());
        self.in_flight.push((ends, order));
    }

    fn is_answered(&self, now: Timestamp, order: &Order) -> bool {
        if order.to.name != self.owner.name {
            return true;
        }
        match self.orders {
            Orders::ReleasesUnanswered => matches!(order.kind, OrderKind::Grant(_)),
            Orders::AllUnanswered => false,
            Orders::ResetAfterEnd => now < self.serves_until,
        }
    }

    fn end_orders(&mut self, now: Timestamp) {
        let due = |(ends, _): &mut (Timestamp, Order)| *ends <= now;
        let ended: Vec<_> = self.in_flight.extract_if(.., due).collect();
        for (_, order) in ended {
            let result = match order.kind {
                _ if !self.is_answered(now, &order) => Err(OrderFault::NoAnswer),
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

#[test]
fn owner_in_another_region_is_not_lost_while_its_link_holds_the_reports_of_its_zone() {
    let end = START + Duration::from_secs(20);
    for interval in [1_300, 2_000] {
        let mut world = World::in_another_region(end);
        world.register_both(START);
        world.report_interval = Duration::from_millis(interval);
        let lost = world.lost_at(end).map(|at| at.since(START));
        assert_eq!(lost, None, "a report every {interval} ms");
    }
}

#[test]
fn owner_that_stops_serving_while_its_zone_is_reported_is_lost_soon() {
    let serves_until = START + Duration::from_secs(10);
    for in_another_region in [false, true] {
        let mut world = match in_another_region {
            true => World::in_another_region(serves_until),
            false => World::new(Orders::AllUnanswered, serves_until),
        };
        world.register_both(START);
        world.zone_is_reported = true;
        let lost = world.lost_at(serves_until + Duration::from_secs(10));
        let lost = lost.expect("lost").since(serves_until);
        println!("in another region {in_another_region}: lost after {lost:?}");
        assert!(lost <= Duration::from_millis(1_200), "after {lost:?}");
    }
}

#[test]
fn owner_in_another_region_whose_zone_is_not_reported_is_lost_in_the_end() {
    let serves_until = START + Duration::from_secs(10);
    let mut world = World::in_another_region(serves_until);
    world.register_both(START);
    let lost = world.lost_at(serves_until + Duration::from_secs(10));
    let lost = lost.expect("lost").since(serves_until);
    println!("lost after {lost:?}");
    assert!(lost <= Duration::from_millis(2_600), "after {lost:?}");
}

/// Returns the longest time until keys of an owner go on, over the phases of its
/// renewals, if it ends behind a proxy that accepts and resets connections.
fn longest_until_moved(in_another_region: bool, last_reports: bool) -> Duration {
    let mut longest = Duration::ZERO;
    for phase in 0..70 {
        let serves_until = START + Duration::from_millis(5_000 + 10 * phase);
        let mut world = match in_another_region {
            true => World::in_another_region(serves_until),
            false => World::new(Orders::ResetAfterEnd, serves_until),
        };
        world.orders = Orders::ResetAfterEnd;
        if !last_reports {
            world.next_report = serves_until;
        }
        // The idle back end is registered late, so that no move is under way.
        world.run(START, serves_until);
        world.register_both(serves_until);
        world.run(serves_until, serves_until + Duration::from_secs(12));
        let moved = world.moved_at.expect("moved").since(serves_until);
        longest = longest.max(moved);
    }
    longest
}

/// Time within which the keys of an owner that has ended go on.
const GIVEN_ON: Duration = Duration::from_secs(4);

#[test]
fn keys_of_an_owner_that_served_nothing_and_ended_behind_a_proxy_go_on_within_four_seconds() {
    for in_another_region in [false, true] {
        let longest = longest_until_moved(in_another_region, false);
        println!("in another region {in_another_region}: {longest:?}");
        assert!(longest <= GIVEN_ON, "{longest:?}");
    }
}

/// Guards against a last report of service that outlives its owner.
#[test]
fn keys_of_an_owner_that_served_until_it_ended_behind_a_proxy_go_on_within_four_seconds() {
    let longest = longest_until_moved(false, true);
    println!("{longest:?}");
    assert!(longest <= GIVEN_ON, "{longest:?}");
}

#[test]
fn keys_of_an_owner_in_another_region_that_served_until_it_ended_behind_a_proxy_go_on_within_four_seconds()
 {
    let longest = longest_until_moved(true, true);
    println!("{longest:?}");
    assert!(longest <= GIVEN_ON, "{longest:?}");
}
