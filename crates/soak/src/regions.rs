//! Two regions, joined by one narrow link.
//!
//! The store stands in the first region. A back end has one address for each
//! region: gateways of its own region reach it directly, those of the other one
//! over the link. Store and gateways tell each other addresses as the first
//! region sees them; the proxies between them rewrite these for the second.

use std::net::{Ipv4Addr, SocketAddr};

use crate::proxy::Proxy;
use crate::proxy::link::{Link, LinkEnd};
use crate::proxy::rewriter::Rewriter;

/// Number of regions.
const REGIONS: usize = 2;
/// Number of zones, which belong to the regions in turn.
const ZONES: usize = 4;
/// Number of back ends that hold no keys.
pub const PLAIN_COUNT: usize = 6;
/// Region of the store.
pub const STORE_REGION: usize = 0;
/// Second octet of the addresses of back ends, as the first region sees them.
const FIRST_VIEW: u8 = 101;
/// Longest hold that back ends accept, in seconds.
const MAX_HOLD_S: u64 = 10;
/// Ports that are tried for the two addresses of a back end.
const PORT_TRIES: usize = 16;

/// Returns the number of the zone of the gateway or back end of this number.
pub fn zone_of(number: usize) -> usize {
    number % ZONES
}

/// Returns the region of the gateway or back end of this number.
pub fn region_of(number: usize) -> usize {
    zone_of(number) % REGIONS
}

/// Returns the number of back ends that hold keys, of which each region has
/// `count`.
pub const fn keyed_count(count: usize) -> usize {
    count * REGIONS
}

/// Returns a gateway's settings of the regions of the zones and of the hold.
/// Grants are held for the default time, and back ends accept more.
pub fn settings() -> String {
    let lines = (0..ZONES).map(|zone| format!("zone-{zone} = \"region-{}\"\n", zone % REGIONS));
    let zones: String = lines.collect();
    format!("[ownership]\nmax-hold-s = {MAX_HOLD_S}\n[zones]\n{zones}")
}

/// The proxies of a back end.
#[derive(Debug)]
pub struct BackEndProxies {
    /// Proxy for gateways of its region, which the other one leads to.
    pub near: Proxy,
    /// Proxy for gateways of the other region.
    pub far: Proxy,
    /// Address as the first region sees it.
    pub registered: SocketAddr,
}

/// Starts the proxies of a back end of this region.
///
/// # Errors
///
/// Fails if no port can be listened on at both addresses.
pub async fn start_proxies(
    link: &Link,
    region: usize,
    target: SocketAddr,
) -> std::io::Result<BackEndProxies> {
    let mut failure = std::io::ErrorKind::AddrInUse.into();
    for _ in 0..PORT_TRIES {
        let any = SocketAddr::from((address_in_view(region), 0));
        let near = Proxy::start_at(any, target, Rewriter::default()).await?;
        let other = 1 - region;
        let same_port = SocketAddr::from((address_in_view(other), near.address().port()));
        match Proxy::start_at(same_port, near.address(), Rewriter::default()).await {
            Ok(far) => {
                let link = link.clone();
                far.set_link(LinkEnd {
                    link,
                    region: other,
                });
                let registered = match region {
                    0 => near.address(),
                    _ => far.address(),
                };
                return Ok(BackEndProxies {
                    near,
                    far,
                    registered,
                });
            }
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Returns the replacement of back ends' addresses between a client of one
/// region and a process of another, if they differ.
pub fn view_pair(client: usize, target: usize) -> Option<(String, String)> {
    (client != target).then(|| (view_prefix(client), view_prefix(target)))
}

fn address_in_view(region: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, view_octet(region), 0, 1)
}

fn view_prefix(region: usize) -> String {
    format!("127.{}.", view_octet(region))
}

fn view_octet(region: usize) -> u8 {
    match region {
        0 => FIRST_VIEW,
        _ => FIRST_VIEW + 1,
    }
}
