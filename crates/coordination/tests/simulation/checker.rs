//! The invariants of ownership, from what back ends took.

use std::collections::BTreeMap;

use threadledge_coordination::{Fence, Order, OrderKind};
use threadledge_types::deployment::{BackEndName, KeyRange};

use super::back_end::{ModelBackEnd, overlap};

/// Keys are looked at in steps of this many.
const STEP: usize = 64;

/// Remembers the highest fence under which any back end held each key.
#[derive(Debug, Default)]
pub struct Checker {
    highest: BTreeMap<u16, (Fence, Option<BackEndName>)>,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two back ends that are up hold the same keys.
    TwoHolders(BackEndName, BackEndName, KeyRange),
    /// A back end took keys under a fence that is not above all under which
    /// others had held them.
    FenceNotAbove(BackEndName, KeyRange, Fence, Fence),
}

impl Checker {
    /// A back end took a grant in time.
    pub fn granted(&mut self, order: &Order) -> Result<(), Violation> {
        if !matches!(order.kind, OrderKind::Grant(_)) {
            return Ok(());
        }
        let keys = (0..=u16::MAX).step_by(STEP);
        for key in keys.filter(|key| inside(*key, order.range)) {
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

    /// What all back ends hold now.
    pub fn holders<'a>(back_ends: impl Iterator<Item = &'a ModelBackEnd>) -> Result<(), Violation> {
        let up: Vec<&ModelBackEnd> = back_ends.filter(|back_end| back_end.up).collect();
        for (index, left) in up.iter().enumerate() {
            for right in &up[index + 1..] {
                for hold in left.holds.iter().filter(|hold| !hold.late) {
                    let other = right.holds.iter().filter(|hold| !hold.late);
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

fn inside(key: u16, range: KeyRange) -> bool {
    range.first.0 <= key && key <= range.last.0
}
