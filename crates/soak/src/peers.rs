//! Proxies between gateways.
//!
//! A gateway announces its own listening address to other gateways, directly
//! and through the store. To place proxies in between, every proxy, including
//! those to the store, rewrites these addresses: each gateway sees, for every
//! other gateway, the address of a proxy of its own that leads there.

use std::net::{Ipv4Addr, SocketAddr};

use crate::process::{PEER_PORT, gateway_address};
use crate::proxy::Proxy;
use crate::proxy::link::{Link, LinkEnd};
use crate::proxy::rewriter::Rewriter;
use crate::regions;

/// Port of the proxies that the first gateway uses; those of the others follow.
/// It has as many digits as the port of the gateways.
const FIRST_PORT: u16 = 9_000;
/// Bit that is set in the second octet of a gateway's address to get the
/// address of its proxies.
const PROXY_ADDRESS_BIT: u8 = 64;

/// The proxies between gateways.
#[derive(Debug, Default)]
pub struct PeerLinks {
    /// Number of the connecting gateway, number of the target gateway, and the
    /// proxy.
    links: Vec<(usize, usize, Proxy)>,
}

impl PeerLinks {
    /// Starts one proxy for each ordered pair of gateways. Those between two
    /// regions cross the link, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub async fn start(gateways: usize, link: Option<&Link>) -> std::io::Result<Self> {
        let mut links = Vec::new();
        for from in 0..gateways {
            for to in (0..gateways).filter(|to| *to != from) {
                let (here, there) = match link {
                    Some(_) => (regions::region_of(from), regions::region_of(to)),
                    None => (0, 0),
                };
                let rewriter = peer_rewriter(from, to, gateways, regions::view_pair(here, there));
                let proxy =
                    Proxy::start_at(proxy_address(from, to), peer_address(to), rewriter).await?;
                if let Some(link) = link.filter(|_| here != there) {
                    let link = link.clone();
                    proxy.set_link(LinkEnd { link, region: here });
                }
                links.push((from, to, proxy));
            }
        }
        Ok(PeerLinks { links })
    }

    /// Stalls the current connections of a gateway from and to all others for
    /// good.
    pub fn stall_connections(&self, gateway: usize) {
        for (from, to, proxy) in &self.links {
            if *from == gateway || *to == gateway {
                proxy.stall_connections();
            }
        }
    }

    /// Number of connections accepted by these proxies.
    pub fn accepted(&self) -> u64 {
        self.links
            .iter()
            .map(|(_, _, proxy)| proxy.accepted())
            .sum()
    }
}

/// Address replacements of the proxy between a gateway and the store; `view`
/// are those for its region.
pub fn store_rewriter(gateway: usize, gateways: usize, view: Option<(String, String)>) -> Rewriter {
    let others = (0..gateways).filter(|other| *other != gateway);
    let gateways = others.map(|other| {
        (
            proxy_address(gateway, other).to_string(),
            peer_address(other).to_string(),
        )
    });
    Rewriter::new(gateways.chain(view))
}

/// Address replacements of the proxy from one gateway to another; `view` are
/// those between their regions.
fn peer_rewriter(
    from: usize,
    to: usize,
    gateways: usize,
    view: Option<(String, String)>,
) -> Rewriter {
    let pair = |each| {
        (
            address_seen_by(from, each).to_string(),
            address_seen_by(to, each).to_string(),
        )
    };
    Rewriter::new((0..gateways).map(pair).chain(view))
}

/// Address at which a gateway sees another gateway, or itself.
fn address_seen_by(gateway: usize, other: usize) -> SocketAddr {
    if gateway == other {
        peer_address(other)
    } else {
        proxy_address(gateway, other)
    }
}

fn peer_address(gateway: usize) -> SocketAddr {
    SocketAddr::from((gateway_address(gateway), PEER_PORT))
}

/// Address of the proxy through which one gateway reaches another.
fn proxy_address(gateway: usize, other: usize) -> SocketAddr {
    let [first, second, third, fourth] = gateway_address(other).octets();
    let address = Ipv4Addr::new(first, second | PROXY_ADDRESS_BIT, third, fourth);
    let port = FIRST_PORT + u16::try_from(gateway).unwrap_or_default();
    SocketAddr::from((address, port))
}
