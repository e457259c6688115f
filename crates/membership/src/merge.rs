//! Merging claims about members into the table.
//!
//! Of two claims about a member, the one with the higher refutation number
//! counts; at the same number, dead outranks suspect, and suspect outranks
//! alive. Only the member itself raises its number.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::member::MemberState;
use crate::membership::{DownReason, Membership, Output};
use crate::message::{MemberUpdate, RefutationNumber};
use crate::proof::DeathProof;

/// Whether a claim that changed the table is passed on to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PassOn {
    Yes,
    No,
}

impl Membership {
    /// Merges one claim.
    pub(crate) fn merge(
        &mut self,
        now: Timestamp,
        update: MemberUpdate,
        pass_on: PassOn,
        outputs: &mut Vec<Output>,
    ) {
        if update.subject() == self.own.id {
            self.contradict(now, &update);
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
        if changed && pass_on == PassOn::Yes {
            self.gossip.push(update);
        }
    }

    /// The claim that describes what is known about a member.
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

    /// Someone claims that this router is suspect or dead: it is not.
    fn contradict(&mut self, now: Timestamp, update: &MemberUpdate) {
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

    pub(crate) fn merge_alive(
        &mut self,
        now: Timestamp,
        identity: &RouterIdentity,
        refutation: RefutationNumber,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if !self.admits(identity) {
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
        self.table.refute(identity.id, refutation);
        self.suspicions.clear(identity.id);
        self.set_living_state(identity.id);
        if was_dead {
            self.machines.seen(&identity.machine);
            outputs.push(Output::MemberUp(identity.clone()));
        }
        true
    }

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
            // It contradicted before, which did not arrive here.
            self.table.refute(id, refutation);
            self.suspicions.clear(id);
        }
        let begins = !self.suspicions.contains(id);
        let shortest = self.shortest_suspicion();
        let news = self.suspicions.accuse(now, id, by, shortest);
        self.set_living_state(id);
        if begins
            && self
                .member(id)
                .is_some_and(|m| m.state == MemberState::Suspect)
        {
            outputs.push(Output::MemberSuspect(id));
        }
        news
    }

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
        self.table.bury(now, id, refutation);
        self.suspicions.clear(id);
        if reason != DownReason::Superseded {
            self.machines.lost(&machine);
        }
        outputs.push(Output::MemberDown(id, reason));
        true
    }

    /// Whether a claim that `identity` lives is taken at all.
    fn admits(&self, identity: &RouterIdentity) -> bool {
        // A process of an earlier life is gone, whatever old claims say. Once
        // the later one is dead, a process that came after it may have a lower
        // number, if the wall clock was set back in between.
        let latest = self.table.on_machine(&identity.machine);
        let outdated = latest.is_some_and(|latest| {
            let later = latest.member.identity.incarnation >= identity.incarnation;
            latest.member.identity.id != identity.id && later && !latest.is_dead()
        });
        identity.region == self.own.region && !outdated
    }

    fn add(
        &mut self,
        now: Timestamp,
        identity: &RouterIdentity,
        refutation: RefutationNumber,
        outputs: &mut Vec<Output>,
    ) {
        self.supersede(now, identity, outputs);
        self.table.insert(now, identity.clone(), refutation);
        self.machines.seen(&identity.machine);
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

    /// A later process lives on the machine of an earlier one: the earlier
    /// one is gone for good.
    fn supersede(&mut self, now: Timestamp, successor: &RouterIdentity, outputs: &mut Vec<Output>) {
        let Some(earlier) = self.table.on_machine(&successor.machine) else {
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

    /// Sets the state of a member that is not dead.
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
