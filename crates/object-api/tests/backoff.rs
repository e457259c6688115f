//! Backoff delays grow, stay bounded and depend on a seed.

use std::time::Duration;

use threadledge_object_api::backoff::{Backoff, BackoffSettings};

fn delays(seed: u64) -> Vec<Duration> {
    let settings = BackoffSettings {
        initial: Duration::from_millis(100),
        max: Duration::from_millis(800),
    };
    let mut backoff = Backoff::new(settings, seed);
    (0..8).map(|_| backoff.next_delay()).collect()
}

#[test]
fn delays_lie_between_half_and_all_of_a_doubling_bounded_base() {
    for seed in 0..100 {
        let bases = [100, 200, 400, 800, 800, 800, 800, 800];
        for (delay, base) in delays(seed).into_iter().zip(bases) {
            let base = Duration::from_millis(base);
            assert!(delay >= base / 2 && delay <= base, "{delay:?} of {base:?}");
        }
    }
}

#[test]
fn equal_seeds_give_equal_delays_and_others_differ() {
    assert_eq!(delays(7), delays(7));
    assert_ne!(delays(7), delays(8));
}

#[test]
fn success_resets_the_delay() {
    let mut backoff = Backoff::new(BackoffSettings::default(), 1);
    let initial = BackoffSettings::default().initial;
    for _ in 0..5 {
        backoff.next_delay();
    }
    backoff.reset();
    assert!(backoff.next_delay() <= initial);
}
