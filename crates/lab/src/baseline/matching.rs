//! Matches requests to services and extracts their keys.

use threadledge_types::ServiceId;

use super::settings::BaselineRoute;

/// Placeholder for the key in a path.
const KEY_PLACEHOLDER: &str = "{key}";

/// The parts of a request that determine its service and key.
#[derive(Clone, Copy)]
pub struct RequestParts<'a> {
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Looks up a header.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// Returns the service and the key by the first of `routes` that matches.
pub fn match_route<'a>(
    routes: &'a [BaselineRoute],
    request: &RequestParts<'a>,
) -> Option<(&'a ServiceId, &'a str)> {
    routes
        .iter()
        .filter(|route| route.host == request.host)
        .find_map(|route| Some((&route.service, route_key(route, request)?)))
}

/// Returns the key of a request if it matches the route.
fn route_key<'a>(route: &BaselineRoute, request: &RequestParts<'a>) -> Option<&'a str> {
    match &route.key_header {
        Some(name) if route.path == request.path => (request.header)(name),
        Some(_) => None,
        None => {
            let (before, after) = route.path.split_once(KEY_PLACEHOLDER)?;
            request.path.strip_prefix(before)?.strip_suffix(after)
        }
    }
}
