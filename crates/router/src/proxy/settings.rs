//! Settings of the proxy.

use threadledge_net::{PoolSettings, ResponseIds, ServerLimits};
use threadledge_types::session::REQUEST_ID_HEADER;

use crate::settings::Limits;

/// Default of [`ProxySettings::max_buffered_request`].
const DEFAULT_BUFFERED_REQUEST: usize = 32 * 1024;
/// Default of [`ProxySettings::max_buffered_response`].
const DEFAULT_BUFFERED_RESPONSE: usize = 32 * 1024;

/// Default of [`ProxySettings::max_buffered_total`].
const DEFAULT_BUFFERED_TOTAL: usize = 16 * 1024 * 1024;

/// Limits of the proxy.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Limits on callers.
    pub server: ServerLimits,
    /// Limits on connections to back ends.
    pub pool: PoolSettings,
    /// Limits and timeouts of the dispatcher.
    pub routing: threadledge_routing::Settings,
    /// Maximum size of a buffered request body, in bytes. A buffered body is
    /// read completely before anything is sent, so that a refused request can
    /// be sent again. Larger bodies are streamed, and are sent again only if
    /// nothing of them has been sent yet.
    pub max_buffered_request: usize,
    /// Maximum size of a buffered response body, in bytes. A buffered body is
    /// read completely before anything is forwarded, so that a truncated
    /// response becomes a typed outcome. Larger bodies are streamed; if one is
    /// truncated, the caller's response is truncated too.
    pub max_buffered_response: usize,
    /// Maximum size of all buffered bodies together, in bytes. Bodies that do
    /// not fit are streamed, whatever their size.
    pub max_buffered_total: usize,
    /// Seed of the dispatcher's random choices, drawn at process start.
    pub seed: u64,
}

impl ProxySettings {
    /// Returns the defaults with the given seed.
    pub fn with_seed(seed: u64) -> Self {
        ProxySettings {
            server: ServerLimits::default(),
            pool: PoolSettings {
                response_ids: ResponseIds::Optional(REQUEST_ID_HEADER),
                ..PoolSettings::default()
            },
            routing: threadledge_routing::Settings::default(),
            max_buffered_request: DEFAULT_BUFFERED_REQUEST,
            max_buffered_response: DEFAULT_BUFFERED_RESPONSE,
            max_buffered_total: DEFAULT_BUFFERED_TOTAL,
            seed,
        }
    }

    /// Applies the limits of the router's settings.
    pub fn with_limits(mut self, limits: &Limits) -> Self {
        self.server.max_head_bytes = limits.max_head_bytes;
        self.server.max_body_bytes = limits.max_body_bytes;
        self.server.head_timeout = limits.head_timeout();
        self.server.idle_timeout = limits.idle_timeout();
        self.server.max_connections = limits.max_caller_connections;
        self.server.drain_timeout = limits.drain_timeout();
        let percent = (limits.namespace_share * 100.0).round();
        self.routing.namespace_share_percent = percent.clamp(1.0, 100.0) as u32;
        self
    }
}
