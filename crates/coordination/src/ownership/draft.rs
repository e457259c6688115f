//! Computes the next record from the tracked ranges.

use threadledge_types::Timestamp;
use threadledge_types::deployment::KeyRange;

use super::tracked::{TrackedRange, owners};
use super::unanswered::Unanswered;
use crate::action::{Notice, ReleaseEnd, ReleaseReason};
use crate::holders::{Candidate, Holders, Ineligible};
use crate::load::LoadMap;
use crate::order::HandoverToken;
use crate::plan::{self, Assignment, HeldRange};
use crate::record::{Fence, OwnershipRecord, Slice, SliceState};
use crate::tokens::TokenBuckets;

/// Input of a draft.
pub(super) struct Draft<'a> {
    pub(super) now: Timestamp,
    pub(super) holders: &'a Holders,
    pub(super) load: &'a LoadMap,
    pub(super) tokens: &'a TokenBuckets,
    pub(super) tracked: &'a [TrackedRange],
    /// True once back ends have had time to register.
    pub(super) registration_wait_over: bool,
    /// For each tracked range: `Some` if its owner no longer holds it, with the
    /// handover token if there is one.
    pub(super) released: Vec<Option<Option<HandoverToken>>>,
    /// For each tracked range: what follows because its owner has not answered
    /// the release.
    pub(super) unanswered: Vec<Option<Unanswered>>,
}

/// A drafted record and the notices about its changes.
pub(super) struct DraftResult {
    pub(super) record: OwnershipRecord,
    pub(super) notices: Vec<Notice>,
}

/// A range of the drafted record.
struct DraftRange {
    slice: Slice,
    /// Handover token that the former owner returned with the keys.
    handover: Option<HandoverToken>,
    /// True if the owner has accepted the grant.
    granted: bool,
}

impl Draft<'_> {
    /// Computes the next record from `current`. Returns `current` without
    /// further changes if no range has changed.
    pub(super) fn make(&self, current: &OwnershipRecord) -> DraftResult {
        let mut record = current.clone();
        let mut pieces: Vec<DraftRange> = Vec::with_capacity(self.tracked.len());
        for (index, tracked) in self.tracked.iter().enumerate() {
            pieces.push(self.draft_range(&mut record, index, tracked));
        }
        let mut notices = self.called_off();
        let pieces = self.assign_unowned(pieces, &mut notices);
        let granted: Vec<bool> = pieces.iter().map(|piece| piece.granted).collect();
        record.slices = pieces.into_iter().map(|piece| piece.slice).collect();
        let mut merged = record.clone();
        merged.merge_neighbours();
        if merged == *current {
            return DraftResult {
                record: merged,
                notices,
            };
        }
        compact(&mut record, &granted);
        DraftResult { record, notices }
    }

    /// Computes the next state of one tracked range. Does not assign a new
    /// owner to unowned keys.
    fn draft_range(
        &self,
        record: &mut OwnershipRecord,
        index: usize,
        tracked: &TrackedRange,
    ) -> DraftRange {
        let mut piece = DraftRange {
            slice: tracked.slice.clone(),
            handover: None,
            granted: tracked.granted,
        };
        if let Some(fence) = tracked.releasing {
            if let Some(handover) = self.released.get(index).cloned().flatten() {
                piece.slice.state = SliceState::Unowned;
                piece.slice.fence = fence;
                piece.handover = handover;
                record.next_fence = record.next_fence.max(Fence(fence.0 + 1));
            } else if let (Some(unanswered), Some(owner)) =
                (self.unanswered[index], tracked.owner())
            {
                let owner = owner.clone();
                piece.slice.state = match unanswered {
                    Unanswered::StopRequests => SliceState::Returning { owner },
                    Unanswered::CallOff => {
                        // Above that of the release, which may still be executed.
                        record.next_fence = record.next_fence.max(Fence(fence.0 + 1));
                        piece.slice.fence = record.allocate_fence();
                        piece.granted = false;
                        SliceState::Owned {
                            owner,
                            handover: None,
                        }
                    }
                };
            }
        } else if let Some(successor) = &tracked.successor {
            piece.slice.state = SliceState::Owned {
                owner: successor.clone(),
                handover: None,
            };
            piece.slice.fence = record.allocate_fence();
            piece.granted = false;
        } else if tracked.fenced {
            piece.slice.fence = record.allocate_fence();
        }
        piece
    }

    /// Returns a notice for each release that is called off.
    fn called_off(&self) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (tracked, unanswered) in self.tracked.iter().zip(&self.unanswered) {
            let (Some(Unanswered::CallOff), Some(owner)) = (unanswered, tracked.owner()) else {
                continue;
            };
            notices.push(Notice::ReleaseEnded {
                range: tracked.slice.range,
                owner: owner.name.clone(),
                fence: tracked.order_fence(),
                end: ReleaseEnd::CalledOff,
                took: self.now.since(tracked.release_began),
                grant_answered: tracked.arrivals.newest_answered(),
            });
        }
        notices
    }

    /// Assigns the unowned ranges to candidates.
    fn assign_unowned(
        &self,
        pieces: Vec<DraftRange>,
        notices: &mut Vec<Notice>,
    ) -> Vec<DraftRange> {
        let is_unowned = |piece: &DraftRange| matches!(piece.slice.state, SliceState::Unowned);
        let all_unowned = pieces.iter().all(is_unowned);
        let unowned: Vec<KeyRange> = pieces
            .iter()
            .filter(|piece| is_unowned(piece))
            .map(|piece| piece.slice.range)
            .collect();
        if unowned.is_empty() || (all_unowned && !self.registration_wait_over) {
            return pieces;
        }
        let candidates = candidates(self.now, self.holders, self.load, self.tokens, self.tracked);
        let held = held_ranges(pieces.iter().map(|piece| &piece.slice));
        let assignments = plan::assign(&unowned, &held, &candidates, &self.load.key_weights());
        replace_unowned(pieces, assignments, notices)
    }
}

/// Replaces each unowned range by the assignments that were made from it.
/// Assignments are in key order.
fn replace_unowned(
    pieces: Vec<DraftRange>,
    assignments: Vec<Assignment>,
    notices: &mut Vec<Notice>,
) -> Vec<DraftRange> {
    let mut replaced = Vec::with_capacity(pieces.len());
    let mut assignments = assignments.into_iter().peekable();
    for piece in pieces {
        let mut any_assigned = false;
        while let Some(assignment) =
            assignments.next_if(|next| piece.slice.range.contains(next.range.first))
        {
            any_assigned = true;
            replaced.push(assigned_range(&piece, assignment, notices));
        }
        if !any_assigned {
            replaced.push(piece);
        }
    }
    replaced
}

/// Returns the part of `piece` that an assignment gives to its new owner.
fn assigned_range(
    piece: &DraftRange,
    assignment: Assignment,
    notices: &mut Vec<Notice>,
) -> DraftRange {
    let handover = piece.handover.clone();
    notices.push(Notice::Assigned {
        range: assignment.range,
        owner: assignment.owner.name.clone(),
        fence: piece.slice.fence,
        warm: handover.is_some(),
    });
    DraftRange {
        slice: Slice {
            range: assignment.range,
            fence: piece.slice.fence,
            state: SliceState::Owned {
                owner: assignment.owner,
                handover,
            },
        },
        handover: None,
        granted: false,
    }
}

/// Applies changes that are not worth a write of their own. Removes used
/// handover tokens, and merges adjacent ranges of one owner under a higher
/// fencing token, which saves one renewal for each merge.
fn compact(record: &mut OwnershipRecord, granted: &[bool]) {
    for (slice, granted) in record.slices.iter_mut().zip(granted) {
        if let SliceState::Owned { handover, .. } = &mut slice.state
            && *granted
        {
            *handover = None;
        }
    }
    record.merge_neighbours();
    let slices = std::mem::take(&mut record.slices);
    let mut merged_slices: Vec<Slice> = Vec::with_capacity(slices.len());
    for slice in slices {
        match merged_slices.last_mut() {
            Some(last) if same_settled_owner(last, &slice) => {
                last.range.last = slice.range.last;
                last.fence = record.allocate_fence();
            }
            _ => merged_slices.push(slice),
        }
    }
    record.slices = merged_slices;
}

/// Returns whether both slices belong to one back end and neither has a
/// handover pending.
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

/// Returns the candidates, weighted by slots, measured speed and announced
/// limits.
pub(super) fn candidates(
    now: Timestamp,
    holders: &Holders,
    load: &LoadMap,
    tokens: &TokenBuckets,
    tracked: &[TrackedRange],
) -> Vec<Candidate> {
    let owners = owners(tracked);
    let mut candidates = holders.candidates(now, |name| owners.contains(name));
    for candidate in &mut candidates {
        candidate.weight *= load.speed(&candidate.owner.name);
    }
    tokens.bound_weights(now, &mut candidates, load.requests_per_s());
    candidates
}

/// Returns the ranges that owners hold.
pub(super) fn held_ranges<'a>(slices: impl Iterator<Item = &'a Slice>) -> Vec<HeldRange> {
    let holding = |slice: &Slice| {
        let owner = slice.holder()?;
        Some(HeldRange {
            range: slice.range,
            owner: owner.name.clone(),
        })
    };
    slices.filter_map(holding).collect()
}

/// Returns the replacement for an invalid record. If the slices do not cover
/// each key exactly once, nothing in the record can be relied on, so all keys
/// become unowned, under a fencing token above every one seen.
pub(super) fn repaired(broken: &OwnershipRecord) -> OwnershipRecord {
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
        former: Vec::new(),
    }
}

pub(super) fn release_reason(reason: Ineligible) -> ReleaseReason {
    match reason {
        Ineligible::Draining => ReleaseReason::Draining,
        Ineligible::Resting => ReleaseReason::Resting,
        Ineligible::Unregistered => ReleaseReason::Unregistered,
        Ineligible::Lost => ReleaseReason::Lost,
        Ineligible::Refused => ReleaseReason::Refused,
        Ineligible::Replaced => ReleaseReason::Replaced,
    }
}
