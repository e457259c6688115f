//! Single steps of a rate limiter and of the ledger.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_limits::ledger::LedgerElection;
use threadledge_limits::messages::Echo;
use threadledge_limits::{
    Admission, HolderRecord, Ledger, Predecessor, QuotaRequest, QuotaResponse, RateLimiter,
    RefusalReason, Share, TenantGrant, TenantQuotaRequest,
};
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

use super::world::settings;

const LIMIT: RateLimit = RateLimit {
    rate: 100.0,
    burst: 50.0,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn tenant() -> TenantName {
    TenantName::from("acme")
}

fn machine(name: &str) -> MachineName {
    MachineName(name.to_owned())
}

fn limits() -> BTreeMap<TenantName, RateLimit> {
    BTreeMap::from([(tenant(), LIMIT)])
}

fn record(term: u64, machines: &[&str], ledgers: &[&str]) -> HolderRecord {
    HolderRecord {
        term: Term(term),
        machines: machines.iter().map(|name| machine(name)).collect(),
        ledgers: ledgers.iter().map(|name| machine(name)).collect(),
    }
}

/// Creates a ledger of term 2 that takes over at 0 ms. Its predecessor recorded
/// these machines and ledgers and may hold its lease for 6 s.
fn successor(machines: &[&str], ledgers: &[&str]) -> Ledger {
    let mut written = record(2, machines, ledgers);
    written.machines.insert(machine("l"));
    written.ledgers.insert(machine("l"));
    let predecessor = Some(Predecessor {
        lease_end: at(6_000),
    });
    let election = LedgerElection {
        term: Term(2),
        predecessor,
        found: Some(record(1, machines, ledgers)),
        written,
        machine: machine("l"),
    };
    let mut ledger = Ledger::new(at(0), settings(), election);
    ledger.set_limits(at(0), limits());
    ledger
}

/// Creates a ledger without a predecessor.
fn first() -> Ledger {
    let election = LedgerElection {
        term: Term(1),
        predecessor: None,
        found: None,
        written: record(1, &["l", "a", "b"], &["l"]),
        machine: machine("l"),
    };
    let mut ledger = Ledger::new(at(0), settings(), election);
    ledger.set_limits(at(0), limits());
    ledger
}

struct RequestParams<'a> {
    from: &'a str,
    incarnation: u64,
    number: u64,
    need: u32,
    share: u32,
}

/// Delivers a request that was sent at `sent` to the ledger at `arrives`.
fn send_request(
    ledger: &mut Ledger,
    sent: u64,
    arrives: u64,
    params: &RequestParams<'_>,
) -> Option<TenantGrant> {
    let request = QuotaRequest {
        from: machine(params.from),
        incarnation: Incarnation(params.incarnation),
        number: params.number,
        echo: Some(Echo {
            term: ledger.term(),
            at: at(0),
            elapsed_us: sent * 1_000,
        }),
        tenants: vec![TenantQuotaRequest {
            name: tenant(),
            need: params.need,
            prefetch: 0,
            returned: 0,
            rate: 50_000,
            share: Share(params.share),
        }],
    };
    match ledger.handle_request(at(arrives), &request) {
        QuotaResponse::Ledger { tenants, .. } => tenants.into_iter().next(),
        QuotaResponse::NotLeader => None,
    }
}

const A: RequestParams<'_> = RequestParams {
    from: "a",
    incarnation: 1,
    number: 1,
    need: 10,
    share: 0,
};

fn tokens(granted: Option<TenantGrant>) -> u32 {
    granted.expect("it is accepted").tokens
}

#[test]
fn ledger_starts_with_empty_buckets() {
    let mut ledger = first();
    assert!(ledger.has_full_rate());
    assert_eq!(tokens(send_request(&mut ledger, 0, 0, &A)), 0);
    let later = RequestParams { number: 2, ..A };
    // At 100 per second, 5 tokens have accrued.
    assert_eq!(tokens(send_request(&mut ledger, 50, 50, &later)), 5);
}

#[test]
fn successor_grants_nothing_until_a_share_is_reported() {
    let mut ledger = successor(&["a", "b", "k"], &["k"]);
    let empty = RequestParams { from: "b", ..A };
    assert_eq!(tokens(send_request(&mut ledger, 1_000, 1_000, &empty)), 0);
    let holder = RequestParams {
        share: 200_000,
        ..A
    };
    assert_eq!(tokens(send_request(&mut ledger, 1_000, 1_000, &holder)), 0);
    let again = RequestParams {
        number: 2,
        need: 100,
        share: 0,
        ..A
    };
    // A fifth of the rate for 0.3 s gives 6 tokens.
    assert_eq!(tokens(send_request(&mut ledger, 1_300, 1_300, &again)), 6);
    assert!(!ledger.has_full_rate());
}

#[test]
fn successor_has_the_full_rate_once_every_machine_sent_a_request() {
    let mut ledger = successor(&["a", "b"], &["b"]);
    send_request(&mut ledger, 10, 10, &A);
    assert!(!ledger.has_full_rate());
    // A machine that is not in the record holds no share.
    send_request(&mut ledger, 20, 20, &RequestParams { from: "c", ..A });
    assert!(!ledger.has_full_rate());
    send_request(&mut ledger, 30, 30, &RequestParams { from: "b", ..A });
    assert!(ledger.has_full_rate());
}

#[test]
fn lost_machine_withholds_one_share_after_earlier_leases_end() {
    let mut ledger = successor(&["a", "gone"], &["gone"]);
    send_request(&mut ledger, 10, 10, &A);
    let early = RequestParams { number: 2, ..A };
    assert_eq!(tokens(send_request(&mut ledger, 6_000, 6_000, &early)), 0);
    let late = RequestParams {
        number: 3,
        need: 1_000,
        ..A
    };
    // Of 100 per second, 30 stay reserved for the other machine. The remaining
    // 70 give 7 tokens in the 0.1 s after the end of the lease.
    assert_eq!(tokens(send_request(&mut ledger, 6_100, 6_100, &late)), 7);
}

#[test]
fn silent_gateway_keeps_its_share_until_its_next_incarnation() {
    let mut ledger = first();
    let granted = send_request(&mut ledger, 1_000, 1_000, &RequestParams { need: 0, ..A });
    let share = granted.expect("it is accepted").share;
    assert_eq!(share, Share(300_000));
    let b = |number| RequestParams {
        from: "b",
        number,
        need: 1_000,
        ..A
    };
    send_request(&mut ledger, 2_000, 2_000, &b(1));
    // The gateway is silent, so seven tenths of the rate remain.
    assert_eq!(tokens(send_request(&mut ledger, 2_300, 2_300, &b(2))), 21);
    let restarted = RequestParams {
        incarnation: 2,
        need: 0,
        ..A
    };
    send_request(&mut ledger, 2_300, 2_300, &restarted);
    assert_eq!(tokens(send_request(&mut ledger, 2_600, 2_600, &b(3))), 30);
    // A delayed request of the earlier incarnation changes nothing.
    let stale = RequestParams { number: 9, ..A };
    assert!(send_request(&mut ledger, 2_600, 2_600, &stale).is_none());
}

#[test]
fn delayed_request_does_not_prove_contact() {
    let mut ledger = first();
    send_request(&mut ledger, 1_000, 1_000, &RequestParams { need: 0, ..A });
    let held = RequestParams {
        number: 2,
        need: 0,
        share: 300_000,
        ..A
    };
    // The request was sent at 1.1 s and arrives at 3 s, so its sender has been
    // using its share in the meantime.
    send_request(&mut ledger, 1_100, 3_000, &held);
    let b = |number| RequestParams {
        from: "b",
        number,
        need: 1_000,
        ..A
    };
    send_request(&mut ledger, 3_000, 3_000, &b(1));
    assert_eq!(tokens(send_request(&mut ledger, 3_200, 3_200, &b(2))), 14);
}

#[test]
fn machine_missing_from_the_record_gets_no_share() {
    let mut ledger = first();
    let unrecorded = RequestParams { from: "s", ..A };
    let granted = send_request(&mut ledger, 1_000, 1_000, &unrecorded).expect("it is accepted");
    assert_eq!(granted.share, Share(0));
    let wanted = ledger
        .record_to_write(at(1_000))
        .expect("it is not recorded");
    assert!(wanted.machines.contains(&machine("s")));
    ledger.on_record_written(wanted);
    let again = RequestParams {
        number: 2,
        ..unrecorded
    };
    let granted = send_request(&mut ledger, 1_100, 1_100, &again).expect("it is accepted");
    assert!(granted.share > Share(0));
}

/// Creates a limiter that received these tokens and this share from the ledger
/// at 10 ms.
fn limiter(tokens: u32, share: u32) -> RateLimiter {
    let mut limiter = RateLimiter::new(machine("a"), Incarnation(1), settings());
    limiter.set_limits(limits());
    limiter.observe_term(at(0), Term(1));
    respond(&mut limiter, 0, Vec::new());
    assert!(matches!(
        limiter.admit_new(at(0), &tenant()),
        Admission::Wait(_)
    ));
    let grant = TenantGrant {
        name: tenant(),
        tokens,
        share: Share(share),
        retry_after_ms: 0,
        over_limit: false,
    };
    respond(&mut limiter, 10, vec![grant]);
    limiter
}

fn respond(limiter: &mut RateLimiter, millis: u64, tenants: Vec<TenantGrant>) {
    let request = limiter.poll(at(millis)).expect("it sends a request");
    let answer = QuotaResponse::Ledger {
        term: Term(1),
        at: at(7),
        tenants,
        lease_at_risk: false,
    };
    limiter.on_response(at(millis), request.number, answer);
}

#[test]
fn token_expires() {
    let mut limiter = limiter(2, 0);
    assert_eq!(limiter.admit_new(at(400), &tenant()), Admission::Admitted);
    let late = limiter.admit_new(at(411), &tenant());
    assert!(matches!(late, Admission::Wait(_)), "{late:?}");
}

#[test]
fn share_is_used_only_between_timeout_and_expiry() {
    let mut limiter = limiter(0, 300_000);
    let request = limiter.poll(at(300)).expect("it sends a request");
    limiter.on_timeout(at(600), request.number);
    assert!(!limiter.in_fallback(at(760)));
    assert!(limiter.in_fallback(at(770)));
    // The share gives 30 tokens per second, from an empty bucket.
    assert!(matches!(
        limiter.admit(at(790), &tenant(), at(790)),
        Admission::Wait(_)
    ));
    assert_eq!(
        limiter.admit(at(810), &tenant(), at(790)),
        Admission::Admitted
    );
    // The share expires, counted from the last request that was answered.
    let over = limiter.admit(at(10) + beyond_share_lifetime(), &tenant(), at(0));
    assert!(matches!(
        over,
        Admission::Refused {
            why: RefusalReason::NoLedger,
            ..
        }
    ));
}

/// Longer than the lifetime of any share.
fn beyond_share_lifetime() -> Duration {
    settings().lease * 3
}

#[test]
fn gateway_sends_only_hellos_after_an_unanswered_request() {
    let mut limiter = limiter(0, 300_000);
    let request = limiter.poll(at(300)).expect("it sends a request");
    assert!(request.echo.is_some());
    limiter.on_timeout(at(600), request.number);
    let hello = limiter.poll(at(800)).expect("it sends a hello");
    assert_eq!(hello.echo, None);
    assert_eq!(hello.tenants, Vec::new());
    // A late response to the earlier request is ignored.
    let late = QuotaResponse::Ledger {
        term: Term(1),
        at: at(8),
        tenants: Vec::new(),
        lease_at_risk: false,
    };
    limiter.on_response(at(810), request.number, late);
    assert!(limiter.in_fallback(at(811)));
}

#[test]
fn old_share_is_not_reported() {
    for (millis, handed_in) in [(5_000, true), (12_000, false)] {
        let mut limiter = limiter(0, 300_000);
        let _ = limiter.admit_new(at(millis), &tenant());
        limiter.observe_term(at(millis), Term(2));
        let hello = limiter.poll(at(millis)).expect("it sends a hello");
        let answer = QuotaResponse::Ledger {
            term: Term(2),
            at: at(1),
            tenants: Vec::new(),
            lease_at_risk: false,
        };
        limiter.on_response(at(millis), hello.number, answer);
        let request = limiter.poll(at(millis)).expect("it sends a request");
        let shares: BTreeSet<Share> = request.tenants.iter().map(|tenant| tenant.share).collect();
        assert_eq!(shares.contains(&Share(300_000)), handed_in, "{millis}");
    }
}

#[test]
fn refund_is_returned_with_the_next_request() {
    let mut limiter = limiter(1, 0);
    assert_eq!(limiter.admit_new(at(20), &tenant()), Admission::Admitted);
    limiter.refund(at(200), &tenant(), at(20));
    let request = limiter.poll(at(300)).expect("it sends a request");
    assert_eq!(request.tenants[0].returned, 1);
}

/// The ledger gained other tokens since, and a returned one would exceed the
/// limit.
#[test]
fn refund_of_an_expired_token_is_dropped() {
    let mut limiter = limiter(1, 0);
    assert_eq!(limiter.admit_new(at(20), &tenant()), Admission::Admitted);
    limiter.refund(at(620), &tenant(), at(20));
    let request = limiter.poll(at(620)).expect("it sends a request");
    assert_eq!(request.tenants[0].returned, 0);
}

#[test]
fn starting_gateway_waits_for_a_ledger_and_later_refuses_at_once() {
    let mut limiter = RateLimiter::new(machine("a"), Incarnation(1), settings());
    limiter.set_limits(limits());
    let first = limiter.admit_new(at(0), &tenant());
    assert!(matches!(first, Admission::Wait(_)), "{first:?}");
    let hello = limiter.poll(at(0)).expect("it sends a hello");
    limiter.on_timeout(at(0), hello.number);
    assert_eq!(
        limiter.admit(at(100), &tenant(), at(0)),
        Admission::Wait(at(500))
    );
    let late = limiter.admit_new(at(1_500), &tenant());
    assert!(matches!(
        late,
        Admission::Refused {
            why: RefusalReason::NoLedger,
            ..
        }
    ));
}

#[test]
fn ledger_without_tokens_yet_gets_another_request_soon() {
    let mut ledger = successor(&["a", "b"], &["b"]);
    let granted = send_request(&mut ledger, 0, 0, &A).expect("it is accepted");
    assert_eq!((granted.tokens, granted.over_limit), (0, false));
    assert!(
        (1..250).contains(&granted.retry_after_ms),
        "{}",
        granted.retry_after_ms
    );
}
