//! When a router asks the platform whether to found its group.
//!
//! The group object is created by a conditional write, so that of any number
//! of routers that start at once exactly one founds the group.

use std::time::Duration;

use threadledge_types::{Generation, RouterId, Timestamp};

use crate::output::Output;

/// Pause between readings of the group object.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// An answer that takes longer counts as none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// `resourceVersion` of the group object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupObjectVersion(pub String);

/// What a reading of the group object gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupObjectState {
    /// The platform did not answer.
    Unavailable,
    /// There is no such object.
    Absent,
    /// The object as it stands.
    Present {
        /// GroupBootstrap it records.
        generation: Generation,
        /// Router that founded it.
        founder: RouterId,
        /// Version for a conditional write.
        version: GroupObjectVersion,
    },
}

/// What the answer to a reading calls for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Nothing now; ask again later.
    Wait,
    /// Attempt the founding write.
    Write {
        /// Generation to found.
        generation: Generation,
        /// Version the object must have.
        expected: Option<GroupObjectVersion>,
    },
    /// The object names this router as founder already: an earlier write of
    /// its own took effect although its answer was lost.
    AlreadyFounder(Generation),
}

/// Paces the readings and decides on each answer.
#[derive(Debug)]
pub struct GroupBootstrap {
    own: RouterId,
    next_read: Timestamp,
}

impl GroupBootstrap {
    /// Starts to look for a group; the first reading comes after `settling`.
    pub fn new(own: RouterId, now: Timestamp, settling: Duration) -> Self {
        GroupBootstrap {
            own,
            next_read: now + settling,
        }
    }

    /// Called while no group is known.
    pub fn tick(&mut self, now: Timestamp) -> Option<Output> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + ANSWER_TIMEOUT;
        Some(Output::ReadGroupObject)
    }

    /// Decides on a reading.
    pub fn on_group_object(&mut self, now: Timestamp, state: GroupObjectState) -> BootstrapStep {
        self.next_read = now + READ_INTERVAL;
        match state {
            GroupObjectState::Unavailable => BootstrapStep::Wait,
            GroupObjectState::Absent => BootstrapStep::Write {
                generation: Generation(1),
                expected: None,
            },
            GroupObjectState::Present {
                generation,
                founder,
                ..
            } if founder == self.own => BootstrapStep::AlreadyFounder(generation),
            GroupObjectState::Present { .. } => BootstrapStep::Wait,
        }
    }

    /// A write ended without effect; read again soon.
    pub fn write_failed(&mut self, now: Timestamp) {
        self.next_read = now + READ_INTERVAL;
    }
}
