//! The calls that coordinators ask for, and how they end.

use threadledge_coordination::action::{Freshness, ReadResult, Versioned, WriteResult};
use threadledge_coordination::{
    Action, CoordinatorLease, Order, OrderFault, OrderReply, OwnershipRecord,
};
use threadledge_net::Instant;
use threadledge_ports::Ports;
use threadledge_types::deployment::ServiceName;

/// How a call ended.
pub(super) enum Ended {
    LeaseRead(Freshness, ReadResult<CoordinatorLease>),
    LeaseWrite(CoordinatorLease, WriteResult<CoordinatorLease>),
    RecordRead(ReadResult<OwnershipRecord>),
    RecordWrite(OwnershipRecord, WriteResult<OwnershipRecord>),
    Order(Order, Result<OrderReply, OrderFault>),
}

impl Ended {
    /// Whether it was a call to the store that was answered.
    pub(super) fn store_answered(&self) -> bool {
        !matches!(self, Ended::Order(..)) && !self.store_was_silent()
    }

    /// Whether a call to the store was not answered.
    pub(super) fn store_was_silent(&self) -> bool {
        match self {
            Ended::LeaseRead(_, result) => *result == ReadResult::Failed,
            Ended::RecordRead(result) => *result == ReadResult::Failed,
            Ended::LeaseWrite(_, result) => {
                matches!(result, WriteResult::NotDone | WriteResult::Unknown)
            }
            Ended::RecordWrite(_, result) => {
                matches!(result, WriteResult::NotDone | WriteResult::Unknown)
            }
            Ended::Order(..) => false,
        }
    }
}

/// The lease that a write left in the store, as far as its answer tells.
pub(super) fn written(
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
pub(super) async fn call(
    ports: &Ports,
    service: &ServiceName,
    action: Action,
    asked: Instant,
) -> Ended {
    let name = service.as_str();
    match action {
        Action::ReadLease(freshness) => {
            let result = ports.leases.read(name, freshness).await;
            Ended::LeaseRead(freshness, result)
        }
        Action::WriteLease(lease, condition) => {
            let result = ports.leases.write(name, &lease, condition).await;
            Ended::LeaseWrite(lease, result)
        }
        Action::ReadRecord => {
            let result = ports.ownership.read(name, Freshness::Linearizable).await;
            Ended::RecordRead(result)
        }
        Action::WriteRecord(record, condition) => {
            let result = ports.ownership.write(name, &record, condition).await;
            Ended::RecordWrite(record, result)
        }
        Action::Send(order) => {
            // From when the coordinator decided: it waits holds out from there,
            // and this task may have been kept from running since.
            let deadline = asked + order.timeout;
            let result = ports.grants.send(&order, deadline).await;
            Ended::Order(order, result)
        }
    }
}
