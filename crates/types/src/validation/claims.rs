//! Exclusive claims on resources, granted to the first claimant.

use std::collections::BTreeMap;

/// Maps each resource to its only owner, and each owner to its resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimTable<Resource, Owner> {
    owners: BTreeMap<Resource, Owner>,
    resources: BTreeMap<Owner, Vec<Resource>>,
}

impl<Resource, Owner> Default for ClaimTable<Resource, Owner> {
    fn default() -> Self {
        ClaimTable {
            owners: BTreeMap::new(),
            resources: BTreeMap::new(),
        }
    }
}

impl<Resource: Ord + Clone, Owner: Ord + Clone> ClaimTable<Resource, Owner> {
    /// Returns the owner of a resource.
    pub(crate) fn owner(&self, resource: &Resource) -> Option<&Owner> {
        self.owners.get(resource)
    }

    /// Returns the owner of a resource, unless it is `claimant`.
    pub(crate) fn other_owner(&self, resource: &Resource, claimant: &Owner) -> Option<&Owner> {
        self.owner(resource).filter(|owner| *owner != claimant)
    }

    /// Replaces the resources of `claimant`. No other owner may have any of
    /// `resources`; callers check this first.
    pub(crate) fn set(&mut self, claimant: &Owner, resources: Vec<Resource>) {
        self.release(claimant);
        for resource in &resources {
            self.owners.insert(resource.clone(), claimant.clone());
        }
        self.resources.insert(claimant.clone(), resources);
    }

    /// Releases all resources of an owner.
    pub(crate) fn release(&mut self, owner: &Owner) {
        for resource in self.resources.remove(owner).unwrap_or_default() {
            self.owners.remove(&resource);
        }
    }
}
