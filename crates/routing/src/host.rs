//! Normalization of host names for route matching.

use std::borrow::Cow;

/// Normalizes a `Host` value for matching: without port, without a final dot,
/// in lower case.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host.trim());
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    // An IPv6 literal is enclosed in brackets and contains colons itself.
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _port)| name)
}
