//! What operators see of a caller's key: whose it is, by the configuration in
//! force here. They ask by its digest, so that no key stands in a path.

use http_types::{Method, Request, Response};
use serde::Serialize;
use threadledge_types::deployment::{KeyDigest, RateLimit};

use super::answer;
use super::dispatch::Dispatch;

/// Path under which a key is looked up, with its digest behind it.
const KEYS_PATH: &str = "/threadledge/v1/keys/";

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct KeyState {
    /// The tenant that holds it; none: callers that show it get 401.
    tenant: Option<String>,
    priority: Option<u32>,
    limit: Option<RateLimit>,
    /// The configuration that says so.
    version: Option<u64>,
    /// It is too long since that was confirmed: it may be otherwise by now.
    unsure: bool,
}

/// Answers an operator; `None` on paths that are not about keys.
pub(super) fn operate(dispatch: &Dispatch, request: &Request) -> Option<Response> {
    let digest = request.url().path().strip_prefix(KEYS_PATH)?;
    if request.method() != Method::Get {
        return Some(answer::text(405, "use-get", None));
    }
    let Some(digest) = KeyDigest::parse(digest) else {
        return Some(answer::text(
            400,
            "digest-is-64-hex-digits-of-sha-256",
            None,
        ));
    };
    let state = dispatch.with(|dispatcher, now| {
        let holder = dispatcher.caller_of_key(&digest);
        KeyState {
            tenant: holder.map(|holder| holder.name.to_string()),
            priority: holder.and_then(|holder| holder.priority),
            limit: holder.and_then(|holder| holder.limit),
            version: dispatcher.configuration_version().map(|version| version.0),
            unsure: dispatcher.api_keys_stale(now),
        }
    });
    Some(answer::json(&state))
}
