//! How long back ends take, as the gateways of a zone measure it together.

use std::time::Duration;

use threadledge::gateway::answer_times::AnswerTimes;
use threadledge_coordination::SpeedSample;
use threadledge_types::Timestamp;

fn sample(name: &str, count: u32, work_s: f64) -> SpeedSample {
    SpeedSample {
        back_end: name.into(),
        count,
        work_s,
    }
}

fn mean(samples: &[SpeedSample], name: &str) -> Option<f64> {
    let found = samples.iter().find(|each| each.back_end == name.into())?;
    Some(found.work_s / f64::from(found.count))
}

#[test]
fn what_many_gateways_measured_is_told_as_one() {
    let now = Timestamp::from_millis(5_000);
    let mut relay = AnswerTimes::default();
    relay.measured(&[sample("slow", 1, 0.9), sample("fast", 2, 0.2)]);
    relay.measured(&[sample("slow", 3, 3.1)]);
    let told = relay.gather(now);
    assert_eq!(told.len(), 2);
    assert!((mean(&told, "slow").unwrap() - 1.0).abs() < 1e-9);
    assert!((mean(&told, "fast").unwrap() - 0.1).abs() < 1e-9);
}

#[test]
fn only_what_changed_is_told_again() {
    let mut relay = AnswerTimes::default();
    relay.measured(&[sample("a", 4, 0.4), sample("b", 4, 0.4)]);
    relay.gather(Timestamp::from_millis(1_000));
    relay.measured(&[sample("b", 4, 0.8)]);
    let later = Timestamp::from_millis(1_500);
    relay.gather(later);
    let told = relay.since(later);
    assert_eq!(told.len(), 1);
    let both = relay.since(Timestamp::from_millis(1_000));
    assert_eq!(both.len(), 2, "a follower that was away is told of both");
}

#[test]
fn back_end_that_slows_down_is_known_for_it_within_seconds() {
    let mut relay = AnswerTimes::default();
    let mut now = Timestamp::from_millis(1_000);
    for _ in 0..20 {
        relay.measured(&[sample("a", 3, 0.3)]);
        relay.gather(now);
        now = now + Duration::from_millis(500);
    }
    for _ in 0..6 {
        relay.measured(&[sample("a", 3, 3.0)]);
        relay.gather(now);
        now = now + Duration::from_millis(500);
    }
    let told = relay.since(Timestamp::ZERO);
    assert!(mean(&told, "a").unwrap() > 0.6, "{told:?}");
}

#[test]
fn what_was_measured_long_ago_is_forgotten() {
    let mut relay = AnswerTimes::default();
    relay.measured(&[sample("a", 1, 0.4)]);
    relay.gather(Timestamp::from_millis(1_000));
    relay.gather(Timestamp::from_millis(60_000));
    assert!(relay.since(Timestamp::ZERO).is_empty());
}

#[test]
fn follower_passes_on_what_it_was_told_and_gives_up_what_was_measured_below() {
    let now = Timestamp::from_millis(3_000);
    let mut follower = AnswerTimes::default();
    follower.told(now, &[sample("a", 5, 1.0)]);
    assert_eq!(mean(&follower.since(now), "a"), Some(0.2));
    follower.measured(&[sample("b", 2, 0.5)]);
    follower.measured(&[sample("b", 2, 0.7)]);
    let up = follower.take_fresh();
    assert_eq!(up.len(), 1);
    assert!((mean(&up, "b").unwrap() - 0.3).abs() < 1e-9);
    assert!(follower.take_fresh().is_empty());
}

#[test]
fn nonsense_is_not_taken() {
    let mut relay = AnswerTimes::default();
    relay.measured(&[
        sample("a", 0, 1.0),
        sample("b", 1, f64::NAN),
        sample("c", 1, -1.0),
    ]);
    assert!(relay.gather(Timestamp::from_millis(1)).is_empty());
}
