//! The target of a request as its sender wrote it.
//!
//! The URL type of the HTTP library rewrites targets: it resolves `.` and `..`
//! and encodes some characters. A target that it would change is kept beside
//! the URL and takes precedence over it.

use http_types::Request;
use http_types::url::Position;

/// Path and query that the URL of a request does not show as they were sent.
#[derive(Clone, Debug)]
struct SentTarget(String);

/// Returns the path and query of a request as they were sent.
pub fn path_and_query(request: &Request) -> &str {
    match request.ext().get::<SentTarget>() {
        Some(SentTarget(target)) => target,
        None => &request.url()[Position::BeforePath..Position::AfterQuery],
    }
}

/// Returns the path of a request as it was sent.
pub fn path(request: &Request) -> &str {
    split(path_and_query(request)).0
}

/// Returns the query of a request as it was sent, without its question mark.
pub fn query(request: &Request) -> Option<&str> {
    split(path_and_query(request)).1
}

/// Gives a clone of `from` its target: clones of a request do not keep it.
pub fn copy(from: &Request, to: &mut Request) {
    if let Some(sent) = from.ext().get::<SentTarget>() {
        to.ext_mut().insert(sent.clone());
    }
}

/// Sets the path and query of a request.
pub(crate) fn set(request: &mut Request, target: &str) {
    if path_and_query(request) != target {
        request.ext_mut().insert(SentTarget(target.to_owned()));
    }
}

/// Returns the path and query if the URL does not show them as they were sent.
pub(crate) fn differing(request: &Request) -> Option<&str> {
    let sent = request.ext().get::<SentTarget>();
    sent.map(|SentTarget(target)| target.as_str())
}

fn split(target: &str) -> (&str, Option<&str>) {
    match target.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (target, None),
    }
}
