//! State of each back end that holds or may hold keys.

mod order_results;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};
use threadledge_types::{Timestamp, ZoneName};

use crate::occupancy::{EndEvidence, EndProof, Occupancy, RegistrationChanges};
use crate::order::{Order, OrderId};
use crate::record::Owner;

use order_results::Reachability;
pub use order_results::{FaultEffect, LATE_ORDER_WINDOW, Silence};

/// Time for which a lost back end is assigned no keys, unless it answers an
/// order.
const LOST_COOLDOWN: Duration = Duration::from_secs(3);

/// Longest rest for which keys are withheld from a back end.
const MAX_REST: Duration = Duration::from_secs(5);
/// Owners that rest lose their keys only if at most one in this many back ends
/// rests.
const MIN_BACK_ENDS_PER_RESTING: usize = 3;

/// Fraction of its share of keys that a cold back end is assigned if cold back
/// ends can serve only few requests. Routers limit their requests to it anyway.
/// With no keys at all it would have to wait for the next rebalancing: then
/// 0.735 of all requests were served instead of 0.748 (mean of four days on
/// which a zone came back cold, 140 owners).
const COLD_WEIGHT_FACTOR: f64 = 0.4;

/// A registered back end of the service.
#[derive(Clone, Debug)]
struct Registered {
    owner: Owner,
    zone: ZoneName,
    slots: u32,
    draining: bool,
    cold_until: Timestamp,
}

/// Reason why a back end may not own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It is leaving.
    Draining,
    /// It is not registered.
    Unregistered,
    /// It asked routers for a rest.
    Resting,
    /// It does not answer orders.
    Lost,
    /// It rejected a grant as malformed.
    Refused,
    /// Another process runs at its address.
    Replaced,
}

/// A back end that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub owner: Owner,
    /// Its capacity relative to the other candidates.
    pub weight: f64,
    /// Largest fraction of all requests that it takes, if it announces a limit
    /// below its usual share.
    pub max_share: Option<f64>,
}

/// State of the service's back ends, by name.
#[derive(Debug, Default)]
pub struct Holders {
    registered: BTreeMap<BackEndName, Registered>,
    occupancy: Occupancy,
    reachability: BTreeMap<BackEndName, Reachability>,
    /// Time at which routers last reported requests that a back end served.
    served: BTreeMap<BackEndName, Timestamp>,
    /// Owners that left a release unanswered which was then called off, with the
    /// time until which they are asked for no keys that they need not give up.
    called_off: BTreeMap<BackEndName, Timestamp>,
    /// Back ends that told a router that they are leaving. Invariant: no
    /// registration reverts this, because the registration may be older.
    reported_leaving: BTreeSet<BackEndName>,
    /// Back ends that asked routers for a rest, with the time until which they
    /// are assigned no keys.
    resting: BTreeMap<BackEndName, Timestamp>,
    /// True if cold back ends can serve only few requests.
    reduced_when_cold: bool,
    /// Set when some back end may have become ineligible to own keys, and
    /// cleared by [`Holders::take_changed`].
    changed: bool,
}

impl Holders {
    /// Replaces the set of registered back ends. `last_order` is the last order
    /// sent so far, and `is_owner` returns whether a back end owns keys.
    pub fn set_registered(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        all: &[BackEnd],
        last_order: OrderId,
        is_owner: impl Fn(&BackEndName) -> bool,
    ) -> RegistrationChanges {
        self.changed = true;
        let changes = self.occupancy.set_registered(all, last_order, is_owner);
        self.registered.clear();
        for back_end in all {
            if back_end.service == *service {
                self.register(now, back_end);
            }
        }
        let registered = &self.registered;
        self.reachability
            .retain(|name, _| registered.contains_key(name));
        self.served.retain(|name, _| registered.contains_key(name));
        self.reported_leaving
            .retain(|name| registered.contains_key(name));
        changes
    }

    fn register(&mut self, now: Timestamp, back_end: &BackEnd) {
        let entry = Registered {
            owner: Owner {
                name: back_end.name.clone(),
                address: back_end.address,
            },
            zone: back_end.zone.clone(),
            slots: back_end.slots.max(1),
            draining: back_end.draining,
            cold_until: now + back_end.cold_for,
        };
        self.registered.insert(back_end.name.clone(), entry);
    }

    /// Records that a back end told a router that it is leaving.
    pub fn on_leaving(&mut self, name: &BackEndName) {
        if self.is_registered(name) {
            self.changed |= self.reported_leaving.insert(name.clone());
        }
    }

    /// Records that a back end asked a router for a rest, of which `left`
    /// remains. It is assigned no keys for twice that time, because the cause
    /// of an overload usually persists.
    pub fn on_resting(&mut self, now: Timestamp, name: &BackEndName, left: Duration) {
        if !self.is_registered(name) {
            return;
        }
        let until = now + left.min(MAX_REST) * 2;
        self.resting.retain(|_, until| now < *until);
        let known = self.resting.entry(name.clone()).or_insert(until);
        *known = until.max(*known);
        self.changed = true;
    }

    /// Returns whether a back end is resting and others can take its keys. If
    /// many rest, the others would be overloaded next.
    fn is_resting(&self, now: Timestamp, name: &BackEndName) -> bool {
        let resting = |until: &Timestamp| now < *until;
        if !self.resting.get(name).is_some_and(resting) {
            return false;
        }
        let count = self.resting.values().filter(|until| resting(until)).count();
        count * MIN_BACK_ENDS_PER_RESTING <= self.registered.len()
    }

    /// Returns whether only routers reported that a back end should not keep
    /// its keys. Such a back end still answers requests for them.
    pub fn is_reported_only(&self, name: &BackEndName, reason: Ineligible) -> bool {
        let registered = self.registered.get(name);
        let draining = registered.is_some_and(|registered| registered.draining);
        match reason {
            Ineligible::Resting => true,
            Ineligible::Draining => !draining,
            _ => false,
        }
    }

    /// Returns and clears whether some back end may have become ineligible to
    /// own keys. Avoids checking all of them for each order.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether no back end of the service is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Returns whether a back end of the service is registered under `name`.
    pub fn is_registered(&self, name: &BackEndName) -> bool {
        self.registered.contains_key(name)
    }

    /// Returns the zone of a registered back end.
    pub fn zone(&self, name: &BackEndName) -> Option<&ZoneName> {
        let registered = self.registered.get(name)?;
        Some(&registered.zone)
    }

    /// Returns why `name` may not own keys, or `None` if it may.
    pub fn ineligible(&self, name: &BackEndName, now: Timestamp) -> Option<Ineligible> {
        let Some(registered) = self.registered.get(name) else {
            return Some(Ineligible::Unregistered);
        };
        if registered.draining || self.reported_leaving.contains(name) {
            return Some(Ineligible::Draining);
        }
        if self.occupancy.has_ended(name) {
            return Some(Ineligible::Replaced);
        }
        if self.is_resting(now, name) {
            return Some(Ineligible::Resting);
        }
        let reachability = self.reachability.get(name)?;
        if reachability.refused {
            return Some(Ineligible::Refused);
        }
        let cooling = |since: Timestamp| now.since(since) < LOST_COOLDOWN;
        reachability
            .lost_since
            .is_some_and(cooling)
            .then_some(Ineligible::Lost)
    }

    /// Returns whether an owner may keep its keys although it rests.
    pub fn may_keep_keys(&self, name: &BackEndName, now: Timestamp) -> bool {
        matches!(self.ineligible(name, now), None | Some(Ineligible::Resting))
    }

    /// Sets whether cold back ends can serve only few requests.
    pub fn set_reduced_when_cold(&mut self, reduced: bool) {
        self.reduced_when_cold = reduced;
    }

    /// Returns every back end that may be assigned keys, sorted by name, with
    /// its weight. `is_owner` returns whether a back end owns keys.
    pub fn candidates(
        &self,
        now: Timestamp,
        is_owner: impl Fn(&BackEndName) -> bool,
    ) -> Vec<Candidate> {
        self.registered
            .values()
            .filter(|registered| self.ineligible(&registered.owner.name, now).is_none())
            .filter(|registered| self.occupancy.may_run(&registered.owner, &is_owner))
            .map(|registered| Candidate {
                owner: registered.owner.clone(),
                weight: f64::from(registered.slots) * self.weight_factor(registered, now),
                max_share: None,
            })
            .collect()
    }

    /// Returns the fraction of its capacity that a back end can use now.
    fn weight_factor(&self, registered: &Registered, now: Timestamp) -> f64 {
        if self.reduced_when_cold && now < registered.cold_until {
            COLD_WEIGHT_FACTOR
        } else {
            1.0
        }
    }

    /// Returns whether a back end is known to have ended, so that it holds
    /// nothing.
    pub fn has_ended(&self, name: &BackEndName) -> bool {
        self.occupancy.has_ended(name) || self.successor(name).is_some()
    }

    /// Returns whether the process of an owner is known to have ended and no
    /// other process can hold its keys. A process that restarted at the same
    /// address may hold them, because it accepts orders to the previous one.
    pub fn holds_nothing(&self, owner: &Owner) -> bool {
        self.occupancy.has_ended(&owner.name) || self.restarted_elsewhere(owner)
    }

    fn restarted_elsewhere(&self, owner: &Owner) -> bool {
        let elsewhere = |successor: &Owner| successor.address != owner.address;
        self.successor(&owner.name).is_some_and(elsewhere)
    }

    /// Returns what proves that an owner holds nothing. Its restart elsewhere is
    /// proved by the registration that is known now.
    pub fn end_evidence(&self, now: Timestamp, owner: &Owner) -> Option<EndEvidence> {
        let restarted = EndEvidence {
            proof: EndProof::RestartedElsewhere,
            since: now,
        };
        let answered = self.occupancy.end_evidence(&owner.name);
        answered.or_else(|| self.restarted_elsewhere(owner).then_some(restarted))
    }

    /// Returns the newer process of a back end that has restarted.
    pub fn successor(&self, name: &BackEndName) -> Option<&Owner> {
        name.started_ms()?;
        let (later, registered) = self.registered.range(name..).nth(0)?;
        if later == name {
            return None;
        }
        later.is_restart_of(name).then_some(&registered.owner)
    }

    /// Returns whether an order to `owner` would show which of several
    /// processes is running at its address.
    pub fn is_ambiguous(&self, owner: &Owner) -> bool {
        self.occupancy.is_ambiguous(owner)
    }

    /// Records that another process answered an order to a back end, so that
    /// the back end has ended regardless of its registration. Returns whether
    /// this was not known before.
    pub fn on_other_process(&mut self, now: Timestamp, order: &Order) -> bool {
        self.changed = true;
        self.occupancy.on_other_process(now, order)
    }
}
