//! State of each back end that holds or may hold keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};
use threadledge_types::{Timestamp, ZoneName};

use crate::occupancy::{EndEvidence, EndProof, Occupancy, RegistrationChanges};
use crate::order::{Order, OrderFault, OrderId};
use crate::record::Owner;

/// Consecutive failed connection attempts after which a back end counts as
/// lost.
const FAILED_CONNECTS_UNTIL_LOST: u32 = 2;
/// Consecutive unanswered orders after which a back end counts as lost. Some
/// back ends answer requests while they leave orders unanswered.
const UNANSWERED_UNTIL_LOST: u32 = 6;
/// Time after a report of served requests for which unanswered orders do not
/// make a back end count as lost: two intervals of the reports and their way.
const SERVED_WINDOW: Duration = Duration::from_millis(1_200);
/// Time for which a lost back end is assigned no keys, unless it answers an
/// order.
const LOST_COOLDOWN: Duration = Duration::from_secs(3);

/// Longest rest for which keys are withheld from a back end.
const MAX_REST: Duration = Duration::from_secs(5);
/// Owners that rest lose their keys only if at most one in this many back ends
/// rests.
const MIN_BACK_ENDS_PER_RESTING: usize = 3;

/// Time after its timeout during which an unanswered release may still be
/// executed. Back ends were seen to execute orders up to 12 seconds late.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(15);

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

/// Results of recent orders to a back end.
#[derive(Clone, Copy, Debug, Default)]
struct Reachability {
    /// Consecutive failed connection attempts.
    failed_connects: u32,
    /// Consecutive unanswered orders.
    unanswered: u32,
    /// The last order that had been sent when one was last counted as
    /// unanswered.
    counted_until: OrderId,
    /// Time at which the back end last counted as lost.
    lost_since: Option<Timestamp>,
    /// The current period without answers, if any.
    silence: Option<Silence>,
    /// Time at which an overdue grant was last counted as unanswered.
    overdue_counted: Option<Timestamp>,
    /// End of the time in which unanswered releases may still take keys from
    /// the back end.
    late_releases_until: Timestamp,
    /// True if the back end rejected a grant as malformed.
    refused: bool,
}

/// A period in which a back end has answered no order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Number of orders that failed in this period.
    pub given_up: u32,
    /// Time at which the first of them failed.
    pub since: Timestamp,
}

/// Consequences of a failed order for the state of its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultEffect {
    /// True if this is the first consecutive failure.
    pub first_failure: bool,
    /// True if the back end counts as lost from now on.
    pub lost: bool,
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

    /// Records that a router reported requests that a back end served.
    pub fn on_served(&mut self, now: Timestamp, name: &BackEndName) {
        if self.is_registered(name) {
            self.served.insert(name.clone(), now);
        }
    }

    /// Returns whether a back end served requests lately, so that it runs and
    /// holds keys whether it answers orders or not.
    fn serves(&self, now: Timestamp, name: &BackEndName) -> bool {
        let served = self.served.get(name);
        served.is_some_and(|served| now.since(*served) < SERVED_WINDOW)
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

    /// Records that a back end answered an order. Returns the period of silence
    /// that this ended, if any.
    pub fn on_answer(&mut self, now: Timestamp, order: &Order) -> Option<Silence> {
        self.changed |= self.occupancy.on_answer(now, order);
        let reachability = self.reachability.get_mut(&order.to.name)?;
        let silence = reachability.silence;
        *reachability = Reachability {
            refused: reachability.refused,
            late_releases_until: reachability.late_releases_until,
            ..Reachability::default()
        };
        silence
    }

    /// Records that another process answered an order to a back end, so that
    /// the back end has ended regardless of its registration. Returns whether
    /// this was not known before.
    pub fn on_other_process(&mut self, now: Timestamp, order: &Order) -> bool {
        self.changed = true;
        self.occupancy.on_other_process(now, order)
    }

    /// Records that a back end rejected a grant as malformed.
    pub fn on_malformed(&mut self, name: &BackEndName) {
        self.changed = true;
        self.reachability.entry(name.clone()).or_default().refused = true;
    }

    /// Records that a release was called off because `name` did not answer it.
    /// It may still be executed, and would be again if it were repeated.
    pub fn on_called_off(&mut self, now: Timestamp, name: &BackEndName) {
        self.called_off.retain(|_, until| now < *until);
        self.called_off
            .insert(name.clone(), now + LATE_ORDER_WINDOW);
    }

    /// Returns whether an owner will probably answer a release: it answered its
    /// last order, and none of its releases was called off lately.
    pub fn may_be_asked(&self, name: &BackEndName, now: Timestamp) -> bool {
        let reachability = self.reachability.get(name);
        let is_silent = reachability.is_some_and(|reachability| reachability.silence.is_some());
        let paused = self.called_off.get(name).is_some_and(|until| now < *until);
        !is_silent && !paused
    }

    /// Returns whether unanswered releases may still take keys from `name`.
    pub fn may_lose_keys(&self, name: &BackEndName, now: Timestamp) -> bool {
        let reachability = self.reachability.get(name);
        reachability.is_some_and(|reachability| now < reachability.late_releases_until)
    }

    /// Records that a release was not answered, so that it may be executed
    /// later.
    pub fn on_unanswered_release(&mut self, now: Timestamp, name: &BackEndName) {
        let reachability = self.reachability.entry(name.clone()).or_default();
        reachability.late_releases_until = now + LATE_ORDER_WINDOW;
    }

    /// Records that a grant to a back end of another region is overdue. Grants
    /// of several ranges are queued in the same full link, so they count as one
    /// failure per timeout, starting with the first. When they were counted
    /// separately, six ranges made a healthy back end count as lost within 0.5
    /// s.
    pub fn on_overdue(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        timeout: Duration,
    ) -> FaultEffect {
        let reachability = self.reachability.entry(name.clone()).or_default();
        let again = |counted: Timestamp| now.since(counted) < timeout;
        if reachability.overdue_counted.is_some_and(again) {
            return FaultEffect::default();
        }
        reachability.overdue_counted = Some(now);
        self.on_fault(now, name, OrderFault::NoAnswer)
    }

    /// Records that an order to a back end failed. `last_sent` is the last order
    /// sent so far. Invariant: orders that were under way together and are not
    /// answered count as one failure, since one broken connection ends them all.
    pub fn on_order_failed(
        &mut self,
        now: Timestamp,
        order: &Order,
        fault: &OrderFault,
        last_sent: OrderId,
    ) -> FaultEffect {
        let name = &order.to.name;
        if *fault != OrderFault::NoAnswer {
            return self.on_fault(now, name, fault.clone());
        }
        let reachability = self.reachability.entry(name.clone()).or_default();
        if order.id <= reachability.counted_until
            && let Some(silence) = &mut reachability.silence
        {
            silence.given_up += 1;
            return FaultEffect::default();
        }
        reachability.counted_until = last_sent;
        self.on_fault(now, name, OrderFault::NoAnswer)
    }

    /// Records that an order to a back end has no answer.
    pub fn on_fault(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        fault: OrderFault,
    ) -> FaultEffect {
        let serves = self.serves(now, name);
        let reachability = self.reachability.entry(name.clone()).or_default();
        match fault {
            OrderFault::Withheld | OrderFault::Doubtful(_) => return FaultEffect::default(),
            OrderFault::NotSent => reachability.failed_connects += 1,
            OrderFault::NoAnswer => reachability.unanswered += 1,
        }
        let lost = reachability.failed_connects >= FAILED_CONNECTS_UNTIL_LOST
            || (reachability.unanswered >= UNANSWERED_UNTIL_LOST && !serves);
        let effect = FaultEffect {
            first_failure: reachability.silence.is_none(),
            lost: lost && reachability.lost_since.is_none(),
        };
        if lost {
            reachability.lost_since = Some(now);
        }
        self.changed |= lost;
        let silence = reachability.silence.get_or_insert(Silence {
            given_up: 0,
            since: now,
        });
        silence.given_up += 1;
        effect
    }
}
