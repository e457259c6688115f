//! Recovery after a new founding: slices are assigned to the back ends that
//! still hold them, so that losing the log moves no keys.

use std::collections::BTreeMap;

use threadledge_types::records::SliceKey;
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, SessionId, Slice};

use super::Grantor;
use crate::command::Command;
use crate::machine::StateMachine;

/// The session that reported holding each slice under the highest epoch.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    highest: BTreeMap<SliceKey, Claim>,
}

/// A slice that a session reported holding.
#[derive(Clone, Debug)]
struct Claim {
    epoch: Epoch,
    slice: Slice,
    session: SessionId,
}

impl Claims {
    /// Records the grants that a process reports holding while a new founding
    /// waits for earlier leases to expire.
    pub fn record(&mut self, session: &SessionId, held: &[Grant], machine: &StateMachine) {
        if !machine.is_recovering() {
            return;
        }
        for grant in held {
            let key = SliceKey {
                service: grant.service.clone(),
                first: grant.slice.first,
            };
            let known = self.highest.get(&key);
            if known.is_some_and(|claim| claim.epoch >= grant.epoch) {
                continue;
            }
            let claim = Claim {
                epoch: grant.epoch,
                slice: grant.slice,
                session: session.clone(),
            };
            self.highest.insert(key, claim);
        }
    }

    /// Removes and returns the claims of one session.
    fn take_claims_of(&mut self, session: &SessionId) -> Vec<(SliceKey, Slice)> {
        let own = |claim: &Claim| claim.session == *session;
        let claims = self.highest.iter().filter(|(_, claim)| own(claim));
        let taken: Vec<_> = claims
            .map(|(key, claim)| (key.clone(), claim.slice))
            .collect();
        self.highest.retain(|_, claim| !own(claim));
        taken
    }
}

impl Grantor {
    /// Proposes to assign the slices that a session reported to it. They are
    /// assigned under new epochs, because no lease of the earlier generation is
    /// left.
    pub(super) fn propose_claimed_slices(&mut self, id: &BackEndId, machine: &StateMachine) {
        let Some(session) = machine.session(id).map(|record| record.id.clone()) else {
            return;
        };
        let mut commands = Vec::new();
        for (key, slice) in self.claims.take_claims_of(&session) {
            let record = machine.slice(&key);
            let free = record.filter(|record| record.owner.is_none() && record.slice == slice);
            if let Some(record) = free {
                commands.push(Command::Assign {
                    service: key.service,
                    slice,
                    to: session.clone(),
                    expected_epoch: record.epoch,
                });
            }
        }
        if !commands.is_empty() {
            self.propose(Command::Batch(commands));
        }
    }
}
