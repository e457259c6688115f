//! Overload of a back end with two slots of 10 ms each, which answers 200
//! requests a second.

mod common;

use common::overload_model::{OverloadModel, Stream};
use common::{back_end, full, millis, one_back_end, route, service, session, slice};
use threadledge_routing::Settings;
use threadledge_types::Slice;
use threadledge_types::objects::{Priority, RouteRule};
use threadledge_types::records::RecordDelta;

const CAPACITY: u64 = 200;
const SECONDS: u64 = 20;

fn stream(path: &'static str, method: &'static str, per_second: u64) -> Stream {
    Stream {
        host: "s.test",
        path,
        method,
        per_second,
    }
}

fn records() -> RecordDelta {
    let order = RouteRule {
        priority: Priority::Critical,
        may_queue: true,
        ..route("order", "/order")
    };
    let pull = RouteRule {
        priority: Priority::Background,
        may_queue: true,
        deadline_ms: 30_000,
        ..route("pull", "/pull")
    };
    one_back_end(2, vec![order, pull, route("browse", "/")])
}

fn run(routers: usize, streams: &[Stream]) -> OverloadModel {
    let mut model = OverloadModel::new(routers, Settings::default(), &records());
    model.offer(streams, SECONDS);
    model.finish();
    print(&model);
    model
}

fn print(model: &OverloadModel) {
    let routers = model.routers.len();
    for (path, stats) in &model.stats {
        println!(
            "{routers} routers {path}: offered {} answered {} p50 {} ms p99 {} ms {:?} unknown {}",
            stats.offered,
            stats.answered,
            stats.latency_ms(50),
            stats.latency_ms(99),
            stats.not_run,
            stats.unknown,
        );
    }
    let attempts: u64 = model
        .routers
        .iter()
        .map(|router| router.counters().attempts)
        .sum();
    let retries: Vec<(u64, u64)> = model
        .routers
        .iter()
        .map(|router| (router.counters().retries, router.counters().retries_denied))
        .collect();
    println!(
        "  attempts {attempts} refusals {} most open {} retries made and denied {retries:?}",
        model.refusals, model.max_open_connections
    );
}

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    for routers in [1, 4] {
        let best = run(routers, &[stream("/", "GET", CAPACITY)]);
        let over = run(routers, &[stream("/", "GET", CAPACITY * 3)]);
        let (best, over) = (best.stats("/").answered, over.stats("/").answered);
        assert!(over * 100 >= best * 95, "{over} of {best}");
        assert!(over * 100 >= CAPACITY * SECONDS * 95, "{over}");
    }
}

#[test]
fn orders_are_answered_while_browsing_floods() {
    for routers in [1, 4] {
        let model = run(
            routers,
            &[stream("/order", "POST", 50), stream("/", "GET", 600)],
        );
        let orders = model.stats("/order");
        assert!(orders.answered_share() >= 0.999, "{:?}", orders.not_run);
        // The delay ahead of an order is at most the short wait of a browsing
        // request and the back end's own queue of 30 ms.
        assert!(orders.latency_ms(99) < 150);
        let browsing = model.stats("/");
        assert!(orders.latency_ms(50) * 2 < browsing.latency_ms(50));
    }
}

#[test]
fn queued_pulls_are_answered_behind_orders() {
    let mut model = OverloadModel::new(1, Settings::default(), &records());
    model.offer(
        &[stream("/order", "POST", 190), stream("/pull", "GET", 5)],
        SECONDS,
    );
    model.finish();
    assert!(model.stats("/order").answered_share() >= 0.999);
    assert!(model.stats("/pull").answered_share() >= 0.999);
}

#[test]
fn one_router_with_all_callers_uses_the_slots_of_the_others() {
    let mut model = OverloadModel::new(4, Settings::default(), &records());
    model.used_routers = 1;
    model.offer(&[stream("/", "GET", CAPACITY * 3)], SECONDS);
    model.finish();
    print(&model);
    let answered = model.stats("/").answered;
    assert!(answered * 100 >= CAPACITY * SECONDS * 95, "{answered}");
}

#[test]
fn a_back_end_is_fully_used_again_after_a_freeze() {
    let mut model = OverloadModel::new(1, Settings::default(), &records());
    let half = stream("/", "POST", CAPACITY / 2);
    model.offer(&[half], 2);
    model.freeze(millis(3_000));
    model.offer(&[half], 3);
    let before = model.stats("/").answered;
    model.offer(&[half], 5);
    model.finish();
    print(&model);
    let stats = model.stats("/");
    // A few requests were in flight when the back end froze; the others were
    // rejected as not run.
    assert!(stats.unknown <= 8, "{}", stats.unknown);
    let afterwards = stats.answered - before;
    assert!(afterwards >= 480, "{afterwards} of 500");
    assert!(model.routers[0].counters().shed > 0);
}

#[test]
fn hedges_cut_the_latency_tail_of_stuck_responses() {
    let tail = |hedge_percent| {
        let settings = Settings {
            hedge_percent,
            hedge_reserve: hedge_percent,
            ..Settings::default()
        };
        let mut model = OverloadModel::new(1, settings, &records());
        model.stuck_response_interval = 50;
        model.offer(&[stream("/", "GET", 40)], SECONDS);
        model.finish();
        print(&model);
        let stats = model.stats("/");
        (stats.answered_share(), stats.latency_ms(99))
    };
    let (_, without_ms) = tail(0);
    let (answered, with_ms) = tail(5);
    assert!(without_ms >= 300, "{without_ms} ms");
    assert!(with_ms <= 60, "{with_ms} ms");
    assert!(answered >= 0.999, "{answered}");
}

#[test]
fn retries_do_not_amplify_an_overload() {
    let model = run(4, &[stream("/", "GET", CAPACITY * 3)]);
    let counters = model.routers.iter().map(|router| router.counters());
    let (mut admitted, mut attempts) = (0, 0);
    for counters in counters {
        admitted += counters.admitted;
        attempts += counters.attempts;
        assert!(counters.retries <= 10 + counters.admitted / 10);
    }
    assert!(attempts <= admitted * 110 / 100 + 40);
    assert!(model.max_open_connections <= 100);
}

#[test]
fn a_flooding_partner_does_not_delay_another() {
    let flooded = RouteRule {
        may_queue: true,
        ..route("flood", "/flood")
    };
    let calm = RouteRule {
        may_queue: true,
        ..route("calm", "/calm")
    };
    let records = full(
        1,
        vec![
            service("a/s", "a.test", vec![flooded]),
            service("b/s", "b.test", vec![calm]),
            back_end("a/one", 2, 100),
            back_end("b/one", 2, 100),
            session("a/one", 1, false),
            session("b/one", 1, false),
            slice("a/s", Slice::ALL, Some(("a/one", 1)), 1),
            slice("b/s", Slice::ALL, Some(("b/one", 1)), 1),
        ],
    );
    let settings = Settings {
        max_exchanges: 64,
        ..Settings::default()
    };
    let mut model = OverloadModel::new(1, settings, &records);
    let flood = Stream {
        host: "a.test",
        ..stream("/flood", "POST", 5_000)
    };
    let calm = Stream {
        host: "b.test",
        ..stream("/calm", "POST", 100)
    };
    model.offer(&[flood, calm], 10);
    model.finish();
    let (flood, calm) = (model.stats("/flood"), model.stats("/calm"));
    println!("flood {:?} {}", flood.not_run, flood.answered);
    println!("calm {:?} p99 {} ms", calm.not_run, calm.latency_ms(99));
    assert_eq!(calm.answered, calm.offered);
    assert!(flood.answered >= 1_900, "its own back end stays busy");
}
