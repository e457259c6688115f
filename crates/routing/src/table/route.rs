//! Routes compiled for matching.

use std::sync::Arc;

use threadledge_types::objects::{KeySource, Priority, RouteRule};

/// Methods that HTTP defines as safe. Only these may be repeated by default.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// One compiled route.
#[derive(Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) name: Arc<str>,
    /// Path prefix without a final slash, so that `/` becomes the empty prefix.
    prefix: Box<str>,
    methods: Vec<String>,
    pub(crate) key: KeySource,
    repeatable: Option<bool>,
    pub(crate) priority: Priority,
    pub(crate) deadline_ms: u64,
    pub(crate) may_queue: bool,
}

impl Route {
    pub(crate) fn new(rule: &RouteRule) -> Self {
        Route {
            name: rule.name.as_str().into(),
            prefix: rule.path_prefix.trim_end_matches('/').into(),
            methods: rule.methods.clone(),
            key: rule.key.clone(),
            repeatable: rule.repeatable,
            priority: rule.priority,
            deadline_ms: rule.deadline_ms,
            may_queue: rule.may_queue,
        }
    }

    /// Whether the route matches a request. Prefixes match whole segments:
    /// `/orders` matches `/orders/7` but not `/orders-old`.
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        self.matches_path(path) && self.matches_method(method)
    }

    fn matches_path(&self, path: &str) -> bool {
        match path.strip_prefix(&*self.prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|own| own == method)
    }

    /// Length of the prefix in bytes; among the services of one host the
    /// longest prefix wins.
    pub(crate) fn prefix_length(&self) -> usize {
        self.prefix.len()
    }

    /// Whether a request with this method may be run more than once.
    pub(crate) fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable
            .unwrap_or_else(|| SAFE_METHODS.contains(&method))
    }
}
