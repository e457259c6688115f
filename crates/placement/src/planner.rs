//! The planner, which schedules planning and balance checks of services.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::{BackEndId, Point, ServiceId, SessionId, Timestamp};

use crate::action::Action;
use crate::assign::assign_unowned;
use crate::balance::check_balance;
use crate::directory::Directory;
use crate::evacuate::{cancel_invalid_moves, evacuate};
use crate::selection::SelectionIndex;
use crate::service::ServiceState;
use crate::settings::PlannerSettings;
use crate::work_counters::WorkCounters;

/// Plans the ownership of the slices of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    pub(crate) settings: PlannerSettings,
    pub(crate) services: BTreeMap<Arc<ServiceId>, ServiceState>,
    pub(crate) directory: Directory,
    pub(crate) selection: SelectionIndex,
    /// Latest time seen.
    pub(crate) now: Timestamp,
    /// Services in which something changed since they were last planned.
    dirty: BTreeSet<Arc<ServiceId>>,
    /// Services by the time of their next balance check.
    checks: BTreeSet<(Timestamp, Arc<ServiceId>)>,
    /// Proposals by the time at which they expire.
    expiries: BTreeSet<(Timestamp, Arc<ServiceId>, Point)>,
    /// Service that was planned last, so that services take turns.
    cursor: Option<Arc<ServiceId>>,
    /// Time of the latest load report of each back end.
    pub(crate) reported_at: BTreeMap<BackEndId, Timestamp>,
    pub(crate) work: WorkCounters,
}

/// State of planning one service: its inputs, the actions so far and how many
/// more may be added.
pub(crate) struct PlanContext<'a> {
    pub settings: &'a PlannerSettings,
    pub now: Timestamp,
    /// Number of actions that may still be added.
    pub remaining_actions: usize,
    pub actions: Vec<Action>,
    pub work: WorkCounters,
}

impl PlanContext<'_> {
    /// Returns when a proposal made now expires.
    pub(crate) fn proposal_expiry(&self) -> Timestamp {
        self.now + self.settings.proposal_timeout
    }

    /// Adds an action.
    pub(crate) fn add_action(&mut self, action: Action) {
        self.remaining_actions = self.remaining_actions.saturating_sub(1);
        self.actions.push(action);
    }
}

impl Planner {
    /// Creates a planner without any records. `seed` decides ties that nothing
    /// else decides.
    pub fn new(settings: PlannerSettings, seed: u64) -> Self {
        // All ties are currently decided by identifiers. The seed is part of
        // the interface so that a random choice can be added without changing
        // it.
        let _ = seed;
        Planner {
            settings,
            services: BTreeMap::new(),
            directory: Directory::default(),
            selection: SelectionIndex::default(),
            now: Timestamp::ZERO,
            dirty: BTreeSet::new(),
            checks: BTreeSet::new(),
            expiries: BTreeSet::new(),
            cursor: None,
            reported_at: BTreeMap::new(),
            work: WorkCounters::default(),
        }
    }

    /// Proposes at most `max_actions` actions. Assignments and moves away from
    /// owners that may not keep their slices come first, and balancing comes
    /// after. Services take turns, so that a large one cannot starve another.
    pub fn plan(&mut self, now: Timestamp, max_actions: usize) -> Vec<Action> {
        self.now = self.now.max(now);
        self.expire_proposals();
        let mut actions = Vec::new();
        self.plan_dirty(&mut actions, max_actions);
        self.plan_balance(&mut actions, max_actions);
        actions
    }

    /// Withdraws a proposal that was rejected or never committed, so that the
    /// slice is planned again at once instead of after the timeout.
    pub fn withdraw(&mut self, action: &Action) {
        let Some(state) = self.services.get_mut(action.service()) else {
            return;
        };
        for first in action.affected_slices() {
            state.remove_proposal(first);
        }
        self.mark_dirty(action.service());
    }

    /// Returns the ratio of the highest load to the mean over the receivers of
    /// the service, or `None` if there are none.
    pub fn imbalance(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service)?.imbalance()
    }

    /// Returns the number of slices of the service that have no owner.
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

    /// Returns the back ends that may receive slices of the service.
    pub fn receivers(&self, service: &ServiceId) -> Vec<BackEndId> {
        self.services.get(service).map_or_else(Vec::new, |state| {
            state
                .receivers
                .keys()
                .map(|id| BackEndId::clone(id))
                .collect()
        })
    }

    /// Returns a slice as of the records observed so far.
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

    /// Returns the counters of the work done so far.
    pub fn work_counters(&self) -> WorkCounters {
        self.work
    }

    /// Marks a service as needing planning, and schedules a balance check for
    /// it.
    pub(crate) fn mark_dirty(&mut self, service: &ServiceId) {
        let Some((id, _)) = self.services.get_key_value(service) else {
            return;
        };
        let id = Arc::clone(id);
        self.dirty.insert(Arc::clone(&id));
        self.schedule_check(&id, self.now + self.settings.check_interval);
    }

    /// Schedules a balance check at `at`, unless an earlier one is scheduled.
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

    /// Removes a service and everything scheduled for it.
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

    /// Removes expired proposals and marks their services dirty.
    fn expire_proposals(&mut self) {
        while let Some((expires_at, service, first)) = self.expiries.pop_first() {
            if expires_at > self.now {
                self.expiries.insert((expires_at, service, first));
                return;
            }
            let Some(state) = self.services.get_mut(&service) else {
                continue;
            };
            let expired = state
                .pending
                .get(&first)
                .is_some_and(|pending| pending.expires_at <= self.now);
            if expired {
                state.remove_proposal(first);
                self.mark_dirty(&service);
            }
        }
    }

    /// Plans the dirty services. Each gets an equal part of the remaining
    /// actions, and what is unused is offered to those that need more.
    fn plan_dirty(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        loop {
            let before = actions.len();
            self.plan_dirty_once(actions, max_actions);
            let idle = actions.len() == before;
            if idle || actions.len() >= max_actions || self.dirty.is_empty() {
                return;
            }
        }
    }

    /// Plans every dirty service once with its part of the remaining actions.
    fn plan_dirty_once(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        let services = self.dirty_in_order();
        let mut remaining_services = services.len();
        for service in services {
            let remaining_actions = max_actions.saturating_sub(actions.len());
            if remaining_actions == 0 {
                return;
            }
            let quota = remaining_actions.div_ceil(remaining_services);
            remaining_services -= 1;
            let used = self.plan_service(&service, actions, quota);
            if used < quota {
                self.dirty.remove(&service);
            }
            self.cursor = Some(service);
        }
    }

    /// Returns the dirty services in order, starting after the one planned
    /// last.
    fn dirty_in_order(&self) -> Vec<Arc<ServiceId>> {
        let Some(cursor) = &self.cursor else {
            return self.dirty.iter().cloned().collect();
        };
        let after = self.dirty.iter().filter(|id| *id > cursor);
        let before = self.dirty.iter().filter(|id| *id <= cursor);
        after.chain(before).cloned().collect()
    }

    /// Cancels invalid moves, assigns unowned slices and begins evacuations of one
    /// service. Returns the number of actions proposed.
    fn plan_service(
        &mut self,
        service: &Arc<ServiceId>,
        actions: &mut Vec<Action>,
        quota: usize,
    ) -> usize {
        self.run_for_service(service, actions, quota, |state, context| {
            cancel_invalid_moves(state, context);
            assign_unowned(state, context);
            evacuate(state, context);
        })
    }

    /// Runs the balance checks that are due.
    fn plan_balance(&mut self, actions: &mut Vec<Action>, max_actions: usize) {
        let mut due = Vec::new();
        while let Some((at, service)) = self.checks.pop_first() {
            if at > self.now {
                self.checks.insert((at, service));
                break;
            }
            due.push(service);
        }
        let mut remaining_services = due.len();
        for service in due {
            let remaining_actions = max_actions.saturating_sub(actions.len());
            let quota = remaining_actions.div_ceil(remaining_services);
            remaining_services -= 1;
            let mut next_check = None;
            self.run_for_service(&service, actions, quota, |state, context| {
                state.balance.next_check = None;
                next_check = check_balance(state, context);
            });
            if let Some(at) = next_check {
                self.schedule_check(&service, at);
            }
        }
    }

    /// Runs `step` for one service and records the expiry of its proposals.
    /// Returns the number of actions proposed.
    fn run_for_service(
        &mut self,
        service: &Arc<ServiceId>,
        actions: &mut Vec<Action>,
        quota: usize,
        step: impl FnOnce(&mut ServiceState, &mut PlanContext<'_>),
    ) -> usize {
        let Some(state) = self.services.get_mut(service) else {
            return 0;
        };
        let mut context = PlanContext {
            settings: &self.settings,
            now: self.now,
            remaining_actions: quota,
            actions: Vec::new(),
            work: self.work,
        };
        context.work.services += 1;
        step(state, &mut context);
        self.work = context.work;
        let expires_at = context.proposal_expiry();
        let proposed = context.actions;
        for action in &proposed {
            for first in action.affected_slices() {
                self.expiries
                    .insert((expires_at, Arc::clone(service), first));
            }
        }
        let used = proposed.len();
        actions.extend(proposed);
        used
    }
}
