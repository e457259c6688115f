//! Explanation of how a request would be routed according to this router's
//! records.

use threadledge_control::ControlNode;
use threadledge_routing::key::extract_key;
use threadledge_routing::{HeaderLookup, MatchedRoute, RequestHead, RoutingTable};
use threadledge_types::objects::{KeySource, RouteRule};
use threadledge_types::records::{RecordChange, RecordDelta, ServiceRecord, SliceRecord};
use threadledge_types::validation::compile_selector;
use threadledge_types::{GroupId, NotRunReason, Revision};

use super::status::selected_back_ends;
use crate::operations::{
    ExplainError, ExplainRequest, ExplainedRoute, Explanation, SelectedBackEnd, SliceOwner,
};

/// Headers of the request to explain.
struct Headers<'a>(&'a [(String, String)]);

impl HeaderLookup for Headers<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.0.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Explains how a request would be routed.
///
/// # Errors
///
/// Fails if the request would not reach a slice.
pub fn explain(node: &ControlNode, request: &ExplainRequest) -> Result<Explanation, ExplainError> {
    let headers = Headers(&request.headers);
    let head = request_head(request, &headers);
    let matched = match_request(node, request, &head)?;
    let record = node
        .replica()
        .service(&matched.service)
        .ok_or(ExplainError::NotReady)?;
    let route = route_named(record, &matched.route).ok_or(ExplainError::NotReady)?;
    let key = extract_key(&route.key, &head).map_err(|_| missing_key_error(route))?;
    let slice = slice_of(node, &matched).ok_or(ExplainError::NotReady)?;
    Ok(Explanation {
        service: record.id.clone(),
        route: ExplainedRoute {
            name: route.name.clone(),
            key: route.key.clone(),
            repeatable: matched.repeatable,
            priority: matched.priority,
            deadline_ms: matched.deadline_ms,
            may_queue: matched.may_queue,
        },
        selector: selector_text(record),
        selected: selected_statuses(node, record),
        key: String::from_utf8_lossy(&key).into_owned(),
        point: matched.point,
        owner: slice_owner(node, &slice),
        slice: slice.slice,
        epoch: slice.epoch,
        next: slice.next,
        revision: node.replica().revision(),
    })
}

fn request_head<'a>(request: &'a ExplainRequest, headers: &'a Headers<'a>) -> RequestHead<'a> {
    let (path, query) = match request.path.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (request.path.as_str(), None),
    };
    RequestHead {
        method: &request.method,
        host: &request.host,
        path,
        query,
        headers,
        body_replayable: true,
    }
}

/// Matches the request against the accepted services with the proxy's routing
/// table, so that the result is the same.
fn match_request(
    node: &ControlNode,
    request: &ExplainRequest,
    head: &RequestHead<'_>,
) -> Result<MatchedRoute, ExplainError> {
    let services = node.replica().services();
    let changes: Vec<RecordChange> = services
        .map(|record| RecordChange::Service(Box::new(record.clone())))
        .collect();
    if changes.is_empty() {
        return Err(ExplainError::NotReady);
    }
    let mut table = RoutingTable::new();
    let delta = RecordDelta {
        group: GroupId::default(),
        from: Revision::NONE,
        to: node.replica().revision(),
        full: true,
        changes,
    };
    table.apply(&delta).map_err(|_| ExplainError::NotReady)?;
    let matched = table.match_request(head);
    matched.map_err(|reason| match_error(node, request, reason))
}

fn match_error(node: &ControlNode, request: &ExplainRequest, reason: NotRunReason) -> ExplainError {
    let host = threadledge_routing::host::normalize_host(&request.host);
    let mut services = node.replica().services();
    let service = services.find(|record| record.spec.hosts.iter().any(|known| *known == host));
    match (service, reason) {
        (None, _) => ExplainError::UnknownHost {
            host: request.host.clone(),
        },
        (Some(record), NotRunReason::NoRoute) => ExplainError::NoRoute {
            service: record.id.to_string(),
            method: request.method.clone(),
            path: request.path.clone(),
        },
        (Some(record), _) => ExplainError::MissingKey {
            route: record.id.to_string(),
            source_of_key: "see the service's routes".to_owned(),
        },
    }
}

fn missing_key_error(route: &RouteRule) -> ExplainError {
    ExplainError::MissingKey {
        route: route.name.clone(),
        source_of_key: match &route.key {
            KeySource::Header(name) => format!("header {name}"),
            KeySource::PathSegment(number) => format!("path segment {number}"),
            KeySource::QueryParameter(name) => format!("query parameter {name}"),
        },
    }
}

fn route_named<'a>(record: &'a ServiceRecord, name: &str) -> Option<&'a RouteRule> {
    record.spec.routes.iter().find(|route| route.name == name)
}

fn slice_of(node: &ControlNode, matched: &MatchedRoute) -> Option<SliceRecord> {
    let mut slices = node.replica().slices_of(&matched.service);
    slices.find(|record| record.slice.contains(matched.point))
}

fn selector_text(record: &ServiceRecord) -> String {
    compile_selector(&record.spec.back_end_selector)
        .map(|selector| selector.to_string())
        .unwrap_or_default()
}

fn selected_statuses(node: &ControlNode, record: &ServiceRecord) -> Vec<SelectedBackEnd> {
    let sessions: Vec<_> = node.replica().sessions().collect();
    let back_ends = selected_back_ends(node, record).into_iter();
    back_ends
        .map(|back_end| {
            let mut open = sessions.iter();
            let session = open.find(|session| session.id.back_end == back_end);
            SelectedBackEnd {
                session_open: session.is_some(),
                draining: session.is_some_and(|session| session.draining),
                back_end,
            }
        })
        .collect()
}

fn slice_owner(node: &ControlNode, slice: &SliceRecord) -> Option<SliceOwner> {
    let session = slice.owner.clone()?;
    let back_end = node.replica().back_end(&session.back_end);
    Some(SliceOwner {
        address: back_end.map(|record| record.spec.address),
        session,
    })
}
