//! Validation of the routes of a service.

use std::collections::BTreeSet;

use super::names::is_dns_label;
use super::problem::{ProblemKind, ProblemList};
use crate::objects::{KeySource, RouteRule};

/// Shortest deadline of a route, in milliseconds.
pub const MIN_DEADLINE_MS: u64 = 10;
/// Longest deadline of a route, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Highest index of a path segment that can hold a key.
pub const MAX_PATH_SEGMENT: u32 = 31;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// Hop-by-hop headers and `host`, which are not passed to back ends and so
/// cannot hold a key.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];
/// Prefix of the headers that routers set.
const OWN_HEADER_PREFIX: &str = "threadledge-";
const MAX_PATH_PREFIX_LENGTH: usize = 1_024;

pub(crate) fn check_routes(routes: &[RouteRule], problems: &mut ProblemList) {
    let mut names = BTreeSet::new();
    for (index, route) in routes.iter().enumerate() {
        let field = format!("spec.routes[{index}]");
        check_route(&field, route, problems);
        if !names.insert(&route.name) {
            let kind = ProblemKind::Duplicate(route.name.clone());
            problems.add(format!("{field}.name"), kind);
        }
        let earlier = routes[..index]
            .iter()
            .find(|earlier| shadows(earlier, route));
        if let Some(earlier) = earlier {
            let earlier = earlier.name.clone();
            problems.add(field, ProblemKind::ShadowedRoute { earlier });
        }
    }
}

fn check_route(field: &str, route: &RouteRule, problems: &mut ProblemList) {
    check_route_name(field, &route.name, problems);
    if !is_path_prefix(&route.path_prefix) {
        let kind = ProblemKind::InvalidPathPrefix(route.path_prefix.clone());
        problems.add(format!("{field}.pathPrefix"), kind);
    }
    check_methods(field, &route.methods, problems);
    check_key(field, &route.key, problems);
    let deadline_field = format!("{field}.deadlineMs");
    problems.check_range(
        deadline_field,
        route.deadline_ms,
        MIN_DEADLINE_MS,
        MAX_DEADLINE_MS,
    );
}

fn check_route_name(field: &str, name: &str, problems: &mut ProblemList) {
    let field = format!("{field}.name");
    if name.is_empty() {
        problems.add(field, ProblemKind::Empty);
    } else if !is_dns_label(name) {
        problems.add(field, ProblemKind::InvalidName(name.to_owned()));
    }
}

fn check_methods(field: &str, methods: &[String], problems: &mut ProblemList) {
    let mut seen = BTreeSet::new();
    for (index, method) in methods.iter().enumerate() {
        let field = format!("{field}.methods[{index}]");
        if !METHODS.contains(&method.as_str()) {
            problems.add(field, ProblemKind::InvalidMethod(method.clone()));
        } else if !seen.insert(method) {
            problems.add(field, ProblemKind::Duplicate(method.clone()));
        }
    }
}

fn check_key(field: &str, key: &KeySource, problems: &mut ProblemList) {
    match key {
        KeySource::Header(name) if !can_hold_key(name) => {
            let field = format!("{field}.key.header");
            problems.add(field, ProblemKind::InvalidHeader(name.clone()));
        }
        KeySource::QueryParameter(name) if name.is_empty() => {
            problems.add(format!("{field}.key.queryParameter"), ProblemKind::Empty);
        }
        KeySource::PathSegment(number) => {
            let field = format!("{field}.key.pathSegment");
            problems.check_range(field, *number, 0, MAX_PATH_SEGMENT);
        }
        KeySource::Header(_) | KeySource::QueryParameter(_) => {}
    }
}

/// Returns true for a valid header name that is passed to back ends and not set
/// by routers.
fn can_hold_key(header: &str) -> bool {
    let lower = header.to_ascii_lowercase();
    let token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !header.is_empty()
        && header.bytes().all(token)
        && !CONNECTION_HEADERS.contains(&lower.as_str())
        && !lower.starts_with(OWN_HEADER_PREFIX)
}

fn is_path_prefix(prefix: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#\\".contains(&byte);
    let Some(rest) = prefix.strip_prefix('/') else {
        return false;
    };
    let trimmed = rest.strip_suffix('/').unwrap_or(rest);
    let is_plain_segment = |segment: &str| !matches!(segment, "" | "." | "..");
    prefix.len() <= MAX_PATH_PREFIX_LENGTH
        && prefix.bytes().all(allowed)
        && (rest.is_empty() || trimmed.split('/').all(is_plain_segment))
}

/// Returns true if every request that `later` matches is also matched by
/// `earlier`.
fn shadows(earlier: &RouteRule, later: &RouteRule) -> bool {
    let all_methods = earlier.methods.is_empty();
    let methods_covered = !later.methods.is_empty()
        && later
            .methods
            .iter()
            .all(|method| earlier.methods.contains(method));
    covers_path(&earlier.path_prefix, &later.path_prefix) && (all_methods || methods_covered)
}

/// Returns true if every path below prefix `narrow` is also below prefix
/// `wide`.
fn covers_path(wide: &str, narrow: &str) -> bool {
    let wide = wide.trim_end_matches('/');
    let narrow = narrow.trim_end_matches('/');
    match narrow.strip_prefix(wide) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
