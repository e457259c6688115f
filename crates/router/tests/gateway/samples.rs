//! Back ends as the store or another gateway tells of them.

use std::time::Duration;

use threadledge::gateway::cluster_state::ClusterState;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::Entry;
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

/// Of a gateway that knows nothing yet, on a deployment whose zones are never
/// drained.
pub fn empty_state() -> ClusterState {
    let mut state = ClusterState::default();
    state.assume_no_drained_zones();
    state
}

/// The back ends that may be used now.
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

/// An object that can be understood.
pub fn entry<T>(name: &str, revision: StoreRevision, value: T) -> Entry<T> {
    Entry {
        name: name.to_owned(),
        revision,
        value: Ok(value),
    }
}
