//! Tests of back ends and leaders that crash, freeze, restart or resume late.

use threadledge_ownership::{Command, GrantorInput, Holder, LeaderTerm, Observation};
use threadledge_types::session::{GrantsUpdate, Refusal};
use threadledge_types::{Generation, Incarnation, Point, Revision, Timing};

use crate::harness::{Harness, at, name, start};
use crate::support::{address, back_end, back_end_id, put_back_end, service_id, session_id};

/// Maximum time after a crash until a key is served again, in milliseconds.
const MAX_OUTAGE_MS: u64 = 2_500;
const KEY: Point = Point(1);

fn lease_with_drift() -> u64 {
    Timing::default().lease_with_drift().as_millis() as u64
}

/// Returns the number of the process that serves [`KEY`].
fn owner(harness: &Harness) -> u16 {
    let servers = harness.addresses_serving(KEY);
    assert_eq!(servers.len(), 1);
    servers[0].port() - address(0).port()
}

fn restart_process(harness: &mut Harness, number: u16, incarnation: u64) {
    let process = Holder::new(back_end_id(&name(number)), Incarnation(incarnation));
    harness.holders.insert(address(number), process);
}

#[test]
fn a_key_is_served_again_soon_after_its_owner_crashed() {
    for moment in [0, 125, 250, 375, 499] {
        let mut harness = Harness::settled(3, 2);
        harness.run_for(moment);
        let lost = owner(&harness);
        harness.holders.remove(&address(lost));
        let outage = harness.run_until_condition(MAX_OUTAGE_MS, |harness| {
            !harness.addresses_serving(KEY).is_empty()
        });
        println!("crash {moment} ms into the interval: served again after {outage} ms");
        assert_ne!(owner(&harness), lost);
    }
}

#[test]
fn a_restarted_back_end_is_served_again_without_waiting_for_its_lease() {
    let mut harness = Harness::settled(1, 1);
    restart_process(&mut harness, 0, 2);
    let renewal = Timing::default().renewal_ms;
    let outage = harness.run_until_condition(renewal + 50, |harness| {
        !harness.addresses_serving(KEY).is_empty()
    });
    println!("restarted: served again after {outage} ms");
    let record = harness.log.slices()[0].clone();
    assert_eq!(record.owner, Some(session_id(&name(0), 2)));
}

#[test]
fn a_lease_is_counted_from_the_response_whose_reading_was_echoed() {
    let mut harness = Harness::settled(1, 1);
    harness.run_until_condition(1_000, |harness| !harness.grant_requests(0).is_empty());
    let bound = harness.grantor.lease_expiry_bound(&back_end_id(&name(0)));
    let holder_end = harness.holder(0).lease_end().expect("a lease");
    let bound = bound.expect("known");
    assert!(bound >= holder_end);
    let slack = bound.since(holder_end).as_millis() as u64;
    let margin = lease_with_drift() - Timing::default().lease_ms;
    assert!(
        slack <= margin + 502,
        "one interval and a round trip at most"
    );
}

#[test]
fn a_frozen_holder_that_wakes_after_its_lease_serves_nothing() {
    let mut harness = Harness::settled(2, 1);
    let frozen = owner(&harness);
    let service = service_id("s");
    let now = at(harness.now);
    let epoch = harness.holder(frozen).held_epoch(&service, KEY);
    let epoch = epoch.expect("held");
    let permit = harness.holder(frozen).admit(now, &service, KEY, epoch);
    let permit = permit.expect("served");
    harness.unreachable.insert(address(frozen));
    harness.run_for(MAX_OUTAGE_MS);
    assert_ne!(owner(&harness), frozen);
    let now = at(harness.now);
    let woken = harness.holder(frozen);
    assert_eq!(woken.may_commit(now, &permit), Err(Refusal::LeaseLapsed));
    let refused = woken.admit(now, &service, KEY, epoch);
    assert_eq!(refused, Err(Refusal::LeaseLapsed));
    harness.unreachable.clear();
    harness.run_for(1_000);
    let now = at(harness.now);
    let woken = harness.holder(frozen);
    assert!(woken.has_valid_lease(now), "it opened a session again");
    assert!(
        woken.may_commit(now, &permit).is_err(),
        "requests admitted before stay refused"
    );
}

#[test]
fn a_holder_that_returns_while_its_close_was_lost_is_served_again() {
    let mut harness = Harness::settled(1, 1);
    harness.unreachable.insert(address(0));
    harness.loses_proposals = true;
    harness.run_for(MAX_OUTAGE_MS);
    let closing = harness.proposed(|command| matches!(command, Command::CloseSession { .. }));
    assert!(closing.is_some());
    harness.unreachable.clear();
    harness.run_for(2_000);
    assert_eq!(
        harness.addresses_serving(KEY),
        Vec::new(),
        "the close may still commit"
    );
    harness.loses_proposals = false;
    harness.run_for(2_000);
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn a_paused_leader_sends_another_request_before_it_closes_a_session() {
    let mut harness = Harness::settled(3, 2);
    harness.now += 10_000;
    harness.run_for(2_000);
    assert_eq!(harness.proposed, Vec::new());
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn without_its_leader_lease_a_leader_sends_and_proposes_nothing() {
    let mut harness = Harness::settled(3, 2);
    harness.lease_valid = false;
    harness.run_for(5_000);
    assert_eq!(harness.sent, Vec::new());
    assert_eq!(harness.proposed, Vec::new());
    assert_eq!(harness.addresses_serving(KEY).len(), 0);
    let wakeup = harness
        .grantor
        .next_wakeup()
        .expect("a wake-up is scheduled");
    assert!(wakeup > at(harness.now), "the wake-up is not immediate");
    harness.lease_valid = true;
    harness.run_for(1_000);
    assert_eq!(harness.proposed, Vec::new(), "nobody was lost");
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn a_deposed_leader_sends_nothing_once_it_sees_the_next_term() {
    let mut harness = Harness::settled(2, 1);
    let mut next = harness.term;
    next.term += 1;
    harness.commit(&Command::BeginTerm(next));
    harness.sent.clear();
    harness.run_for(3_000);
    assert_eq!(harness.sent, Vec::new());
    assert_eq!(harness.grantor.next_wakeup(), None);
}

#[test]
fn a_new_leader_keeps_every_session_and_grant() {
    let mut harness = Harness::settled(3, 2);
    let before = harness.log.slices();
    harness.new_leader();
    harness.run_for(5_000);
    assert_eq!(harness.log.slices(), before);
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn a_new_leader_grants_nothing_before_its_term_has_begun() {
    let mut harness = Harness::settled(2, 1);
    harness.new_leader();
    harness.loses_proposals = true;
    harness.sent.clear();
    harness.run_for(500);
    // An entry that the former leader left in the log.
    harness.commit(&put_back_end(back_end("left-over", 1, 50, "green")));
    harness.run_for(1_000);
    assert!(!harness.sent.is_empty(), "it sends inquiries");
    let requests = (0..2).flat_map(|number| harness.grant_requests(number));
    assert_eq!(requests.count(), 0);
    harness.loses_proposals = false;
    harness.run_for(1_000);
    assert_ne!(harness.grant_requests(0).len(), 0);
}

#[test]
fn a_leader_whose_term_cannot_begin_sends_requests_no_more_often_than_it_renews() {
    let mut harness = Harness::settled(1, 1);
    harness.new_leader();
    harness.loses_proposals = true;
    harness.sent.clear();
    harness.run_for(5_000);
    assert!(harness.sent.len() <= 11, "{} requests", harness.sent.len());
}

#[test]
fn a_new_leader_counts_lost_sessions_from_its_own_election() {
    let mut harness = Harness::settled(3, 2);
    let lost = owner(&harness);
    harness.holders.remove(&address(lost));
    harness.run_for(1_500);
    harness.new_leader();
    let elected = harness.now;
    harness.run_for(MAX_OUTAGE_MS);
    let closed = harness.observed(|seen| matches!(seen, Observation::SessionExpired(_)));
    let closed = closed.expect("the session was closed");
    assert!(closed >= elected + lease_with_drift());
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn an_earlier_process_that_still_responds_is_ignored() {
    let mut harness = Harness::settled(1, 1);
    restart_process(&mut harness, 0, 0);
    harness.run_for(1_000);
    let stale = harness.observed(|seen| matches!(seen, Observation::StaleProcess(_)));
    assert!(stale.is_some());
    let record = harness.log.slices()[0].clone();
    assert_eq!(record.owner, Some(session_id(&name(0), 1)));
}

#[test]
fn a_response_from_a_former_address_opens_no_session() {
    let mut harness = Harness::settled(1, 1);
    harness.commit(&put_back_end(back_end("late", 2, 70, "blue")));
    let id = back_end_id("late");
    let mut inquiries = harness.sent.iter().filter(|(_, sent)| sent.back_end == id);
    let (_, inquiry) = inquiries.next().expect("it is contacted").clone();
    let mut former = Holder::new(id.clone(), Incarnation(1));
    let response = Box::new(former.handle(at(harness.now), inquiry));
    harness.commit(&put_back_end(back_end("late", 3, 71, "blue")));
    let from = id.clone();
    harness.step(GrantorInput::Response { from, response });
    harness.run_for(1_000);
    assert_eq!(harness.log.machine.session(&id), None);
}

#[test]
fn a_holder_whose_responses_are_lost_keeps_its_slices_until_the_lease_expires() {
    let mut harness = Harness::settled(2, 1);
    let responses_lost = owner(&harness);
    harness.responses_lost.insert(address(responses_lost));
    let start = harness.now;
    let closing = |seen: &Observation| matches!(seen, Observation::SessionExpired(_));
    harness.run_until_condition(MAX_OUTAGE_MS, |harness| harness.observed(closing).is_some());
    assert!(harness.now - start >= Timing::default().lease_ms - 500);
    assert_eq!(
        harness.addresses_serving(KEY),
        Vec::new(),
        "its lease ended before"
    );
}

#[test]
fn a_holder_at_an_unknown_version_gets_every_grant_again() {
    let mut harness = Harness::settled(1, 8);
    let id = back_end_id(&name(0));
    let inquiry = threadledge_types::session::LeaseRequest {
        group: crate::support::GROUP,
        back_end: id,
        incarnation: Some(Incarnation(1)),
        order: harness.term.lease_sequence(1_000),
        echo: None,
        lease_ms: 0,
        grants: GrantsUpdate::Full {
            version: Default::default(),
            grants: Vec::new(),
        },
        prepare: Vec::new(),
    };
    let now = at(harness.now);
    harness.holder(0).handle(now, inquiry);
    assert_eq!(harness.addresses_serving(KEY).len(), 0);
    harness.new_leader();
    harness.run_for(1_000);
    assert_eq!(harness.holder(0).held_grants().len(), 8);
}

#[test]
fn a_new_founding_waits_for_every_lease_to_expire_and_returns_slices_to_their_holders() {
    let mut harness = Harness::settled(3, 4);
    harness.assigns = false;
    let before = harness.log.slices();
    let refounded = LeaderTerm {
        generation: Generation(2),
        term: 1,
    };
    harness.new_leader();
    harness.term = refounded;
    harness.grantor = start(refounded, harness.now, &harness.log);
    let founded = harness.now;
    let mut index = 0;
    while harness.now < founded + 4_000 {
        harness.run_for(1);
        for (_, command) in std::mem::take(&mut harness.proposed) {
            index += 1;
            let revision = Revision::new(Generation(2), index);
            let applied = harness.log.machine.apply(revision, &command);
            let input = GrantorInput::Applied(applied.changes);
            harness.step(input);
        }
        let open = harness.log.machine.sessions().count();
        assert!(open == 0 || harness.now >= founded + lease_with_drift() || index == 0);
    }
    for (former, present) in before.iter().zip(harness.log.slices()) {
        assert_eq!(former.owner, present.owner);
        assert!(present.epoch > former.epoch);
    }
    assert_eq!(harness.addresses_serving(KEY).len(), 1);
}

#[test]
fn an_unreachable_back_end_is_reported_before_its_lease_expires_and_again_when_it_responds() {
    let mut harness = Harness::settled(1, 1);
    let frozen = harness.holders.remove(&address(0)).expect("it runs");
    let froze_at = harness.now;
    harness.run_for(1_200);
    assert!(
        matches!(harness.reachability[..], [(_, false)]),
        "{:?}",
        harness.reachability
    );
    let noticed = harness.reachability[0].0 - froze_at;
    assert!(
        noticed < lease_with_drift() / 2,
        "noticed after {noticed} ms"
    );
    harness.holders.insert(address(0), frozen);
    harness.run_for(600);
    assert!(
        matches!(harness.reachability[..], [_, (_, true)]),
        "{:?}",
        harness.reachability
    );
}
