//! Headers exchanged between callers, gateways and back ends.

use std::time::Duration;

use http_types::{Headers, Request};
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{ReportedLoad, Signals};
use threadledge_types::deployment::{BackEndName, KeyDigest, ShardKey, TenantName};

/// Metadata in the headers of a caller's request, besides route and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the request.
    pub request_id: Option<String>,
    /// How long the caller waits for a response.
    pub time_left: Option<Duration>,
    /// Shard key of the request.
    pub key: Option<ShardKey>,
    /// Digest of the API key, which identifies the caller's tenant.
    pub api_key: Option<KeyDigest>,
}

/// Metadata in the head of a back end's response, besides status and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Set if the back end states that it did not run the request.
    pub not_run: Option<Rejection>,
    /// Load of the back end.
    pub load: Option<ReportedLoad>,
    /// Signals that affect later requests.
    pub signals: Signals,
    /// Whether the response carries the stamp that back ends put on successful
    /// responses.
    pub stamped: bool,
}

/// Reads and writes the headers that gateways exchange with callers and back
/// ends.
pub trait HeaderCodec: Send + Sync {
    /// Name of the header with the id of a request, in requests and in the
    /// responses to them.
    fn request_id_header(&self) -> &'static str;

    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &Headers) -> RequestMetadata;

    /// Whether a header may differ between attempts of the same request.
    fn varies_between_attempts(&self, name: &str) -> bool;

    /// Removes the headers that identify the caller: the API key, which no back
    /// end may see, and the tenant's name, which callers must not set
    /// themselves.
    fn strip_caller_identity(&self, request: &mut Request);

    /// Writes the caller's tenant into a request.
    fn set_tenant(&self, request: &mut Request, tenant: &TenantName);

    /// Writes the remaining time and the intended back end into a request.
    fn set_target(&self, request: &mut Request, time_left: Duration, to: &BackEndName);

    /// Reads the head of a response to a request that was meant for `to`.
    fn read_response(&self, status: u16, headers: &Headers, to: &BackEndName) -> ResponseMetadata;

    /// Returns the path on which the platform asks whether a gateway is ready.
    fn readiness_path(&self) -> &str;
}
