//! Sample back ends, entries and states.

use std::time::Duration;

use threadledge::gateway::cluster_state::ClusterState;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::Entry;
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

/// The state of a gateway without data, on a deployment that never drains
/// zones.
pub fn empty_state() -> ClusterState {
    let mut state = ClusterState::default();
    state.assume_no_drained_zones();
    state
}

/// All back ends in use.
pub fn back_ends(state: &ClusterState) -> Vec<BackEnd> {
    let known = state.back_ends(Timestamp::ZERO);
    known.expect("the drained zones are known").to_vec()
}

pub fn back_end(name: &str, draining: bool) -> BackEnd {
    BackEnd {
        name: name.into(),
        service: "service".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "zone".into(),
        slots: 2,
        draining,
        cold_for: Duration::ZERO,
        registration: 1,
    }
}

/// A well-formed entry.
pub fn entry<T>(name: &str, revision: StoreRevision, value: T) -> Entry<T> {
    Entry {
        name: name.to_owned(),
        revision,
        value: Ok(value),
    }
}
