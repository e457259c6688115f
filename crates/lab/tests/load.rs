//! Tests that keys, arrivals and service times follow their seed and their
//! distribution, and tests of slots and the load meter.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_lab::load::{Arrivals, KeyPopularity, PopularitySettings};
use threadledge_lab::stand_in::back_end::{
    ColdStart, LoadMeter, ServiceTimeSettings, ServiceTimes, SlotError, Slots,
};
use threadledge_types::session::Grant;
use threadledge_types::{Epoch, Point, ServiceId, Slice, Timestamp};

const SEED: u64 = 0x5eed;

fn popularity(shift_ms: u64) -> KeyPopularity {
    let settings = PopularitySettings {
        keys: 1_000,
        exponent: 1.0,
        hot_keys: 5,
        shift_ms,
    };
    KeyPopularity::new(settings, SEED)
}

#[test]
fn the_hottest_key_gets_its_zipf_share() {
    let mut keys = popularity(0);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..20_000 {
        *counts.entry(keys.draw(Timestamp::ZERO)).or_default() += 1;
    }
    let harmonic: f64 = (1..=1_000).map(|rank| 1.0 / f64::from(rank)).sum();
    let expected = 20_000.0 / harmonic;
    let hottest = f64::from(counts[&keys.key_at(0, Timestamp::ZERO)]);
    assert!(
        (hottest / expected - 1.0).abs() < 0.1,
        "{hottest} for {expected}"
    );
}

#[test]
fn hot_keys_change_at_a_shift_and_the_others_stay() {
    let keys = popularity(1_000);
    let before = Timestamp::from_millis(999);
    let after = Timestamp::from_millis(1_000);
    assert_ne!(keys.key_at(0, before), keys.key_at(0, after));
    assert_eq!(keys.key_at(5, before), keys.key_at(5, after));
    assert_eq!(
        keys.key_at(0, after),
        keys.key_at(0, Timestamp::from_millis(1_999))
    );
}

#[test]
fn the_same_seed_gives_the_same_keys_and_arrivals() {
    let draw = || {
        let mut keys = popularity(0);
        let arrivals = Arrivals::new(Timestamp::ZERO, 50.0, SEED);
        arrivals
            .take(100)
            .map(|at| (at, keys.draw(at)))
            .collect::<Vec<_>>()
    };
    assert_eq!(draw(), draw());
}

#[test]
fn arrivals_have_the_configured_rate() {
    let end = Timestamp::from_millis(100_000);
    let arrivals = Arrivals::new(Timestamp::ZERO, 50.0, SEED);
    let count = arrivals.take_while(|at| *at < end).count();
    assert!((4_700..=5_300).contains(&count), "{count}");
}

#[test]
fn a_rate_of_zero_gives_no_arrivals() {
    assert_eq!(Arrivals::new(Timestamp::ZERO, 0.0, SEED).next(), None);
}

#[test]
fn service_times_decrease_during_the_cold_start() {
    let settings = ServiceTimeSettings {
        median_ms: 10.0,
        spread: 0.0,
    };
    let cold_start = ColdStart {
        for_ms: 1_000,
        factor: 3.0,
    };
    let mut times = ServiceTimes::new(settings, cold_start, SEED);
    assert_eq!(times.next(Duration::ZERO), Duration::from_millis(30));
    assert_eq!(
        times.next(Duration::from_millis(500)),
        Duration::from_millis(20)
    );
    assert_eq!(
        times.next(Duration::from_millis(1_000)),
        Duration::from_millis(10)
    );
}

#[test]
fn slots_queue_waiters_and_refuse_when_the_queue_is_full() {
    async_std::task::block_on(async {
        let slots = Slots::new(1, 1);
        let first = slots.acquire().await.expect("a free slot");
        let mut second = Box::pin(slots.acquire());
        assert!(futures::poll!(&mut second).is_pending());
        assert_eq!(slots.acquire().await.map(drop), Err(SlotError::QueueFull));
        assert_eq!((slots.running(), slots.waiting()), (1, 1));
        drop(first);
        let second = second.await.expect("the freed slot");
        assert_eq!((slots.running(), slots.waiting()), (1, 0));
        drop(second);
        assert_eq!(slots.running(), 0);
    });
}

#[test]
fn a_cancelled_waiter_leaves_the_queue() {
    async_std::task::block_on(async {
        let slots = Slots::new(1, 1);
        let _held = slots.acquire().await.expect("a free slot");
        let mut waiter = Box::pin(slots.acquire());
        assert!(futures::poll!(&mut waiter).is_pending());
        drop(waiter);
        assert_eq!(slots.waiting(), 0);
    });
}

#[test]
fn the_meter_reports_rates_by_slice_and_the_hottest_point() {
    let service = ServiceId::new("kauri", "quote-svc");
    let mut meter = LoadMeter::default();
    let now = Timestamp::from_millis(10_000);
    for _ in 0..30 {
        meter.count(now, &service, Point(1));
    }
    meter.count(now, &service, Point(2));
    let grant = Grant {
        service: service.clone(),
        slice: Slice::ALL,
        epoch: Epoch::default(),
    };
    let rates = meter.rates(now, std::slice::from_ref(&grant));
    assert_eq!(rates.len(), 1);
    assert_eq!(rates[0].per_second, 31.0 / 4.0);
    assert_eq!(
        rates[0].hottest.as_ref().map(|hot| hot.point),
        Some(Point(1))
    );
    let later = Timestamp::from_millis(20_000);
    assert!(meter.rates(later, &[grant]).is_empty());
}
