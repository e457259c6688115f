//! Orders to back ends, and what becomes of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::deployment::KeyRange;

use crate::record::{Fence, Owner};

/// Number of one order of one coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What a back end gives for keys that it released; the next owner starts
/// warm with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HandoverToken(pub String);

/// One order to one back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// The back end.
    pub to: Owner,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
    /// What to do with them.
    pub kind: OrderKind,
    /// Where the back end is.
    pub distance: Distance,
    /// How long to wait for the answer before the connection is ended.
    pub timeout: Duration,
}

/// How far away a back end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In this region.
    Near,
    /// In another region, behind a link that all traffic between the two
    /// shares: what is sent may stand in it for seconds.
    Far,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Hold the keys, or go on holding them.
    Grant(GrantOrder),
    /// Stop new work on the keys and give them back.
    Release,
}

impl OrderKind {
    /// Name in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            OrderKind::Grant(_) => "grant",
            OrderKind::Release => "release",
        }
    }
}

/// Terms of a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantOrder {
    /// How long the keys are held, from the arrival of the order.
    pub hold: Duration,
    /// Token of the former owner.
    pub handover: Option<HandoverToken>,
}

/// What a back end answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The grant was taken.
    Granted,
    /// The keys were given back and no work on them runs.
    Released(Option<HandoverToken>),
    /// A higher fence was seen on one of the keys.
    Fenced,
    /// The back end did not understand the order.
    Malformed,
    /// Another process than the one meant runs at the address, and did not
    /// carry the order out.
    OtherProcess,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// No connection could be opened: the order surely never arrives.
    NotSent,
    /// This node has too many orders under way to that back end: the order
    /// surely never arrives, and nothing is learned of the back end.
    Withheld,
    /// The order was sent, or part of it: it may be carried out, now or later.
    NoAnswer,
}
