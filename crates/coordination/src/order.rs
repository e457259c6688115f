//! Orders that a coordinator sends to back ends, and their results.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::deployment::KeyRange;

use crate::record::{Fence, Owner};

/// Identifies one order of one coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// State that a back end returns for keys that it released. The next owner uses
/// it to start warm.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HandoverToken(pub String);

/// An order to one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifies the order.
    pub id: OrderId,
    /// The back end.
    pub to: Owner,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
    /// The operation.
    pub kind: OrderKind,
    /// Region of the back end relative to this node.
    pub distance: Distance,
    /// Connections on which the order may be sent.
    pub connection: OrderConnection,
    /// Maximum time to wait for the answer before the connection is closed.
    pub timeout: Duration,
}

/// Connections on which an order may be sent. Orders carry no id, so a back end
/// that answers one twice leaves an answer that looks like the next one due on
/// the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderConnection {
    /// Any; an answer that may be another order's is [`OrderFault::Doubtful`].
    #[default]
    Any,
    /// One that has carried nothing, so that its answer is this order's.
    New,
}

/// Distance to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In this region.
    Near,
    /// In another region, behind a link that carries all traffic between the
    /// two regions. A message may be queued in that link for seconds.
    Far,
}

/// The operation that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Grants the keys, or renews the grant.
    Grant(GrantOrder),
    /// Stops new work on the keys and releases them.
    Release,
}

impl OrderKind {
    /// Returns the name used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            OrderKind::Grant(_) => "grant",
            OrderKind::Release => "release",
        }
    }
}

/// Parameters of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GrantOrder {
    /// Duration of the grant, counted from the arrival of the order.
    pub hold: Duration,
    /// Handover token of the former owner.
    pub handover: Option<HandoverToken>,
}

/// The answer of a back end to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReply {
    /// The grant was accepted.
    Granted,
    /// The keys were released and no work on them is running.
    Released(Option<HandoverToken>),
    /// The order was refused because a higher fencing token was seen for one of
    /// the keys.
    Fenced,
    /// The back end did not understand the order.
    Malformed,
    /// A process other than the addressed one runs at the address. It did not
    /// execute the order.
    OtherProcess,
}

impl OrderReply {
    /// Returns the name used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            OrderReply::Granted => "granted",
            OrderReply::Released(Some(_)) => "released with handover",
            OrderReply::Released(None) => "released",
            OrderReply::Fenced => "fenced",
            OrderReply::Malformed => "malformed",
            OrderReply::OtherProcess => "other process",
        }
    }
}

/// Reason why an order has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// No connection could be opened, so the order certainly never arrives.
    NotSent,
    /// This node has too many orders in flight to that back end, or has lost
    /// its path to most back ends. The order certainly never arrives, and its
    /// failure says nothing about the back end.
    Withheld,
    /// The order was sent, at least in part. It may be executed now or later.
    NoAnswer,
    /// The order was sent, and this answer may be that of an earlier order on
    /// the connection, which is closed. The order may be executed now or later.
    Doubtful(OrderReply),
}
