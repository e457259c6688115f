//! Single steps of a gateway and of the ledger.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_limits::ledger::LedgerElection;
use threadledge_limits::messages::Echo;
use threadledge_limits::{
    Admission, QuotaResponse, QuotaRequest, HolderRecord, Ledger, Predecessor, RefusalReason, Share, RateLimiter,
    TenantQuotaRequest, TenantGrant,
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

/// A ledger of term 2 that took over, at 0 ms, from one that had listed these
/// machines and may be in office for 6 s.
fn successor(machines: &[&str], ledgers: &[&str]) -> Ledger {
    let mut written = record(2, machines, ledgers);
    written.machines.insert(machine("l"));
    written.ledgers.insert(machine("l"));
    let predecessor = Some(Predecessor {
        lease_end: at(6_000),
    });
    let office = LedgerElection {
        term: Term(2),
        predecessor,
        found: Some(record(1, machines, ledgers)),
        written,
        machine: machine("l"),
    };
    let mut ledger = Ledger::new(at(0), settings(), office);
    ledger.set_limits(at(0), limits());
    ledger
}

/// A ledger that is the first one.
fn first() -> Ledger {
    let office = LedgerElection {
        term: Term(1),
        predecessor: None,
        found: None,
        written: record(1, &["l", "a", "b"], &["l"]),
        machine: machine("l"),
    };
    let mut ledger = Ledger::new(at(0), settings(), office);
    ledger.set_limits(at(0), limits());
    ledger
}

struct Asking<'a> {
    from: &'a str,
    incarnation: u64,
    number: u64,
    need: u32,
    share: u32,
}

/// Lets one ask that was sent at `sent` arrive at `arrives`.
fn ask(ledger: &mut Ledger, sent: u64, arrives: u64, asking: &Asking<'_>) -> Option<TenantGrant> {
    let ask = QuotaRequest {
        from: machine(asking.from),
        incarnation: Incarnation(asking.incarnation),
        number: asking.number,
        echo: Some(Echo {
            term: ledger.term(),
            at: at(0),
            elapsed_us: sent * 1_000,
        }),
        tenants: vec![TenantQuotaRequest {
            name: tenant(),
            need: asking.need,
            prefetch: 0,
            returned: 0,
            rate: 50_000,
            share: Share(asking.share),
        }],
    };
    match ledger.answer(at(arrives), &ask) {
        QuotaResponse::Ledger { tenants, .. } => tenants.into_iter().next(),
        QuotaResponse::NotLeader => None,
    }
}

const A: Asking<'_> = Asking {
    from: "a",
    incarnation: 1,
    number: 1,
    need: 10,
    share: 0,
};

fn tokens(granted: Option<TenantGrant>) -> u32 {
    granted.expect("it was taken in").tokens
}

#[test]
fn ledger_begins_with_empty_buckets() {
    let mut ledger = first();
    assert!(ledger.has_full_rate());
    assert_eq!(tokens(ask(&mut ledger, 0, 0, &A)), 0);
    let later = Asking { number: 2, ..A };
    // A hundred a second: five by then.
    assert_eq!(tokens(ask(&mut ledger, 50, 50, &later)), 5);
}

#[test]
fn successor_gives_out_nothing_until_a_share_is_handed_in() {
    let mut ledger = successor(&["a", "b", "k"], &["k"]);
    let empty = Asking { from: "b", ..A };
    assert_eq!(tokens(ask(&mut ledger, 1_000, 1_000, &empty)), 0);
    let holder = Asking {
        share: 200_000,
        ..A
    };
    assert_eq!(tokens(ask(&mut ledger, 1_000, 1_000, &holder)), 0);
    let again = Asking {
        number: 2,
        need: 100,
        share: 0,
        ..A
    };
    // A fifth of the rate, for three tenths of a second.
    assert_eq!(tokens(ask(&mut ledger, 1_300, 1_300, &again)), 6);
    assert!(!ledger.has_full_rate());
}

#[test]
fn successor_is_whole_when_every_machine_has_asked() {
    let mut ledger = successor(&["a", "b"], &["b"]);
    ask(&mut ledger, 10, 10, &A);
    assert!(!ledger.has_full_rate());
    // One that the record does not name holds nothing.
    ask(&mut ledger, 20, 20, &Asking { from: "c", ..A });
    assert!(!ledger.has_full_rate());
    ask(&mut ledger, 30, 30, &Asking { from: "b", ..A });
    assert!(ledger.has_full_rate());
}

#[test]
fn machine_that_never_comes_back_keeps_one_share_once_offices_have_ended() {
    let mut ledger = successor(&["a", "gone"], &["gone"]);
    ask(&mut ledger, 10, 10, &A);
    let early = Asking { number: 2, ..A };
    assert_eq!(tokens(ask(&mut ledger, 6_000, 6_000, &early)), 0);
    let late = Asking {
        number: 3,
        need: 1_000,
        ..A
    };
    // Of a hundred a second, 30 stay with the other machine: a tenth of a
    // second after the end of the office gives 7.
    assert_eq!(tokens(ask(&mut ledger, 6_100, 6_100, &late)), 7);
}

#[test]
fn silent_gateway_keeps_its_share_and_another_life_frees_it() {
    let mut ledger = first();
    let granted = ask(&mut ledger, 1_000, 1_000, &Asking { need: 0, ..A });
    let share = granted.expect("taken in").share;
    assert_eq!(share, Share(300_000));
    let b = |number| Asking {
        from: "b",
        number,
        need: 1_000,
        ..A
    };
    ask(&mut ledger, 2_000, 2_000, &b(1));
    // It is silent: seven tenths are left.
    assert_eq!(tokens(ask(&mut ledger, 2_300, 2_300, &b(2))), 21);
    let reborn = Asking {
        incarnation: 2,
        need: 0,
        ..A
    };
    ask(&mut ledger, 2_300, 2_300, &reborn);
    assert_eq!(tokens(ask(&mut ledger, 2_600, 2_600, &b(3))), 30);
    // What the earlier life had sent arrives late, and changes nothing.
    let stale = Asking { number: 9, ..A };
    assert!(ask(&mut ledger, 2_600, 2_600, &stale).is_none());
}

#[test]
fn ask_that_was_long_on_its_way_proves_no_contact() {
    let mut ledger = first();
    ask(&mut ledger, 1_000, 1_000, &Asking { need: 0, ..A });
    let held = Asking {
        number: 2,
        need: 0,
        share: 300_000,
        ..A
    };
    // Sent at 1.1 s and arrived at 3 s: its sender uses its share since.
    ask(&mut ledger, 1_100, 3_000, &held);
    let b = |number| Asking {
        from: "b",
        number,
        need: 1_000,
        ..A
    };
    ask(&mut ledger, 3_000, 3_000, &b(1));
    assert_eq!(tokens(ask(&mut ledger, 3_200, 3_200, &b(2))), 14);
}

#[test]
fn machine_that_is_not_in_the_record_gets_no_share() {
    let mut ledger = first();
    let stranger = Asking { from: "s", ..A };
    let granted = ask(&mut ledger, 1_000, 1_000, &stranger).expect("taken in");
    assert_eq!(granted.share, Share(0));
    let wanted = ledger.record_to_write(at(1_000)).expect("it is missing");
    assert!(wanted.machines.contains(&machine("s")));
    ledger.on_record_written(wanted);
    let again = Asking {
        number: 2,
        ..stranger
    };
    let granted = ask(&mut ledger, 1_100, 1_100, &again).expect("taken in");
    assert!(granted.share > Share(0));
}

/// A gateway in contact, at 10 ms, with so many tokens and a share.
fn spender(tokens: u32, share: u32) -> RateLimiter {
    let mut spender = RateLimiter::new(machine("a"), Incarnation(1), settings());
    spender.set_limits(limits());
    spender.observe_term(at(0), Term(1));
    answer(&mut spender, 0, Vec::new());
    assert!(matches!(
        spender.admit_new(at(0), &tenant()),
        Admission::Wait(_)
    ));
    let grant = TenantGrant {
        name: tenant(),
        tokens,
        share: Share(share),
        retry_after_ms: 0,
        over_limit: false,
    };
    answer(&mut spender, 10, vec![grant]);
    spender
}

fn answer(spender: &mut RateLimiter, millis: u64, tenants: Vec<TenantGrant>) {
    let ask = spender.poll(at(millis)).expect("it asks");
    let answer = QuotaResponse::Ledger {
        term: Term(1),
        at: at(7),
        tenants,
        lease_at_risk: false,
    };
    spender.on_response(at(millis), ask.number, answer);
}

#[test]
fn token_ends_by_itself() {
    let mut spender = spender(2, 0);
    assert_eq!(spender.admit_new(at(400), &tenant()), Admission::Admitted);
    let late = spender.admit_new(at(411), &tenant());
    assert!(matches!(late, Admission::Wait(_)), "{late:?}");
}

#[test]
fn share_is_used_only_between_silence_and_its_end() {
    let mut spender = spender(0, 300_000);
    let ask = spender.poll(at(300)).expect("it asks");
    spender.on_timeout(at(600), ask.number);
    assert!(!spender.in_fallback(at(760)));
    assert!(spender.in_fallback(at(770)));
    // Thirty a second, from an empty bucket.
    assert!(matches!(
        spender.admit(at(790), &tenant(), at(790)),
        Admission::Wait(_)
    ));
    assert_eq!(spender.admit(at(810), &tenant(), at(790)), Admission::Admitted);
    // It lasts from the last ask that was answered, and not for ever.
    let over = spender.admit(at(10) + settings_life(), &tenant(), at(0));
    assert!(matches!(
        over,
        Admission::Refused {
            why: RefusalReason::NoLedger,
            ..
        }
    ));
}

/// Longer than any share lasts.
fn settings_life() -> Duration {
    settings().lease * 3
}

#[test]
fn gateway_only_greets_after_an_ask_without_an_answer() {
    let mut spender = spender(0, 300_000);
    let ask = spender.poll(at(300)).expect("it asks");
    assert!(ask.echo.is_some());
    spender.on_timeout(at(600), ask.number);
    let greeting = spender.poll(at(800)).expect("it greets");
    assert_eq!(greeting.echo, None);
    assert_eq!(greeting.tenants, Vec::new());
    // Whatever arrives of the earlier ask now counts for nothing.
    let late = QuotaResponse::Ledger {
        term: Term(1),
        at: at(8),
        tenants: Vec::new(),
        lease_at_risk: false,
    };
    spender.on_response(at(810), ask.number, late);
    assert!(spender.in_fallback(at(811)));
}

#[test]
fn old_share_is_not_handed_in() {
    for (millis, handed_in) in [(5_000, true), (12_000, false)] {
        let mut spender = spender(0, 300_000);
        let _ = spender.admit_new(at(millis), &tenant());
        spender.observe_term(at(millis), Term(2));
        let greeting = spender.poll(at(millis)).expect("it greets");
        let answer = QuotaResponse::Ledger {
            term: Term(2),
            at: at(1),
            tenants: Vec::new(),
            lease_at_risk: false,
        };
        spender.on_response(at(millis), greeting.number, answer);
        let ask = spender.poll(at(millis)).expect("it asks");
        let shares: BTreeSet<Share> = ask.tenants.iter().map(|tenant| tenant.share).collect();
        assert_eq!(shares.contains(&Share(300_000)), handed_in, "{millis}");
    }
}

#[test]
fn refund_goes_back_with_the_next_ask() {
    let mut spender = spender(1, 0);
    assert_eq!(spender.admit_new(at(20), &tenant()), Admission::Admitted);
    spender.refund(at(200), &tenant(), at(20));
    let ask = spender.poll(at(300)).expect("it asks");
    assert_eq!(ask.tenants[0].returned, 1);
}

/// It would come on top of what was gained since.
#[test]
fn refund_of_a_token_that_has_ended_does_not_go_back() {
    let mut spender = spender(1, 0);
    assert_eq!(spender.admit_new(at(20), &tenant()), Admission::Admitted);
    spender.refund(at(620), &tenant(), at(20));
    let ask = spender.poll(at(620)).expect("it asks");
    assert_eq!(ask.tenants[0].returned, 0);
}

#[test]
fn gateway_that_has_just_started_waits_for_a_ledger_and_later_refuses_at_once() {
    let mut spender = RateLimiter::new(machine("a"), Incarnation(1), settings());
    spender.set_limits(limits());
    let first = spender.admit_new(at(0), &tenant());
    assert!(matches!(first, Admission::Wait(_)), "{first:?}");
    let greeting = spender.poll(at(0)).expect("it greets");
    spender.on_timeout(at(0), greeting.number);
    assert_eq!(
        spender.admit(at(100), &tenant(), at(0)),
        Admission::Wait(at(500))
    );
    let late = spender.admit_new(at(1_500), &tenant());
    assert!(matches!(
        late,
        Admission::Refused {
            why: RefusalReason::NoLedger,
            ..
        }
    ));
}

#[test]
fn ledger_that_has_nothing_yet_is_asked_again_soon() {
    let mut ledger = successor(&["a", "b"], &["b"]);
    let granted = ask(&mut ledger, 0, 0, &A).expect("taken in");
    assert_eq!((granted.tokens, granted.over_limit), (0, false));
    assert!((1..250).contains(&granted.retry_after_ms), "{}", granted.retry_after_ms);
}
