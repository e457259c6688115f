//! The records that name relays, as they lie in the store: one for each zone,
//! and one for each region where there are several.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_coordination::action::Versioned;
use threadledge_ports::Entry;
use threadledge_relay::RelayRecord;
use threadledge_types::deployment::{Distance, Topology};
use threadledge_types::{RegionName, ZoneName};

/// Start of the names of regions' records, which lie beside those of zones.
const REGION_PREFIX: &str = "region.";

/// Name of the record that names the relay of a region.
pub fn region_record_name(region: &RegionName) -> String {
    format!("{REGION_PREFIX}{region}")
}

/// What the records say to a gateway that looks for one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRecords {
    /// The one that it looks for.
    pub own: Option<Versioned<RelayRecord>>,
    /// Gateways that the records of other zones count.
    pub members_elsewhere: u32,
    /// Relays that a relay of this zone tells what concerns all: those of its
    /// region's zones, and one of each other region.
    pub neighbours: Vec<SocketAddr>,
}

impl RelayRecords {
    /// Reads all records; `own` names the one that is looked for.
    pub fn parse(entries: Vec<Entry<RelayRecord>>, own: &str, places: &Topology) -> RelayRecords {
        let mut records = RelayRecords::default();
        // Relays of other regions; of one whose own relay is not known yet,
        // those of its zones.
        let mut of_regions = BTreeMap::new();
        let mut of_far_zones = Vec::new();
        for entry in entries {
            let Ok(value) = entry.value else {
                // It counts nobody and names nobody until it is written anew.
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
            match places.distance(&zone) {
                Distance::OtherRegion => of_far_zones.push((zone, value.holder.address)),
                _ => records.neighbours.extend(value.holder.address),
            }
        }
        for (zone, relay) in of_far_zones {
            let region = places.region_of(&zone);
            if !region.is_some_and(|region| of_regions.contains_key(region)) {
                records.neighbours.extend(relay);
            }
        }
        of_regions.retain(|region, _| Some(region) != places.region());
        records
            .neighbours
            .extend(of_regions.into_values().flatten());
        records
    }
}
