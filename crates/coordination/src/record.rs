//! The objects that the store keeps for one service.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::deployment::{BackEndName, KeyRange};
use threadledge_types::{Incarnation, MachineName};

use crate::order::HandoverToken;

/// Number of a coordinator's time in office; each election raises it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Fencing token of one grant. A key that passes to another back end carries
/// a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One life of one router process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Machine.
    pub node: MachineName,
    /// Which life of that machine's router.
    pub incarnation: Incarnation,
    /// Where other routers reach it.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// Who coordinates, and the proof of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CoordinatorLease {
    /// Raised by each election.
    pub term: Term,
    /// The coordinator; `None` after it handed its office back.
    pub holder: Option<NodeIdentity>,
    /// Raised by each renewal of one term.
    pub renewals: u64,
    /// How long after a confirmed renewal the holder goes on renewing grants,
    /// in milliseconds.
    pub lease_ms: u64,
    /// How long the grants of the holder last, in milliseconds.
    pub hold_ms: u64,
    /// In a lease that was handed back: how long after it coordinators before
    /// the last holder may still give orders, in milliseconds.
    #[serde(default)]
    pub earlier_orders_ms: u64,
}

/// Owners of all keys of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnershipRecord {
    /// Term of the coordinator that wrote it.
    pub term: Term,
    /// Above every fence ever used.
    pub next_fence: Fence,
    /// Slices in the order of their keys, without gaps or overlaps.
    pub slices: Vec<Slice>,
    /// Back ends that lost keys without having answered the release. They go
    /// on being asked, also by the next coordinator.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<FormerHolder>,
}

/// Keys that a back end may still take by an order that it has not carried
/// out yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FormerHolder {
    /// The back end.
    pub owner: Owner,
    /// The keys.
    pub range: KeyRange,
    /// Fence of the release that was not answered; above every grant of these
    /// keys to this back end.
    pub fence: Fence,
}

/// A range of keys with one state. Written as `slice_form` says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// Fence of the grant, or of the release that made it unowned.
    pub fence: Fence,
    /// Who has them.
    pub state: SliceState,
}

/// The state of a slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum SliceState {
    /// Nobody holds the keys.
    Unowned,
    /// A back end may hold them until it is released or its hold runs out,
    /// and goes on doing so while they are being taken back.
    Owned {
        /// The back end.
        owner: Owner,
        /// Token of the former owner's handover, until the first renewal.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        handover: Option<HandoverToken>,
    },
}

/// A back end that may hold keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// This life of it.
    pub name: BackEndName,
    /// Where it takes orders.
    pub address: SocketAddr,
}

/// What is wrong with a record that was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// The slices leave keys out, overlap or are out of order.
    Coverage,
    /// A slice has a fence that is not below `next-fence`.
    Fence,
}

impl OwnershipRecord {
    /// A record in which nobody owns anything.
    pub fn empty(term: Term) -> Self {
        OwnershipRecord {
            term,
            next_fence: Fence(2),
            slices: vec![Slice {
                range: KeyRange::ALL,
                fence: Fence(1),
                state: SliceState::Unowned,
            }],
            former: Vec::new(),
        }
    }

    /// Takes a fence that was never used.
    pub fn take_fence(&mut self) -> Fence {
        let fence = self.next_fence;
        self.next_fence = Fence(fence.0 + 1);
        fence
    }

    /// Checks what every writer keeps.
    ///
    /// # Errors
    ///
    /// What is broken.
    pub fn check(&self) -> Result<(), RecordFault> {
        let mut next = 0_u32;
        for slice in &self.slices {
            if u32::from(slice.range.first.0) != next || slice.range.last < slice.range.first {
                return Err(RecordFault::Coverage);
            }
            if slice.fence >= self.next_fence {
                return Err(RecordFault::Fence);
            }
            next = u32::from(slice.range.last.0) + 1;
        }
        if next != KeyRange::ALL.len() {
            return Err(RecordFault::Coverage);
        }
        Ok(())
    }

    /// Joins neighbours that one grant covered before it was split.
    pub fn join_neighbours(&mut self) {
        let mut joined: Vec<Slice> = Vec::with_capacity(self.slices.len());
        for slice in self.slices.drain(..) {
            match joined.last_mut() {
                Some(last) if last.can_join(&slice) => last.range.last = slice.range.last,
                _ => joined.push(slice),
            }
        }
        self.slices = joined;
    }
}

impl Slice {
    /// The back end that may hold the keys.
    pub fn holder(&self) -> Option<&Owner> {
        match &self.state {
            SliceState::Unowned => None,
            SliceState::Owned { owner, .. } => Some(owner),
        }
    }

    fn can_join(&self, next: &Slice) -> bool {
        self.fence == next.fence && self.state == next.state
    }
}
