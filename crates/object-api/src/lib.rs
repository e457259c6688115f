//! Client of the platform's object API and of its machine list.
//!
//! The object API follows the conventions of Kubernetes: objects have names
//! within namespaces, versions, watches and conditional writes. Its store may
//! be unavailable or slow for a long time, a write may take effect although its
//! response is lost, and a restored store may show an older state. This crate
//! does not hide that: errors say whether a write may have taken effect, and
//! the watcher reports when it withholds an older object.
//!
//! [`resolve`], [`tracker`] and [`backoff`] make decisions without I/O;
//! [`client`], [`write`](mod@write), [`watcher`] and [`machines`] execute them.

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
