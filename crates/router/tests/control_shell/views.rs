//! Tests of status and explanations from a control core.

use std::time::Duration;

use threadledge::control_shell::{explain, status};
use threadledge::operations::{ExplainError, ExplainRequest, NotReadyReason};
use threadledge::planned_stop::routes_beyond_drain;
use threadledge_types::records::{RecordChange, RecordDelta};
use threadledge_types::{BackEndId, Revision};

use crate::world::{HOST, leading_node};

const BOUND: Duration = Duration::from_secs(4);

fn request(path: &str, member: Option<&str>) -> ExplainRequest {
    let member = member.map(|member| ("member".to_owned(), member.to_owned()));
    ExplainRequest {
        host: HOST.to_owned(),
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: member.into_iter().collect(),
    }
}

#[test]
fn status_counts_selected_back_ends_and_unowned_slices() {
    let (node, _) = leading_node();
    let services = status::services(&node);
    assert_eq!(services.len(), 1);
    assert_eq!(services[0].back_ends, 1);
    assert_eq!(services[0].resource_version, 5);
    assert!(services[0].slices > 0);
    assert_eq!(services[0].unowned, services[0].slices);
    assert_eq!(services[0].moving, 0);
    assert!(status::sessions(&node).is_empty());
    let group = status::group(&node).expect("its own group");
    assert_eq!(group.leader, Some(node.identity().id));
    assert_eq!(group.voters, [node.identity().id]);
    assert_eq!(status::members(&node).len(), 1);
}

#[test]
fn readiness_ends_when_the_confirmation_is_older_than_the_bound() {
    let (node, now) = leading_node();
    assert!(status::readiness(&node, now, BOUND).is_ready());
    let late = now + BOUND + Duration::from_millis(1);
    let readiness = status::readiness(&node, late, BOUND);
    assert_eq!(readiness.reasons, [NotReadyReason::RevisionNotConfirmed]);
}

#[test]
fn explanation_names_route_slice_and_selected_back_ends() {
    let (node, _) = leading_node();
    let explained = explain::explain(&node, &request("/browse/all", Some("m-1")));
    let explained = explained.expect("a slice is reached");
    assert_eq!(explained.service.to_string(), "kasamahan/gallery");
    assert_eq!(explained.route.name, "browse");
    assert!(explained.route.repeatable);
    assert_eq!(explained.key, "m-1");
    assert!(explained.slice.contains(explained.point));
    assert!(explained.owner.is_none());
    assert_eq!(explained.selected.len(), 1);
    assert!(!explained.selected[0].session_open);
    let selected = &explained.selected[0].back_end;
    assert_eq!(*selected, BackEndId::new("kasamahan", "gallery-1"));
}

#[test]
fn request_that_reaches_no_slice_is_refused_with_the_reason() {
    let (node, _) = leading_node();
    let mut elsewhere = request("/browse", Some("m-1"));
    elsewhere.host = "elsewhere.example".to_owned();
    let refused = |request| explain::explain(&node, &request).expect_err("refused");
    assert!(matches!(
        refused(elsewhere),
        ExplainError::UnknownHost { .. }
    ));
    assert!(matches!(
        refused(request("/other", Some("m-1"))),
        ExplainError::NoRoute { .. }
    ));
    assert!(matches!(
        refused(request("/browse", None)),
        ExplainError::MissingKey { .. }
    ));
}

#[test]
fn routes_with_deadlines_beyond_the_drain_timeout_are_found() {
    let (node, _) = leading_node();
    let services = node.replica().services().cloned();
    let changes = services.map(|record| RecordChange::Service(Box::new(record)));
    let delta = RecordDelta {
        group: node.replica().group(),
        from: Revision::NONE,
        to: node.replica().revision(),
        full: true,
        changes: changes.collect(),
    };
    let found = |drain_ms| {
        let long = routes_beyond_drain(&delta, Duration::from_millis(drain_ms));
        let names = long.map(|long| (long.service.name.as_str(), long.route.name.as_str()));
        names.collect::<Vec<_>>()
    };
    assert_eq!(found(999), [("gallery", "browse")]);
    assert_eq!(found(1_000), []);
}
