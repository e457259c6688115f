//! Orders to one back end and the effect of their results on its state.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::action::{ReadResult, Versioned, WriteResult};
use threadledge_coordination::holders::{Holders, Ineligible};
use threadledge_coordination::occupancy::SharedAddress;
use threadledge_coordination::ownership::{MAX_ORDERS_IN_FLIGHT, Ownership, ReadConsequence};
use threadledge_coordination::{
    Action, Distance, Fence, Notice, Order, OrderConnection, OrderFault, OrderId, OrderKind,
    OrderReply, Owner, OwnershipRecord, Settings, Slice, SliceState, Term,
};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, KeyRange, ShardKey};

const SLICES: u16 = 32;

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn back_end() -> BackEnd {
    BackEnd {
        name: "b-1".into(),
        service: "keyed".into(),
        address: address(),
        zone: "near".into(),
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        registration: 1,
    }
}

/// Returns a record of an earlier term in which one back end holds many slices,
/// each under its own fencing token.
fn record_with_many_slices() -> OwnershipRecord {
    let width = u16::MAX / SLICES + 1;
    let slice = |number: u16| Slice {
        range: KeyRange {
            first: ShardKey(number * width),
            last: ShardKey(number * width + (width - 1)),
        },
        fence: Fence(u64::from(number) + 1),
        state: SliceState::Owned {
            owner: Owner {
                name: "b-1".into(),
                address: address(),
            },
            handover: None,
        },
    };
    OwnershipRecord {
        term: Term(1),
        next_fence: Fence(u64::from(SLICES) + 1),
        slices: (0..SLICES).map(slice).collect(),
        former: Vec::new(),
    }
}

/// Creates a coordinator that has just taken over that record.
fn taken_over(now: Timestamp) -> Ownership {
    let mut ownership = Ownership::new("keyed".into(), Settings::default());
    ownership.set_back_ends(now, &[back_end()]);
    ownership.begin_term(now, Term(2), None);
    assert_eq!(ownership.poll(now, true), vec![Action::ReadRecord]);
    let found = Versioned {
        value: record_with_many_slices(),
        revision: 7,
    };
    let read = ownership.on_read(now, ReadResult::Found(Some(found)));
    let ReadConsequence::Call(call) = read else {
        panic!("expected a write of the record for this term: {read:?}");
    };
    let Action::WriteRecord(record, _) = *call else {
        panic!("{call:?}");
    };
    ownership.on_write(now, record, WriteResult::Accepted(8));
    ownership
}

fn sent(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| match action {
        Action::Send(order) => Some(order),
        _ => None,
    };
    actions.into_iter().filter_map(order).collect()
}

#[test]
fn owner_of_many_slices_gets_a_few_orders_at_a_time() {
    let now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    let mut waiting = sent(ownership.poll(now, true));
    let mut granted = 0;
    while !waiting.is_empty() {
        assert!(
            waiting.len() <= MAX_ORDERS_IN_FLIGHT,
            "{} at once",
            waiting.len()
        );
        let wake = ownership.next_wake(now);
        let spinning =
            waiting.len() == MAX_ORDERS_IN_FLIGHT && wake.is_some_and(|wake| wake <= now);
        assert!(!spinning, "nothing can be sent before an answer");
        let order = waiting.remove(0);
        ownership.on_order(now, &order, Ok(OrderReply::Granted));
        granted += 1;
        waiting.extend(sent(ownership.poll(now, true)));
    }
    assert_eq!(granted, SLICES);
}

#[test]
fn withheld_orders_do_not_count_against_a_back_end() {
    let now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    for _ in 0..10 {
        for order in sent(ownership.poll(now, true)) {
            ownership.on_order(now, &order, Err(OrderFault::Withheld));
        }
    }
    let lost = |notice: &Notice| matches!(notice, Notice::HolderLost { .. });
    assert!(!ownership.take_notices().iter().any(lost));
}

#[test]
fn back_end_that_refuses_connections_counts_as_lost() {
    let now = Timestamp::from_millis(10_000);
    let mut holders = Holders::default();
    let registered = [back_end()];
    holders.set_registered(now, &"keyed".into(), &registered, OrderId(0), |_| false);
    let name = "b-1".into();
    let mut fault = |now, fault| holders.on_fault(now, &name, fault, Distance::Near).lost;
    let later = now + Settings::default().retry_delay;
    assert!(!fault(now, OrderFault::NotSent));
    assert!(!fault(now, OrderFault::NotSent), "the same event");
    assert!(!fault(later, OrderFault::Withheld));
    assert!(fault(later, OrderFault::NotSent));
    let now = later;
    assert_eq!(holders.ineligible(&name, now), Some(Ineligible::Lost));
}

/// The earlier coordinator distributed the keys by load, so they look uneven by
/// their number.
#[test]
fn new_coordinator_moves_no_keys_before_it_knows_the_load() {
    let start = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(start);
    let mut second = back_end();
    second.name = "b-2".into();
    second.address = SocketAddr::from(([10, 0, 0, 1], 81));
    ownership.set_back_ends(start, &[back_end(), second]);
    // Keys are moved only from an owner that has accepted its grants.
    let mut releases = |now: Timestamp| {
        let mut count = 0;
        let mut waiting = sent(ownership.poll(now, true));
        while let Some(order) = waiting.pop() {
            if order.kind == OrderKind::Release {
                count += 1;
                continue;
            }
            ownership.on_order(now, &order, Ok(OrderReply::Granted));
            waiting.extend(sent(ownership.poll(now, true)));
        }
        count
    };
    for millis in [10, 500, 1_000, 3_900] {
        let now = start + Duration::from_millis(millis);
        assert_eq!(releases(now), 0, "after {millis} ms");
    }
    // There are no requests, so the number of keys decides in the end.
    assert!(releases(start + Duration::from_millis(4_700)) > 0);
}

/// Operators see when a back end stopped answering, with the first order that
/// failed, and how many failed after it: two log lines, however long the
/// silence lasts.
#[test]
fn silence_of_a_back_end_is_reported_at_its_start_and_its_end() {
    let start = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(start);
    let mut given_up = 0;
    for round in 0..3 {
        let now = start + Duration::from_millis(600 * round);
        for order in sent(ownership.poll(now, true)) {
            given_up += 1;
            ownership.on_order(now, &order, Err(OrderFault::NoAnswer));
        }
    }
    let end = start + Duration::from_millis(2_000);
    let order = sent(ownership.poll(end, true)).remove(0);
    ownership.on_order(end, &order, Ok(OrderReply::Granted));
    let notices: Vec<Notice> = ownership.take_notices();
    let begins = notices
        .iter()
        .filter(|notice| matches!(notice, Notice::OrderGivenUp { .. }));
    assert_eq!(begins.count(), 1);
    let answers = Notice::HolderAnswers {
        owner: "b-1".into(),
        given_up,
        silent_for: Duration::from_secs(2),
    };
    assert!(notices.contains(&answers), "{notices:?}");
}

#[test]
fn registrations_that_share_an_address_are_reported_once() {
    let now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    let mut later = back_end();
    later.name = "b-2".into();
    later.registration = 2;
    for _ in 0..2 {
        ownership.set_back_ends(now, &[later.clone(), back_end()]);
    }
    let shared = Notice::AddressShared(SharedAddress {
        address: address(),
        back_ends: vec!["b-1".into(), "b-2".into()],
    });
    let notices = ownership.take_notices();
    let count = notices.iter().filter(|notice| **notice == shared).count();
    assert_eq!(count, 1, "{notices:?}");
}

/// An order may be stuck on a connection to a process that has ended. A new
/// registration at its address causes an immediate second order.
#[test]
fn order_in_flight_does_not_delay_probing_an_address() {
    let now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    let stuck = sent(ownership.poll(now, true));
    assert_eq!(stuck.len(), MAX_ORDERS_IN_FLIGHT);
    assert!(sent(ownership.poll(now, true)).is_empty());
    let mut newcomer = back_end();
    newcomer.name = "b-2".into();
    newcomer.registration = 2;
    // This also applies if the registration of the ended process was removed
    // before.
    ownership.set_back_ends(now, &[newcomer]);
    let (asked, record) = orders_and_write(ownership.poll(now, true));
    assert_eq!(asked.len(), MAX_ORDERS_IN_FLIGHT);
    assert!(asked.iter().all(|order| order.to.name.as_str() == "b-1"));
    // Ranges that were never granted in this term are assigned without an
    // answer.
    let record = record.expect("written");
    ownership.on_write(now, record, WriteResult::Accepted(9));
    // The result of the stuck order has no further effect.
    ownership.on_order(now, &stuck[0], Err(OrderFault::NoAnswer));
    for order in &asked {
        ownership.on_order(now, order, Ok(OrderReply::OtherProcess));
    }
    let (_, record) = orders_and_write(ownership.poll(now, true));
    let record = record.expect("a write that reassigns the keys at once");
    let gone = |slice: &Slice| {
        slice
            .holder()
            .is_none_or(|owner| owner.name.as_str() != "b-1")
    };
    assert!(record.slices.iter().all(gone), "{record:?}");
}

/// Every watcher of the store receives the whole record after each write. While
/// keys move continuously, several moves are combined into one write.
#[test]
fn continuous_moves_are_written_ten_times_a_second() {
    let taken_over_at = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(taken_over_at);
    let mut granting = sent(ownership.poll(taken_over_at, true));
    while let Some(order) = granting.pop() {
        ownership.on_order(taken_over_at, &order, Ok(OrderReply::Granted));
        granting.extend(sent(ownership.poll(taken_over_at, true)));
    }
    let start = taken_over_at + Duration::from_secs(2);
    let mut leaving = back_end();
    leaving.draining = true;
    let mut second = back_end();
    second.name = "b-2".into();
    second.address = SocketAddr::from(([10, 0, 0, 1], 81));
    ownership.set_back_ends(start, &[leaving, second]);
    let mut waiting = Vec::new();
    let mut written = Vec::new();
    let mut record = None;
    for millis in 0..1_000_u64 {
        let now = start + Duration::from_millis(millis);
        // Every 10 ms another range is released or another grant is answered.
        if millis % 10 == 0 && !waiting.is_empty() {
            let order: Order = waiting.remove(0);
            let reply = match order.kind {
                OrderKind::Release => OrderReply::Released(None),
                OrderKind::Grant(_) => OrderReply::Granted,
            };
            ownership.on_order(now, &order, Ok(reply));
        }
        let (orders, next) = orders_and_write(ownership.poll(now, true));
        waiting.extend(orders);
        if let Some(next) = next {
            let revision = 9 + written.len() as u64;
            written.push(millis);
            ownership.on_write(now, next.clone(), WriteResult::Accepted(revision));
            record = Some(next);
        }
    }
    assert!(written.len() <= 14, "written at {written:?}");
    assert!(written[0] < 20, "the first at once: {written:?}");
    let record = record.expect("written");
    let moved = |slice: &Slice| slice.holder().is_some_and(|it| it.name.as_str() == "b-2");
    assert!(record.slices.iter().all(moved), "none is left: {record:?}");
}

/// Returns the orders and the write of the record, if there is one.
fn orders_and_write(actions: Vec<Action>) -> (Vec<Order>, Option<OwnershipRecord>) {
    let written = actions.iter().find_map(|action| match action {
        Action::WriteRecord(record, _) => Some(record.clone()),
        _ => None,
    });
    (sent(actions), written)
}

/// One broken connection ends all the orders on it.
#[test]
fn orders_that_end_unanswered_together_count_once_against_a_back_end() {
    let mut now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    for round in 1..=6 {
        let mut together = sent(ownership.poll(now, true));
        assert_eq!(together.len(), MAX_ORDERS_IN_FLIGHT);
        now = now + Settings::default().order_timeout;
        for order in together.drain(..) {
            ownership.on_order(now, &order, Err(OrderFault::NoAnswer));
        }
        let is_lost = ownership.take_notices().iter().any(is_lost);
        assert_eq!(is_lost, round == 6, "round {round}");
    }
}

fn is_lost(notice: &Notice) -> bool {
    matches!(notice, Notice::HolderLost { .. })
}

/// Ends orders a millisecond after they were sent, unanswered if `is_reset`, for
/// this duration. Returns the orders and when the owner counted as lost.
fn with_resets(
    duration: Duration,
    is_reset: impl Fn(&Order) -> bool,
) -> (Vec<Order>, Option<Duration>) {
    let start = Timestamp::from_millis(10_000);
    let mut now = start;
    let mut ownership = taken_over(now);
    let (mut all, mut lost_at) = (Vec::new(), None);
    while now < start + duration {
        let orders = sent(ownership.poll(now, true));
        now = now + Duration::from_millis(1);
        for order in orders {
            let result = match (is_reset(&order), &order.kind) {
                (true, _) => Err(OrderFault::NoAnswer),
                (false, OrderKind::Grant(_)) => Ok(OrderReply::Granted),
                (false, OrderKind::Release) => Ok(OrderReply::Released(None)),
            };
            ownership.on_order(now, &order, result);
            all.push(order);
        }
        if ownership.take_notices().iter().any(is_lost) {
            lost_at.get_or_insert(now.since(start));
        }
    }
    (all, lost_at)
}

#[test]
fn connections_that_are_reset_within_milliseconds_count_once_against_a_back_end() {
    let (orders, lost_at) = with_resets(Duration::from_millis(70), |_| true);
    assert_eq!(lost_at, None, "{} orders", orders.len());
}

#[test]
fn back_end_that_resets_every_new_connection_counts_as_lost_soon() {
    let (_, lost_at) = with_resets(Duration::from_secs(1), |_| true);
    assert!(
        lost_at.is_some_and(|at| at <= Duration::from_millis(120)),
        "{lost_at:?}"
    );
}

#[test]
fn order_whose_connections_are_reset_is_repeated_ten_times_a_second() {
    let duration = Duration::from_secs(4);
    let (orders, lost_at) = with_resets(duration, |_| true);
    let first = orders[0].range;
    let count = orders.iter().filter(|order| order.range == first).count();
    let all = orders.len();
    println!("{all} orders, {count} of one range, lost {lost_at:?}");
    // The first and its repetition follow each other at once, twice: as a grant
    // and as a release.
    assert!(count <= 40 + 4, "{count} orders of one range");
}

/// Returns how long the release of an owner that leaves takes if its orders are
/// reset for `duration`, on new connections too if `also_new`.
fn release_took(duration: Duration, also_new: bool) -> Duration {
    let start = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(start);
    answer_all(&mut ownership, start, |_| Ok(OrderReply::Granted));
    let mut leaving = back_end();
    leaving.draining = true;
    ownership.set_back_ends(start, &[leaving]);
    let mut now = start;
    while now < start + Duration::from_secs(2) {
        let (orders, _) = orders_and_write(ownership.poll(now, true));
        now = now + Duration::from_millis(1);
        for order in orders {
            let resets = now < start + duration;
            if resets && (also_new || order.connection == OrderConnection::Any) {
                ownership.on_order(now, &order, Err(OrderFault::NoAnswer));
                continue;
            }
            return now.since(start);
        }
    }
    panic!("no release was answered");
}

#[test]
fn release_whose_kept_connection_is_reset_is_repeated_at_once() {
    let always = Duration::from_secs(10);
    assert_eq!(release_took(Duration::ZERO, true), Duration::from_millis(1));
    assert_eq!(release_took(always, false), Duration::from_millis(2));
    println!(
        "100 ms: {:?}",
        release_took(Duration::from_millis(100), true)
    );
}

#[test]
fn back_end_is_not_lost_by_resets_of_kept_connections() {
    let is_kept = |order: &Order| order.connection == OrderConnection::Any;
    let (orders, lost_at) = with_resets(Duration::from_secs(2), is_kept);
    assert_eq!(lost_at, None, "{} orders", orders.len());
}

#[test]
fn order_with_a_doubtful_answer_is_sent_again_at_once_on_a_new_connection() {
    let now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    let order = sent(ownership.poll(now, true)).remove(0);
    assert_eq!(order.connection, OrderConnection::Any);
    let doubtful = Err(OrderFault::Doubtful(OrderReply::Fenced));
    ownership.on_order(now, &order, doubtful);
    let again = |order: &&Order| order.connection == OrderConnection::New;
    let actions = sent(ownership.poll(now, true));
    let again = actions.iter().find(again).expect("sent again");
    assert_eq!((again.range, again.fence), (order.range, order.fence));
    ownership.on_order(now, again, Ok(OrderReply::Granted));
    let fenced = |notice: &Notice| matches!(notice, Notice::OrderFenced { .. });
    assert!(!ownership.take_notices().iter().any(fenced));
    let next = now + Settings::default().grant_renewal;
    let renewals = sent(ownership.poll(next, true));
    let renewal = renewals.iter().find(|next| next.range == order.range);
    let renewal = renewal.expect("a renewal");
    assert_eq!(renewal.connection, OrderConnection::Any);
}

/// Answers all orders that are due now, and those that follow at once.
fn answer_all(
    ownership: &mut Ownership,
    now: Timestamp,
    answer: impl Fn(&Order) -> Result<OrderReply, OrderFault>,
) {
    loop {
        let (due, write) = orders_and_write(ownership.poll(now, true));
        if due.is_empty() && write.is_none() {
            return;
        }
        for order in due {
            ownership.on_order(now, &order, answer(&order));
        }
        if let Some(record) = write {
            ownership.on_write(now, record, WriteResult::Accepted(9));
        }
    }
}

#[test]
fn doubtful_answers_neither_release_keys_nor_make_an_owner_lost() {
    let start = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(start);
    answer_all(&mut ownership, start, |_| Ok(OrderReply::Granted));
    let mut draining = back_end();
    draining.draining = true;
    ownership.set_back_ends(start, &[draining]);
    for round in 0..20 {
        let now = start + Duration::from_millis(50 * round);
        let (orders, write) = orders_and_write(ownership.poll(now, true));
        assert_eq!(write, None, "keys were given on in round {round}");
        for order in orders {
            let reply = match order.kind {
                OrderKind::Grant(_) => OrderReply::OtherProcess,
                OrderKind::Release => OrderReply::Released(None),
            };
            ownership.on_order(now, &order, Err(OrderFault::Doubtful(reply)));
        }
    }
    let ended = |notice: &Notice| {
        matches!(
            notice,
            Notice::HolderLost { .. } | Notice::HolderReplaced { .. }
        )
    };
    let notices = ownership.take_notices();
    assert!(!notices.iter().any(ended), "{notices:?}");
}

#[test]
fn grant_whose_refusal_is_doubtful_may_still_hold_the_keys() {
    let start = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(start);
    let granted = start + Duration::from_secs(10);
    answer_all(&mut ownership, granted, |order| {
        Err(match order.connection {
            OrderConnection::Any => OrderFault::Doubtful(OrderReply::Fenced),
            OrderConnection::New => OrderFault::Withheld,
        })
    });
    let mut next = back_end();
    next.name = "b-2".into();
    next.address.set_port(81);
    ownership.set_back_ends(granted, &[next]);
    let end = granted + Settings::default().hold;
    let mut now = granted;
    loop {
        let (orders, write) = orders_and_write(ownership.poll(now, true));
        if let Some(record) = write {
            // The record may ask routers to stop while the owner holds the keys.
            let holds = |slice: &Slice| slice.holder().is_some_and(|it| it.name.as_str() != "b-2");
            if !record.slices.iter().all(holds) {
                break;
            }
            ownership.on_write(now, record, WriteResult::Accepted(10));
        }
        for order in orders {
            ownership.on_order(now, &order, Err(OrderFault::Withheld));
        }
        assert!(
            now < end + Duration::from_secs(5),
            "keys are never given on"
        );
        now = now + Duration::from_millis(100);
    }
    assert!(now > end, "keys were given on at {now:?}");
}

/// Guards against an owner that is lost by one event that ends two connects.
#[test]
fn orders_that_cannot_be_sent_together_count_once_against_a_back_end() {
    let mut now = Timestamp::from_millis(10_000);
    let mut ownership = taken_over(now);
    let together = sent(ownership.poll(now, true));
    assert_eq!(together.len(), MAX_ORDERS_IN_FLIGHT);
    now = now + Duration::from_millis(1);
    for order in &together {
        ownership.on_order(now, order, Err(OrderFault::NotSent));
    }
    assert!(!ownership.take_notices().iter().any(is_lost));
}
