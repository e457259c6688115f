//! Waits grow, stay bounded and are spread by a seed.

use std::time::Duration;

use threadledge_object_api::backoff::{Backoff, BackoffSettings};

fn waits(seed: u64) -> Vec<Duration> {
    let settings = BackoffSettings {
        initial: Duration::from_millis(100),
        max: Duration::from_millis(800),
    };
    let mut backoff = Backoff::new(settings, seed);
    (0..8).map(|_| backoff.next_delay()).collect()
}

#[test]
fn waits_lie_between_half_and_all_of_a_doubling_bounded_base() {
    for seed in 0..100 {
        let bases = [100, 200, 400, 800, 800, 800, 800, 800];
        for (wait, base) in waits(seed).into_iter().zip(bases) {
            let base = Duration::from_millis(base);
            assert!(wait >= base / 2 && wait <= base, "{wait:?} of {base:?}");
        }
    }
}

#[test]
fn equal_seeds_wait_equally_and_others_differ() {
    assert_eq!(waits(7), waits(7));
    assert_ne!(waits(7), waits(8));
}

#[test]
fn success_begins_anew() {
    let mut backoff = Backoff::new(BackoffSettings::default(), 1);
    let first = BackoffSettings::default().initial;
    for _ in 0..5 {
        backoff.next_delay();
    }
    backoff.reset();
    assert!(backoff.next_delay() <= first);
}
