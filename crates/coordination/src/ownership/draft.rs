//! The record as it should be, drafted from the record as it is.

use std::collections::BTreeSet;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{KeyRange, ShardKey};

use super::tracked::Tracked;
use crate::action::{Notice, ReleaseReason};
use crate::holders::{Candidate, Holders, Ineligible};
use crate::load::LoadMap;
use crate::order::HandoverToken;
use crate::plan::{self, Assignment, Held};
use crate::record::{Fence, Owner, OwnershipRecord, Slice, SliceState};

/// What a draft is made from.
pub(super) struct Draft<'a> {
    pub(super) now: Timestamp,
    pub(super) holders: &'a Holders,
    pub(super) load: &'a LoadMap,
    pub(super) tracked: &'a [Tracked],
    /// Back ends have had time to register.
    pub(super) gathered: bool,
    /// It is time to look for owners with too much.
    pub(super) balancing: bool,
    /// For each slice, whether its owner has given it back, and the token.
    pub(super) released: Vec<Option<Option<HandoverToken>>>,
}

/// A draft, and what it changes.
pub(super) struct Drafted {
    pub(super) record: OwnershipRecord,
    pub(super) notices: Vec<Notice>,
}

/// A record in the making.
struct Making {
    record: OwnershipRecord,
    /// Tokens of the slices that were given back, by index.
    handovers: Vec<Option<HandoverToken>>,
    notices: Vec<Notice>,
}

impl Draft<'_> {
    pub(super) fn make(&self, current: &OwnershipRecord) -> Drafted {
        let mut making = Making {
            record: current.clone(),
            handovers: Vec::new(),
            notices: Vec::new(),
        };
        for index in 0..current.slices.len() {
            let handover = self.review(&mut making, index);
            making.handovers.push(handover);
        }
        self.give_out(&mut making);
        self.start_balancing(&mut making);
        if making.record != *current {
            self.tidy(&mut making.record);
        }
        Drafted {
            record: making.record,
            notices: making.notices,
        }
    }

    /// What is worth doing only when the record is written anyway.
    fn tidy(&self, record: &mut OwnershipRecord) {
        let granted: BTreeSet<(ShardKey, Fence)> = self
            .tracked
            .iter()
            .filter(|tracked| tracked.granted)
            .map(|tracked| (tracked.slice.range.first, tracked.slice.fence))
            .collect();
        for slice in &mut record.slices {
            let answered = granted.contains(&(slice.range.first, slice.fence));
            if let SliceState::Owned { handover, .. } = &mut slice.state
                && answered
            {
                *handover = None;
            }
        }
        record.join_neighbours();
        join_grants(record);
    }

    /// Looks at one slice; returns the token of one that was given back.
    fn review(&self, making: &mut Making, index: usize) -> Option<HandoverToken> {
        match making.record.slices[index].state.clone() {
            SliceState::Unowned => None,
            SliceState::Releasing { .. } => {
                let handover = self.released.get(index).cloned().flatten()?;
                making.record.slices[index].state = SliceState::Unowned;
                handover
            }
            SliceState::Owned { owner, .. } => {
                self.review_owner(making, index, owner);
                None
            }
        }
    }

    fn review_owner(&self, making: &mut Making, index: usize, owner: Owner) {
        if let Some(reason) = self.holders.ineligible(&owner.name, self.now) {
            making.start_release(index, owner, release_reason(reason));
            return;
        }
        if self
            .tracked
            .get(index)
            .is_some_and(|tracked| tracked.fenced)
        {
            let fence = making.record.take_fence();
            making.record.slices[index].fence = fence;
        }
    }

    /// Candidates, weighed by slots and speed.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = self.holders.candidates(self.now);
        for candidate in &mut candidates {
            candidate.weight *= self.load.speed(&candidate.owner.name);
        }
        candidates
    }

    /// Gives what nobody owns to those that should have it.
    fn give_out(&self, making: &mut Making) {
        let is_unowned = |slice: &Slice| matches!(slice.state, SliceState::Unowned);
        let untouched = making.record.slices.iter().all(is_unowned);
        if untouched && !self.gathered {
            return;
        }
        let unowned: Vec<KeyRange> = making
            .record
            .slices
            .iter()
            .filter(|slice| is_unowned(slice))
            .map(|slice| slice.range)
            .collect();
        if unowned.is_empty() {
            return;
        }
        let held = held(&making.record);
        let assignments = plan::assign(&unowned, &held, &self.candidates(), &self.load.measure());
        making.place(assignments);
    }

    /// Takes keys from those with too many, when nothing else is under way.
    fn start_balancing(&self, making: &mut Making) {
        let settled = making
            .record
            .slices
            .iter()
            .all(|slice| matches!(slice.state, SliceState::Owned { .. }));
        if !settled || !self.balancing {
            return;
        }
        let held = held(&making.record);
        let taken = plan::rebalance(&held, &self.candidates(), &self.load.measure());
        for range in taken {
            let Some(index) = cut_out(&mut making.record.slices, range) else {
                continue;
            };
            let Some(owner) = making.record.slices[index].holder().cloned() else {
                continue;
            };
            making.start_release(index, owner, ReleaseReason::Balance);
        }
    }
}

impl Making {
    fn start_release(&mut self, index: usize, owner: Owner, reason: ReleaseReason) {
        let fence = self.record.take_fence();
        let slice = &mut self.record.slices[index];
        self.notices.push(Notice::ReleaseStarted {
            range: slice.range,
            owner: owner.name.clone(),
            fence,
            reason,
        });
        slice.fence = fence;
        slice.state = SliceState::Releasing { owner };
    }

    /// Puts assignments, which come in the order of the keys, in the place of
    /// the unowned slices that they were made from.
    fn place(&mut self, assignments: Vec<Assignment>) {
        let before = std::mem::take(&mut self.record.slices);
        let mut assignments = assignments.into_iter().peekable();
        for (index, slice) in before.into_iter().enumerate() {
            let handover = self.handovers.get(index).cloned().flatten();
            let mut given = false;
            while let Some(assignment) =
                assignments.next_if(|next| slice.range.contains(next.range.first))
            {
                given = true;
                self.give(&slice, assignment, handover.clone());
            }
            if !given {
                self.record.slices.push(slice);
            }
        }
    }

    fn give(&mut self, slice: &Slice, assignment: Assignment, handover: Option<HandoverToken>) {
        self.notices.push(Notice::Assigned {
            range: assignment.range,
            owner: assignment.owner.name.clone(),
            fence: slice.fence,
            warm: handover.is_some(),
        });
        self.record.slices.push(Slice {
            range: assignment.range,
            fence: slice.fence,
            state: SliceState::Owned {
                owner: assignment.owner,
                handover,
            },
        });
    }
}

/// Joins neighbours that one owner holds by two grants: a grant of both under
/// a higher fence takes their place, and costs one renewal instead of two.
fn join_grants(record: &mut OwnershipRecord) {
    let mut joined: Vec<Slice> = Vec::with_capacity(record.slices.len());
    let slices = std::mem::take(&mut record.slices);
    for slice in slices {
        match joined.last_mut() {
            Some(last) if same_settled_owner(last, &slice) => {
                last.range.last = slice.range.last;
                last.fence = record.take_fence();
            }
            _ => joined.push(slice),
        }
    }
    record.slices = joined;
}

/// Both are owned by one back end, and neither waits for its handover.
fn same_settled_owner(left: &Slice, right: &Slice) -> bool {
    match (&left.state, &right.state) {
        (
            SliceState::Owned {
                owner: left,
                handover: None,
            },
            SliceState::Owned {
                owner: right,
                handover: None,
            },
        ) => left == right,
        _ => false,
    }
}

/// What every owner holds.
fn held(record: &OwnershipRecord) -> Vec<Held> {
    let holding = |slice: &Slice| match &slice.state {
        SliceState::Owned { owner, .. } => Some(Held {
            range: slice.range,
            owner: owner.name.clone(),
        }),
        SliceState::Unowned | SliceState::Releasing { .. } => None,
    };
    record.slices.iter().filter_map(holding).collect()
}

/// Makes `range` a slice of its own; returns its index.
fn cut_out(slices: &mut Vec<Slice>, range: KeyRange) -> Option<usize> {
    let index = slices
        .iter()
        .position(|slice| slice.range.contains(range.first))?;
    let whole = slices[index].clone();
    let mut pieces = Vec::with_capacity(3);
    let before = u32::from(range.first.0) - u32::from(whole.range.first.0);
    let mut rest = whole.range;
    if let Some((left, right)) = rest.split_after(before) {
        pieces.push(left);
        rest = right;
    }
    let position = index + pieces.len();
    match rest.split_after(range.len()) {
        Some((piece, right)) => pieces.extend([piece, right]),
        None => pieces.push(rest),
    }
    let cut = pieces.into_iter().map(|range| Slice {
        range,
        ..whole.clone()
    });
    slices.splice(index..=index, cut);
    Some(position)
}

/// A record whose slices do not cover the keys once each says nothing that
/// can be relied on: everything starts unowned, above every fence seen.
pub(super) fn mended(broken: &OwnershipRecord) -> OwnershipRecord {
    let highest = broken.slices.iter().map(|slice| slice.fence).max();
    let highest = highest.unwrap_or_default().max(broken.next_fence);
    OwnershipRecord {
        term: broken.term,
        next_fence: Fence(highest.0 + 2),
        slices: vec![Slice {
            range: KeyRange::ALL,
            fence: Fence(highest.0 + 1),
            state: SliceState::Unowned,
        }],
    }
}

fn release_reason(reason: Ineligible) -> ReleaseReason {
    match reason {
        Ineligible::Draining => ReleaseReason::Draining,
        Ineligible::Unregistered => ReleaseReason::Unregistered,
        Ineligible::Lost => ReleaseReason::Lost,
        Ineligible::Refused => ReleaseReason::Refused,
        Ineligible::Replaced => ReleaseReason::Replaced,
    }
}
