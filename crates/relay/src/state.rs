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

/// The gateway that a member polls, and the relay that the record names.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Who is polled: the relay, or another follower of it.
    pub(crate) address: SocketAddr,
    /// The relay that the record names.
    pub(crate) relay: NodeIdentity,
}

impl Upstream {
    /// The relay, if it was polled itself. A follower of it that fails is just
    /// not asked again.
    fn direct(&self) -> Option<NodeIdentity> {
        (self.relay.address == Some(self.address)).then(|| self.relay.clone())
    }
}

/// No relay is known, or the one that was known is lost.
#[derive(Clone, Debug)]
pub(crate) struct Searching {
    pub(crate) due: Timestamp,
    pub(crate) step: Step,
    /// The relay that was lost: not followed again while the record names it.
    pub(crate) lost: Option<NodeIdentity>,
    /// Polled again where the store does not answer this member either.
    pub(crate) former: Option<Upstream>,
    /// It has let others go first since it found no record.
    pub(crate) waited: bool,
    /// Others that lost the same relay come first until then.
    pub(crate) claim_from: Timestamp,
    /// The store surely answered the lost relay at that time.
    pub(crate) seen: Option<Timestamp>,
    /// The store first answered this member in its search at that time.
    pub(crate) heard: Option<Timestamp>,
}

/// A relay, or another follower of it, is polled.
#[derive(Clone, Debug)]
pub(crate) struct Following {
    pub(crate) due: Timestamp,
    pub(crate) upstream: Upstream,
    /// When the record was found to name the relay.
    pub(crate) found: Timestamp,
    /// The store surely answered the relay at that time, or the relay before
    /// it; `None` before any answer.
    pub(crate) seen: Option<Timestamp>,
    /// This relay has answered.
    pub(crate) joined: bool,
}

/// The relay answers, but the store answers neither it nor this member.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    pub(crate) due: Timestamp,
    pub(crate) upstream: Upstream,
    /// When to try the store next.
    pub(crate) next_look: Timestamp,
    /// The store answers this member; its relay has a moment to find out.
    pub(crate) heard: bool,
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
            former: None,
            waited: false,
            claim_from: due,
            seen: None,
            heard: None,
        }
    }

    /// The record names `relay`, which is reached at `address`.
    pub(crate) fn follow(
        self,
        now: Timestamp,
        relay: NodeIdentity,
        address: SocketAddr,
    ) -> Following {
        Following {
            due: now,
            upstream: Upstream { address, relay },
            found: now,
            seen: self.seen,
            joined: false,
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
    /// Who was polled does not serve. Until others had their turn, and for as
    /// long as what was told is fresh, nothing is asked of the store.
    pub(crate) fn lose(
        self,
        now: Timestamp,
        claim_from: Timestamp,
        fresh_until: Option<Timestamp>,
    ) -> Searching {
        let fresh_until = fresh_until.unwrap_or(claim_from);
        Searching {
            lost: self.upstream.direct(),
            claim_from,
            seen: self.seen,
            heard: self.heard(),
            ..Searching::at(claim_from.min(fresh_until.max(now)))
        }
    }

    /// Who was polled answers, but the store has not answered it for too long.
    pub(crate) fn outdated(self, due: Timestamp, claim_from: Timestamp) -> Searching {
        Searching {
            lost: self.upstream.direct(),
            heard: self.heard(),
            former: Some(self.upstream),
            claim_from,
            ..Searching::at(due)
        }
    }

    /// The relay has followers enough, and none of them can be asked.
    pub(crate) fn crowded_out(self, due: Timestamp) -> Searching {
        Searching {
            seen: self.seen,
            heard: self.heard(),
            ..Searching::at(due)
        }
    }

    /// When the store answered this member in the search that led here; `None`
    /// once a relay has told it more than that.
    fn heard(&self) -> Option<Timestamp> {
        (!self.joined).then_some(self.found)
    }

    /// The relay has followers enough and names one of them.
    pub(crate) fn redirect(self, due: Timestamp, address: SocketAddr) -> Following {
        Following {
            due,
            upstream: Upstream {
                address,
                ..self.upstream
            },
            joined: false,
            ..self
        }
    }
}

impl Cut {
    /// The store answers the relay again.
    pub(crate) fn rejoin(self, due: Timestamp, seen: Timestamp) -> Following {
        Following {
            due,
            upstream: self.upstream,
            found: due,
            seen: Some(seen),
            joined: true,
        }
    }

    /// The store answers this member and not its relay, or the relay does not
    /// answer.
    pub(crate) fn search(self, due: Timestamp, claim_from: Timestamp) -> Searching {
        Searching {
            lost: self.upstream.direct(),
            claim_from,
            ..Searching::at(due)
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
        Searching {
            heard: Some(now),
            ..Searching::at(now)
        }
    }
}
