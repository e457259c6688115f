//! Which requests are the same.
//!
//! Two tries are the same request if method, host, path, query, key and body
//! are. Who sends them is kept beside it, in two parts: the address that the
//! connection comes from, and the headers. Neither can be relied on alone: one
//! caller's tries may come from several addresses, and callers that differ may
//! send the same headers. [`super::Suspect`] finds out which of them tell
//! callers apart.

use std::fmt;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What a request asks for, whoever sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

impl fmt::Display for RequestHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Who sends it, as far as a gateway can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId {
    /// Hash of the address that the connection comes from.
    pub address: u64,
    /// Hash of the headers that stay the same from try to try.
    pub headers: u64,
}

/// One request and its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIdentity {
    /// What is asked for.
    pub request: RequestHash,
    /// Who asks.
    pub caller: CallerId,
}

/// What of a body tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    /// Length in bytes, if it is known before the body has come.
    pub length: Option<u64>,
    /// Hash of its start, as far as it was read before it is sent on.
    pub start: u64,
}

impl BodyDigest {
    /// The digest of a body that begins with `start`.
    pub fn new(length: Option<u64>, start: &[u8]) -> Self {
        BodyDigest {
            length,
            start: xxh3_64(start),
        }
    }
}

/// Puts an identity together.
///
/// Each part is hashed with the hash of those before it as its seed, so that
/// no state is carried: a request costs about a tenth of a microsecond for each
/// header, and every request is hashed.
pub struct IdentityBuilder {
    request: u64,
    headers: u64,
}

impl IdentityBuilder {
    /// Begins with the head's first line and the host. `target` is path and
    /// query.
    pub fn new(method: &str, host: &str, target: &str) -> Self {
        let parts = [method, host, target].into_iter();
        IdentityBuilder {
            request: parts.fold(0, |hash, part| chain(hash, part.as_bytes())),
            headers: 0,
        }
    }

    /// The request's key.
    pub fn key(&mut self, key: Option<u16>) {
        let key = key.map_or(u32::MAX, u32::from);
        self.request = chain(self.request, &key.to_le_bytes());
    }

    /// The request's body.
    pub fn body(&mut self, body: BodyDigest) {
        let length = body.length.unwrap_or(u64::MAX);
        self.request = chain(self.request, &length.to_le_bytes());
        self.request = chain(self.request, &body.start.to_le_bytes());
    }

    /// A header that stays the same from try to try. Their order does not
    /// matter.
    pub fn header(&mut self, name: &str, value: &str) {
        let hash = chain(chain(0, name.as_bytes()), value.as_bytes());
        self.headers = self.headers.wrapping_add(hash);
    }

    /// The identity of the request, sent from this address.
    pub fn from_address(self, address: IpAddr) -> RequestIdentity {
        let address = match address {
            IpAddr::V4(address) => xxh3_64(&address.octets()),
            IpAddr::V6(address) => xxh3_64(&address.octets()),
        };
        RequestIdentity {
            request: RequestHash(self.request),
            caller: CallerId {
                address,
                headers: self.headers,
            },
        }
    }
}

/// The hash of a part that follows others.
fn chain(before: u64, part: &[u8]) -> u64 {
    xxh3_64_with_seed(part, before)
}
