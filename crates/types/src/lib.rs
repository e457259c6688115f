//! Types that the other threadledge crates share: identifiers, key hashing,
//! slices, epochs, configuration objects, replicated records and the messages
//! exchanged between processes.
//!
//! This crate holds data types and pure functions only. It opens no sockets and
//! reads no clock, so that every core crate can depend on it.

pub mod acceptance;
pub mod deployment;
pub mod epoch;
pub mod ids;
pub mod key;
mod map_diff;
pub mod objects;
pub mod outcome;
mod path_readings;
pub mod records;
pub mod session;
pub mod time;
pub mod timing;
pub mod validation;

pub use epoch::{Epoch, Generation, Revision};
pub use ids::{
    BackEndId, GroupId, Incarnation, MachineName, RegionName, RouterId, RouterIdentity, ServiceId,
    SessionId, ZoneName,
};
pub use key::{Point, Slice, hash_key};
pub use map_diff::{EntryDiff, diff_maps};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use path_readings::path_readings;
pub use time::Timestamp;
pub use timing::Timing;
