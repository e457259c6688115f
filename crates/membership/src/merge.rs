//! Merging of claims about members into the table.
//!
//! Of two claims about a member, the one with the higher refutation number
//! takes precedence. With equal numbers, dead overrides suspect, and suspect
//! overrides alive. Only the member itself raises its number.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::member::MemberState;
use crate::membership::{DownReason, Membership, Output};
use crate::message::{MemberUpdate, RefutationNumber};
use crate::proof::DeathProof;

/// Whether a claim that changed the table is gossiped further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forward {
    Yes,
    No,
}

impl Membership {
    /// Merges a claim into the table, and gossips it if it is new and `forward`
    /// allows it.
    pub(crate) fn merge(
        &mut self,
        now: Timestamp,
        update: MemberUpdate,
        forward: Forward,
        outputs: &mut Vec<Output>,
    ) {
        if update.subject() == self.own.id {
            self.refute(now, &update);
            return;
        }
        let changed = match &update {
            MemberUpdate::Alive {
                identity,
                refutation,
            } => self.merge_alive(now, identity, *refutation, outputs),
            MemberUpdate::Leaving {
                identity,
                refutation,
            } => self.merge_leaving(now, identity, *refutation, outputs),
            MemberUpdate::Suspect { id, refutation, by } => {
                self.merge_suspect(now, *id, *refutation, *by, outputs)
            }
            MemberUpdate::Dead { id, refutation } => {
                self.merge_dead(now, *id, *refutation, DownReason::Unresponsive, outputs)
            }
        };
        if changed && forward == Forward::Yes {
            self.gossip.push(update);
        }
    }

    /// Returns a claim with the current state of a member.
    pub(crate) fn current_update(&self, id: RouterId) -> Option<MemberUpdate> {
        let record = self.table.get(id)?;
        let identity = record.member.identity.clone();
        let refutation = record.member.refutation;
        Some(if record.is_dead() {
            MemberUpdate::Dead { id, refutation }
        } else if record.announced_leaving {
            MemberUpdate::Leaving {
                identity,
                refutation,
            }
        } else {
            MemberUpdate::Alive {
                identity,
                refutation,
            }
        })
    }

    /// Refutes a claim that this router is suspect or dead, by gossiping a
    /// higher refutation number.
    fn refute(&mut self, now: Timestamp, update: &MemberUpdate) {
        let claimed = match update {
            MemberUpdate::Suspect { refutation, .. } | MemberUpdate::Dead { refutation, .. } => {
                *refutation
            }
            MemberUpdate::Alive { .. } | MemberUpdate::Leaving { .. } => return,
        };
        if claimed >= self.refutation {
            self.raise_refutation(RefutationNumber(claimed.0.saturating_add(1)));
            self.next_gossip_at = now;
        }
    }

    /// Merges the claim that a member is alive. Returns whether it was new.
    pub(crate) fn merge_alive(
        &mut self,
        now: Timestamp,
        identity: &RouterIdentity,
        refutation: RefutationNumber,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.accepts_identity(identity) {
            return false;
        }
        let Some(record) = self.table.get(identity.id) else {
            self.add(now, identity, refutation, outputs);
            return true;
        };
        if refutation <= record.member.refutation || record.is_superseded() {
            return false;
        }
        let was_dead = record.is_dead();
        self.table.set_refutation(identity.id, refutation);
        self.suspicions.clear(identity.id);
        self.set_living_state(identity.id);
        if was_dead {
            self.machines.mark_reached(&identity.machine);
            outputs.push(Output::MemberUp(identity.clone()));
        }
        true
    }

    /// Merges the claim that a member is leaving. Returns whether it was new.
    fn merge_leaving(
        &mut self,
        now: Timestamp,
        identity: &RouterIdentity,
        refutation: RefutationNumber,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let alive = self.merge_alive(now, identity, refutation, outputs);
        let Some(record) = self.table.get_mut(identity.id) else {
            return alive;
        };
        if record.announced_leaving || record.is_dead() || refutation < record.member.refutation {
            return alive;
        }
        let was_leaving = record.is_leaving();
        record.announced_leaving = true;
        self.set_living_state(identity.id);
        if !was_leaving {
            outputs.push(Output::MemberLeaving(identity.id));
        }
        true
    }

    /// Merges the claim of router `by` that a member is suspect. Returns
    /// whether it was new.
    pub(crate) fn merge_suspect(
        &mut self,
        now: Timestamp,
        id: RouterId,
        refutation: RefutationNumber,
        by: RouterId,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(record) = self.table.get(id) else {
            return false;
        };
        if record.is_dead() || refutation < record.member.refutation {
            return false;
        }
        if refutation > record.member.refutation {
            // The member refuted an earlier claim, but that did not arrive
            // here.
            self.table.set_refutation(id, refutation);
            self.suspicions.clear(id);
        }
        let is_started = !self.suspicions.contains(id);
        let min_timeout = self.min_suspicion();
        let is_new = self.suspicions.add_report(now, id, by, min_timeout);
        self.set_living_state(id);
        if is_started
            && self
                .member(id)
                .is_some_and(|m| m.state == MemberState::Suspect)
        {
            outputs.push(Output::MemberSuspect(id));
        }
        is_new
    }

    /// Merges the claim that a member is dead. Returns whether it was new.
    pub(crate) fn merge_dead(
        &mut self,
        now: Timestamp,
        id: RouterId,
        refutation: RefutationNumber,
        reason: DownReason,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(record) = self.table.get(id) else {
            return false;
        };
        if record.is_dead() || refutation < record.member.refutation {
            return false;
        }
        let reason = match &record.proof {
            Some(DeathProof::RemovedFromList { .. }) => DownReason::RemovedFromList,
            _ if reason == DownReason::Unresponsive && record.announced_leaving => DownReason::Left,
            _ => reason,
        };
        let machine = record.member.identity.machine.clone();
        self.table.mark_dead(now, id, refutation);
        self.suspicions.clear(id);
        if reason != DownReason::Superseded {
            self.machines.mark_unreached(&machine);
        }
        outputs.push(Output::MemberDown(id, reason));
        true
    }

    /// Returns whether a claim that `identity` is alive can be accepted.
    fn accepts_identity(&self, identity: &RouterIdentity) -> bool {
        // An earlier process on the same machine is gone, whatever old claims
        // say. Once the later one is dead, its successor may have a lower
        // incarnation, if the wall clock was set back in between.
        let latest = self.table.latest_on_machine(&identity.machine);
        let outdated = latest.is_some_and(|latest| {
            let later = latest.member.identity.incarnation >= identity.incarnation;
            latest.member.identity.id != identity.id && later && !latest.is_dead()
        });
        identity.region == self.own.region && !outdated
    }

    /// Adds a member that was not known before.
    fn add(
        &mut self,
        now: Timestamp,
        identity: &RouterIdentity,
        refutation: RefutationNumber,
        outputs: &mut Vec<Output>,
    ) {
        self.supersede(now, identity, outputs);
        self.table.insert(now, identity.clone(), refutation);
        self.machines.mark_reached(&identity.machine);
        let listed_leaving = self.machines.lists_leaving(identity);
        if let Some(record) = self.table.get_mut(identity.id) {
            record.listed_leaving = listed_leaving;
        }
        outputs.push(Output::MemberUp(identity.clone()));
        if listed_leaving {
            self.set_living_state(identity.id);
            outputs.push(Output::MemberLeaving(identity.id));
        }
    }

    /// Marks an earlier process on the machine of `successor` as permanently gone,
    /// with the successor as proof.
    fn supersede(&mut self, now: Timestamp, successor: &RouterIdentity, outputs: &mut Vec<Output>) {
        let Some(earlier) = self.table.latest_on_machine(&successor.machine) else {
            return;
        };
        let id = earlier.member.identity.id;
        let refutation = earlier.member.refutation;
        let later = successor.incarnation > earlier.member.identity.incarnation;
        if id == self.own.id || !later {
            return;
        }
        self.merge_dead(now, id, refutation, DownReason::Superseded, outputs);
        if let Some(record) = self.table.get_mut(id) {
            record.proof = Some(DeathProof::LaterIncarnation {
                machine: successor.machine.clone(),
                successor: successor.id,
                incarnation: successor.incarnation,
            });
        }
    }

    /// Recomputes the state of a member that is not dead.
    pub(crate) fn set_living_state(&mut self, id: RouterId) {
        let suspect = self.suspicions.contains(id);
        let Some(record) = self.table.get_mut(id) else {
            return;
        };
        record.member.state = if record.is_leaving() {
            MemberState::Leaving
        } else if suspect {
            MemberState::Suspect
        } else {
            MemberState::Alive
        };
    }
}
