//! Transport of orders to back ends.

use threadledge_coordination::{Order, OrderFault, OrderReply};
use threadledge_net::Instant;

use crate::PortFuture;

/// Sends orders to back ends.
pub trait GrantTransport: Send + Sync {
    /// Sends one order and waits for its response until `deadline`. Nothing is
    /// sent after the deadline: data that the network has not taken is
    /// withdrawn, and an order that is already late is not sent at all.
    fn send<'a>(
        &'a self,
        order: &'a Order,
        deadline: Instant,
    ) -> PortFuture<'a, Result<OrderReply, OrderFault>>;
}
