//! Who calls: from the digest of a caller's key to the tenant, and whether a
//! route may be used with it.
//!
//! Pure: it knows one configuration at a time and nothing of sockets or clocks.

mod admission;
mod index;

pub use admission::{Admission, AuthError, authorize, effective_priority};
pub use index::{TenantPolicy, KeyChanges, KeyIndex, find_shared_key};
