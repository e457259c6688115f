//! Requests that crash the back ends that run them.
//!
//! Such a request comes again and again, with another id each time and at
//! another gateway, and costs a back end each time. What one gateway saw is
//! evidence for all: each keeps what is known of the requests under suspicion
//! in [`Suspects`], and they tell each other by [`SuspectUpdate`]. Evidence is
//! kept as sets, so that it does no harm to be told twice or in any order. A
//! request under which three processes have ended is held: no gateway sends it
//! to a back end again.
//!
//! Nothing here opens a socket or reads a clock.

pub mod identity;
mod moment;
pub mod update;
mod recent;
pub mod record;
mod suspect;
mod suspects;
pub mod unconfirmed;

pub use identity::{BodyDigest, CallerId, IdentityBuilder, RequestHash, RequestIdentity};
pub use update::{UpdateScope, SuspectUpdate};
pub use record::HeldRecord;
pub use suspect::{CRASHES_UNTIL_HELD, Suspect};
pub use suspects::{PersistReason, MAX_SUSPECTS, Suspects};
pub use unconfirmed::{BrokenAttempt, UnconfirmedCrashes};
