//! Who calls: from the digest of a caller's key to the tenant, and whether a
//! route may be used with it.
//!
//! Pure: it knows one configuration at a time and nothing of sockets or clocks.

mod admission;
mod index;

pub use admission::{Admission, Denied, admit, rank};
pub use index::{Caller, KeyChanges, KeyIndex, shared_key};
