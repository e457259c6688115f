//! Finds the service and the key of a request.

use threadledge_types::ServiceId;

use super::settings::BaselineRoute;

/// Where `{key}` stands in a path.
const KEY_PLACE: &str = "{key}";

/// The parts of a request that decide where it goes.
#[derive(Clone, Copy)]
pub struct RequestParts<'a> {
    /// Host header.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Looks up a header.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

/// Service and key by the first of `routes` that fits.
pub fn key_of<'a>(
    routes: &'a [BaselineRoute],
    request: &RequestParts<'a>,
) -> Option<(&'a ServiceId, &'a str)> {
    routes
        .iter()
        .filter(|route| route.host == request.host)
        .find_map(|route| Some((&route.service, route_key(route, request)?)))
}

fn route_key<'a>(route: &BaselineRoute, request: &RequestParts<'a>) -> Option<&'a str> {
    match &route.key_header {
        Some(name) if route.path == request.path => (request.header)(name),
        Some(_) => None,
        None => {
            let (before, after) = route.path.split_once(KEY_PLACE)?;
            request.path.strip_prefix(before)?.strip_suffix(after)
        }
    }
}
