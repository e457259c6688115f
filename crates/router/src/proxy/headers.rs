//! Selection of the headers that are forwarded.

use http_types::Headers;
use http_types::headers::{CONNECTION, HeaderName, HeaderValues};

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers that routers and back ends use among themselves.
const RESERVED_PREFIX: &str = "threadledge-";

/// Removes the headers that must not be forwarded: hop-by-hop headers, those
/// that `Connection` names, and all that begin with `threadledge-`. Otherwise
/// a caller could pose as a router, or a back end could forge an outcome.
pub(crate) fn strip<M: AsMut<Headers> + AsRef<Headers>>(message: &mut M) {
    let headers: &Headers = message.as_ref();
    let connection = headers.get(CONNECTION);
    let removed: Vec<HeaderName> = headers
        .names()
        .filter(|name| is_hop_by_hop(name.as_str(), connection))
        .cloned()
        .collect();
    for name in removed {
        message.as_mut().remove(name);
    }
}

/// Returns whether a header applies to a single connection or is reserved for
/// routers and back ends.
pub(crate) fn is_hop_by_hop(name: &str, connection: Option<&HeaderValues>) -> bool {
    HOP_BY_HOP.contains(&name)
        || name.starts_with(RESERVED_PREFIX)
        || connection.is_some_and(|connection| lists_header(connection, name))
}

/// Returns whether a `Connection` header lists the header `name`.
fn lists_header(connection: &HeaderValues, name: &str) -> bool {
    connection
        .iter()
        .flat_map(|value| value.as_str().split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}

/// Returns the only value of a header. Returns `None` if it is absent or
/// occurs more than once, because two readers could then use different values.
pub(crate) fn single<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut values = headers.get(name)?.iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.as_str())
}
