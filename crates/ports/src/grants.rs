//! Orders to back ends.

use threadledge_coordination::{Order, OrderFault, OrderReply};

use crate::Call;

/// Carries orders to back ends.
pub trait GrantTransport: Send + Sync {
    /// Sends one order and waits for its answer, up to the order's timeout.
    fn send<'a>(&'a self, order: &'a Order) -> Call<'a, Result<OrderReply, OrderFault>>;
}
