//! Stand-in for the platform's object API.
//!
//! An HTTP server that keeps objects in memory by the conventions of the
//! Kubernetes object API: list with pages, watch with bookmarks, conditional
//! writes, a status subresource, uid, generation and resourceVersion. It can
//! be told to fail in the ways the platform fails (see [`FaultCommand`]) and
//! records every write it carried out (see [`HistoryEntry`]).
//!
//! [`store`] decides without input or output; the rest carries it to sockets.

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
