//! The wording of headers between callers, gateways and back ends.

use std::time::Duration;

use http_types::{Headers, Request};
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{Signals, ToldLoad};
use threadledge_types::deployment::{BackEndName, KeyDigest, ShardKey, TenantName};

/// What a caller's head says beside route and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request's id.
    pub request_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The request's key.
    pub key: Option<ShardKey>,
    /// Digest of the key by which the caller shows whose it is.
    pub api_key: Option<KeyDigest>,
}

/// What the head of a back end's answer says beside status and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that is answered.
    pub request_id: Option<String>,
    /// The back end did not run the request, and says so.
    pub not_run: Option<Rejection>,
    /// The load of the back end.
    pub load: Option<ToldLoad>,
    /// What concerns later requests.
    pub signals: Signals,
    /// A successful answer bears the back end's mark.
    pub stamped: bool,
}

/// Reads and writes the headers that gateways share with callers and back
/// ends.
pub trait HeaderCodec: Send + Sync {
    /// Reads a caller's head.
    fn read_request(&self, headers: &Headers) -> RequestMetadata;

    /// Whether a header of a caller differs from try to try of the same
    /// request.
    fn varies_between_attempts(&self, name: &str) -> bool;

    /// Takes out what says whose caller sends a request: its key, which no
    /// back end may see, and a tenant's name, which no caller may give itself.
    fn strip_caller_identity(&self, request: &mut Request);

    /// Writes into a request whose caller sends it.
    fn set_tenant(&self, request: &mut Request, tenant: &TenantName);

    /// Writes into a request how long the back end has and which back end is
    /// meant.
    fn set_target(&self, request: &mut Request, time_left: Duration, to: &BackEndName);

    /// Reads the head of an answer to a request that was meant for `to`.
    fn read_response(&self, status: u16, headers: &Headers, to: &BackEndName) -> ResponseMetadata;

    /// The path on which the platform asks whether a gateway is ready.
    fn readiness_path(&self) -> &str;
}
