//! Host names as routes match them.

use std::borrow::Cow;

/// Brings a `Host` value to the form in which hosts are matched: without
/// port, without a final dot, in lower case.
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
    // An IPv6 literal stands in brackets and holds colons of its own.
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _port)| name)
}
