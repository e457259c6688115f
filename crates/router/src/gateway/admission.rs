//! Checks from the request head whether a request may proceed, before any of
//! its body is read, held or counted.

use http_types::headers::HOST;
use http_types::{Method, Request};
use threadledge_dispatch::{Refusal, RequestHead};
use threadledge_net::target;
use threadledge_ports::RequestMetadata;
use threadledge_tenants::Admission;
use threadledge_types::deployment::KeyDigest;

use super::dispatch::Dispatch;

/// Returns the request's `Host` header as the caller wrote it, or an empty
/// string.
pub(super) fn host_of(request: &Request) -> &str {
    request
        .header(HOST)
        .map_or("", |values| values.last().as_str())
}

/// The parts of a request head that decide about its caller and its route.
pub(super) struct Head {
    pub(super) method: Method,
    host: String,
    path: String,
    api_key: Option<KeyDigest>,
}

impl Head {
    pub(super) fn from_request(request: &Request, caller: &RequestMetadata) -> Self {
        Head {
            method: request.method(),
            host: host_of(request).to_owned(),
            path: target::path(request).to_owned(),
            api_key: caller.api_key,
        }
    }

    pub(super) fn as_request_head(&self) -> RequestHead<'_> {
        RequestHead {
            host: &self.host,
            path: &self.path,
            api_key: self.api_key.as_ref(),
        }
    }

    /// Determines the tenant of the caller and the route of the request.
    ///
    /// # Errors
    ///
    /// The refusal with which the request is answered at once.
    pub(super) fn admit(&self, dispatch: &Dispatch) -> Result<Admission, Refusal> {
        dispatch.with(|dispatcher, now| dispatcher.check_admission(now, &self.as_request_head()))
    }
}
