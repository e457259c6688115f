//! States of a member. Each state is a type of its own, and a transition
//! consumes the state that ends.

use std::net::SocketAddr;

use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, StoreRevision, Versioned};
use threadledge_types::Timestamp;

use crate::RelayRecord;

/// Next step of a member without a relay.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Read the record.
    Read,
    /// Write this member into the record.
    Claim(Condition),
}

/// Gateway that a member polls, and the relay that the record names.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Address of the polled gateway: the relay or one of its followers.
    pub(crate) address: SocketAddr,
    /// Relay that the record names.
    pub(crate) relay: NodeIdentity,
}

impl Upstream {
    /// Returns the relay if it was polled directly. A follower that fails is
    /// simply not polled again.
    fn relay_if_direct(&self) -> Option<NodeIdentity> {
        (self.relay.address == Some(self.address)).then(|| self.relay.clone())
    }
}

/// State of a member that knows no relay or has lost its relay.
#[derive(Clone, Debug)]
pub(crate) struct Searching {
    pub(crate) due: Timestamp,
    pub(crate) step: Step,
    /// Lost relay, which is not followed again while the record names it.
    pub(crate) lost: Option<NodeIdentity>,
    /// Gateway to poll again if the store does not respond to this member
    /// either.
    pub(crate) last_upstream: Option<Upstream>,
    /// Whether the member has waited for others to claim first since it found
    /// no record.
    pub(crate) has_waited: bool,
    /// Time before which other members that lost the same relay claim first.
    pub(crate) claim_from: Timestamp,
    /// Time at which the store is known to have responded to the lost relay.
    pub(crate) seen: Option<Timestamp>,
    /// When the store first responded to this member during the search.
    pub(crate) store_answered_at: Option<Timestamp>,
}

/// State of a member that polls a relay or one of its followers.
#[derive(Clone, Debug)]
pub(crate) struct Following {
    pub(crate) due: Timestamp,
    pub(crate) upstream: Upstream,
    /// When the record was found to name the relay.
    pub(crate) found_at: Timestamp,
    /// Time at which the store is known to have responded to this relay or the
    /// previous one; `None` before any response.
    pub(crate) seen: Option<Timestamp>,
    /// Whether this relay has answered.
    pub(crate) joined: bool,
}

/// State of a member whose relay responds while the store responds to neither
/// of them.
#[derive(Clone, Debug)]
pub(crate) struct Isolated {
    pub(crate) due: Timestamp,
    pub(crate) upstream: Upstream,
    /// When to try the store next.
    pub(crate) next_read: Timestamp,
    /// Whether the store responds to this member again; its relay then has some
    /// time to notice the same.
    pub(crate) store_answered: bool,
}

/// State of the member that the record names.
#[derive(Clone, Debug)]
pub(crate) struct Relaying {
    pub(crate) due: Timestamp,
    pub(crate) revision: StoreRevision,
    /// Number of members in the record.
    pub(crate) recorded_members: u32,
    /// Earliest time of the next write of the record.
    pub(crate) recount_at: Timestamp,
}

impl Searching {
    /// Starts a search that reads the record at `due`.
    pub(crate) fn at(due: Timestamp) -> Self {
        Searching {
            due,
            step: Step::Read,
            lost: None,
            last_upstream: None,
            has_waited: false,
            claim_from: due,
            seen: None,
            store_answered_at: None,
        }
    }

    /// Follows `relay`, which the record names, at `address`.
    pub(crate) fn follow(
        self,
        now: Timestamp,
        relay: NodeIdentity,
        address: SocketAddr,
    ) -> Following {
        Following {
            due: now,
            upstream: Upstream { address, relay },
            found_at: now,
            seen: self.seen,
            joined: false,
        }
    }

    /// Becomes the relay. Followers of the previous relay have not polled yet,
    /// so the members are counted later.
    pub(crate) fn relay(
        self,
        due: Timestamp,
        found: Versioned<RelayRecord>,
        recount_at: Timestamp,
    ) -> Relaying {
        Relaying {
            due,
            revision: found.revision,
            recorded_members: found.value.members,
            recount_at,
        }
    }
}

impl Following {
    /// Handles an upstream that does not serve. The store is not called until
    /// other members had their turn to claim, as long as the received state is
    /// fresh.
    pub(crate) fn upstream_failed(
        self,
        now: Timestamp,
        claim_from: Timestamp,
        fresh_until: Option<Timestamp>,
    ) -> Searching {
        let fresh_until = fresh_until.unwrap_or(claim_from);
        Searching {
            lost: self.upstream.relay_if_direct(),
            claim_from,
            seen: self.seen,
            store_answered_at: self.store_answered_at(),
            ..Searching::at(claim_from.min(fresh_until.max(now)))
        }
    }

    /// Handles an upstream that responds but has had no response of the store
    /// for too long.
    pub(crate) fn upstream_outdated(self, due: Timestamp, claim_from: Timestamp) -> Searching {
        Searching {
            lost: self.upstream.relay_if_direct(),
            store_answered_at: self.store_answered_at(),
            last_upstream: Some(self.upstream),
            claim_from,
            ..Searching::at(due)
        }
    }

    /// Handles a relay at capacity none of whose followers can be polled.
    pub(crate) fn rejected(self, due: Timestamp) -> Searching {
        Searching {
            seen: self.seen,
            store_answered_at: self.store_answered_at(),
            ..Searching::at(due)
        }
    }

    /// Returns when the store responded to this member in the search that led
    /// here, or `None` once a relay has reported a later response.
    fn store_answered_at(&self) -> Option<Timestamp> {
        (!self.joined).then_some(self.found_at)
    }

    /// Polls a follower that the relay at capacity named.
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

impl Isolated {
    /// Follows the relay again, because the store responds to it.
    pub(crate) fn resume(self, due: Timestamp, seen: Timestamp) -> Following {
        Following {
            due,
            upstream: self.upstream,
            found_at: due,
            seen: Some(seen),
            joined: true,
        }
    }

    /// Searches for another relay, because the store responds to this member
    /// but not to its relay, or because the relay does not respond.
    pub(crate) fn search(self, due: Timestamp, claim_from: Timestamp) -> Searching {
        Searching {
            lost: self.upstream.relay_if_direct(),
            claim_from,
            ..Searching::at(due)
        }
    }
}

impl Relaying {
    /// Whether the recorded number of members differs from `members` by so much
    /// that the record should be written.
    pub(crate) fn needs_recount(&self, now: Timestamp, members: u32) -> bool {
        let off = self.recorded_members.abs_diff(members);
        now >= self.recount_at && off > 0 && off * 5 >= members
    }

    /// Ends the relaying, because the record names another member.
    pub(crate) fn step_down(self, now: Timestamp) -> Searching {
        Searching {
            store_answered_at: Some(now),
            ..Searching::at(now)
        }
    }
}
