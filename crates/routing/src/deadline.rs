//! Request deadlines. The caller may shorten the deadline of its route, and the
//! time left is passed on to the back end.

use std::time::Duration;

use threadledge_types::session::DEADLINE_HEADER;
use threadledge_types::{NotRunReason, Timestamp};

use crate::head::HeaderLookup;

/// Returns the time by which a request that arrives now must have its outcome:
/// the route's deadline, or the caller's own from the `threadledge-deadline-ms`
/// header if that is shorter.
///
/// # Errors
///
/// `Malformed` when the header is not a whole number of milliseconds, and
/// `DeadlinePassed` when it is zero.
pub fn request_deadline(
    now: Timestamp,
    route_deadline_ms: u64,
    headers: &dyn HeaderLookup,
) -> Result<Timestamp, NotRunReason> {
    let caller_ms = match headers.header(DEADLINE_HEADER) {
        Some(text) => text.trim().parse().map_err(|_| NotRunReason::Malformed)?,
        None => u64::MAX,
    };
    let allowed_ms = route_deadline_ms.min(caller_ms);
    if allowed_ms == 0 {
        return Err(NotRunReason::DeadlinePassed);
    }
    Ok(now + Duration::from_millis(allowed_ms))
}
