//! Identity of requests and callers.
//!
//! Two attempts are the same request if method, host, path, query, key and body
//! are equal. The caller is identified separately by two parts: the address
//! that the connection comes from, and the headers. Neither is reliable alone:
//! the attempts of one caller may come from several addresses, and different
//! callers may send the same headers. [`super::Suspect`] determines which of
//! them tells callers apart.

use std::fmt;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a request's content, independent of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

impl fmt::Display for RequestHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identity of a caller, as far as a gateway can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId {
    /// Hash of the address that the connection comes from.
    pub address: u64,
    /// Hash of the headers that stay the same between attempts.
    pub headers: u64,
}

/// Identity of a request together with its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIdentity {
    /// Content of the request.
    pub request: RequestHash,
    /// Caller of the request.
    pub caller: CallerId,
}

/// Digest of a body, which tells requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    /// Length in bytes, if it is known before the body has arrived.
    pub length: Option<u64>,
    /// Hash of the beginning of the body, as far as it was read before the
    /// request is forwarded.
    pub start: u64,
}

impl BodyDigest {
    /// Computes the digest of a body that begins with `start`.
    pub fn new(length: Option<u64>, start: &[u8]) -> Self {
        BodyDigest {
            length,
            start: xxh3_64(start),
        }
    }
}

/// Builds a [`RequestIdentity`].
///
/// Each part is hashed with the hash of the previous parts as its seed, so that
/// no hasher state is kept. A request costs about a tenth of a microsecond per
/// header, and every request is hashed.
pub struct IdentityBuilder {
    request: u64,
    headers: u64,
}

impl IdentityBuilder {
    /// Starts with the method, the host and the target, which is path and
    /// query.
    pub fn new(method: &str, host: &str, target: &str) -> Self {
        let parts = [method, host, target].into_iter();
        IdentityBuilder {
            request: parts.fold(0, |hash, part| chain(hash, part.as_bytes())),
            headers: 0,
        }
    }

    /// Adds the request's key.
    pub fn key(&mut self, key: Option<u16>) {
        let key = key.map_or(u32::MAX, u32::from);
        self.request = chain(self.request, &key.to_le_bytes());
    }

    /// Adds the request's body.
    pub fn body(&mut self, body: BodyDigest) {
        let length = body.length.unwrap_or(u64::MAX);
        self.request = chain(self.request, &length.to_le_bytes());
        self.request = chain(self.request, &body.start.to_le_bytes());
    }

    /// Adds a header that stays the same between attempts. The order of headers
    /// does not matter.
    pub fn header(&mut self, name: &str, value: &str) {
        let hash = chain(chain(0, name.as_bytes()), value.as_bytes());
        self.headers = self.headers.wrapping_add(hash);
    }

    /// Returns the identity of the request when sent from this address.
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

/// Hashes a part together with the hash of the previous ones.
fn chain(before: u64, part: &[u8]) -> u64 {
    xxh3_64_with_seed(part, before)
}
