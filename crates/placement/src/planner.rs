//! The planner: which services need a look, and in what order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::{BackEndId, Point, ServiceId, SessionId, Timestamp};

use crate::action::Action;
use crate::assign::assign_unowned;
use crate::balance::check_balance;
use crate::directory::Directory;
use crate::evacuate::{cancel_stranded, evacuate};
use crate::selection::Selection;
use crate::service::ServiceState;
use crate::settings::PlannerSettings;
use crate::work::WorkCounters;

/// Plans the ownership of the slices of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: PlannerSettings,
    pub(crate) services: BTreeMap<Arc<ServiceId>, ServiceState>,
    pub(crate) directory: Directory,
    pub(crate) selection: Selection,
    /// Latest time seen.
    pub(crate) now: Timestamp,
    /// Services in which something changed since they were last planned.
    dirty: BTreeSet<Arc<ServiceId>>,
    /// Services by the time of their next balance check.
    checks: BTreeSet<(Timestamp, Arc<ServiceId>)>,
    /// Proposals by the time at which they are given up.
    expiries: BTreeSet<(Timestamp, Arc<ServiceId>, Point)>,
    /// Last service that was planned, so that all get their turn.
    cursor: Option<Arc<ServiceId>>,
    /// Latest report of each back end.
    pub(crate) reported_at: BTreeMap<BackEndId, Timestamp>,
    pub(crate) work: WorkCounters,
}

/// Room for actions and what is needed to make them.
pub(crate) struct Round<'a> {
    pub settings: &'a PlannerSettings,
    pub now: Timestamp,
    /// Actions that may still be added.
    pub room: usize,
    pub actions: Vec<Action>,
    pub work: WorkCounters,
}

impl Round<'_> {
    /// When a proposal made now is given up.
    pub(crate) fn proposal_end(&self) -> Timestamp {
        self.now + self.settings.proposal_timeout
    }

    /// Adds an action.
    pub(crate) fn push(&mut self, action: Action) {
        self.room = self.room.saturating_sub(1);
        self.actions.push(action);
    }
}

impl Planner {
    /// A planner that knows nothing yet. `seed` decides ties that nothing
    /// else decides.
    pub fn new(settings: PlannerSettings, seed: u64) -> Self {
        // Every tie is decided by identifiers today; the seed is part of the
        // interface so that a random choice can be added without changing it.
        let _ = seed;
        Planner {
            settings,
            services: BTreeMap::new(),
            directory: Directory::default(),
            selection: Selection::default(),
            now: Timestamp::ZERO,
            dirty: BTreeSet::new(),
            checks: BTreeSet::new(),
            expiries: BTreeSet::new(),
            cursor: None,
            reported_at: BTreeMap::new(),
            work: WorkCounters::default(),
        }
    }

    /// Proposes at most `max_actions` actions. Assignments and moves away
    /// from leaving back ends come first, balance after; services take turns,
    /// so that a large one starves no other.
    pub fn plan(&mut self, now: Timestamp, max_actions: usize) -> Vec<Action> {
        self.now = self.now.max(now);
        self.expire_proposals();
        let mut actions = Vec::new();
        self.plan_dirty(&mut actions, max_actions);
        self.plan_balance(&mut actions, max_actions);
        actions
    }

    /// Takes back a proposal that was refused or never committed, so that the
    /// slice is planned again at once and not only after the timeout.
    pub fn withdraw(&mut self, action: &Action) {
        let Some(state) = self.services.get_mut(action.service()) else {
            return;
        };
        for first in action.touched() {
            state.drop_pending(first);
        }
        self.mark_dirty(action.service());
    }

    /// Ratio of the busiest back end's load to the mean, over the back ends
    /// that may serve; `None` without any.
    pub fn imbalance(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service)?.imbalance()
    }

    /// Slices of the service that nobody owns.
    pub fn unowned_slices(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |state| {
            let proposed = state
                .pending
                .keys()
                .filter(|first| {
                    let slice = state.table.get(**first);
                    slice.is_some_and(|slice| slice.owner.is_none())
                })
                .count();
            state.unowned.len() + proposed
        })
    }

    /// Back ends that may take slices of the service.
    pub fn receivers(&self, service: &ServiceId) -> Vec<BackEndId> {
        self.services.get(service).map_or_else(Vec::new, |state| {
            state
                .receivers
                .keys()
                .map(|id| BackEndId::clone(id))
                .collect()
        })
    }

    /// A slice as the records seen so far have it.
    pub fn slice_record(&self, key: &SliceKey) -> Option<SliceRecord> {
        let state = self.services.get(&key.service)?.table.get(key.first)?;
        let owner = state.owner.as_ref().map(|owner| SessionId {
            back_end: BackEndId::clone(&owner.back_end),
            incarnation: owner.incarnation,
        });
        Some(SliceRecord {
            service: key.service.clone(),
            slice: state.slice(key.first),
            owner,
            epoch: state.epoch,
            next: state.next.as_deref().cloned(),
        })
    }

    /// How much the planner looked at so far.
    pub fn work_counters(&self) -> WorkCounters {
        self.work
    }

    /// Notes that a service needs planning, and a balance check soon.
    pub(crate) fn mark_dirty(&mut self, service: &ServiceId) {
        let Some((id, _)) = self.services.get_key_value(service) else {
            return;
        };
        let id = Arc::clone(id);
        self.dirty.insert(Arc::clone(&id));
        self.schedule_check(&id, self.now + self.settings.check_interval);
    }

    /// Plans a balance check at `at`, unless an earlier one is planned.
    pub(crate) fn schedule_check(&mut self, service: &Arc<ServiceId>, at: Timestamp) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if let Some(planned) = state.balance.next_check {
            if planned <= at {
                return;
            }
            self.checks.remove(&(planned, Arc::clone(service)));
        }
        state.balance.next_check = Some(at);
        self.checks.insert((at, Arc::clone(service)));
    }

    /// Forgets everything planned for a service.
    pub(crate) fn forget_service(&mut self, service: &ServiceId) {
        let Some((id, state)) = self.services.remove_entry(service) else {
            return;
        };
        if let Some(at) = state.balance.next_check {
            self.checks.remove(&(at, Arc::clone(&id)));
        }
        self.selection.remove_service(&id);
        self.dirty.remove(&id);
    }

    fn expire_proposals(&mut self) {
        while let Some((until, service, first)) = self.expiries.pop_first() {
            if until > self.now {
                self.expiries.insert((until, service, first));
                return;
            }
            let Some(state) = self.services.get_mut(&service) else {
                continue;
            };
            let lapsed = state
                .pending
                .get(&first)
                .is_some_and(|pending| pending.until <= self.now);
            if lapsed {
                state.drop_pending(first);
                self.mark_dirty(&service);
            }
        }
    }

    /// Gives every dirty service its part of the room, then hands what was
    /// left over to those that could use more.
    fn plan_dirty(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        loop {
            let before = actions.len();
            self.plan_turn(actions, max_actions);
            let idle = actions.len() == before;
            if idle || actions.len() >= max_actions || self.dirty.is_empty() {
                return;
            }
        }
    }

    fn plan_turn(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        let turn = self.turn();
        let mut left = turn.len();
        for service in turn {
            let room = max_actions.saturating_sub(actions.len());
            if room == 0 {
                return;
            }
            let quota = room.div_ceil(left);
            left -= 1;
            let used = self.plan_service(&service, actions, quota);
            if used < quota {
                self.dirty.remove(&service);
            }
            self.cursor = Some(service);
        }
    }

    /// Dirty services, starting after the one planned last.
    fn turn(&self) -> Vec<Arc<ServiceId>> {
        let Some(cursor) = &self.cursor else {
            return self.dirty.iter().cloned().collect();
        };
        let after = self.dirty.iter().filter(|id| *id > cursor);
        let before = self.dirty.iter().filter(|id| *id <= cursor);
        after.chain(before).cloned().collect()
    }

    fn plan_service(
        &mut self,
        service: &Arc<ServiceId>,
        actions: &mut Vec<Action>,
        quota: usize,
    ) -> usize {
        self.in_round(service, actions, quota, |state, round| {
            cancel_stranded(state, round);
            assign_unowned(state, round);
            evacuate(state, round);
        })
    }

    fn plan_balance(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        let mut due = Vec::new();
        while let Some((at, service)) = self.checks.pop_first() {
            if at > self.now {
                self.checks.insert((at, service));
                break;
            }
            due.push(service);
        }
        let mut left = due.len();
        for service in due {
            let room = max_actions.saturating_sub(actions.len());
            let quota = room.div_ceil(left);
            left -= 1;
            let mut again = None;
            self.in_round(&service, actions, quota, |state, round| {
                state.balance.next_check = None;
                again = check_balance(state, round);
            });
            if let Some(at) = again {
                self.schedule_check(&service, at);
            }
        }
    }

    /// Runs `step` for one service and notes the proposals it made.
    fn in_round(
        &mut self,
        service: &Arc<ServiceId>,
        actions: &mut Vec<Action>,
        quota: usize,
        step: impl FnOnce(&mut ServiceState, &mut Round<'_>),
    ) -> usize {
        let Some(state) = self.services.get_mut(service) else {
            return 0;
        };
        let mut round = Round {
            settings: &self.settings,
            now: self.now,
            room: quota,
            actions: Vec::new(),
            work: self.work,
        };
        round.work.services += 1;
        step(state, &mut round);
        self.work = round.work;
        let until = round.proposal_end();
        let made = round.actions;
        for action in &made {
            for first in action.touched() {
                self.expiries.insert((until, Arc::clone(service), first));
            }
        }
        let used = made.len();
        actions.extend(made);
        used
    }
}
