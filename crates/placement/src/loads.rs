//! Comparison of the loads of the receivers of a service.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::BackEndId;

use crate::service::ServiceState;
use crate::weight::{LoadScale, Weight};

/// Loads per slot of the receivers, in descending order.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    pub scale: LoadScale,
    /// Mean load per slot over all receivers.
    pub mean: f64,
    /// Standard deviation of one back end's measured load, relative to the
    /// mean.
    pub noise: f64,
    members: Vec<ReceiverLoad>,
}

/// Load of one receiver.
#[derive(Clone, Debug)]
pub(crate) struct ReceiverLoad {
    pub id: Arc<BackEndId>,
    pub slots: f64,
    /// Load per slot once all moves have completed.
    pub load: f64,
    /// It responds to the leader and may receive slices.
    pub reachable: bool,
}

impl Loads {
    /// Computes the loads, or returns `None` if there are no receivers or no
    /// slices to compare. `window` is the time over which rates were averaged.
    pub(crate) fn new(state: &ServiceState, window: Duration) -> Option<Self> {
        let scale = state.scale();
        let mut sum = Weight::default();
        let mut slots = 0.0;
        let mut members = Vec::with_capacity(state.receivers.len());
        for (id, receiver) in &state.receivers {
            let allocation = state.allocations.get(id);
            let weight = allocation
                .map(|allocation| allocation.projected())
                .unwrap_or_default();
            sum += weight;
            slots += f64::from(receiver.slots);
            members.push(ReceiverLoad {
                id: Arc::clone(id),
                slots: f64::from(receiver.slots),
                load: scale.load(weight) / f64::from(receiver.slots),
                reachable: receiver.reachable,
            });
        }
        if members.is_empty() || sum.length == 0 {
            return None;
        }
        let mean = scale.load(sum) / slots;
        let back_end_mean = scale.load(sum) / members.len() as f64;
        let rate = sum.per_second() / members.len() as f64;
        let noise = (rate / window.as_secs_f64()).sqrt() / back_end_mean;
        let mut loads = Loads {
            scale,
            mean,
            noise,
            members,
        };
        loads.sort();
        Some(loads)
    }

    fn sort(&mut self) {
        self.members.sort_by(|left, right| {
            right
                .load
                .total_cmp(&left.load)
                .then_with(|| left.id.cmp(&right.id))
        });
    }

    /// Returns the ratio of the highest load to the mean.
    pub(crate) fn ratio(&self) -> f64 {
        self.members
            .first()
            .map_or(1.0, |busiest| busiest.load / self.mean)
    }

    /// Returns how far the load of the least loaded reachable receiver is below
    /// the mean, relative to the mean.
    pub(crate) fn shortfall(&self) -> f64 {
        self.least_loaded()
            .map_or(0.0, |least_loaded| 1.0 - least_loaded.load / self.mean)
    }

    /// Returns the number of receivers.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the receivers with a load above `floor` among the `limit`
    /// busiest.
    pub(crate) fn busiest_above(&self, floor: f64, limit: usize) -> Vec<ReceiverLoad> {
        self.members
            .iter()
            .take(limit)
            .filter(|member| member.load > floor)
            .cloned()
            .collect()
    }

    /// Returns the least loaded reachable receiver.
    pub(crate) fn least_loaded(&self) -> Option<&ReceiverLoad> {
        self.members.iter().rev().find(|member| member.reachable)
    }

    /// Applies a move to the loads and sorts again.
    pub(crate) fn apply_move(&mut self, from: &BackEndId, to: &BackEndId, weight: Weight) {
        let load = self.scale.load(weight);
        for member in &mut self.members {
            if *member.id == *from {
                member.load -= load / member.slots;
            }
            if *member.id == *to {
                member.load += load / member.slots;
            }
        }
        self.sort();
    }
}
