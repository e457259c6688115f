//! Computes the identity of a caller's request, which stays the same when the
//! caller sends it again.

use std::net::IpAddr;

use http_types::headers::{CONTENT_LENGTH, HOST};
use threadledge_net::target;
use threadledge_ports::HeaderCodec;
use threadledge_suspects::{IdentityBuilder, RequestIdentity};
use threadledge_types::deployment::{ShardKey, TenantName};

use crate::proxy::headers;
use crate::proxy::inbound::Inbound;

/// Pseudo-header for the tenant. No real header name begins with a colon, so
/// none can be mistaken for it.
const TENANT_PSEUDO_HEADER: &str = ":tenant";

/// Sender of a request.
pub(in super::super) struct Sender<'a> {
    pub(in super::super) key: Option<ShardKey>,
    pub(in super::super) tenant: Option<&'a TenantName>,
    pub(in super::super) address: IpAddr,
}

/// Returns the identity of `inbound`. The caller's API key has already been
/// removed; the tenant represents it, whichever of its keys is used.
pub(in super::super) fn compute(
    inbound: &Inbound,
    sender: Sender<'_>,
    header_codec: &dyn HeaderCodec,
) -> RequestIdentity {
    let request = &inbound.request;
    let host = request.header(HOST).map_or("", |all| all.last().as_str());
    let target = target::path_and_query(request);
    let mut builder = IdentityBuilder::new(request.method().as_ref(), host, target);
    builder.key(sender.key.map(|key| key.0));
    if let Some(tenant) = sender.tenant {
        builder.header(TENANT_PSEUDO_HEADER, tenant.as_str());
    }
    builder.body(inbound.digest);
    for (name, values) in request.iter() {
        let name = name.as_str();
        let already_included = [HOST.as_str(), CONTENT_LENGTH.as_str()].contains(&name);
        if already_included
            || headers::is_hop_by_hop(name, None)
            || header_codec.varies_between_attempts(name)
        {
            continue;
        }
        for value in values.iter() {
            builder.header(name, value.as_str());
        }
    }
    builder.from_address(sender.address)
}
