//! Status of the control core for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_consensus::Role;
use threadledge_control::ControlNode;
use threadledge_membership::MemberState as KnownState;
use threadledge_types::records::{ServiceRecord, SliceRecord};
use threadledge_types::validation::compile_selector;
use threadledge_types::{BackEndId, Timestamp};

use crate::operations::{
    GroupStatus, MemberState, MemberStatus, NotReadyReason, Readiness, ServiceStatus, SessionStatus,
};

/// Returns the time since it was last confirmed that the router's records are
/// the latest.
pub fn confirmed_age(node: &ControlNode, now: Timestamp) -> Option<Duration> {
    node.confirmed_as_of().map(|confirmed| now.since(confirmed))
}

/// Returns whether the state of the control core allows the router to accept
/// new requests.
///
/// Invariant: *accepted configuration is in force on every router within
/// seconds*. A router that cannot confirm its revision within `bound` accepts
/// no new requests.
pub fn readiness(node: &ControlNode, now: Timestamp, bound: Duration) -> Readiness {
    match confirmed_age(node, now) {
        None => Readiness::not_ready(NotReadyReason::NoConfiguration),
        Some(age) if age > bound => Readiness::not_ready(NotReadyReason::RevisionNotConfirmed),
        Some(_) => Readiness::ready(),
    }
}

/// Returns all known routers, this one first.
pub fn members(node: &ControlNode) -> Vec<MemberStatus> {
    let own = MemberStatus {
        identity: node.identity().clone(),
        state: MemberState::Alive,
    };
    let own_id = own.identity.id;
    let others = node.membership().members();
    let others = others
        .filter(|member| member.identity.id != own_id)
        .map(|member| MemberStatus {
            identity: member.identity.clone(),
            state: match member.state {
                KnownState::Alive => MemberState::Alive,
                KnownState::Suspect => MemberState::Suspect,
                KnownState::Leaving => MemberState::Leaving,
                KnownState::Dead => MemberState::Dead,
            },
        });
    std::iter::once(own).chain(others).collect()
}

/// Returns the state of the region's group as known to this router.
pub fn group(node: &ControlNode) -> Option<GroupStatus> {
    let view = node.view()?;
    let is_member = matches!(node.role(), Role::Leader | Role::Follower | Role::Learner);
    let learners = if is_member {
        node.learners()
    } else {
        Vec::new()
    };
    Some(GroupStatus {
        group: node.replica().group(),
        generation: view.generation,
        term: view.term,
        leader: view.leader,
        voters: view.voters.iter().map(|voter| voter.id).collect(),
        learners,
        committed: node.replica().revision(),
    })
}

/// Returns the open sessions with the number of slices each owns.
pub fn sessions(node: &ControlNode) -> Vec<SessionStatus> {
    let mut owned: BTreeMap<BackEndId, u64> = BTreeMap::new();
    for slice in node.replica().slices() {
        if let Some(owner) = slice.owner {
            *owned.entry(owner.back_end).or_default() += 1;
        }
    }
    let sessions = node.replica().sessions();
    sessions
        .map(|record| SessionStatus {
            session: record.id.clone(),
            draining: record.draining,
            slices: owned.get(&record.id.back_end).copied().unwrap_or(0),
        })
        .collect()
}

/// Returns the services with the numbers of their slices.
pub fn services(node: &ControlNode) -> Vec<ServiceStatus> {
    let services = node.replica().services();
    services
        .map(|record| service_status(node, record))
        .collect()
}

fn service_status(node: &ControlNode, record: &ServiceRecord) -> ServiceStatus {
    let slices: Vec<SliceRecord> = node.replica().slices_of(&record.id).collect();
    let unowned = slices.iter().filter(|slice| slice.owner.is_none()).count();
    let moving = slices.iter().filter(|slice| slice.next.is_some()).count();
    ServiceStatus {
        service: record.id.clone(),
        resource_version: record.resource_version,
        back_ends: selected_back_ends(node, record).len() as u64,
        slices: slices.len() as u64,
        unowned: unowned as u64,
        moving: moving as u64,
        imbalance: node
            .planner()
            .and_then(|planner| planner.imbalance(&record.id)),
    }
}

/// Returns the back ends that the service's selector matches.
pub fn selected_back_ends(node: &ControlNode, record: &ServiceRecord) -> Vec<BackEndId> {
    use kube_core::SelectorExt;
    let Ok(selector) = compile_selector(&record.spec.back_end_selector) else {
        return Vec::new();
    };
    let back_ends = node.replica().back_ends();
    back_ends
        .filter(|back_end| back_end.id.namespace == record.id.namespace)
        .filter(|back_end| selector.matches(&back_end.labels))
        .map(|back_end| back_end.id.clone())
        .collect()
}
