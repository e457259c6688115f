//! Orders to back ends.

use threadledge_coordination::{Order, OrderFault, OrderReply};
use threadledge_net::Instant;

use crate::PortFuture;

/// Carries orders to back ends.
pub trait GrantTransport: Send + Sync {
    /// Sends one order and waits for its answer up to `deadline`. Nothing of
    /// it leaves after that: what the network has not taken is withdrawn, and
    /// an order whose time has passed is not sent at all.
    fn send<'a>(
        &'a self,
        order: &'a Order,
        deadline: Instant,
    ) -> PortFuture<'a, Result<OrderReply, OrderFault>>;
}
