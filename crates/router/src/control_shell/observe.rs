//! Logging of the control core's observations.

use threadledge_control::{Observation, SliceChange};
use threadledge_ownership::grantor::Observation as SessionObservation;

use crate::events::{EventId, emit};

/// Logs one observation.
pub fn log(observation: &Observation) {
    match observation {
        Observation::RouterUp(id) => emit!(EventId::PeerFound, router = %id),
        Observation::RouterSuspected(id) => emit!(EventId::PeerSuspected, router = %id),
        Observation::RouterDown(id) => emit!(EventId::PeerLost, router = %id, reason = "dead"),
        Observation::RouterLeaving(id) => {
            emit!(EventId::PeerLost, router = %id, reason = "leaving");
        }
        Observation::GroupFounded(generation) => {
            emit!(EventId::GroupFounded, generation = generation.0);
        }
        Observation::BecameLeader { term } => emit!(EventId::LeaderElected, term),
        Observation::LostLeadership { term } => emit!(EventId::LeadershipLost, term),
        Observation::AddingMember(id) => {
            emit!(EventId::GroupMemberAdded, router = %id, kind = "learner");
        }
        Observation::PromotingMember(id) => {
            emit!(EventId::GroupMemberAdded, router = %id, kind = "voter");
        }
        Observation::RemovingMember(id) => emit!(EventId::GroupMemberRemoved, router = %id),
        Observation::ObjectAccepted { object, revision } => {
            emit!(EventId::ConfigurationAccepted, %object, %revision);
        }
        Observation::ObjectRejected { object, message } => {
            emit!(EventId::ConfigurationRefused, %object, %message);
        }
        Observation::SessionOpened(session) => emit!(EventId::SessionOpened, %session),
        Observation::SessionClosed(session) => emit!(EventId::SessionClosed, %session),
        Observation::SessionDraining(session) => emit!(EventId::BackEndDraining, %session),
        Observation::StoreReverted { object } => emit!(EventId::PlatformWentBack, %object),
        Observation::Slices {
            service,
            change,
            slices,
        } => emit!(slice_event(*change), %service, slices),
        Observation::ImbalanceTooHigh { service, ratio } => {
            emit!(EventId::ImbalanceTooHigh, %service, ratio);
        }
        Observation::NoEligibleBackEnd { service, unowned } => {
            emit!(EventId::NoEligibleBackEnd, %service, unowned);
        }
        Observation::Session(observation) => log_session(observation),
    }
}

fn slice_event(change: SliceChange) -> EventId {
    match change {
        SliceChange::Assigned => EventId::SlicesAssigned,
        SliceChange::MoveStarted => EventId::MovesStarted,
        SliceChange::MoveCompleted => EventId::MovesCompleted,
        SliceChange::MoveCancelled => EventId::MovesCancelled,
        SliceChange::Split => EventId::SlicesSplit,
        SliceChange::Merged => EventId::SlicesMerged,
    }
}

/// Logs an observation of the lease grantor. These are details of a session
/// behind the numbered events above, so they have no event number.
fn log_session(observation: &SessionObservation) {
    tracing::debug!(?observation, "grantor");
}
