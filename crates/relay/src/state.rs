//! The stages of a member's life. Each is a type of its own, and what leads
//! from one to the next consumes the stage that ends.

use std::net::SocketAddr;

use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, StoreRevision, Versioned};
use threadledge_types::Timestamp;

use crate::RelayRecord;

/// What a member that has no relay does next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Read the record.
    Look,
    /// Write itself into the record.
    Claim(Condition),
}

/// No relay is known, or the one that was known is lost.
#[derive(Clone, Debug)]
pub(crate) struct Searching {
    pub(crate) due: Timestamp,
    pub(crate) step: Step,
    /// The relay that was lost: not followed again while the record names it.
    pub(crate) lost: Option<NodeIdentity>,
    /// It has let others go first since it found no record.
    pub(crate) waited: bool,
}

/// A relay, or another follower of it, is polled.
#[derive(Clone, Debug)]
pub(crate) struct Following {
    pub(crate) due: Timestamp,
    /// Who is polled.
    pub(crate) address: SocketAddr,
    /// The relay that the record names.
    pub(crate) relay: NodeIdentity,
    /// The store surely answered the relay at that time; `None` before the
    /// first answer.
    pub(crate) seen: Option<Timestamp>,
}

/// The record names this member.
#[derive(Clone, Debug)]
pub(crate) struct Relaying {
    pub(crate) due: Timestamp,
    pub(crate) revision: StoreRevision,
    /// Members that the record tells of.
    pub(crate) told: u32,
    /// The record is not written again before.
    pub(crate) recount_at: Timestamp,
}

impl Searching {
    /// Looks at once.
    pub(crate) fn at(due: Timestamp) -> Self {
        Searching {
            due,
            step: Step::Look,
            lost: None,
            waited: false,
        }
    }

    pub(crate) fn follow(self, now: Timestamp, relay: NodeIdentity, to: SocketAddr) -> Following {
        Following {
            due: now,
            address: to,
            relay,
            seen: None,
        }
    }

    /// Followers of the relay before have not come yet: they are counted
    /// later.
    pub(crate) fn relay(
        self,
        due: Timestamp,
        found: Versioned<RelayRecord>,
        recount_at: Timestamp,
    ) -> Relaying {
        Relaying {
            due,
            revision: found.revision,
            told: found.value.members,
            recount_at,
        }
    }
}

impl Following {
    /// Who was polled does not serve. Only the relay itself is given up for
    /// it; a follower of it that fails is just not asked again.
    pub(crate) fn lose(self, due: Timestamp) -> Searching {
        let direct = self.relay.address == Some(self.address);
        Searching {
            lost: direct.then_some(self.relay),
            ..Searching::at(due)
        }
    }

    /// The relay has followers enough and names one of them.
    pub(crate) fn redirect(self, due: Timestamp, to: SocketAddr) -> Following {
        Following {
            due,
            address: to,
            seen: None,
            ..self
        }
    }
}

impl Relaying {
    /// Whether the record is so far from `members` that it should be written.
    pub(crate) fn miscounts(&self, now: Timestamp, members: u32) -> bool {
        let off = self.told.abs_diff(members);
        now >= self.recount_at && off > 0 && off * 5 >= members
    }

    /// The record names another member.
    pub(crate) fn step_down(self, now: Timestamp) -> Searching {
        Searching::at(now)
    }
}
