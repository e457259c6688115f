//! Orders to back ends, sent directly or through another gateway.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_coordination::order::Distance;
use threadledge_coordination::record::{Fence, Owner};
use threadledge_coordination::{
    Order, OrderConnection, OrderFault, OrderId, OrderKind, OrderReply,
};
use threadledge_net::{Instant, timer};
use threadledge_paths::{NextForwarder, Search};
use threadledge_ports::{GrantTransport, PortFuture};
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::forwarding::ForwardResult;
use super::peer_deadlines::PeerDeadline;
use super::{BackEndLinks, ForwardServer};
use crate::events::{EventId, emit};

/// Time without an answer after which the path of an order is checked. Orders
/// take a few milliseconds.
const PATIENCE: Duration = Duration::from_millis(120);

/// An order that another gateway forwards.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in super::super) struct ForwardedOrder {
    to: BackEndName,
    range: KeyRange,
    fence: Fence,
    kind: OrderKind,
    #[serde(default)]
    connection: OrderConnection,
    until: PeerDeadline,
}

/// The result of a forwarded order.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(in super::super) enum ForwardedOrderResult {
    /// The back end answered.
    Replied(OrderReply),
    /// The order was sent, at least in part.
    NoAnswer,
    /// The order was sent, and this answer may be that of an earlier one.
    Doubtful(OrderReply),
    /// Nothing was sent: the gateway has lost most of its own paths, or does
    /// not know the back end.
    NoPath,
    /// Nothing was sent: the deadline had passed or named another process.
    TooLate,
    /// Nothing was sent: the gateway reaches other back ends but not this one.
    Unreachable,
}

/// Sends the orders of this gateway's coordinators.
#[derive(Clone)]
pub(in super::super) struct OrderSender {
    pub(in super::super) links: BackEndLinks,
    pub(in super::super) grants: Arc<dyn GrantTransport>,
}

impl GrantTransport for OrderSender {
    fn send<'a>(
        &'a self,
        order: &'a Order,
        deadline: Instant,
    ) -> PortFuture<'a, Result<OrderReply, OrderFault>> {
        Box::pin(self.send_order(order, deadline))
    }
}

impl OrderSender {
    async fn send_order(&self, order: &Order, deadline: Instant) -> Result<OrderReply, OrderFault> {
        if !self.links.is_lost(order.to.address) {
            // Invariant: there is one copy of an order. After one that may have
            // been sent, the coordinator decides what follows.
            match self.send_direct(order, deadline).await {
                Err(OrderFault::NotSent) if self.links.is_lost(order.to.address) => {}
                ended => return ended,
            }
        }
        self.send_forwarded(order, deadline).await
    }

    /// Sends an order over a connection of this gateway's own. Gives up early
    /// if the path turns out to be lost.
    async fn send_direct(
        &self,
        order: &Order,
        deadline: Instant,
    ) -> Result<OrderReply, OrderFault> {
        let address = order.to.address;
        let mut sending = pin!(self.grants.send(order, deadline));
        let ended = match order.distance {
            Distance::Near => timer::timeout(PATIENCE, &mut sending).await,
            Distance::Far => Ok((&mut sending).await),
        };
        let ended = match ended {
            Ok(ended) => ended,
            Err(timer::Elapsed) => {
                if !self.links.clone().check(address).await {
                    return Err(OrderFault::NoAnswer);
                }
                sending.await
            }
        };
        match &ended {
            Err(OrderFault::NotSent) => {
                self.links.clone().check(address).await;
            }
            Err(OrderFault::Doubtful(reply)) => log_doubtful(order, reply),
            _ => {}
        }
        ended
    }

    async fn send_forwarded(
        &self,
        order: &Order,
        deadline: Instant,
    ) -> Result<OrderReply, OrderFault> {
        let address = order.to.address;
        let Some(service) = self.links.service_of(&order.to.name) else {
            return Err(OrderFault::NotSent);
        };
        loop {
            let next = self
                .links
                .next_forwarder(&service, address, Search::Exhaustive);
            let forwarder = match next {
                NextForwarder::Ask(forwarder) => forwarder,
                NextForwarder::Confirmed { .. } => return Err(OrderFault::NotSent),
                NextForwarder::Pausing | NextForwarder::NoneLeft => {
                    return Err(self.fault_without_forwarder(order).await);
                }
            };
            // Nothing is known of the back end while gateways are left to ask.
            if Instant::now() >= deadline {
                return Err(OrderFault::Withheld);
            }
            if self.links.read_clock_of(forwarder).await.is_none() {
                self.links.on_unusable(&service, forwarder);
                continue;
            }
            let Some(until) = self.links.deadline_at(forwarder, deadline) else {
                continue;
            };
            let time_left = deadline.saturating_duration_since(Instant::now());
            let message = ForwardedOrder {
                to: order.to.name.clone(),
                range: order.range,
                fence: order.fence,
                kind: order.kind.clone(),
                connection: order.connection,
                until,
            };
            let peers = &self.links.shared.peers;
            let result = match peers.forward_order(forwarder, &message, time_left).await {
                Ok(result) => result,
                Err(error) if error.may_have_been_received() => {
                    self.links.on_unusable(&service, forwarder);
                    await_last_sending(order, deadline).await;
                    return Err(OrderFault::NoAnswer);
                }
                Err(_) => {
                    self.links.on_unusable(&service, forwarder);
                    continue;
                }
            };
            let shown = match &result {
                ForwardedOrderResult::Replied(_) | ForwardedOrderResult::Doubtful(_) => {
                    ForwardResult::Answered
                }
                ForwardedOrderResult::NoPath => ForwardResult::NoPath,
                ForwardedOrderResult::TooLate => ForwardResult::TooLate,
                ForwardedOrderResult::Unreachable => ForwardResult::Unreachable,
                ForwardedOrderResult::NoAnswer => return Err(OrderFault::NoAnswer),
            };
            self.links
                .record_result(forwarder, &service, address, shown);
            match result {
                ForwardedOrderResult::Replied(reply) => return Ok(reply),
                ForwardedOrderResult::Doubtful(reply) => return Err(OrderFault::Doubtful(reply)),
                _ => {}
            }
        }
    }

    /// The fault of an order that was not sent, while no other gateway that
    /// reaches the back end is known. Invariant: a coordinator that is cut off
    /// itself does not take keys away for that.
    async fn fault_without_forwarder(&self, order: &Order) -> OrderFault {
        let is_alone = self.links.known_gateways().is_empty() && self.links.knows_enough_gateways();
        match is_alone || self.links.is_only_witness(&order.to.name).await {
            true => OrderFault::NotSent,
            false => OrderFault::Withheld,
        }
    }
}

/// Waits until a forwarder whose connection is lost can no longer send a grant:
/// it does so until the deadline. A release that is sent so late gives nothing.
async fn await_last_sending(order: &Order, deadline: Instant) {
    if matches!(order.kind, OrderKind::Grant(_)) {
        timer::sleep_until(deadline).await;
    }
}

/// Logs an answer that may be that of an earlier order on its connection.
fn log_doubtful(order: &Order, reply: &OrderReply) {
    emit!(
        EventId::OrderAnswerDoubtful,
        order = order.kind.as_str(), keys = %order.range, owner = %order.to.name,
        fence = order.fence.0, answer = reply.as_str(),
    );
}

/// Forwards orders of other gateways to back ends.
#[derive(Clone)]
pub(in super::super) struct OrderServer {
    pub(in super::super) forward: ForwardServer,
    pub(in super::super) grants: Arc<dyn GrantTransport>,
}

impl OrderServer {
    /// Sends an order of another gateway over a connection of this gateway's
    /// own.
    pub(in super::super) async fn forward(&self, message: ForwardedOrder) -> ForwardedOrderResult {
        let Ok(deadline) = self.forward.own_deadline(&message.until) else {
            return ForwardedOrderResult::TooLate;
        };
        let dispatch = &self.forward.links.shared.dispatch;
        let address = dispatch.with(|dispatcher, _now| dispatcher.back_end_address(&message.to));
        let Some(address) = address else {
            return ForwardedOrderResult::NoPath;
        };
        if !self.forward.links.has_path(address).await {
            return self.unreachable(&message.to).await;
        }
        let order = Order {
            id: OrderId::default(),
            to: Owner {
                name: message.to,
                address,
            },
            range: message.range,
            fence: message.fence,
            kind: message.kind,
            distance: Distance::Near,
            connection: message.connection,
            timeout: deadline.saturating_duration_since(Instant::now()),
        };
        match self.grants.send(&order, deadline).await {
            Ok(reply) => ForwardedOrderResult::Replied(reply),
            Err(OrderFault::NoAnswer) => ForwardedOrderResult::NoAnswer,
            Err(OrderFault::Doubtful(reply)) => {
                log_doubtful(&order, &reply);
                ForwardedOrderResult::Doubtful(reply)
            }
            Err(OrderFault::Withheld) => ForwardedOrderResult::NoPath,
            Err(OrderFault::NotSent) => {
                self.forward.links.clone().check(address).await;
                self.unreachable(&order.to.name).await
            }
        }
    }

    async fn unreachable(&self, name: &BackEndName) -> ForwardedOrderResult {
        match self.forward.unreachable(name).await {
            ForwardResult::Unreachable => ForwardedOrderResult::Unreachable,
            _ => ForwardedOrderResult::NoPath,
        }
    }
}
