//! Decides when a router asks the platform to bootstrap its lost group again.
//!
//! The log cannot tolerate the loss of a majority of voters. The group is then
//! bootstrapped again with the next generation, but only on proof: a majority
//! of the known voters must be *provably* gone, either because a later process
//! runs on the same machine or because the platform has taken the machine off
//! its list. Silence alone proves nothing, because a voter that cannot be
//! reached may still lead.
//!
//! The proof concerns the voters that this router knows, which may be out of
//! date. Other routers are therefore asked first, and a leader checks regularly
//! whether the platform's object names a later generation than its own; if so,
//! it retires.
//!
//! Surviving members of the group try first, because they hold the most recent
//! state; other routers follow after a delay.

use std::cmp::Ordering;
use std::time::Duration;

use threadledge_membership::Membership;
use threadledge_types::{Generation, RouterId, RouterIdentity, Timestamp};

use crate::bootstrap::{BootstrapStep, GroupObjectState};
use crate::view::{GroupView, ViewVersion};

/// Time without a leader after which a surviving member starts recovery. It may
/// be short, because safety rests on the proof; it only keeps routers from
/// asking the platform during an ordinary election.
const MEMBER_LEADERLESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a leader after which any other router starts recovery.
const NON_MEMBER_LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a platform request; a later answer counts as none.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for other routers to report a later view or a leader.
const INQUIRY_WINDOW: Duration = Duration::from_millis(600);

/// Next action towards recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Ask other routers what they know of the group.
    AskPeers,
    /// Read the group object.
    ReadGroupObject,
}

/// Detects the loss of the group and paces the attempts to recover it.
#[derive(Debug)]
pub struct GroupRecovery {
    /// Last time at which the group was known to have a leader.
    leader_seen: Timestamp,
    /// Time at which other routers were asked, and the version of the view that
    /// seemed lost.
    asked: Option<(Timestamp, ViewVersion)>,
    /// Earliest time of the next attempt.
    next_attempt: Timestamp,
}

impl GroupRecovery {
    /// Creates the state of a group that has a leader.
    pub fn new(now: Timestamp) -> Self {
        GroupRecovery {
            leader_seen: now,
            asked: None,
            next_attempt: now,
        }
    }

    /// Records that the group had a leader at `at`, according to this router or
    /// another.
    pub fn record_leader_seen(&mut self, at: Timestamp) {
        self.leader_seen = self.leader_seen.max(at);
    }

    /// Last time at which the group was known to have a leader.
    pub fn leader_seen(&self) -> Timestamp {
        self.leader_seen
    }

    /// Returns the next action if the group seems lost. The proof covers only
    /// the voters of the view that this router holds, and the group may have
    /// other voters by now. Other routers are therefore asked first, and any
    /// that knows a later view or a leader stops the recovery.
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
    /// The generation that this router knows may be replaced by the next one. A
    /// later generation that none of the routers asked knew of may be replaced
    /// if its founder is provably gone: it was lost before it got other
    /// members.
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

    /// Schedules another attempt after a write had no effect.
    pub fn write_failed(&mut self, now: Timestamp) {
        self.next_attempt = now + RETRY_INTERVAL;
    }
}

/// Whether the generation named by the group object is provably lost.
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

/// Whether so many voters are provably gone that the rest cannot form a quorum.
fn is_majority_gone(view: &GroupView, membership: &Membership) -> bool {
    let gone = |voter: &&RouterIdentity| membership.death_proof(voter.id).is_some();
    let gone = view.voters.iter().filter(gone).count();
    let quorum = view.voters.len() / 2 + 1;
    view.voters.len() - gone < quorum
}
