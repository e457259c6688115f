//! When a router asks the platform to found its group anew.
//!
//! Loss of a majority of voters is beyond what the log tolerates. The group
//! is then founded again with the next generation, but only on proof: a
//! majority of the voters known must be *provably* gone, by a later process on
//! the same machine or by the platform having taken the machine off its list.
//! Silence alone proves nothing, for a voter that cannot be reached may still
//! lead.
//!
//! The proof is about the voters that this router knows. They may be out of
//! date, so other routers are asked before, and a leader looks regularly
//! whether the platform's object names a later founding than its own: then it
//! retires.
//!
//! Surviving members of the group come first, because they hold the most
//! recent state; other routers follow after a pause.

use std::cmp::Ordering;
use std::time::Duration;

use threadledge_membership::Membership;
use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::bootstrap::{BootstrapStep, GroupObjectState};
use crate::view::{GroupView, ViewVersion};

/// Time without a leader before a surviving member looks into it. It may be
/// short, for it is the proof that counts; it only keeps routers from asking
/// the platform during an ordinary election.
const MEMBER_LEADERLESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a leader before any other router looks into it.
const NON_MEMBER_LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// An answer of the platform that takes longer counts as none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that other routers have to contradict.
const INQUIRY_WINDOW: Duration = Duration::from_millis(600);

/// What the loss of the group calls for next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Ask other routers whether they know better.
    AskPeers,
    /// Read the group object.
    ReadGroupObject,
}

/// Watches for the loss of the group.
#[derive(Debug)]
pub struct GroupRecovery {
    /// Last time at which the group was known to have a leader.
    leader_seen: Timestamp,
    /// When other routers were asked about the view that seems lost.
    asked: Option<(Timestamp, ViewVersion)>,
    next_attempt: Timestamp,
}

impl GroupRecovery {
    /// Nothing is lost yet.
    pub fn new(now: Timestamp) -> Self {
        GroupRecovery {
            leader_seen: now,
            asked: None,
            next_attempt: now,
        }
    }

    /// The group was known to have a leader at `at`, by this router or by
    /// another.
    pub fn record_leader_seen(&mut self, at: Timestamp) {
        self.leader_seen = self.leader_seen.max(at);
    }

    /// Last time at which the group was known to have a leader.
    pub fn leader_seen(&self) -> Timestamp {
        self.leader_seen
    }

    /// Looks at the group. Proof is sought for the voters of the view that
    /// this router holds, and the group may have other voters by now; so
    /// others are asked first, and any that knows a later view or a leader
    /// contradicts.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        is_member: bool,
        membership: &Membership,
    ) -> Option<RecoveryAction> {
        let timeout = if is_member {
            MEMBER_LEADERLESS_TIMEOUT
        } else {
            NON_MEMBER_LEADERLESS_TIMEOUT
        };
        let waited = now.since(self.leader_seen) >= timeout;
        if !waited || !is_majority_gone(view, membership) {
            self.asked = None;
            return None;
        }
        match self.asked {
            Some((at, version)) if version == view.version() => {
                if now < at + INQUIRY_WINDOW || now < self.next_attempt {
                    return None;
                }
                self.next_attempt = now + ANSWER_TIMEOUT;
                self.asked = None;
                Some(RecoveryAction::ReadGroupObject)
            }
            _ if now < self.next_attempt => None,
            _ => {
                self.asked = Some((now, view.version()));
                Some(RecoveryAction::AskPeers)
            }
        }
    }

    /// Decides on a reading of the group object.
    ///
    /// The founding that this router knows may be replaced by the next one. A
    /// later founding of which no router asked knew anything may be replaced
    /// when its founder is provably gone: it was lost before it grew.
    pub fn on_group_object(
        &mut self,
        now: Timestamp,
        state: GroupObjectState,
        view: &GroupView,
        membership: &Membership,
    ) -> BootstrapStep {
        self.next_attempt = now + RETRY_INTERVAL;
        match state {
            GroupObjectState::Present {
                generation,
                founder,
                version,
            } if is_generation_lost(generation, founder, view, membership) => {
                BootstrapStep::Write {
                    generation: Generation(generation.0 + 1),
                    expected: Some(version),
                }
            }
            _ => BootstrapStep::Wait,
        }
    }

    /// The attempt ended without effect.
    pub fn write_failed(&mut self, now: Timestamp) {
        self.next_attempt = now + RETRY_INTERVAL;
    }
}

/// Whether the founding that the group object names is provably lost.
fn is_generation_lost(
    generation: Generation,
    founder: RouterId,
    view: &GroupView,
    membership: &Membership,
) -> bool {
    match generation.cmp(&view.generation) {
        Ordering::Less => false,
        Ordering::Equal => is_majority_gone(view, membership),
        Ordering::Greater => membership.death_proof(founder).is_some(),
    }
}

/// Whether so many voters are provably gone that the rest is no quorum.
fn is_majority_gone(view: &GroupView, membership: &Membership) -> bool {
    let gone = |voter: &&RouterIdentity| membership.death_proof(voter.id).is_some();
    let gone = view.voters.iter().filter(gone).count();
    let quorum = view.voters.len() / 2 + 1;
    view.voters.len() - gone < quorum
}
