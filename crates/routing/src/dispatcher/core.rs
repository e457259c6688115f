//! State shared by all exchanges: records, back ends, namespace shares and
//! wake-ups.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{Point, Timestamp};

use crate::attempt::ExchangeId;
use crate::back_end::BackEnd;
use crate::counters::Counters;
use crate::ejection::EjectionChange;
use crate::exchange::{Exchange, RunningAttempt, State, Target};
use crate::fairness::{NamespaceShares, SharePolicy};
use crate::owner_refusals::OwnerRefusals;
use crate::settings::Settings;
use crate::snapshot::Notice;
use crate::table::{BackEndIndex, RoutingTable, ServiceIndex};

/// Maximum number of notices kept until they are taken.
const MAX_NOTICES: usize = 1_024;

/// All state of the dispatcher except the exchanges.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) settings: Settings,
    pub(super) seed: u64,
    pub(super) accepting: bool,
    pub(super) router_count: u32,
    pub(super) table: RoutingTable,
    pub(super) back_ends: BTreeMap<BackEndIndex, BackEnd>,
    pub(super) shares: NamespaceShares,
    /// Exchanges that have not ended, by the point of their key, so that a
    /// changed slice wakes only the affected ones.
    pub(super) by_point: BTreeSet<(ServiceIndex, Point, ExchangeId)>,
    pub(super) owner_refusals: OwnerRefusals,
    pub(super) wakeups: BTreeSet<ExchangeId>,
    pub(super) counters: Counters,
    pub(super) notices: Vec<Notice>,
}

impl Core {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        let shares = NamespaceShares::new(SharePolicy {
            capacity: settings.max_exchanges,
            share_percent: settings.namespace_share_percent,
            reserve_percent: settings.namespace_reserve_percent,
        });
        Core {
            settings,
            seed,
            accepting: false,
            router_count: 1,
            table: RoutingTable::new(),
            back_ends: BTreeMap::new(),
            shares,
            by_point: BTreeSet::new(),
            owner_refusals: OwnerRefusals::default(),
            wakeups: BTreeSet::new(),
            counters: Counters::default(),
            notices: Vec::new(),
        }
    }

    /// Returns the owner that may get this exchange now: it has a record and an
    /// open session, and it is not past the grace period of a drain.
    pub(super) fn usable_owner(&self, now: Timestamp, exchange: &Exchange) -> Option<Target> {
        let owner = self.table.owner_entry(exchange.service, exchange.point)?;
        let back_end = self.back_ends.get(&owner.back_end)?;
        back_end.takes_new_work(now).then(|| owner.into())
    }

    /// Changes the state of an exchange and updates whether it can be evicted.
    pub(super) fn set_state(&mut self, exchange: &mut Exchange, state: State) {
        if exchange.state != state {
            self.leave_owner_refusals(exchange);
        }
        exchange.state = state;
        let waits = matches!(state, State::Parked(_) | State::Queued { .. });
        let is_evictable = waits && !exchange.may_have_run();
        if is_evictable == exchange.is_evictable {
            return;
        }
        exchange.is_evictable = is_evictable;
        if is_evictable {
            self.shares
                .start_waiting(&exchange.namespace, exchange.eviction_order());
        } else {
            self.shares
                .stop_waiting(&exchange.namespace, exchange.eviction_order());
        }
    }

    /// Frees the slot of an attempt that has ended.
    pub(super) fn release(&mut self, now: Timestamp, id: ExchangeId, attempt: &RunningAttempt) {
        if let Some(back_end) = self.back_ends.get_mut(&attempt.target.back_end) {
            back_end.end_attempt(attempt.started, id, attempt.number);
        }
        self.grant_slots(now, attempt.target.back_end);
    }

    /// Grants a back end's free slots to the exchanges queued for it.
    pub(super) fn grant_slots(&mut self, now: Timestamp, index: BackEndIndex) {
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        let granted = back_end.grant_slots(now);
        if granted.is_empty() {
            return;
        }
        self.wakeups.extend(granted);
        self.wake_queue_head(now, index);
    }

    /// Wakes the first exchange in a queue if slots may become free without an
    /// event. Only the first one waits for that time on behalf of the others,
    /// so a new first one must be woken.
    pub(super) fn wake_queue_head(&mut self, now: Timestamp, index: BackEndIndex) {
        let Some(back_end) = self.back_ends.get(&index) else {
            return;
        };
        if back_end.next_change(now).is_some() {
            self.wakeups.extend(back_end.queue.first());
        }
    }

    pub(super) fn on_back_end_success(&mut self, now: Timestamp, index: BackEndIndex) {
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        let change = back_end.ejection.on_success();
        self.report_ejection_change(now, index, change, true);
    }

    pub(super) fn on_back_end_failure(&mut self, now: Timestamp, index: BackEndIndex) {
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        let was_ejected = back_end.ejection.is_ejected();
        let change = back_end.ejection.on_failure(now);
        self.report_ejection_change(now, index, change, !was_ejected);
    }

    /// Counts a change of an ejection and reports it if `should_notify` is set.
    /// A prolonged ejection, which may happen ten times a second, is counted
    /// but not reported again.
    fn report_ejection_change(
        &mut self,
        now: Timestamp,
        index: BackEndIndex,
        change: Option<EjectionChange>,
        should_notify: bool,
    ) {
        let (Some(change), Some(back_end)) = (change, self.back_ends.get_mut(&index)) else {
            return;
        };
        let id = back_end.id.clone();
        let notice = match change {
            EjectionChange::Ejected => {
                self.counters.ejections += 1;
                let until = back_end.ejection.closed_until(now).unwrap_or(now);
                Notice::Ejected {
                    back_end: id,
                    until,
                }
            }
            EjectionChange::Readmitted => {
                // A readmitted back end starts again at its share instead of
                // its earlier limit.
                back_end.limit.restart();
                Notice::Readmitted { back_end: id }
            }
        };
        if should_notify && self.notices.len() < MAX_NOTICES {
            self.notices.push(notice);
        }
        self.wake_queue_head(now, index);
    }
}
