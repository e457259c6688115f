//! Detects requests that crash the back ends that run them.
//!
//! Such a request is retried again and again, with another id and at another
//! gateway each time, and crashes another back end each time. The observations
//! of one gateway are therefore evidence for all. Each gateway keeps the
//! requests under suspicion in [`Suspects`], and gateways exchange them as
//! [`SuspectUpdate`]s. Evidence is kept in sets, so that updates may be
//! repeated and may arrive in any order. A request that three processes crashed
//! under is held, that is, quarantined: no gateway sends it to a back end
//! again.
//!
//! This crate opens no sockets and reads no clock.

pub mod identity;
mod recent;
pub mod record;
mod signed_timestamp;
mod suspect;
mod suspects;
pub mod unconfirmed;
pub mod update;

pub use identity::{BodyDigest, CallerId, IdentityBuilder, RequestHash, RequestIdentity};
pub use record::HeldRecord;
pub use suspect::{CRASHES_UNTIL_HELD, Suspect};
pub use suspects::{MAX_SUSPECTS, PersistReason, Suspects};
pub use unconfirmed::{BrokenAttempt, UnconfirmedCrashes};
pub use update::{SuspectUpdate, UpdateScope};
