//! Checks the invariants of ownership by what back ends hold.

use std::collections::BTreeMap;

use threadledge_coordination::{Fence, Order, OrderKind};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::back_end::{Hold, ModelBackEnd, overlap};
use super::work::Work;

/// Only every `STEP`-th key is checked.
const STEP: usize = 64;

/// Remembers the highest fencing token under which any back end held each key.
#[derive(Debug, Default)]
pub struct Checker {
    highest: BTreeMap<u16, (Fence, Option<BackEndName>)>,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two running back ends hold the same keys.
    TwoHolders(BackEndName, BackEndName, KeyRange),
    /// Keys were given to a back end while another one worked on one of them
    /// and its lease had not run out.
    GivenDuringWork {
        to: BackEndName,
        range: KeyRange,
        from: BackEndName,
        work: Work,
    },
    /// A back end accepted keys under a fencing token that is not higher than
    /// all tokens under which others held them.
    FenceNotAbove(BackEndName, KeyRange, Fence, Fence),
}

impl Checker {
    /// Checks a grant that a back end accepted in time.
    pub fn granted(&mut self, order: &Order) -> Result<(), Violation> {
        if !matches!(order.kind, OrderKind::Grant(_)) {
            return Ok(());
        }
        let keys = (0..=u16::MAX).step_by(STEP);
        for key in keys.filter(|key| contains(*key, order.range)) {
            let (highest, holder) = self.highest.entry(key).or_default();
            let same = holder.as_ref() == Some(&order.to.name);
            if !same && *highest >= order.fence && holder.is_some() {
                return Err(Violation::FenceNotAbove(
                    order.to.name.clone(),
                    order.range,
                    order.fence,
                    *highest,
                ));
            }
            if order.fence >= *highest {
                *highest = order.fence;
                *holder = Some(order.to.name.clone());
            }
        }
        Ok(())
    }

    /// Checks that nobody else works on keys that a back end accepted in time.
    pub fn given<'a>(
        now: Timestamp,
        to: &BackEndName,
        range: KeyRange,
        back_ends: impl Iterator<Item = &'a ModelBackEnd>,
    ) -> Result<(), Violation> {
        let others = back_ends.filter(|back_end| back_end.up && back_end.entry.name != *to);
        for other in others {
            if let Some(work) = other.work.under_lease(now, range) {
                return Err(Violation::GivenDuringWork {
                    to: to.clone(),
                    range,
                    from: other.entry.name.clone(),
                    work: *work,
                });
            }
        }
        Ok(())
    }

    /// Checks what all back ends hold now by orders that arrived in time.
    pub fn holders<'a>(back_ends: impl Iterator<Item = &'a ModelBackEnd>) -> Result<(), Violation> {
        Checker::holders_by(back_ends, |hold| !hold.late)
    }

    /// Checks what all back ends hold now, by late orders as well.
    pub fn all_holders<'a>(
        back_ends: impl Iterator<Item = &'a ModelBackEnd>,
    ) -> Result<(), Violation> {
        Checker::holders_by(back_ends, |_| true)
    }

    fn holders_by<'a>(
        back_ends: impl Iterator<Item = &'a ModelBackEnd>,
        counts: impl Fn(&Hold) -> bool,
    ) -> Result<(), Violation> {
        let up: Vec<&ModelBackEnd> = back_ends.filter(|back_end| back_end.up).collect();
        for (index, left) in up.iter().enumerate() {
            for right in &up[index + 1..] {
                for hold in left.holds.iter().filter(|hold| counts(hold)) {
                    let other = right.holds.iter().filter(|hold| counts(hold));
                    for other in other {
                        if overlap(hold.range, other.range) {
                            return Err(Violation::TwoHolders(
                                left.entry.name.clone(),
                                right.entry.name.clone(),
                                hold.range,
                            ));
                        }
                    }
                }
            }
        }
        Ok(())
    }
}

fn contains(key: u16, range: KeyRange) -> bool {
    range.first.0 <= key && key <= range.last.0
}
