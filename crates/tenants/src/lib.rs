//! Identifies the tenant of a caller by the digest of its API key and decides
//! whether a route may be used with it.
//!
//! The crate works on one configuration at a time and opens no sockets and
//! reads no clock.

mod authorization;
mod index;

pub use authorization::{Admission, AuthError, authorize, effective_priority};
pub use index::{KeyChanges, KeyIndex, TenantPolicy, find_shared_key};
