//! Which headers are passed on.

use http_types::Headers;
use http_types::headers::{CONNECTION, HeaderName, HeaderValues};

/// Headers that concern one connection only.
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

/// Start of the names that routers and back ends use among themselves.
const RESERVED_PREFIX: &str = "threadledge-";

/// Takes out what must not be passed on: headers of the connection, those
/// that `Connection` names, and all that begin with `threadledge-`, so that no
/// caller can pose as a router and no back end as another's outcome.
pub(crate) fn strip<M: AsMut<Headers> + AsRef<Headers>>(message: &mut M) {
    let headers: &Headers = message.as_ref();
    let connection = headers.get(CONNECTION);
    let doomed: Vec<HeaderName> = headers
        .names()
        .filter(|name| is_hop_by_hop(name.as_str(), connection))
        .cloned()
        .collect();
    for name in doomed {
        message.as_mut().remove(name);
    }
}

/// Whether a header concerns one connection, or routers only.
pub(crate) fn is_hop_by_hop(name: &str, connection: Option<&HeaderValues>) -> bool {
    HOP_BY_HOP.contains(&name)
        || name.starts_with(RESERVED_PREFIX)
        || connection.is_some_and(|connection| names(connection, name))
}

/// Whether a `Connection` header names another one.
fn names(connection: &HeaderValues, name: &str) -> bool {
    connection
        .iter()
        .flat_map(|value| value.as_str().split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}

/// The only value of a header; `None` when it is absent or stands more than
/// once, because then two readers may take two different values.
pub(crate) fn single<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut values = headers.get(name)?.iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.as_str())
}
