//! Back ends that report a rate limit, and how much many routers send them in
//! total.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::TokenGrant;
use threadledge_coordination::tokens::TokenBuckets;
use threadledge_dispatch::{BackEndEvent, Outcome, RefusalReason, ReportedLimit, Settings, Step};
use threadledge_types::deployment::ServiceName;

use super::limited_routers::{LIMIT_GRACE, Routers, allowed, limit};
use super::support::{Harness, answered, back_end, is_refused};

/// Simulates 20 s from when the limit must be kept. Returns the requests per
/// second sent by the routers that know the limit.
fn sent_within_bound(count: usize, keyed: bool, limit: f64, per_second: u64) -> f64 {
    const LENGTH: Duration = Duration::from_secs(20);
    let seed = count as u64;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut routers = Routers::new(count, keyed, limit, seed);
    routers.run(LIMIT_GRACE + LENGTH, per_second, &mut random);
    let max_in_window = routers.max_in_window();
    let allowed = allowed(limit);
    assert!(
        max_in_window <= allowed,
        "{count} routers, limit {limit}: {max_in_window} of {allowed}"
    );
    let from = routers.begun + LIMIT_GRACE;
    let sent = routers.arrivals.iter().filter(|at| **at >= from);
    sent.count() as f64 / LENGTH.as_secs_f64()
}

/// Fraction of `per_second` random requests with keys of one owner that the
/// owner gets, once all routers know its limit.
fn fraction_sent_to_owner(count: usize, limit: f64, per_second: u64) -> f64 {
    const LENGTH: Duration = Duration::from_secs(200);
    let mut random = ChaCha8Rng::seed_from_u64(count as u64);
    let mut routers = Routers::new(count, true, limit, 1);
    routers.run(LIMIT_GRACE * 10, 20, &mut random);
    let (begun, sent) = (routers.requests, routers.arrivals.len());
    routers.run(LENGTH, per_second, &mut random);
    let max_in_window = routers.max_in_window();
    assert!(max_in_window <= allowed(limit), "{max_in_window}");
    (routers.arrivals.len() - sent) as f64 / (routers.requests - begun) as f64
}

/// An owner keeps keys for 0.7 of its limit, whose requests arrive at random.
#[test]
fn owner_within_its_limit_gets_nine_of_ten_requests_that_arrive_at_random() {
    for (limit, per_second) in [(3.0, 2), (4.3, 3), (10.0, 7)] {
        let sent = fraction_sent_to_owner(11, limit, per_second);
        assert!(
            sent >= 0.9,
            "limit {limit}: {sent} of {per_second} a second"
        );
    }
}

/// Invariant: with tokens, any number of routers that know the limit stays
/// within it and uses most of it.
#[test]
fn any_number_of_routers_keeps_the_limit_of_an_owner() {
    // With more routers, too few have learned of the limit by then.
    for count in [1, 3, 11, 30] {
        for limit in [0.5, 2.1, 6.0] {
            let sent = sent_within_bound(count, true, limit, 20);
            assert!(sent > 0.8 * limit, "{count} routers: {sent} of {limit}");
        }
    }
}

#[test]
fn any_number_of_routers_keeps_the_limit_of_a_back_end_without_keys() {
    for count in [1, 3, 11, 30, 80, 300] {
        for limit in [0.5, 2.1, 6.0] {
            sent_within_bound(count, false, limit, 20);
        }
    }
    for count in [1, 3, 11] {
        let sent = sent_within_bound(count, false, 2.1, 20);
        assert!(sent > 1.2, "{count} routers: {sent} of 2.1");
    }
}

#[test]
fn owner_with_a_limit_gets_no_requests_while_no_coordinator_grants_tokens() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut routers = Routers::new(11, true, 2.0, 5);
    routers.reachable = false;
    routers.run(LIMIT_GRACE * 3, 20, &mut random);
    assert_eq!(routers.max_in_window(), 0);
}

#[test]
fn no_turn_starts_while_the_number_of_routers_is_unknown() {
    let mut harness = Harness::with(Settings::default(), 1);
    harness.back_ends = vec![back_end("p-near", "plain", "near", 1)];
    harness.publish_back_ends();
    answer_with_limit(&mut harness, "safe", None, ReportedLimit::Rate(5.0));
    for _ in 0..40 {
        let begun = harness.begin("safe").expect("admitted");
        assert!(!matches!(harness.next(&begun), Step::Send(_)));
        harness.advance(100);
    }
}

/// Sends one request and reports a limit in its response.
fn answer_with_limit(
    harness: &mut Harness,
    route: &str,
    key: Option<u16>,
    reported: ReportedLimit,
) {
    let begun = harness.begin_with(route, key).expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(20);
    let now = harness.now;
    harness
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, &limit(reported));
    harness.end(&begun, &attempt, answered());
}

fn is_limited(harness: &mut Harness) -> bool {
    let begun = harness.begin_with("keyed", Some(7)).expect("admitted");
    let limited = match harness.next(&begun) {
        Step::Wait(_) => harness.dispatcher.wants_tokens(),
        _ => false,
    };
    harness.dispatcher.abandon(harness.now, begun.id);
    limited
}

#[test]
fn response_to_a_request_sent_before_the_limit_was_reported_neither_lifts_nor_raises_it() {
    let mut harness = Harness::new();
    let early = harness.begin_with("keyed", Some(7)).expect("admitted");
    let attempt = harness.send(&early);
    harness.advance(5);
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(2.0));
    for reported in [ReportedLimit::None, ReportedLimit::Rate(50.0)] {
        let now = harness.now;
        harness
            .dispatcher
            .on_response_head(now, early.id, attempt.id, &limit(reported));
    }
    assert!(is_limited(&mut harness));
    let asks = harness.dispatcher.take_token_requests();
    assert_eq!(asks[&ServiceName::from("keyed")][0].rate, 2.0);
}

/// Grants the router one token, as the coordinator does.
fn grant_token(harness: &mut Harness) {
    let service = ServiceName::from("keyed");
    for asks in harness.dispatcher.take_token_requests().into_values() {
        let mut ledger = TokenBuckets::default();
        ledger.grant(harness.now, &asks[0], true);
        harness.advance(2_000);
        let asked = harness.now;
        let grant = ledger.grant(asked, &asks[0], true);
        assert_eq!(grant.tokens, 1);
        harness
            .dispatcher
            .on_token_grants(asked, &service, asked, &[grant]);
    }
}

#[test]
fn later_response_without_a_limit_lifts_it() {
    let mut harness = Harness::new();
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(2.0));
    assert!(is_limited(&mut harness));
    grant_token(&mut harness);
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::None);
    assert!(!is_limited(&mut harness));
    let news = harness.dispatcher.take_back_end_events();
    assert!(matches!(news[0], BackEndEvent::Limited { rate: 2.0, .. }));
    assert!(matches!(news[1], BackEndEvent::LimitLifted { .. }));
}

#[test]
fn unusual_limits_have_a_defined_meaning() {
    // The reported limit, and the rate in the token request.
    let cases = [
        (ReportedLimit::Rate(0.0), Some(0.1)),
        (ReportedLimit::Rate(0.01), Some(0.1)),
        (ReportedLimit::Rate(1e9), None),
        (ReportedLimit::Unreadable, None),
    ];
    for (reported, rate) in cases {
        let mut harness = Harness::new();
        answer_with_limit(&mut harness, "keyed", Some(7), reported);
        assert_eq!(is_limited(&mut harness), rate.is_some(), "{reported:?}");
        let asks = harness.dispatcher.take_token_requests();
        let asked = asks.values().next().map(|asks| asks[0].rate);
        assert_eq!(asked, rate, "{reported:?}");
    }
}

#[test]
fn unreadable_limit_keeps_the_previous_one_and_is_one_event() {
    let mut harness = Harness::new();
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(2.0));
    harness.dispatcher.take_back_end_events();
    assert!(is_limited(&mut harness));
    grant_token(&mut harness);
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Unreadable);
    assert!(is_limited(&mut harness));
    let news = harness.dispatcher.take_back_end_events();
    assert!(matches!(news[..], [BackEndEvent::LimitUnreadable { .. }]));
}

#[test]
fn limit_outlasts_a_short_gap_in_the_registration() {
    let mut harness = Harness::new();
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(2.0));
    let all = std::mem::take(&mut harness.back_ends);
    harness.publish_back_ends();
    harness.advance(1_000);
    harness.back_ends = all;
    harness.publish_back_ends();
    assert!(is_limited(&mut harness));
}

#[test]
fn attempt_started_before_the_limit_was_reported_may_not_be_sent_after_it() {
    let mut harness = Harness::new();
    let slow = harness.begin_with("keyed", Some(7)).expect("admitted");
    let Step::Send(attempt) = harness.next(&slow) else {
        panic!("not sent");
    };
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(2.0));
    let now = harness.now;
    assert!(!harness.dispatcher.may_send(now, slow.id, attempt.id));
}

#[test]
fn request_beyond_the_limit_is_refused_at_once_with_the_time_of_the_next_token() {
    let mut harness = Harness::new();
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(1.0));
    let begun = harness.begin_with("keyed", Some(7)).expect("admitted");
    assert!(matches!(harness.next(&begun), Step::Wait(_)));
    let asked = harness.now;
    let mut ledger = TokenBuckets::default();
    for (service, asks) in harness.dispatcher.take_token_requests() {
        let grant = ledger.grant(asked, &asks[0], true);
        harness.advance(5);
        let now = harness.now;
        harness
            .dispatcher
            .on_token_grants(now, &service, asked, &[grant]);
    }
    assert_eq!(harness.dispatcher.take_woken(), vec![begun.id]);
    let step = harness.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::BackEndLimited);
    let wait = refusal.retry_after.expect("a time");
    assert!(wait >= Duration::from_millis(900), "{wait:?}");
    let next = harness.begin_with("keyed", Some(7)).expect("admitted");
    let at_once = harness.next(&next);
    assert!(is_refused(&at_once), "{at_once:?}");
}

#[test]
fn number_of_tokens_from_one_grant_is_bounded() {
    let mut harness = Harness::new();
    answer_with_limit(&mut harness, "keyed", Some(7), ReportedLimit::Rate(1.0));
    assert!(is_limited(&mut harness));
    let asked = harness.now;
    for (service, asks) in harness.dispatcher.take_token_requests() {
        let grant = TokenGrant {
            back_end: asks[0].back_end.clone(),
            tokens: u32::MAX,
            wait_ms: 0,
        };
        harness
            .dispatcher
            .on_token_grants(asked, &service, asked, &[grant]);
    }
    let mut sent = 0;
    for _ in 0..40 {
        let begun = harness.begin_with("keyed", Some(7)).expect("admitted");
        let Step::Send(attempt) = harness.next(&begun) else {
            break;
        };
        assert!(
            harness
                .dispatcher
                .may_send(harness.now, begun.id, attempt.id)
        );
        harness.end(&begun, &attempt, answered());
        sent += 1;
    }
    assert_eq!(sent, 16);
}

/// Other back ends have capacity, so callers notice nothing of the limit.
#[test]
fn requests_without_a_key_go_to_back_ends_without_a_limit() {
    let mut harness = Harness::new();
    harness.back_ends.push(back_end("p-2", "plain", "near", 9));
    harness.publish_back_ends();
    for _ in 0..8 {
        answer_with_limit_from(&mut harness, "p-near");
    }
    for _ in 0..20 {
        let attempt = harness.answer_one("safe", 20);
        assert_ne!(attempt.back_end.as_str(), "p-near");
    }
}

/// Sends one request. The response contains a limit if it comes from the back
/// end `name`.
fn answer_with_limit_from(harness: &mut Harness, name: &str) {
    let begun = harness.begin("safe").expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(20);
    let reported = match attempt.back_end.as_str() == name {
        true => ReportedLimit::Rate(0.1),
        false => ReportedLimit::None,
    };
    let now = harness.now;
    harness
        .dispatcher
        .on_response_head(now, begun.id, attempt.id, &limit(reported));
    harness.end(&begun, &attempt, answered());
}
