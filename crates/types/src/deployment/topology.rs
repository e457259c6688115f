//! Location of a gateway, and the region of each zone.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RegionName, ZoneName};

/// Distance of a zone from this gateway, ordered from near to far.
///
/// Traffic between regions costs several times as much as traffic between
/// zones, has a higher latency and shares one link of low bandwidth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The gateway's own zone.
    SameZone,
    /// Another zone of the gateway's region, or a zone whose region is unknown.
    SameRegion,
    /// A zone in another region.
    OtherRegion,
}

impl Distance {
    /// All distances, nearest first.
    pub const ALL: [Distance; 3] = [
        Distance::SameZone,
        Distance::SameRegion,
        Distance::OtherRegion,
    ];

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Distance::SameZone => "same-zone",
            Distance::SameRegion => "same-region",
            Distance::OtherRegion => "other-region",
        }
    }
}

/// Zone and region of a gateway, and the regions of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    region: Option<RegionName>,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// Builds the topology for a gateway in `zone`.
    ///
    /// `regions` gives the region of each zone. `region` is the gateway's
    /// region; if it is `None`, it is looked up in `regions`.
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

    /// Returns the zone of the gateway.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the region of the gateway, if known.
    pub fn region(&self) -> Option<&RegionName> {
        self.region.as_ref()
    }

    /// Returns the region of a zone, if known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        if *zone == self.zone {
            return self.region();
        }
        self.regions.get(zone)
    }

    /// Returns the distance of a zone. If no regions are known, all other zones
    /// are at distance [`Distance::SameRegion`].
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::SameZone;
        }
        match (self.region(), self.region_of(zone)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Returns true if the zone relays of the gateway's region share one region
    /// relay. This is so if there are several regions and this one has several
    /// zones.
    pub fn has_region_relays(&self) -> bool {
        let distance = |zone: &ZoneName| self.distance(zone);
        let zones = || self.regions.keys();
        let others = zones().any(|zone| distance(zone) == Distance::OtherRegion);
        others && zones().any(|zone| distance(zone) == Distance::SameRegion)
    }

    /// Returns true if a zone lies in one of the regions. A zone whose region
    /// is unknown does not, so that data that must stay in a region never
    /// leaves it by mistake.
    pub fn is_within(&self, zone: &ZoneName, allowed: &BTreeSet<RegionName>) -> bool {
        let region = self.region_of(zone);
        region.is_some_and(|region| allowed.contains(region))
    }
}
