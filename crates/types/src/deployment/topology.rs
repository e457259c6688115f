//! Where a gateway is, and which zone lies in which region.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RegionName, ZoneName};

/// How far a zone is. The nearer, the less: bytes between regions cost several
/// times those between zones, take longer, and share one narrow link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The zone of this gateway.
    SameZone,
    /// Another zone of its region, or one of which no region is known.
    SameRegion,
    /// A zone of another region.
    OtherRegion,
}

impl Distance {
    /// Every distance, the nearest first.
    pub const ALL: [Distance; 3] = [
        Distance::SameZone,
        Distance::SameRegion,
        Distance::OtherRegion,
    ];

    /// Name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Distance::SameZone => "same-zone",
            Distance::SameRegion => "same-region",
            Distance::OtherRegion => "other-region",
        }
    }
}

/// The zone and region of a gateway, and the regions of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    region: Option<RegionName>,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// A gateway in `zone`; `regions` names the region of each zone, and
    /// `region` its own where they do not.
    pub fn new(
        zone: ZoneName,
        region: Option<RegionName>,
        regions: BTreeMap<ZoneName, RegionName>,
    ) -> Self {
        let region = region.or_else(|| regions.get(&zone).cloned());
        Topology {
            zone,
            region,
            regions,
        }
    }

    /// The zone of this gateway.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// The region of this gateway, if it is known.
    pub fn region(&self) -> Option<&RegionName> {
        self.region.as_ref()
    }

    /// The region of a zone, if it is known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        if *zone == self.zone {
            return self.region();
        }
        self.regions.get(zone)
    }

    /// How far a zone is. Without regions, every other zone is as far as the
    /// next.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::SameZone;
        }
        match (self.region(), self.region_of(zone)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Whether the relays of the zones of a region share one: there are several
    /// regions, and this one has several zones.
    pub fn has_region_relays(&self) -> bool {
        let distance = |zone: &ZoneName| self.distance(zone);
        let zones = || self.regions.keys();
        let others = zones().any(|zone| distance(zone) == Distance::OtherRegion);
        others && zones().any(|zone| distance(zone) == Distance::SameRegion)
    }

    /// Whether a zone lies in one of the regions. One of which no region is
    /// known does not: what must not leave a region goes nowhere else by
    /// mistake.
    pub fn is_within(&self, zone: &ZoneName, allowed: &BTreeSet<RegionName>) -> bool {
        let region = self.region_of(zone);
        region.is_some_and(|region| allowed.contains(region))
    }
}
