//! Loads of the back ends that may serve, compared.

use std::sync::Arc;
use std::time::Duration;

use threadledge_types::BackEndId;

use crate::service::ServiceState;
use crate::weight::{Scale, Weight};

/// Loads of the receivers, a slot, busiest first.
#[derive(Clone, Debug)]
pub(crate) struct Loads {
    pub scale: Scale,
    pub mean: f64,
    /// Standard deviation of one back end's measured load, relative to the
    /// mean.
    pub noise: f64,
    members: Vec<Load>,
}

/// Load of one receiver.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub id: Arc<BackEndId>,
    pub slots: f64,
    /// Load a slot, once everything on its way has arrived.
    pub load: f64,
    /// It answers the leader and may be given slices.
    pub answers: bool,
}

impl Loads {
    /// `window` is the time over which rates were averaged.
    pub(crate) fn of(state: &ServiceState, window: Duration) -> Option<Self> {
        let scale = state.scale();
        let mut sum = Weight::default();
        let mut slots = 0.0;
        let mut members = Vec::with_capacity(state.receivers.len());
        for (id, receiver) in &state.receivers {
            let holding = state.holdings.get(id);
            let weight = holding
                .map(|holding| holding.projected())
                .unwrap_or_default();
            sum += weight;
            slots += f64::from(receiver.slots);
            members.push(Load {
                id: Arc::clone(id),
                slots: f64::from(receiver.slots),
                load: scale.load(weight) / f64::from(receiver.slots),
                answers: receiver.answers,
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

    /// Ratio of the busiest to the mean.
    pub(crate) fn ratio(&self) -> f64 {
        self.members
            .first()
            .map_or(1.0, |busiest| busiest.load / self.mean)
    }

    /// By how much the idlest stays below the mean, relative to it.
    pub(crate) fn shortfall(&self) -> f64 {
        self.idlest()
            .map_or(0.0, |idlest| 1.0 - idlest.load / self.mean)
    }

    /// Number of receivers.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// The busiest receivers above `floor`, at most `most`.
    pub(crate) fn busiest_above(&self, floor: f64, most: usize) -> Vec<Load> {
        self.members
            .iter()
            .take(most)
            .filter(|member| member.load > floor)
            .cloned()
            .collect()
    }

    /// The least busy receiver that answers.
    pub(crate) fn idlest(&self) -> Option<&Load> {
        self.members.iter().rev().find(|member| member.answers)
    }

    /// Counts a move and sorts again.
    pub(crate) fn shift(&mut self, from: &BackEndId, to: &BackEndId, weight: Weight) {
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
