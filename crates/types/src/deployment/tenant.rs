//! Tenants: API keys, rate limits and allowed regions of groups of callers.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::ids::RegionName;

/// Settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    /// Digests of the API keys of its callers.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its requests, which overrides that of the route; 0 is served
    /// first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Rate limit over all gateways together; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

/// Rate limit of a tenant over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RateLimit {
    /// Requests per second, above 0.
    pub rate: f64,
    /// Requests allowed in any time window on top of the rate.
    pub burst: f64,
}

/// SHA-256 digest of an API key. The key itself is not kept, so that neither
/// memory nor messages between gateways reveal it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;
const HEX: &[u8; 16] = b"0123456789abcdef";

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Parses a digest from 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !digits {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(KeyDigest(digest))
    }
}

/// Hides the digest, because logs would otherwise reveal which requests share a
/// key.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(2 * DIGEST_BYTES);
        for byte in self.0 {
            text.push(char::from(HEX[usize::from(byte >> 4)]));
            text.push(char::from(HEX[usize::from(byte & 15)]));
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        KeyDigest::parse(&text)
            .ok_or_else(|| serde::de::Error::custom("a key digest is 64 hexadecimal digits"))
    }
}
