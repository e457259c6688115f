//! The identity of a caller's request: what stays the same when it comes
//! again.

use std::net::IpAddr;

use http_types::headers::{CONTENT_LENGTH, HOST};
use threadledge_ports::Wording;
use threadledge_suspects::{IdentityBuilder, RequestIdentity};
use threadledge_types::deployment::ShardKey;

use crate::proxy::headers;
use crate::proxy::inbound::Inbound;

/// What makes `inbound` the same request as another try, sent from `from`.
pub(in super::super) fn of(
    inbound: &Inbound,
    key: Option<ShardKey>,
    from: IpAddr,
    wording: &dyn Wording,
) -> RequestIdentity {
    let request = &inbound.request;
    let url = request.url();
    let host = request.header(HOST).map_or("", |all| all.last().as_str());
    let target = &url[http_types::url::Position::BeforePath..];
    let mut builder = IdentityBuilder::new(request.method().as_ref(), host, target);
    builder.key(key.map(|key| key.0));
    builder.body(inbound.digest);
    for (name, values) in request.iter() {
        let name = name.as_str();
        let counted = [HOST.as_str(), CONTENT_LENGTH.as_str()].contains(&name);
        if counted || headers::is_hop_by_hop(name, None) || wording.differs_by_try(name) {
            continue;
        }
        for value in values.iter() {
            builder.header(name, value.as_str());
        }
    }
    builder.from_address(from)
}
