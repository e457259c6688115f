//! Reads the records in the store that name the relays: one for each zone, and
//! one for each region if there are several.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_coordination::action::Versioned;
use threadledge_ports::Entry;
use threadledge_relay::RelayRecord;
use threadledge_types::deployment::{Distance, Topology};
use threadledge_types::{RegionName, ZoneName};

/// Prefix of the names of regions' records, which are stored next to those of
/// zones.
const REGION_PREFIX: &str = "region.";

/// The name of the record that names a region's relay.
pub fn region_record_name(region: &RegionName) -> String {
    format!("{REGION_PREFIX}{region}")
}

/// The content of all relay records, as seen by the gateway that looks for one
/// of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRecords {
    /// The record that the gateway looks for.
    pub own: Option<Versioned<RelayRecord>>,
    /// Number of gateways in other zones, by their records.
    pub members_elsewhere: u32,
    /// Relays with which a relay of this zone exchanges what concerns all
    /// gateways: the relays of its region's zones, and one of each other
    /// region.
    pub neighbours: Vec<SocketAddr>,
}

impl RelayRecords {
    /// Number of gateways in the deployment, by all records.
    pub fn members(&self) -> u32 {
        let own = self.own.as_ref().map_or(0, |own| own.value.members);
        self.members_elsewhere.saturating_add(own)
    }

    /// Parses all records; `own` is the name of the record to look for.
    pub fn parse(entries: Vec<Entry<RelayRecord>>, own: &str, topology: &Topology) -> RelayRecords {
        let mut records = RelayRecords::default();
        // One relay of each other region; if a region's own relay is not known
        // yet, the relays of its zones.
        let mut of_regions = BTreeMap::new();
        let mut of_far_zones = Vec::new();
        for entry in entries {
            let Ok(value) = entry.value else {
                // A malformed record counts no gateways and names no relay
                // until it is rewritten.
                continue;
            };
            if entry.name == own {
                let revision = entry.revision;
                records.own = Some(Versioned { value, revision });
                continue;
            }
            if let Some(region) = entry.name.strip_prefix(REGION_PREFIX) {
                of_regions.insert(RegionName::from(region), value.holder.address);
                continue;
            }
            records.members_elsewhere = records.members_elsewhere.saturating_add(value.members);
            let zone = ZoneName::from(entry.name.as_str());
            match topology.distance(&zone) {
                Distance::OtherRegion => of_far_zones.push((zone, value.holder.address)),
                _ => records.neighbours.extend(value.holder.address),
            }
        }
        for (zone, relay) in of_far_zones {
            let region = topology.region_of(&zone);
            if !region.is_some_and(|region| of_regions.contains_key(region)) {
                records.neighbours.extend(relay);
            }
        }
        of_regions.retain(|region, _| Some(region) != topology.region());
        records
            .neighbours
            .extend(of_regions.into_values().flatten());
        records
    }
}
