//! Client of the platform's object API and of its machine list.
//!
//! The object API follows the conventions of Kubernetes: objects have names
//! within namespaces, versions, watches and conditional writes. The store
//! behind it may be down or slow for long, a write may take effect without
//! its answer arriving, and a restored store may show an older state. Nothing
//! here hides that: errors say whether a write may have taken effect, and the
//! watcher says when it withholds an older object.
//!
//! [`resolve`], [`tracker`] and [`backoff`] decide without input or output;
//! [`client`], [`write`](mod@write), [`watcher`] and [`machines`] carry the
//! decisions out.

pub mod backoff;
pub mod client;
pub mod error;
pub mod machines;
pub mod resolve;
pub mod resource;
pub mod tracker;
pub mod transport;
pub mod watch;
pub mod watcher;
pub mod write;

pub use client::{ObjectClient, ObjectList};
pub use error::{PlatformError, PlatformErrorKind, WriteEffect};
pub use machines::MachineListClient;
pub use resource::{ApiObject, ObjectKey, Scope, StoredObject};
pub use tracker::{Change, ObjectTracker, Withheld, WithheldReason};
pub use transport::TransportSettings;
pub use watch::{Event, EventStream};
pub use watcher::{WatchUpdate, Watcher, WatcherSettings};
pub use write::{ResolveSettings, Write, WriteOutcome, write_resolved};
