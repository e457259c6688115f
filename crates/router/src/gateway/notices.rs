//! Logs the coordinators' notices.

use threadledge_coordination::action::Notice;
use threadledge_types::deployment::{BackEndName, ServiceName};

use crate::events::{EventId, emit};

/// Logs one notice as an event.
pub(super) fn log_notice(service: &ServiceName, notice: &Notice) {
    match notice {
        Notice::Elected { term } => {
            emit!(EventId::CoordinatorElected, service = %service, term = term.0);
        }
        Notice::Deposed { term } => {
            emit!(EventId::CoordinatorDeposed, service = %service, term = term.0);
        }
        Notice::LeaseLapsed { term } => {
            emit!(EventId::CoordinatorLapsed, service = %service, term = term.0);
        }
        Notice::RecordAdopted { term, slices } => {
            emit!(EventId::RecordAdopted, service = %service, term = term.0, slices);
        }
        Notice::ReleaseStarted {
            range,
            owner,
            fence,
            reason,
        } => emit!(
            EventId::ReleaseStarted,
            service = %service, keys = %range, owner = %owner, fence = fence.0, reason = ?reason,
        ),
        Notice::ReleaseEnded {
            range,
            owner,
            fence,
            end,
            took,
            grant_answered,
        } => emit!(
            EventId::ReleaseEnded,
            service = %service, keys = %range, owner = %owner, fence = fence.0, end = ?end,
            took_ms = took.as_millis(), grant_answered,
        ),
        Notice::HolderEndProved {
            range,
            owner,
            proof,
            age,
        } => emit!(
            EventId::HolderEndProved,
            service = %service, keys = %range, owner = %owner, proof = ?proof,
            age_ms = age.as_millis(),
        ),
        Notice::Assigned {
            range,
            owner,
            fence,
            warm,
        } => emit!(
            EventId::KeysAssigned,
            service = %service, keys = %range, owner = %owner, fence = fence.0, warm,
        ),
        Notice::HolderLost { owner } => {
            emit!(EventId::HolderLost, service = %service, owner = %owner);
        }
        Notice::HolderReplaced { owner } => {
            emit!(EventId::HolderReplaced, service = %service, owner = %owner);
        }
        Notice::OrderGivenUp {
            order,
            waited,
            fault,
        } => emit!(
            EventId::OrderGivenUp,
            service = %service, order = order.kind.as_str(), keys = %order.range,
            owner = %order.to.name, fence = order.fence.0, waited_ms = waited.as_millis(),
            fault = ?fault,
        ),
        Notice::HolderAnswers {
            owner,
            given_up,
            silent_for,
        } => emit!(
            EventId::HolderAnswers,
            service = %service, owner = %owner, given_up, silent_ms = silent_for.as_millis(),
        ),
        Notice::AddressShared(shared) => {
            let names: Vec<&str> = shared.back_ends.iter().map(BackEndName::as_str).collect();
            emit!(
                EventId::AddressShared,
                service = %service, address = %shared.address, back_ends = names.join(" "),
            );
        }
        Notice::OrderFenced {
            owner,
            range,
            fence,
        } => emit!(
            EventId::OrderFenced,
            service = %service, owner = %owner, keys = %range, fence = fence.0,
        ),
        Notice::RecordBroken => emit!(EventId::RecordBroken, service = %service),
    }
}
