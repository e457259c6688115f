//! Evidence about requests under suspicion and the decisions based on it.

use std::time::Duration;

use threadledge_suspects::{
    BodyDigest, CRASHES_UNTIL_HELD, HeldRecord, IdentityBuilder, MAX_SUSPECTS, RequestIdentity,
    Suspects, UpdateScope,
};
use threadledge_types::Timestamp;

const START: Timestamp = Timestamp::from_millis(10_000);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

/// Builds a request of a caller with this address and cookie.
fn request(target: &str, address: u8, cookie: &str) -> RequestIdentity {
    let mut builder = IdentityBuilder::new("GET", "host.example", target);
    builder.header("cookie", cookie);
    builder.header("accept", "*/*");
    builder.from_address([10, 0, 0, address].into())
}

fn crash(suspects: &mut Suspects, millis: u64, identity: &RequestIdentity, process: &str) {
    suspects.record_crash(
        after(millis),
        identity,
        &process.into(),
        "GET host.example/x",
    );
}

#[test]
fn third_process_holds_a_request_and_crashes_of_one_process_count_once() {
    let mut suspects = Suspects::default();
    let bad = request("/bad", 1, "a");
    crash(&mut suspects, 0, &bad, "p-1");
    crash(&mut suspects, 1, &bad, "p-1");
    crash(&mut suspects, 2, &bad, "p-2");
    assert_eq!(suspects.crashes_of(&bad), 2);
    assert!(!suspects.is_held(&bad));
    crash(&mut suspects, 3, &bad, "p-3");
    assert_eq!(suspects.crashes_of(&bad), CRASHES_UNTIL_HELD);
    assert!(suspects.is_held(&bad));
    assert!(!suspects.is_held(&request("/good", 1, "a")));
}

#[test]
fn attempts_from_several_addresses_count_together_without_a_success() {
    let mut suspects = Suspects::default();
    for number in 0..3 {
        let bad = request("/bad", number, &format!("cookie-{number}"));
        crash(
            &mut suspects,
            u64::from(number),
            &bad,
            &format!("p-{number}"),
        );
    }
    assert!(suspects.is_held(&request("/bad", 9, "another")));
}

#[test]
fn callers_that_succeed_are_told_apart_by_address() {
    let mut suspects = Suspects::default();
    let bad = request("/same", 1, "a");
    let good = request("/same", 2, "a");
    for number in 0..3 {
        suspects.record_success(after(10 * number), &good);
        crash(&mut suspects, 10 * number + 1, &bad, &format!("p-{number}"));
    }
    assert!(suspects.is_held(&bad));
    assert!(!suspects.is_held(&good));
    assert!(!suspects.is_held(&request("/same", 3, "a")));
}

#[test]
fn callers_that_succeed_are_told_apart_by_headers() {
    let mut suspects = Suspects::default();
    let bad = |address| request("/same", address, "bad");
    for number in 0..3 {
        crash(
            &mut suspects,
            10 * u64::from(number),
            &bad(number),
            &format!("p-{number}"),
        );
        suspects.record_success(
            after(10 * u64::from(number) + 1),
            &request("/same", number, "good"),
        );
    }
    assert!(suspects.is_held(&bad(7)));
    assert!(!suspects.is_held(&request("/same", 7, "good")));
}

#[test]
fn success_before_the_first_crash_tells_callers_apart_as_well() {
    let mut suspects = Suspects::default();
    suspects.record_success(START, &request("/same", 2, "a"));
    let bad = request("/same", 1, "b");
    for number in 0..3 {
        crash(&mut suspects, number, &bad, &format!("p-{number}"));
    }
    assert!(suspects.is_held(&bad));
    assert!(!suspects.is_held(&request("/same", 2, "a")));
}

#[test]
fn success_of_the_same_caller_clears_its_earlier_crashes() {
    let mut suspects = Suspects::default();
    let popular = request("/popular", 1, "a");
    crash(&mut suspects, 0, &popular, "p-1");
    crash(&mut suspects, 1, &popular, "p-2");
    suspects.record_success(after(2), &popular);
    assert_eq!(suspects.crashes_of(&popular), 0);
    crash(&mut suspects, 3, &popular, "p-3");
    assert!(!suspects.is_held(&popular));
    crash(&mut suspects, 4, &popular, "p-4");
    crash(&mut suspects, 5, &popular, "p-5");
    assert!(suspects.is_held(&popular));
}

#[test]
fn process_that_responds_later_did_not_crash() {
    let mut suspects = Suspects::default();
    let request = request("/x", 1, "a");
    for number in 0..3 {
        crash(&mut suspects, number, &request, &format!("p-{number}"));
    }
    suspects.record_response(after(10), &"p-1".into());
    assert!(!suspects.is_held(&request));
    // A late report of the same crash does not restore it.
    crash(&mut suspects, 1, &request, "p-1");
    assert!(!suspects.is_held(&request));
}

#[test]
fn key_body_method_and_query_identify_a_request() {
    let identity = |method, target, key, body: &[u8]| {
        let mut builder = IdentityBuilder::new(method, "host.example", target);
        builder.key(key);
        builder.body(BodyDigest::new(Some(body.len() as u64), body));
        builder.from_address([10, 0, 0, 1].into()).request
    };
    let one = identity("POST", "/x?a=1", Some(1), b"body");
    assert_eq!(one, identity("POST", "/x?a=1", Some(1), b"body"));
    assert_ne!(one, identity("PUT", "/x?a=1", Some(1), b"body"));
    assert_ne!(one, identity("POST", "/x?a=2", Some(1), b"body"));
    assert_ne!(one, identity("POST", "/x?a=1", Some(2), b"body"));
    assert_ne!(one, identity("POST", "/x?a=1", None, b"body"));
    assert_ne!(one, identity("POST", "/x?a=1", Some(1), b"bodx"));
}

/// Each of three gateways sees one crash. Whichever gateways exchange updates,
/// in any order and however often, all of them hold the request in the end.
#[test]
fn gateways_that_exchange_updates_agree() {
    for seed in 0..40_u64 {
        arbtest::arbtest(exchange_updates).seed(0x3000_0000_0000 + (seed << 32 | 4_096));
    }
}

fn exchange_updates(
    random: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let mut gateways: Vec<Suspects> = (0..3).map(|_| Suspects::default()).collect();
    let bad = request("/bad", 1, "a");
    for (number, gateway) in gateways.iter_mut().enumerate() {
        crash(gateway, number as u64, &bad, &format!("p-{number}"));
    }
    let mut now = 100;
    let mut send_update = |gateways: &mut Vec<Suspects>, from: usize, to: usize, pause: u64| {
        now += pause;
        let news = gateways[from].updates_since(0, UpdateScope::All, after(now));
        gateways[to].merge(&news, after(now + 3))
    };
    for _ in 0..random.int_in_range(0..=10)? {
        let from = random.int_in_range(0..=2)?;
        let to = random.int_in_range(0..=2)?;
        send_update(&mut gateways, from, to, random.int_in_range(0..=20)?);
    }
    for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1)] {
        send_update(&mut gateways, from, to, 1);
    }
    assert!(gateways.iter().all(|gateway| gateway.is_held(&bad)));
    // All gateways know everything, so no update is new.
    for (from, to) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        assert!(!send_update(&mut gateways, from, to, 50));
    }
    Ok(())
}

/// A newly started gateway passes on evidence that is older than itself.
#[test]
fn old_evidence_stays_old_when_a_new_gateway_passes_it_on() {
    let mut first = Suspects::default();
    let other = request("/other", 1, "a");
    let bad = request("/bad", 1, "a");
    crash(&mut first, 0, &other, "p-1");
    first.record_response(after(100), &"p-1".into());
    for (number, process) in ["p-1", "p-2", "p-3"].into_iter().enumerate() {
        crash(&mut first, 2_000 + number as u64, &bad, process);
    }
    let told = first.updates_since(0, UpdateScope::All, after(4_000));
    let mut started = Suspects::default();
    started.merge(&told, Timestamp::from_millis(300));
    assert!(started.is_held(&bad));
    let told_on = started.updates_since(0, UpdateScope::All, Timestamp::from_millis(400));
    first.merge(&told_on, after(4_102));
    assert!(first.is_held(&bad));
}

/// Relays collect first crashes; all gateways learn of a request with its
/// second crash.
#[test]
fn followers_get_only_requests_with_more_than_one_crash() {
    let mut relay = Suspects::default();
    let one = request("/one", 1, "a");
    let two = request("/two", 1, "a");
    crash(&mut relay, 0, &one, "p-1");
    crash(&mut relay, 1, &two, "p-1");
    let told = relay.changes();
    assert!(
        relay
            .updates_since(0, UpdateScope::Repeated, after(2))
            .is_empty()
    );
    crash(&mut relay, 3, &two, "p-2");
    let news = relay.updates_since(told, UpdateScope::Repeated, after(4));
    assert_eq!(news.suspects.len(), 1);
    assert_eq!(news.suspects[0].request, two.request);
    assert_eq!(news.suspects[0].crashes.len(), 2);
    // A request with only one crash is withdrawn without an update.
    let told = relay.changes();
    relay.record_response(after(10), &"p-2".into());
    let news = relay.updates_since(told, UpdateScope::Repeated, after(11));
    assert_eq!(news.answered.len(), 1);
    relay.record_response(after(10), &"p-1".into());
    let told = relay.changes();
    assert!(
        relay
            .updates_since(told, UpdateScope::Repeated, after(12))
            .is_empty()
    );
}

#[test]
fn release_reaches_others_and_is_not_undone_by_old_updates() {
    let mut first = Suspects::default();
    let mut second = Suspects::default();
    let bad = request("/bad", 1, "a");
    for number in 0..3 {
        crash(&mut first, number, &bad, &format!("p-{number}"));
    }
    let old = first.updates_since(0, UpdateScope::All, after(10));
    second.merge(&old, after(12));
    assert!(second.is_held(&bad));
    assert!(first.release(after(1_000), bad.request));
    let told = first.updates_since(0, UpdateScope::Repeated, after(1_010));
    second.merge(&told, after(1_012));
    assert!(!second.is_held(&bad));
    // The same old evidence arrives late, with increased ages.
    first.merge(
        &second.updates_since(0, UpdateScope::All, after(1_020)),
        after(1_022),
    );
    assert!(!first.is_held(&bad));
}

#[test]
fn record_keeps_held_requests_and_drops_released_ones() {
    let mut suspects = Suspects::default();
    let bad = request("/bad", 1, "a");
    let empty = HeldRecord::default();
    assert_eq!(empty.updated(&suspects, START), None);
    for number in 0..3 {
        crash(&mut suspects, number, &bad, &format!("p-{number}"));
    }
    let record = empty.updated(&suspects, after(10)).expect("changed");
    assert_eq!(record.updated(&suspects, after(20)), None);
    // A gateway reads the record after the whole fleet was lost.
    let mut restarted = Suspects::default();
    restarted.merge(&record.to_update(), Timestamp::from_millis(50));
    assert!(restarted.is_held(&bad));
    assert_eq!(record.updated(&restarted, after(30)), None);
    restarted.release(after(40), bad.request);
    let record = record.updated(&restarted, after(50)).expect("changed");
    assert!(record.held.is_empty());
}

/// All gateways are killed before a third crash is confirmed. Those that start
/// afterwards know of the first two.
#[test]
fn record_keeps_requests_that_the_next_crash_holds() {
    let mut suspects = Suspects::default();
    let bad = request("/bad", 1, "a");
    crash(&mut suspects, 0, &bad, "p-0");
    assert_eq!(HeldRecord::default().updated(&suspects, after(5)), None);
    crash(&mut suspects, 1, &bad, "p-1");
    let record = HeldRecord::default().updated(&suspects, after(10));
    let record = record.expect("changed");
    let mut restarted = Suspects::default();
    restarted.merge(&record.to_update(), Timestamp::from_millis(50));
    assert_eq!(restarted.crashes_of(&bad), 2);
    assert_eq!(record.updated(&restarted, after(20)), None);
    // The third crash is also written, and only once.
    crash(&mut suspects, 30, &bad, "p-2");
    let record = record.updated(&suspects, after(40)).expect("changed");
    assert_eq!(record.held.len(), 1);
    assert_eq!(record.updated(&suspects, after(50)), None);
    restarted.merge(&record.to_update(), Timestamp::from_millis(90));
    assert!(restarted.is_held(&bad));
}

/// Many back ends crash at once, twice, under whatever they run.
#[test]
fn mass_crashes_are_not_persisted() {
    let mut suspects = Suspects::default();
    for number in 0..50 {
        let request = request(&format!("/{number}"), 1, "a");
        crash(&mut suspects, 0, &request, &format!("p-{number}"));
        crash(&mut suspects, 1, &request, &format!("q-{number}"));
    }
    assert_eq!(HeldRecord::default().updated(&suspects, after(10)), None);
}

#[test]
fn crash_after_which_the_next_holds_is_urgent_and_first_crashes_are_not() {
    let mut suspects = Suspects::default();
    let bad = request("/bad", 1, "a");
    crash(&mut suspects, 0, &bad, "p-1");
    assert!(!suspects.has_urgent_changes_since(0));
    let before = suspects.changes();
    crash(&mut suspects, 1, &bad, "p-2");
    assert!(suspects.has_urgent_changes_since(before));
    let before = suspects.changes();
    crash(&mut suspects, 2, &request("/other", 1, "a"), "p-3");
    assert!(!suspects.has_urgent_changes_since(before));
    crash(&mut suspects, 3, &bad, "p-3");
    assert!(suspects.has_urgent_changes_since(before));
    assert!(!suspects.has_urgent_changes_since(suspects.changes()));
}

#[test]
fn mass_crashes_are_not_urgent_unless_they_hold_a_request() {
    let mut suspects = Suspects::default();
    for number in 0..20 {
        let herd = request(&format!("/herd-{number}"), 1, "a");
        crash(&mut suspects, 0, &herd, "p-1");
        crash(&mut suspects, 1, &herd, "p-2");
    }
    let before = suspects.changes();
    crash(&mut suspects, 2, &request("/herd-20", 1, "a"), "p-1");
    crash(&mut suspects, 3, &request("/herd-20", 1, "a"), "p-2");
    assert!(!suspects.has_urgent_changes_since(before));
    crash(&mut suspects, 4, &request("/herd-20", 1, "a"), "p-3");
    assert!(suspects.has_urgent_changes_since(before));
}

/// Guards against as many messages as crashes when a whole zone ends.
#[test]
fn crashes_of_many_held_requests_are_not_urgent() {
    let mut suspects = Suspects::default();
    let mut urgent = 0;
    for number in 0..200 {
        let herd = request(&format!("/herd-{number}"), 1, "a");
        crash(&mut suspects, 0, &herd, "p-1");
        crash(&mut suspects, 1, &herd, "p-2");
        let before = suspects.changes();
        crash(&mut suspects, 2, &herd, "p-3");
        urgent += u64::from(suspects.has_urgent_changes_since(before));
    }
    assert!(urgent <= 20, "{urgent} of 200 third crashes are urgent");
}

/// Many different suspect requests neither evict the held one nor exceed the
/// memory bound.
#[test]
fn many_requests_evict_only_requests_that_are_not_held() {
    let mut suspects = Suspects::default();
    let bad = request("/bad", 1, "a");
    for number in 0..3 {
        crash(&mut suspects, number, &bad, &format!("p-{number}"));
    }
    for number in 0..3 * MAX_SUSPECTS {
        let other = request(&format!("/other/{number}"), 1, "a");
        crash(&mut suspects, 10 + number as u64, &other, "p-9");
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert!(suspects.is_held(&bad));
}

#[test]
fn own_crash_names_a_request_that_another_gateway_reported_without_its_label() {
    let bad = request("/bad", 1, "a");
    let mut other = Suspects::default();
    crash(&mut other, 0, &bad, "p-1");
    let report = other.updates_since(0, UpdateScope::All, after(1));
    let mut suspects = Suspects::default();
    suspects.merge(&report, after(2));
    crash(&mut suspects, 3, &bad, "p-2");
    let suspect = suspects.get(bad.request).expect("a suspect");
    assert_eq!(suspect.label(), "GET host.example/x");
}
