//! The calls that coordinators ask for, and how they end.

use threadledge_coordination::action::{Freshness, ReadResult, Versioned, WriteResult};
use threadledge_coordination::{
    Action, CoordinatorLease, Order, OrderFault, OrderReply, OwnershipRecord,
};
use threadledge_net::Instant;
use threadledge_ports::Ports;
use threadledge_types::deployment::ServiceName;

/// How a call ended.
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

    /// Whether a call to the store was not answered.
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

/// The lease that a write left in the store, as far as its answer tells.
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

/// Makes one call that a coordinator asked for at `asked`.
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
            // From when the coordinator decided: it waits holds out from there,
            // and this task may have been kept from running since.
            let deadline = asked + order.timeout;
            let result = ports.grants.send(&order, deadline).await;
            CallOutcome::Order(order, result)
        }
    }
}
