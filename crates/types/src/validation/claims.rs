//! Who has what, first come first served.

use std::collections::BTreeMap;

/// Claims of holders on things that only one of them can have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimTable<Thing, Holder> {
    holders: BTreeMap<Thing, Holder>,
    things: BTreeMap<Holder, Vec<Thing>>,
}

impl<Thing, Holder> Default for ClaimTable<Thing, Holder> {
    fn default() -> Self {
        ClaimTable {
            holders: BTreeMap::new(),
            things: BTreeMap::new(),
        }
    }
}

impl<Thing: Ord + Clone, Holder: Ord + Clone> ClaimTable<Thing, Holder> {
    /// The holder of a thing.
    pub(crate) fn holder(&self, thing: &Thing) -> Option<&Holder> {
        self.holders.get(thing)
    }

    /// The holder of a thing, unless it is `claimant` itself.
    pub(crate) fn other_holder(&self, thing: &Thing, claimant: &Holder) -> Option<&Holder> {
        self.holder(thing).filter(|holder| *holder != claimant)
    }

    /// Makes `things`, which nobody else may hold, all that `claimant` holds.
    pub(crate) fn set(&mut self, claimant: &Holder, things: Vec<Thing>) {
        self.release(claimant);
        for thing in &things {
            self.holders.insert(thing.clone(), claimant.clone());
        }
        self.things.insert(claimant.clone(), things);
    }

    /// Gives up everything that a holder has.
    pub(crate) fn release(&mut self, holder: &Holder) {
        for thing in self.things.remove(holder).unwrap_or_default() {
            self.holders.remove(&thing);
        }
    }
}
