//! Tests of the back end's side on its own.

mod support;

use support::{GROUP, back_end_id, service_id, term};
use threadledge_ownership::{Holder, LeaderTerm, Permit};
use threadledge_types::session::{
    Grant, GrantsUpdate, GrantsVersion, LeaseRequest, LeaseResponse, Refusal,
};
use threadledge_types::{Epoch, Generation, Incarnation, Point, Revision, Slice, Timestamp};

const LEASE_MS: u64 = 2_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn epoch(index: u64) -> Epoch {
    Epoch(Revision::new(Generation(1), index))
}

fn grant(first: u64, last: u64, index: u64) -> Grant {
    Grant {
        service: service_id("s"),
        slice: Slice {
            first: Point(first),
            last: Point(last),
        },
        epoch: epoch(index),
    }
}

fn version(leader: LeaderTerm, number: u64) -> GrantsVersion {
    GrantsVersion {
        generation: leader.generation,
        term: leader.term,
        number,
    }
}

/// A holder and the leader that sends it requests.
struct HolderAndLeader {
    holder: Holder,
    leader: LeaderTerm,
    sequence: u64,
}

impl HolderAndLeader {
    fn new() -> Self {
        HolderAndLeader {
            holder: Holder::new(back_end_id("a"), Incarnation(5)),
            leader: term(1),
            sequence: 0,
        }
    }

    /// Creates a holder with the grants and a lease from `echo`.
    fn holding(grants: Vec<Grant>, echo: u64) -> Self {
        let mut pair = HolderAndLeader::new();
        pair.full(echo, echo, 1, grants);
        pair
    }

    fn request(&mut self, echo: u64, grants: GrantsUpdate) -> LeaseRequest {
        self.sequence += 1;
        LeaseRequest {
            group: GROUP,
            back_end: back_end_id("a"),
            incarnation: Some(Incarnation(5)),
            order: self.leader.lease_sequence(self.sequence),
            echo: Some(at(echo)),
            lease_ms: LEASE_MS,
            grants,
            prepare: Vec::new(),
        }
    }

    fn full(&mut self, now: u64, echo: u64, number: u64, grants: Vec<Grant>) -> LeaseResponse {
        let version = version(self.leader, number);
        let request = self.request(echo, GrantsUpdate::Full { version, grants });
        self.holder.handle(at(now), request)
    }

    fn unchanged(&mut self, now: u64, echo: u64, number: u64) -> LeaseResponse {
        let version = version(self.leader, number);
        let request = self.request(echo, GrantsUpdate::Unchanged { version });
        self.holder.handle(at(now), request)
    }

    fn admit(&mut self, now: u64, point: u64, index: u64) -> Result<Permit, Refusal> {
        let service = service_id("s");
        self.holder
            .admit(at(now), &service, Point(point), epoch(index))
    }

    fn may_commit(&self, now: u64, permit: &Permit) -> Result<(), Refusal> {
        self.holder.may_commit(at(now), permit)
    }
}

#[test]
fn a_new_process_admits_nothing() {
    let refused = HolderAndLeader::new().admit(0, 1, 1);
    assert_eq!(refused, Err(Refusal::WrongOwner));
}

#[test]
fn another_epoch_or_another_key_is_refused() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    assert!(pair.admit(1, 9, 3).is_ok());
    for (point, index) in [(9, 2), (9, 4), (10, 3)] {
        assert_eq!(pair.admit(1, point, index), Err(Refusal::WrongOwner));
    }
}

#[test]
fn an_expired_lease_admits_nothing_and_lets_nothing_take_effect() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 100);
    let permit = pair.admit(2_099, 1, 3).expect("the lease holds");
    assert_eq!(pair.may_commit(2_099, &permit), Ok(()));
    assert_eq!(pair.may_commit(2_100, &permit), Err(Refusal::LeaseLapsed));
    assert_eq!(pair.admit(2_100, 1, 3), Err(Refusal::LeaseLapsed));
}

#[test]
fn a_delayed_renewal_does_not_lengthen_the_lease() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    pair.unchanged(1_900, 100, 1);
    assert_eq!(pair.holder.lease_end(), Some(at(2_100)));
    pair.unchanged(1_950, 50, 1);
    assert_eq!(pair.holder.lease_end(), Some(at(2_100)), "nor shorten it");
}

#[test]
fn an_echo_from_the_future_renews_nothing() {
    let mut pair = HolderAndLeader::new();
    pair.full(10, 11, 1, vec![grant(0, 9, 3)]);
    assert!(!pair.holder.has_valid_lease(at(10)));
}

#[test]
fn duplicated_and_reordered_requests_change_nothing() {
    let mut pair = HolderAndLeader::new();
    let take = GrantsUpdate::Full {
        version: version(term(1), 1),
        grants: vec![grant(0, 9, 3)],
    };
    let first = pair.request(0, take);
    let second = pair.request(
        0,
        GrantsUpdate::Full {
            version: version(term(1), 2),
            grants: Vec::new(),
        },
    );
    assert!(pair.holder.handle(at(1), second.clone()).taken);
    for stale in [first, second] {
        let response = pair.holder.handle(at(2), stale);
        assert!(!response.taken);
        assert_eq!(response.version, Some(version(term(1), 2)));
        assert_eq!(pair.holder.held_grants(), Vec::new());
    }
}

#[test]
fn a_leader_of_an_earlier_term_is_refused() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let deposed = pair.request(0, GrantsUpdate::Inquire);
    let mut inquiry = deposed.clone();
    inquiry.order = term(2).lease_sequence(1);
    assert!(pair.holder.handle(at(1), inquiry).taken);
    let response = pair.holder.handle(at(2), deposed);
    assert!(!response.taken);
    assert_eq!(response.highest, term(2).lease_sequence(1));
}

#[test]
fn a_request_for_another_incarnation_is_refused() {
    let mut pair = HolderAndLeader::new();
    let version = version(term(1), 1);
    let grants = vec![grant(0, 9, 3)];
    let mut request = pair.request(0, GrantsUpdate::Full { version, grants });
    for incarnation in [Some(Incarnation(4)), None] {
        request.incarnation = incarnation;
        let response = pair.holder.handle(at(1), request.clone());
        assert!(!response.taken);
        assert_eq!(response.incarnation, Incarnation(5));
        assert_eq!(pair.holder.held_grants(), Vec::new());
    }
}

#[test]
fn an_inquiry_reports_what_is_held_and_renews_nothing() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let inquiry = pair.request(1_000, GrantsUpdate::Inquire);
    let response = pair.holder.handle(at(1_500), inquiry);
    assert_eq!(response.held, Some(vec![grant(0, 9, 3)]));
    assert_eq!(pair.holder.lease_end(), Some(at(2_000)));
}

#[test]
fn a_delta_from_a_version_not_held_is_ignored() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let delta = GrantsUpdate::Delta {
        base: version(term(1), 2),
        version: version(term(1), 3),
        add: vec![grant(10, 19, 4)],
        remove: Vec::new(),
    };
    let request = pair.request(1_000, delta);
    let response = pair.holder.handle(at(1_000), request);
    assert_eq!(response.version, Some(version(term(1), 1)));
    assert_eq!(pair.holder.held_grants(), vec![grant(0, 9, 3)]);
    assert_eq!(pair.holder.lease_end(), Some(at(2_000)), "not renewed");
}

#[test]
fn a_confirmation_of_a_version_not_held_renews_nothing() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let response = pair.unchanged(1_000, 1_000, 2);
    assert_eq!(response.version, Some(version(term(1), 1)));
    assert_eq!(pair.holder.lease_end(), Some(at(2_000)));
}

#[test]
fn a_grant_taken_away_is_releasing_until_its_requests_finish() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let permit = pair.admit(1, 1, 3).expect("held");
    let response = pair.full(10, 5, 2, Vec::new());
    assert_eq!(response.releasing, vec![grant(0, 9, 3)]);
    assert_eq!(pair.admit(11, 1, 3), Err(Refusal::WrongOwner));
    assert_eq!(
        pair.may_commit(11, &permit),
        Ok(()),
        "the lease still holds"
    );
    pair.holder.finish(permit);
    assert_eq!(pair.unchanged(20, 10, 2).releasing, Vec::new());
}

#[test]
fn a_request_past_its_deadline_neither_delays_a_release_nor_takes_effect() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let service = service_id("s");
    let mut admit = |deadline| {
        let holder = &mut pair.holder;
        holder.admit_with_deadline(at(1), &service, Point(1), epoch(3), Some(at(deadline)))
    };
    assert_eq!(admit(1), Err(Refusal::DeadlinePassed));
    let permit = admit(50).expect("held");
    let response = pair.full(10, 5, 2, Vec::new());
    assert_eq!(response.releasing, vec![grant(0, 9, 3)]);
    assert_eq!(pair.may_commit(49, &permit), Ok(()));
    let late = pair.may_commit(50, &permit);
    assert_eq!(late, Err(Refusal::DeadlinePassed));
    assert_eq!(pair.unchanged(50, 40, 2).releasing, Vec::new());
}

#[test]
fn requests_of_a_grant_taken_away_are_revoked_for_good_once_the_lease_expired() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let permit = pair.admit(1, 1, 3).expect("held");
    pair.full(10, 5, 2, Vec::new());
    let inquiry = pair.request(0, GrantsUpdate::Inquire);
    let lapsed = pair.holder.handle(at(2_500), inquiry);
    assert_eq!(
        lapsed.releasing,
        Vec::new(),
        "a revoked request delays no release"
    );
    pair.unchanged(3_000, 2_990, 2);
    assert!(pair.holder.has_valid_lease(at(3_001)), "renewed");
    assert_eq!(pair.may_commit(3_001, &permit), Err(Refusal::WrongOwner));
}

#[test]
fn a_grant_taken_away_while_the_lease_is_expired_lets_nothing_take_effect() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let permit = pair.admit(1, 1, 3).expect("held");
    let response = pair.full(3_000, 2_990, 2, Vec::new());
    assert_eq!(response.releasing, Vec::new());
    assert_eq!(pair.may_commit(3_001, &permit), Err(Refusal::WrongOwner));
}

#[test]
fn requests_survive_an_expired_lease_only_under_the_same_epoch() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3), grant(10, 19, 3)], 0);
    let kept = pair.admit(1, 1, 3).expect("held");
    let assigned_anew = pair.admit(1, 10, 3).expect("held");
    pair.full(3_000, 2_990, 2, vec![grant(0, 9, 3), grant(10, 19, 7)]);
    assert_eq!(pair.may_commit(3_001, &kept), Ok(()));
    let refused = pair.may_commit(3_001, &assigned_anew);
    assert_eq!(refused, Err(Refusal::WrongOwner));
}

#[test]
fn requests_continue_through_a_split_of_their_slice() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    let permit = pair.admit(1, 7, 3).expect("held");
    let delta = GrantsUpdate::Delta {
        base: version(term(1), 1),
        version: version(term(1), 2),
        add: vec![grant(0, 4, 3), grant(5, 9, 3)],
        remove: vec![grant(0, 9, 3)],
    };
    let request = pair.request(5, delta);
    let response = pair.holder.handle(at(10), request);
    assert_eq!(response.releasing, Vec::new());
    assert_eq!(pair.may_commit(11, &permit), Ok(()));
    assert!(pair.admit(11, 7, 3).is_ok());
}

#[test]
fn of_overlapping_grants_the_older_is_refused() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3), grant(5, 14, 4)], 0);
    assert_eq!(pair.admit(1, 7, 3), Err(Refusal::WrongOwner));
    assert!(pair.admit(1, 7, 4).is_ok());
    pair.full(2, 0, 2, vec![grant(5, 14, 4), grant(0, 9, 3)]);
    assert_eq!(pair.holder.held_grants(), vec![grant(5, 14, 4)]);
}

#[test]
fn readiness_counts_only_for_slices_that_are_asked_for() {
    let mut pair = HolderAndLeader::holding(Vec::new(), 0);
    let asked = grant(0, 9, 3);
    assert!(!pair.holder.mark_ready(&asked));
    let version = version(term(1), 1);
    let mut request = pair.request(0, GrantsUpdate::Unchanged { version });
    request.prepare = vec![asked.clone()];
    assert_eq!(pair.holder.handle(at(1), request).ready, Vec::new());
    assert!(pair.holder.mark_ready(&asked));
    let mut request = pair.request(0, GrantsUpdate::Unchanged { version });
    request.prepare = vec![asked.clone()];
    assert_eq!(pair.holder.handle(at(2), request).ready, vec![asked]);
    assert_eq!(pair.unchanged(3, 0, 1).ready, Vec::new());
}

#[test]
fn a_draining_process_reports_it_and_serves_what_it_holds() {
    let mut pair = HolderAndLeader::holding(vec![grant(0, 9, 3)], 0);
    pair.holder.begin_drain();
    assert!(pair.unchanged(1, 0, 1).draining);
    assert!(pair.admit(2, 1, 3).is_ok());
}
