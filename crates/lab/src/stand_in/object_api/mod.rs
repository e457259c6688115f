//! Stand-in for the platform's object API.
//!
//! An HTTP server that keeps objects in memory and follows the conventions of
//! the Kubernetes object API: paginated lists, watches with bookmarks,
//! conditional writes, a status subresource, uid, generation and
//! resourceVersion. It injects faults of the platform on request (see
//! [`FaultCommand`]) and records every write it applied (see
//! [`HistoryEntry`]).
//!
//! [`store`] holds the objects and does no I/O; the other modules serve it
//! over HTTP.

pub mod auth;
pub mod error;
pub mod faults;
pub mod history;
mod merge;
pub mod operation;
pub mod path;
pub mod seed;
mod server;
mod state;
pub mod store;
mod watch;

pub use auth::{Authorization, Principal, Role};
pub use error::ApiError;
pub use faults::FaultCommand;
pub use history::{HistoryEntry, HistoryOperation};
pub use server::{FAULTS_PATH, HISTORY_PATH, ObjectApi};
pub use state::ObjectApiSettings;
pub use store::ObjectStore;
