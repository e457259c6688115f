//! Settings of the data path.

use threadledge_net::{PoolSettings, ServerLimits};

use crate::settings::Limits;

/// Default of [`ProxySettings::max_buffered_request`].
const DEFAULT_BUFFERED_REQUEST: usize = 32 * 1024;
/// Default of [`ProxySettings::max_buffered_response`].
const DEFAULT_BUFFERED_RESPONSE: usize = 32 * 1024;

/// Default of [`ProxySettings::max_buffered_total`].
const DEFAULT_BUFFERED_TOTAL: usize = 16 * 1024 * 1024;

/// Bounds of the data path.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Bounds on callers.
    pub server: ServerLimits,
    /// Bounds on connections to back ends.
    pub pool: PoolSettings,
    /// Limits and waits of the decisions.
    pub routing: threadledge_routing::Settings,
    /// Bodies of requests up to this size are read before anything is sent,
    /// in bytes, so that a refused request can be sent again. Larger ones
    /// stream, and are sent again only while nothing of them was sent.
    pub max_buffered_request: usize,
    /// Bodies of answers up to this size are read before anything is passed
    /// on, in bytes, so that an answer cut short becomes a typed outcome.
    /// Larger ones stream; one cut short is cut short for the caller too.
    pub max_buffered_response: usize,
    /// Bytes of bodies held at once, over all requests. Bodies for which
    /// nothing is left stream, whatever their size.
    pub max_buffered_total: usize,
    /// Drawn at random at process start.
    pub seed: u64,
}

impl ProxySettings {
    /// Defaults, with a seed drawn at random.
    pub fn with_seed(seed: u64) -> Self {
        ProxySettings {
            server: ServerLimits::default(),
            pool: PoolSettings::default(),
            routing: threadledge_routing::Settings::default(),
            max_buffered_request: DEFAULT_BUFFERED_REQUEST,
            max_buffered_response: DEFAULT_BUFFERED_RESPONSE,
            max_buffered_total: DEFAULT_BUFFERED_TOTAL,
            seed,
        }
    }

    /// Takes the operators' limits over.
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
