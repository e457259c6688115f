//! Parsing of the relay records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge::gateway::relay_records::{RelayRecords, region_record_name};
use threadledge_coordination::NodeIdentity;
use threadledge_ports::Entry;
use threadledge_relay::RelayRecord;
use threadledge_types::deployment::Topology;
use threadledge_types::{Incarnation, MachineName};

use super::samples::entry;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn record(name: &str, holder: u16, members: u32) -> Entry<RelayRecord> {
    let holder = NodeIdentity {
        node: MachineName(format!("node-{holder}")),
        incarnation: Incarnation(1),
        address: Some(address(holder)),
    };
    entry(name, u64::from(members), RelayRecord { holder, members })
}

/// Topology as seen from zone `a`: two regions with two zones each.
fn topology() -> Topology {
    let regions = [("a", "home"), ("b", "home"), ("c", "away"), ("d", "away")];
    let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
    Topology::new("a".into(), None, BTreeMap::from(regions))
}

fn zones() -> Vec<Entry<RelayRecord>> {
    let zones = [("a", 1, 5), ("b", 2, 6), ("c", 3, 7), ("d", 4, 8)];
    let records = zones.map(|(zone, holder, members)| record(zone, holder, members));
    records.into()
}

#[test]
fn gateways_are_counted_in_their_zones_only() {
    let mut all = zones();
    all.push(record(&region_record_name(&"home".into()), 2, 0));
    all.push(record(&region_record_name(&"away".into()), 3, 9));
    let records = RelayRecords::parse(all, "a", &topology());
    assert_eq!(records.members_elsewhere, 21);
    let own = records.own.expect("found");
    assert_eq!((own.value.members, own.revision), (5, 5));
}

#[test]
fn one_relay_of_each_other_region_is_a_neighbour() {
    let mut all = zones();
    all.push(record(&region_record_name(&"home".into()), 1, 0));
    all.push(record(&region_record_name(&"away".into()), 4, 0));
    let records = RelayRecords::parse(all, "a", &topology());
    assert_eq!(records.neighbours, [address(2), address(4)]);
}

#[test]
fn all_zone_relays_of_a_region_without_its_own_relay_are_neighbours() {
    let records = RelayRecords::parse(zones(), "a", &topology());
    assert_eq!(records.neighbours, [address(2), address(3), address(4)]);
    let one_region = Topology::new("a".into(), None, BTreeMap::new());
    let records = RelayRecords::parse(zones(), "a", &one_region);
    assert_eq!(records.neighbours, [address(2), address(3), address(4)]);
}

#[test]
fn record_of_the_region_is_found_by_its_name() {
    let name = region_record_name(&"home".into());
    let mut all = zones();
    assert_eq!(
        RelayRecords::parse(all.clone(), &name, &topology()).own,
        None
    );
    all.push(record(&name, 2, 0));
    let own = RelayRecords::parse(all, &name, &topology())
        .own
        .expect("found");
    assert_eq!(own.value.holder.address, Some(address(2)));
}
