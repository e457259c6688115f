//! Executes the calls that coordinators request.

use threadledge_coordination::action::{Freshness, ReadResult, Versioned, WriteResult};
use threadledge_coordination::{
    Action, CoordinatorLease, Order, OrderFault, OrderReply, OwnershipRecord,
};
use threadledge_net::Instant;
use threadledge_ports::Ports;
use threadledge_types::deployment::ServiceName;

/// The result of a call, with the request where the coordinator needs it again.
pub(super) enum CallOutcome {
    LeaseRead(Freshness, ReadResult<CoordinatorLease>),
    LeaseWrite(CoordinatorLease, WriteResult<CoordinatorLease>),
    RecordRead(ReadResult<OwnershipRecord>),
    RecordWrite(OwnershipRecord, WriteResult<OwnershipRecord>),
    Order(Order, Result<OrderReply, OrderFault>),
}

impl CallOutcome {
    /// Whether it was a call to the store that was answered.
    pub(super) fn store_answered(&self) -> bool {
        !matches!(self, CallOutcome::Order(..)) && !self.store_failed()
    }

    /// Whether it was a call to the store that was not answered.
    pub(super) fn store_failed(&self) -> bool {
        match self {
            CallOutcome::LeaseRead(_, result) => *result == ReadResult::Failed,
            CallOutcome::RecordRead(result) => *result == ReadResult::Failed,
            CallOutcome::LeaseWrite(_, result) => {
                matches!(result, WriteResult::NotDone | WriteResult::Unknown)
            }
            CallOutcome::RecordWrite(_, result) => {
                matches!(result, WriteResult::NotDone | WriteResult::Unknown)
            }
            CallOutcome::Order(..) => false,
        }
    }
}

/// The lease in the store after a write, if the result tells it.
pub(super) fn lease_after_write(
    lease: &CoordinatorLease,
    result: &WriteResult<CoordinatorLease>,
) -> Option<Versioned<CoordinatorLease>> {
    match result {
        WriteResult::Accepted(revision) => Some(Versioned {
            value: lease.clone(),
            revision: *revision,
        }),
        WriteResult::Conflict(found) => found.clone(),
        WriteResult::NotDone | WriteResult::Unknown => None,
    }
}

/// Executes a call that a coordinator requested at `asked`.
pub(super) async fn execute(
    ports: &Ports,
    service: &ServiceName,
    action: Action,
    asked: Instant,
) -> CallOutcome {
    let name = service.as_str();
    match action {
        Action::ReadLease(freshness) => {
            let result = ports.leases.read(name, freshness).await;
            CallOutcome::LeaseRead(freshness, result)
        }
        Action::WriteLease(lease, condition) => {
            let result = ports.leases.write(name, &lease, condition).await;
            CallOutcome::LeaseWrite(lease, result)
        }
        Action::ReadRecord => {
            let result = ports.ownership.read(name, Freshness::Linearizable).await;
            CallOutcome::RecordRead(result)
        }
        Action::WriteRecord(record, condition) => {
            let result = ports.ownership.write(name, &record, condition).await;
            CallOutcome::RecordWrite(record, result)
        }
        Action::Send(order) => {
            // Counts from the coordinator's decision: it waits for holds to
            // expire from then on, and this task may have been delayed since.
            let deadline = asked + order.timeout;
            let result = ports.grants.send(&order, deadline).await;
            CallOutcome::Order(order, result)
        }
    }
}
