//! Tokens for back ends that announce a limit, and the keys that these may
//! keep.

use std::time::Duration;

use threadledge_coordination::holders::Candidate;
use threadledge_coordination::load::LoadMap;
use threadledge_coordination::plan::{HeldRange, rebalance};
use threadledge_coordination::tokens::{TOKEN_LIFETIME, TokenBuckets, TokenRequest};
use threadledge_coordination::{Owner, TokenGrant};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

const STEP: Duration = Duration::from_millis(20);
/// Period over which the maximum number of tokens for a back end is counted.
const WINDOW: Duration = Duration::from_secs(4);

fn name(number: usize) -> BackEndName {
    format!("b-{number:02}").into()
}

fn token_request(rate: f64, needed: u32) -> TokenRequest {
    TokenRequest {
        back_end: name(0),
        rate,
        needed,
    }
}

fn start() -> Timestamp {
    Timestamp::from_millis(10_000)
}

/// Returns the maximum number of tokens that can be used within any window, if
/// each is used at the worst moment of its lifetime.
fn worst_window(given: &[(Timestamp, u32)]) -> u32 {
    let within = |from: &Timestamp| {
        let window = given
            .iter()
            .filter(|(at, _)| at >= from && at.since(*from) < WINDOW + TOKEN_LIFETIME);
        window.map(|(_, tokens)| tokens).sum()
    };
    given.iter().map(|(at, _)| within(at)).max().unwrap_or(0)
}

/// Requests as many tokens as possible from each set of buckets for 20 s, after
/// an idle time of `idle`.
fn most_tokens_granted(
    buckets_of_each: &mut [(TokenBuckets, bool)],
    rate: f64,
    idle: Duration,
) -> u32 {
    let mut now = start();
    let mut given = Vec::new();
    for (buckets, exclusive) in buckets_of_each.iter_mut() {
        buckets.grant(now, &token_request(rate, 0), *exclusive);
    }
    now = now + idle;
    let until = now + Duration::from_secs(20);
    while now < until {
        for (buckets, exclusive) in buckets_of_each.iter_mut() {
            let grant = buckets.grant(now, &token_request(rate, 16), *exclusive);
            given.push((now, grant.tokens));
        }
        now = now + STEP;
    }
    worst_window(&given)
}

#[test]
fn tokens_of_one_coordinator_or_of_two_unconfirmed_ones_stay_within_the_limit() {
    for rate in [0.1, 0.5, 2.1, 10.0, 300.0] {
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        for idle in [Duration::ZERO, Duration::from_secs(3)] {
            let buckets = TokenBuckets::default;
            let one = most_tokens_granted(&mut [(buckets(), true)], rate, idle);
            assert!(f64::from(one) <= allowed, "{rate}: {one} of {allowed}");
            let mut both = [(buckets(), false), (buckets(), false)];
            let two = most_tokens_granted(&mut both, rate, idle);
            assert!(f64::from(two) <= allowed, "{rate}: {two} of {allowed}");
            let least = rate * WINDOW.as_secs_f64() * 0.8;
            assert!(f64::from(one) >= least.floor(), "{rate}: {one} of {least}");
        }
    }
}

#[test]
fn request_with_an_invalid_limit_counts_as_the_minimum_rate() {
    for rate in [0.0, -1.0, f64::NAN] {
        let mut buckets = TokenBuckets::default();
        buckets.grant(start(), &token_request(rate, 0), true);
        let later = start() + Duration::from_secs(3);
        let grant = buckets.grant(later, &token_request(rate, 1), true);
        assert_eq!((grant.tokens, grant.wait_ms), (0, 7_000), "{rate}");
        let mut candidates = candidates(3);
        buckets.bound_weights(later, &mut candidates, 100.0);
        assert!(candidates.iter().all(|candidate| candidate.weight > 0.0));
    }
}

#[test]
fn new_coordinator_starts_without_tokens() {
    let mut buckets = TokenBuckets::default();
    buckets.grant(start(), &token_request(100.0, 0), true);
    let later = start() + Duration::from_secs(3);
    buckets.clear();
    assert_eq!(
        buckets.grant(later, &token_request(100.0, 16), true).tokens,
        0
    );
}

#[test]
fn lower_limit_applies_at_once_and_a_higher_one_when_no_request_names_the_lower() {
    let mut buckets = TokenBuckets::default();
    let mut now = start();
    let mut wait = |millis: u64, rate: f64| {
        now = now + Duration::from_millis(millis);
        let TokenGrant { wait_ms, .. } = buckets.grant(now, &token_request(rate, 1_000), true);
        wait_ms
    };
    wait(0, 10.0);
    let fast = wait(1, 10.0);
    let slow = wait(1, 1.0);
    assert!(slow > 5 * fast, "{slow} after {fast}");
    let still_slow = wait(500, 10.0);
    assert!(still_slow > fast, "{still_slow} after {fast}");
    wait(700, 10.0);
    assert!(wait(1, 10.0) <= fast);
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            owner: Owner {
                name: name(number),
                address: ([10, 0, 0, 1], 1).into(),
            },
            weight: 1.0,
            max_share: None,
        })
        .collect()
}

fn share(candidates: &[Candidate], number: usize) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    candidates[number].weight / total
}

/// Returns the candidates for ten owners with 100 requests per second, the
/// first of which announces a limit.
fn limited_candidates(rate: f64) -> Vec<Candidate> {
    let mut buckets = TokenBuckets::default();
    buckets.grant(start(), &token_request(rate, 1), true);
    let mut candidates = candidates(10);
    buckets.bound_weights(start(), &mut candidates, 100.0);
    candidates
}

#[test]
fn limited_owner_keeps_what_its_limit_allows_and_others_share_the_rest() {
    let limited_candidates = limited_candidates(2.0);
    assert!((share(&limited_candidates, 0) - 0.014).abs() < 1e-9);
    assert!((share(&limited_candidates, 1) - 0.986 / 9.0).abs() < 1e-9);
}

#[test]
fn limit_above_the_usual_share_changes_nothing() {
    assert!((share(&limited_candidates(50.0), 0) - 0.1).abs() < 1e-9);
}

#[test]
fn limit_expires_when_no_request_names_it() {
    let mut buckets = TokenBuckets::default();
    buckets.grant(start(), &token_request(2.0, 1), true);
    let mut candidates = candidates(10);
    let later = start() + Duration::from_secs(5);
    buckets.bound_weights(later, &mut candidates, 100.0);
    assert!((share(&candidates, 0) - 0.1).abs() < 1e-9);
}

#[test]
fn owners_that_all_have_limits_share_keys_by_them() {
    let mut buckets = TokenBuckets::default();
    let mut candidates = candidates(3);
    for (number, rate) in [1.0, 2.0, 1.0].into_iter().enumerate() {
        let back_end = name(number);
        let token_request = TokenRequest {
            back_end,
            ..token_request(rate, 1)
        };
        buckets.grant(start(), &token_request, true);
    }
    buckets.bound_weights(start(), &mut candidates, 100.0);
    assert!((share(&candidates, 1) - 0.5).abs() < 1e-9);
}

#[test]
fn keys_leave_an_owner_over_its_limit_even_if_no_other_has_a_deficit() {
    let candidates = limited_candidates(2.0);
    let count = candidates.len() as u32;
    let part = KeyRange::ALL.len() / count;
    let mut rest = Some(KeyRange::ALL);
    let mut held = Vec::new();
    for candidate in &candidates {
        let range = rest.expect("keys are left");
        let (range, left) = match range.split_after(part) {
            Some((range, left)) if held.len() + 1 < candidates.len() => (range, Some(left)),
            _ => (range, None),
        };
        rest = left;
        held.push(HeldRange {
            range,
            owner: candidate.owner.name.clone(),
        });
    }
    let weights = LoadMap::default().key_weights();
    let taken = rebalance(&held, &candidates, &weights);
    let moved: u32 = taken.iter().map(|range| range.len()).sum();
    assert!(
        taken
            .iter()
            .all(|range| held[0].range.contains(range.first))
    );
    assert!(moved > part * 8 / 10, "{moved} of {part}");
}
