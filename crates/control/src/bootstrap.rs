//! Decides when a router asks the platform whether to bootstrap its group.
//!
//! The group object is created by a conditional write, so that exactly one of
//! any number of routers that start at once bootstraps the group.

use std::time::Duration;

use threadledge_types::{Generation, RouterId, Timestamp};

use crate::output::Output;

/// Interval between readings of the group object.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a platform request; a later answer counts as none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// `resourceVersion` of the group object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupObjectVersion(pub String);

/// State of the group object as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupObjectState {
    /// The platform did not answer.
    Unavailable,
    /// The object does not exist.
    Absent,
    /// The object exists.
    Present {
        /// Generation of the group that it records.
        generation: Generation,
        /// Router that bootstrapped that generation.
        founder: RouterId,
        /// Version for a conditional write.
        version: GroupObjectVersion,
    },
}

/// Next step after the group object was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Nothing to do now; read again later.
    Wait,
    /// Attempt the conditional write.
    Write {
        /// Generation to bootstrap.
        generation: Generation,
        /// Version the object must have.
        expected: Option<GroupObjectVersion>,
    },
    /// The object already names this router as founder: an earlier write of its
    /// own succeeded although the answer was lost.
    AlreadyFounder(Generation),
}

/// Schedules readings of the group object and decides on each result.
#[derive(Debug)]
pub struct GroupBootstrap {
    /// Id of this router.
    own: RouterId,
    /// When the group object is read next.
    next_read: Timestamp,
}

impl GroupBootstrap {
    /// Starts looking for a group. The first reading comes after
    /// `group_discovery_time`.
    pub fn new(own: RouterId, now: Timestamp, settling: Duration) -> Self {
        GroupBootstrap {
            own,
            next_read: now + settling,
        }
    }

    /// Returns a request to read the group object when one is due. Called while
    /// no group is known.
    pub fn tick(&mut self, now: Timestamp) -> Option<Output> {
        if now < self.next_read {
            return None;
        }
        self.next_read = now + ANSWER_TIMEOUT;
        Some(Output::ReadGroupObject)
    }

    /// Decides on a reading of the group object.
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

    /// Schedules another reading after a write had no effect.
    pub fn write_failed(&mut self, now: Timestamp) {
        self.next_read = now + READ_INTERVAL;
    }
}
