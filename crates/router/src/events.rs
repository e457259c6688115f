//! Numbered log events.
//!
//! Every event that operators may act on has a number whose meaning never
//! changes. docs/EVENTS.md is the catalogue; a test compares it with
//! [`EventId::ALL`].

mod catalogue;

use std::fmt;

pub use catalogue::EventId;

/// The `tracing` target of every event, whichever crate emits it.
pub const TARGET: &str = "threadledge::events";

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// An operator should act.
    Error,
    /// Something is degraded, but the system continues to work.
    Warn,
    /// A change of state.
    Info,
}

impl fmt::Display for EventLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EventLevel::Error => "error",
            EventLevel::Warn => "warn",
            EventLevel::Info => "info",
        })
    }
}

/// Writes one event through `tracing`, with its number in the field `event`
/// and its name in `name`.
///
/// ```
/// use threadledge::events::{EventId, emit};
///
/// emit!(EventId::RouterStarted, machine = "router-1");
/// ```
#[macro_export]
macro_rules! emit {
    ($event:expr $(, $($fields:tt)*)?) => {{
        let event: $crate::events::EventId = $event;
        match event.level() {
            $crate::events::EventLevel::Error => ::tracing::error!(
                target: $crate::events::TARGET,
                event = event.number(), name = event.name() $(, $($fields)*)?
            ),
            $crate::events::EventLevel::Warn => ::tracing::warn!(
                target: $crate::events::TARGET,
                event = event.number(), name = event.name() $(, $($fields)*)?
            ),
            $crate::events::EventLevel::Info => ::tracing::info!(
                target: $crate::events::TARGET,
                event = event.number(), name = event.name() $(, $($fields)*)?
            ),
        }
    }};
}

pub use crate::emit;
