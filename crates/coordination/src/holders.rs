//! What the coordinator knows of each back end that holds or may hold keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};
use threadledge_types::{Timestamp, ZoneName};

use crate::occupancy::{Newcomers, Occupancy};
use crate::order::{Order, OrderFault, OrderId};
use crate::record::Owner;

/// Connections in a row that could not be opened before a back end counts as
/// lost.
const FAILED_CONNECTS_UNTIL_LOST: u32 = 2;
/// Orders in a row without an answer before a back end counts as lost. Some
/// back ends answer requests while they leave orders unanswered.
const UNANSWERED_UNTIL_LOST: u32 = 6;
/// How long a lost back end is given nothing, unless it answers an order.
const LOST_COOLDOWN: Duration = Duration::from_secs(3);

/// Longest rest by which keys are kept away from a back end.
const LONGEST_REST: Duration = Duration::from_secs(5);
/// Where more than one in so many owners rests, their keys stay.
const MANY_REST: usize = 3;

/// How long after a release was given up it may still be carried out: back ends
/// were seen to do so up to 12 seconds late.
pub const LATE_ORDERS: Duration = Duration::from_secs(15);

/// Part of its share of keys that a cold back end is given that bears few
/// requests. Routers spare it by themselves; without any keys it would wait
/// for the next time that keys are balanced: 0.735 of all requests were served
/// in place of 0.748 (mean of four days on which a zone came back cold, 140
/// owners).
const COLD_PART: f64 = 0.4;

/// One registered back end of the service.
#[derive(Clone, Debug)]
struct Registered {
    owner: Owner,
    zone: ZoneName,
    slots: u32,
    draining: bool,
    cold_until: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    failed_connects: u32,
    unanswered: u32,
    lost_since: Option<Timestamp>,
    silence: Option<Silence>,
    /// When an overdue grant was last counted as unanswered.
    overdue_counted: Option<Timestamp>,
    /// Until then releases that were given up may take keys from it.
    releases_until: Timestamp,
    refused: bool,
}

/// Orders that were given up since a back end last answered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// How many.
    pub given_up: u32,
    /// When the first of them was given up.
    pub since: Timestamp,
}

/// What the fault of an order says about its back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultNews {
    /// It is the first order in a row that was given up.
    pub silent: bool,
    /// The back end counts as lost from now on.
    pub lost: bool,
}

/// Why a back end may not own keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It is leaving.
    Draining,
    /// It is not registered.
    Unregistered,
    /// It asked routers for rest.
    Resting,
    /// It does not answer.
    Lost,
    /// It did not understand a grant.
    Refused,
    /// Another process runs at its address.
    Replaced,
}

/// A back end that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub owner: Owner,
    /// What it can do relative to others.
    pub weight: f64,
    /// Most of all requests that it takes, as a part, if it names a limit that
    /// is less than its usual share.
    pub most: Option<f64>,
}

/// Back ends by name.
#[derive(Debug, Default)]
pub struct Holders {
    registered: BTreeMap<BackEndName, Registered>,
    occupancy: Occupancy,
    contacts: BTreeMap<BackEndName, Contact>,
    /// Those that said to a router that they leave. Invariant: no registration
    /// takes that back: it may be older.
    said_leaving: BTreeSet<BackEndName>,
    /// Those that asked routers for rest, and until when they get no keys.
    resting: BTreeMap<BackEndName, Timestamp>,
    /// Cold back ends bear few requests.
    frail_when_cold: bool,
    /// Some back end may have become unfit to own keys since it was asked last.
    changed: bool,
}

impl Holders {
    /// Takes the back ends that are registered now. `last_order` is the last
    /// order sent so far, `is_owner` says who owns keys.
    pub fn set_registered(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        all: &[BackEnd],
        last_order: OrderId,
        is_owner: impl Fn(&BackEndName) -> bool,
    ) -> Newcomers {
        self.changed = true;
        let newcomers = self.occupancy.set_registered(all, last_order, is_owner);
        self.registered.clear();
        for back_end in all {
            if back_end.service == *service {
                self.register(now, back_end);
            }
        }
        let registered = &self.registered;
        self.contacts
            .retain(|name, _| registered.contains_key(name));
        self.said_leaving
            .retain(|name| registered.contains_key(name));
        newcomers
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

    /// A router was told by a back end that it leaves.
    pub fn on_leaving(&mut self, name: &BackEndName) {
        if self.is_registered(name) {
            self.changed |= self.said_leaving.insert(name.clone());
        }
    }

    /// A router was asked by a back end for rest, of which so much is left.
    /// Twice that long it gets no keys: what overloaded it lasts as a rule.
    pub fn on_resting(&mut self, now: Timestamp, name: &BackEndName, left: Duration) {
        if !self.is_registered(name) {
            return;
        }
        let until = now + left.min(LONGEST_REST) * 2;
        self.resting.retain(|_, until| now < *until);
        let known = self.resting.entry(name.clone()).or_insert(until);
        *known = until.max(*known);
        self.changed = true;
    }

    /// Whether a back end rests and others can take its keys. Where many rest
    /// the others would be the next ones.
    fn rests(&self, now: Timestamp, name: &BackEndName) -> bool {
        let resting = |until: &Timestamp| now < *until;
        if !self.resting.get(name).is_some_and(resting) {
            return false;
        }
        let count = self.resting.values().filter(|until| resting(until)).count();
        count * MANY_REST <= self.registered.len()
    }

    /// Whether it is known from routers alone that a back end should not keep
    /// its keys: it still answers requests for them.
    pub fn is_said_only(&self, name: &BackEndName, reason: Ineligible) -> bool {
        let registered = self.registered.get(name);
        let draining = registered.is_some_and(|registered| registered.draining);
        match reason {
            Ineligible::Resting => true,
            Ineligible::Draining => !draining,
            _ => false,
        }
    }

    /// Whether some back end may have become unfit to own keys since this was
    /// asked last: nobody looks through all of them for each order.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether no back end of the service is registered.
    pub fn is_empty(&self) -> bool {
        self.registered.is_empty()
    }

    /// Whether a back end of the service is registered under `name`.
    pub fn is_registered(&self, name: &BackEndName) -> bool {
        self.registered.contains_key(name)
    }

    /// Zone of a back end that is registered.
    pub fn zone(&self, name: &BackEndName) -> Option<&ZoneName> {
        let registered = self.registered.get(name)?;
        Some(&registered.zone)
    }

    /// Why `name` may not own keys; `None` when it may.
    pub fn ineligible(&self, name: &BackEndName, now: Timestamp) -> Option<Ineligible> {
        let Some(registered) = self.registered.get(name) else {
            return Some(Ineligible::Unregistered);
        };
        if registered.draining || self.said_leaving.contains(name) {
            return Some(Ineligible::Draining);
        }
        if self.occupancy.has_ended(name) {
            return Some(Ineligible::Replaced);
        }
        if self.rests(now, name) {
            return Some(Ineligible::Resting);
        }
        let contact = self.contacts.get(name)?;
        if contact.refused {
            return Some(Ineligible::Refused);
        }
        let cooling = |since: Timestamp| now.since(since) < LOST_COOLDOWN;
        contact
            .lost_since
            .is_some_and(cooling)
            .then_some(Ineligible::Lost)
    }

    /// Says whether cold back ends bear few requests.
    pub fn set_reduced_when_cold(&mut self, frail: bool) {
        self.frail_when_cold = frail;
    }

    /// Every back end that may be given keys, by name, with its weight.
    /// `is_owner` says who owns keys.
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
                weight: f64::from(registered.slots) * self.part_now(registered, now),
                most: None,
            })
            .collect()
    }

    /// Part of its share that a back end can do now.
    fn part_now(&self, registered: &Registered, now: Timestamp) -> f64 {
        if self.frail_when_cold && now < registered.cold_until {
            COLD_PART
        } else {
            1.0
        }
    }

    /// Whether a back end is known to have ended, so that it holds nothing.
    pub fn has_ended(&self, name: &BackEndName) -> bool {
        self.occupancy.has_ended(name) || self.successor(name).is_some()
    }

    /// The later life of a back end that has started again.
    pub fn successor(&self, name: &BackEndName) -> Option<&Owner> {
        name.started_ms()?;
        let (later, registered) = self.registered.range(name..).nth(0)?;
        if later == name {
            return None;
        }
        later.is_restart_of(name).then_some(&registered.owner)
    }

    /// Whether an order to `owner` would tell which of several processes runs
    /// at its address.
    pub fn in_doubt(&self, owner: &Owner) -> bool {
        self.occupancy.in_doubt(owner)
    }

    /// A back end answered an order. Returns the silence that this ended.
    pub fn on_answer(&mut self, order: &Order) -> Option<Silence> {
        self.changed |= self.occupancy.on_answer(order);
        let contact = self.contacts.get_mut(&order.to.name)?;
        let silence = contact.silence;
        *contact = Contact {
            refused: contact.refused,
            releases_until: contact.releases_until,
            ..Contact::default()
        };
        silence
    }

    /// Another process answered an order to a back end: it has ended, whatever
    /// its registration says. Says whether that is new.
    pub fn on_other_process(&mut self, name: &BackEndName) -> bool {
        self.changed = true;
        self.occupancy.on_other_process(name)
    }

    /// A back end did not understand a grant.
    pub fn on_malformed(&mut self, name: &BackEndName) {
        self.changed = true;
        self.contacts.entry(name.clone()).or_default().refused = true;
    }

    /// Whether releases that were given up may still take keys from `name`.
    pub fn may_lose_keys(&self, name: &BackEndName, now: Timestamp) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| now < contact.releases_until)
    }

    /// A release was given up: it may be carried out later.
    pub fn on_lost_release(&mut self, now: Timestamp, name: &BackEndName) {
        let contact = self.contacts.entry(name.clone()).or_default();
        contact.releases_until = now + LATE_ORDERS;
    }

    /// A grant to a back end of another region is overdue. Grants of several
    /// ranges stand in the same full link: they count as one silence, which
    /// began with the first of them. Counted one by one, six ranges made a
    /// sound back end count as lost within 0.5 s.
    pub fn on_overdue(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        timeout: Duration,
    ) -> FaultNews {
        let contact = self.contacts.entry(name.clone()).or_default();
        let again = |counted: Timestamp| now.since(counted) < timeout;
        if contact.overdue_counted.is_some_and(again) {
            return FaultNews::default();
        }
        contact.overdue_counted = Some(now);
        self.on_fault(now, name, OrderFault::NoAnswer)
    }

    /// A back end left an order without an answer.
    pub fn on_fault(&mut self, now: Timestamp, name: &BackEndName, fault: OrderFault) -> FaultNews {
        let contact = self.contacts.entry(name.clone()).or_default();
        match fault {
            OrderFault::Withheld => return FaultNews::default(),
            OrderFault::NotSent => contact.failed_connects += 1,
            OrderFault::NoAnswer => contact.unanswered += 1,
        }
        let lost = contact.failed_connects >= FAILED_CONNECTS_UNTIL_LOST
            || contact.unanswered >= UNANSWERED_UNTIL_LOST;
        let news = FaultNews {
            silent: contact.silence.is_none(),
            lost: lost && contact.lost_since.is_none(),
        };
        if lost {
            contact.lost_since = Some(now);
        }
        self.changed |= lost;
        let silence = contact.silence.get_or_insert(Silence {
            given_up: 0,
            since: now,
        });
        silence.given_up += 1;
        news
    }
}
