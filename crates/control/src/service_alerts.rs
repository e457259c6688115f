//! Alerts about services. Each is raised once when its condition begins, and
//! again only after the condition has ended in between.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_placement::Planner;
use threadledge_types::records::ServiceRecord;
use threadledge_types::{ServiceId, Timestamp};

use crate::output::Observation;

/// Interval between checks of all services.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which an imbalance may stay above the tolerated level before it is
/// reported. The churn budget lets it be corrected only step by step.
const IMBALANCE_ALERT_DELAY: Duration = Duration::from_secs(60);

/// An imbalance of one service above the tolerated level.
#[derive(Clone, Copy, Debug)]
struct Imbalance {
    since: Timestamp,
    is_reported: bool,
}

/// Alert conditions that currently hold.
#[derive(Debug, Default)]
pub(crate) struct ServiceAlerts {
    next_check: Timestamp,
    imbalances: BTreeMap<ServiceId, Imbalance>,
    without_back_end: BTreeSet<ServiceId>,
}

impl ServiceAlerts {
    /// Checks all services when a check is due and returns new alerts;
    /// O(services and their back ends).
    pub fn check<'a>(
        &mut self,
        now: Timestamp,
        planner: &Planner,
        services: impl Iterator<Item = &'a ServiceRecord>,
    ) -> Vec<Observation> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let imbalances = std::mem::take(&mut self.imbalances);
        let without_back_end = std::mem::take(&mut self.without_back_end);
        let mut observations = Vec::new();
        for service in services {
            let known = imbalances.get(&service.id).copied();
            observations.extend(self.check_imbalance(now, planner, service, known));
            let is_known = without_back_end.contains(&service.id);
            observations.extend(self.check_back_ends(planner, service, is_known));
        }
        observations
    }

    /// Returns an alert if an imbalance has lasted too long and was not
    /// reported yet.
    fn check_imbalance(
        &mut self,
        now: Timestamp,
        planner: &Planner,
        service: &ServiceRecord,
        known: Option<Imbalance>,
    ) -> Option<Observation> {
        let ratio = planner.imbalance(&service.id)?;
        if ratio <= service.spec.placement.tolerated_imbalance {
            return None;
        }
        let mut imbalance = known.unwrap_or(Imbalance {
            since: now,
            is_reported: false,
        });
        let is_due = !imbalance.is_reported && now.since(imbalance.since) >= IMBALANCE_ALERT_DELAY;
        imbalance.is_reported |= is_due;
        self.imbalances.insert(service.id.clone(), imbalance);
        is_due.then(|| Observation::ImbalanceTooHigh {
            service: service.id.clone(),
            ratio,
        })
    }

    /// Returns an alert if a service newly has slices without an owner and no
    /// back end that may own them.
    fn check_back_ends(
        &mut self,
        planner: &Planner,
        service: &ServiceRecord,
        is_known: bool,
    ) -> Option<Observation> {
        let unowned = planner.unowned_slices(&service.id);
        if unowned == 0 || !planner.receivers(&service.id).is_empty() {
            return None;
        }
        self.without_back_end.insert(service.id.clone());
        (!is_known).then(|| Observation::NoEligibleBackEnd {
            service: service.id.clone(),
            unowned,
        })
    }
}
