//! Tests of which back ends a group's leader contacts. The store holds the back
//! ends of every region, and a process belongs to the first group that contacts
//! it.

use threadledge_ownership::Holder;
use threadledge_types::Incarnation;

use crate::harness::{Harness, name};
use crate::support::{address, back_end, back_end_id, put_back_end, put_service, service};

/// Creates a harness with a fourth back end, which no service selects.
fn with_unselected_back_end() -> Harness {
    let mut harness = Harness::settled(3, 2);
    let holder = Holder::new(back_end_id(&name(3)), Incarnation(1));
    harness.holders.insert(address(3), holder);
    harness.commit(&put_back_end(back_end(&name(3), 1, 3, "red")));
    harness.run_for(2_000);
    harness
}

fn requests_to_unselected(harness: &Harness) -> usize {
    let unselected = back_end_id(&name(3));
    let sent = harness.sent.iter();
    sent.filter(|(_, request)| request.back_end == unselected)
        .count()
}

#[test]
fn a_back_end_that_no_service_selects_is_not_contacted() {
    let harness = with_unselected_back_end();
    assert_eq!(requests_to_unselected(&harness), 0);
}

#[test]
fn a_new_leader_does_not_contact_unselected_back_ends() {
    let mut harness = with_unselected_back_end();
    harness.new_leader();
    harness.run_for(3_000);
    assert_eq!(requests_to_unselected(&harness), 0);
    assert!(!harness.sent.is_empty());
}

#[test]
fn a_back_end_is_contacted_once_a_new_service_selects_it() {
    let mut harness = with_unselected_back_end();
    harness.commit(&put_service(service("t", 1, "red", 2)));
    harness.run_for(1_000);
    assert!(requests_to_unselected(&harness) > 0);
    let session = harness.log.machine.session(&back_end_id(&name(3)));
    assert!(session.is_some(), "it was contacted but has no session");
}

#[test]
fn a_back_end_is_contacted_once_its_labels_match() {
    let mut harness = with_unselected_back_end();
    harness.commit(&put_back_end(back_end(&name(3), 2, 3, "blue")));
    harness.run_for(1_000);
    assert!(requests_to_unselected(&harness) > 0);
}
