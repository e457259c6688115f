//! Lets operators look up which tenant holds an API key, by the configuration
//! in force here. The key is given by its digest, so that no key appears in a
//! path.

use http_types::{Method, Request, Response};
use serde::Serialize;
use threadledge_types::deployment::{KeyDigest, RateLimit};

use super::answer;
use super::dispatch::Dispatch;

/// Path prefix of a key lookup; the digest of the key follows.
const KEYS_PATH: &str = "/threadledge/v1/keys/";

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct KeyState {
    /// Tenant that holds the key; callers that present a key without a tenant
    /// get status 401.
    tenant: Option<String>,
    priority: Option<u32>,
    limit: Option<RateLimit>,
    /// Version of the configuration in force.
    version: Option<u64>,
    /// Whether the keys have not been confirmed for too long, so that this may
    /// be out of date.
    unsure: bool,
}

/// Answers an operator's request. Returns `None` for paths that are not about
/// keys.
pub(super) fn answer_operator(dispatch: &Dispatch, request: &Request) -> Option<Response> {
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
        let tenant = dispatcher.caller_of_key(&digest);
        KeyState {
            tenant: tenant.map(|tenant| tenant.name.to_string()),
            priority: tenant.and_then(|tenant| tenant.priority),
            limit: tenant.and_then(|tenant| tenant.limit),
            version: dispatcher.configuration_version().map(|version| version.0),
            unsure: dispatcher.api_keys_stale(now),
        }
    });
    Some(answer::json(&state))
}
