//! Which back ends a group's leader asks at all. The store holds those of
//! every region, and a process belongs to the first group that asks it.

use threadledge_ownership::Holder;
use threadledge_types::Incarnation;

use crate::bench::{Bench, name};
use crate::support::{address, back_end, back_end_id, put_back_end, put_service, service};

/// A bench with a fourth back end, which no service selects.
fn with_stranger() -> Bench {
    let mut bench = Bench::settled(3, 2);
    let holder = Holder::new(back_end_id(&name(3)), Incarnation(1));
    bench.holders.insert(address(3), holder);
    bench.commit(&put_back_end(back_end(&name(3), 1, 3, "red")));
    bench.run_for(2_000);
    bench
}

fn requests_to_stranger(bench: &Bench) -> usize {
    let stranger = back_end_id(&name(3));
    let sent = bench.sent.iter();
    sent.filter(|(_, request)| request.back_end == stranger)
        .count()
}

#[test]
fn a_back_end_that_no_service_selects_is_left_to_others() {
    let bench = with_stranger();
    assert_eq!(requests_to_stranger(&bench), 0);
}

#[test]
fn a_new_leader_leaves_unselected_back_ends_alone() {
    let mut bench = with_stranger();
    bench.new_leader();
    bench.run_for(3_000);
    assert_eq!(requests_to_stranger(&bench), 0);
    assert!(!bench.sent.is_empty());
}

#[test]
fn a_back_end_is_asked_once_a_new_service_selects_it() {
    let mut bench = with_stranger();
    bench.commit(&put_service(service("t", 1, "red", 2)));
    bench.run_for(1_000);
    assert!(requests_to_stranger(&bench) > 0);
    let session = bench.log.machine.session(&back_end_id(&name(3)));
    assert!(session.is_some(), "it was asked but has no session");
}

#[test]
fn a_back_end_is_asked_once_its_labels_match() {
    let mut bench = with_stranger();
    bench.commit(&put_back_end(back_end(&name(3), 2, 3, "blue")));
    bench.run_for(1_000);
    assert!(requests_to_stranger(&bench) > 0);
}
