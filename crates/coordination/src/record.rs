//! The objects that the store holds for one service.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::deployment::{BackEndName, KeyRange};
use threadledge_types::{Incarnation, MachineName};

use crate::order::HandoverToken;

/// Number of a coordinator's term. Each election increases it.
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

/// Fencing token of one grant. A key that moves to another back end gets a
/// higher one.
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

/// Identifies one run of a router process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Machine that the router runs on.
    pub node: MachineName,
    /// Distinguishes the runs of the router on that machine.
    pub incarnation: Incarnation,
    /// Address at which other routers reach it.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// The lease of the coordinator. Each renewal shows that the coordinator is
/// alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CoordinatorLease {
    /// Increased by each election.
    pub term: Term,
    /// The coordinator; `None` after it has released the lease.
    pub holder: Option<NodeIdentity>,
    /// Increased by each renewal within a term.
    pub renewals: u64,
    /// Time after a confirmed renewal for which the holder continues to renew
    /// grants, in milliseconds.
    pub lease_ms: u64,
    /// Duration of the holder's grants, in milliseconds.
    pub hold_ms: u64,
    /// In a released lease: how long after the release coordinators before the
    /// last holder may still send orders, in milliseconds.
    #[serde(default)]
    pub earlier_orders_ms: u64,
}

/// The owners of all keys of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnershipRecord {
    /// Term of the coordinator that wrote the record.
    pub term: Term,
    /// Higher than every fencing token ever used.
    pub next_fence: Fence,
    /// Slices in key order, without gaps or overlaps.
    pub slices: Vec<Slice>,
    /// Back ends that lost keys without having answered the release. The
    /// coordinator keeps asking them, and so does the next one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<FormerHolder>,
}

/// Keys that a back end may still take because of an order that it has not
/// executed yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FormerHolder {
    /// The back end.
    pub owner: Owner,
    /// The keys.
    pub range: KeyRange,
    /// Fencing token of the unanswered release. It is higher than that of every
    /// grant of these keys to this back end.
    pub fence: Fence,
}

/// A range of keys in one state. `slice_serde` defines its serialized form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// Fencing token of the grant, or of the release that made the slice
    /// unowned.
    pub fence: Fence,
    /// The owner of the keys, if there is one.
    pub state: SliceState,
}

/// The state of a slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum SliceState {
    /// No back end holds the keys.
    Unowned,
    /// A back end may hold the keys until it releases them or its grant
    /// expires. This includes the time while the keys are being taken back.
    Owned {
        /// The back end.
        owner: Owner,
        /// Handover token of the former owner, kept until the first renewal.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        handover: Option<HandoverToken>,
    },
    /// The back end has not answered the release. It may hold the keys until
    /// its grant expires, but routers send it no more requests for them.
    #[serde(skip)]
    Returning {
        /// The back end.
        owner: Owner,
    },
}

/// A back end that may hold keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of this run of the back end.
    pub name: BackEndName,
    /// Address at which it takes orders.
    pub address: SocketAddr,
}

/// A violated invariant of a record that was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// The slices have gaps, overlap or are out of order.
    Coverage,
    /// A slice has a fencing token that is not below `next-fence`.
    Fence,
}

impl OwnershipRecord {
    /// Creates a record in which no key has an owner.
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

    /// Allocates a fencing token that was never used.
    pub fn allocate_fence(&mut self) -> Fence {
        let fence = self.next_fence;
        self.next_fence = Fence(fence.0 + 1);
        fence
    }

    /// Checks the invariants that every writer maintains.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
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

    /// Merges adjacent slices that belong to one grant that was split.
    pub fn merge_neighbours(&mut self) {
        let mut merged: Vec<Slice> = Vec::with_capacity(self.slices.len());
        for slice in self.slices.drain(..) {
            match merged.last_mut() {
                Some(last) if last.can_merge(&slice) => last.range.last = slice.range.last,
                _ => merged.push(slice),
            }
        }
        self.slices = merged;
    }
}

impl Slice {
    /// Returns the back end that may hold the keys.
    pub fn holder(&self) -> Option<&Owner> {
        match &self.state {
            SliceState::Unowned => None,
            SliceState::Owned { owner, .. } | SliceState::Returning { owner } => Some(owner),
        }
    }

    /// Lets the back end keep keys that it was asked to release.
    pub fn keep(&mut self) {
        if let SliceState::Returning { owner } = &self.state {
            self.state = SliceState::Owned {
                owner: owner.clone(),
                handover: None,
            };
        }
    }

    fn can_merge(&self, next: &Slice) -> bool {
        self.fence == next.fence && self.state == next.state
    }
}
