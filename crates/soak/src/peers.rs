//! Proxies between gateways.
//!
//! A gateway says to others where it listens itself, and so does the store.
//! The proxies stand in between nonetheless: each gateway is shown, for every
//! other one, the address of a proxy of its own that leads there, since every
//! proxy on the way, that to the store included, exchanges the addresses.

use std::net::{Ipv4Addr, SocketAddr};

use crate::process::{PEER_PORT, own_address};
use crate::proxy::Proxy;
use crate::proxy::wording::Wording;

/// Port of the proxies of the first gateway, the others follow. It has as many
/// digits as that of the gateways.
const FIRST_PORT: u16 = 9_000;
/// Added to the second number of a gateway's address in those of proxies.
const APART: u8 = 64;

/// The proxies between gateways.
#[derive(Debug, Default)]
pub struct PeerLinks {
    /// Whose they are, where they lead, and the proxy.
    links: Vec<(usize, usize, Proxy)>,
}

impl PeerLinks {
    /// Starts one for each pair of gateways and direction.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub async fn start(gateways: usize) -> std::io::Result<Self> {
        let mut links = Vec::new();
        for from in 0..gateways {
            for to in (0..gateways).filter(|to| *to != from) {
                let wording = between(from, to, gateways);
                let proxy = Proxy::start_at(shown(from, to), own(to), wording).await?;
                links.push((from, to, proxy));
            }
        }
        Ok(PeerLinks { links })
    }

    /// Connections of a gateway from and to all others go silent for good.
    pub fn silence(&self, gateway: usize) {
        for (from, to, proxy) in &self.links {
            if *from == gateway || *to == gateway {
                proxy.silence();
            }
        }
    }

    /// Connections that went through these proxies.
    pub fn accepted(&self) -> u64 {
        self.links
            .iter()
            .map(|(_, _, proxy)| proxy.accepted())
            .sum()
    }
}

/// What the proxy between a gateway and the store exchanges.
pub fn to_store(gateway: usize, gateways: usize) -> Wording {
    let others = (0..gateways).filter(|other| *other != gateway);
    Wording::new(others.map(|other| (shown(gateway, other).to_string(), own(other).to_string())))
}

/// What the proxy from one gateway to another exchanges.
fn between(from: usize, to: usize, gateways: usize) -> Wording {
    let pair = |each| {
        (
            seen_by(from, each).to_string(),
            seen_by(to, each).to_string(),
        )
    };
    Wording::new((0..gateways).map(pair))
}

/// Where a gateway finds another, or itself.
fn seen_by(gateway: usize, other: usize) -> SocketAddr {
    if gateway == other {
        own(other)
    } else {
        shown(gateway, other)
    }
}

fn own(gateway: usize) -> SocketAddr {
    SocketAddr::from((own_address(gateway), PEER_PORT))
}

/// The proxy of one gateway that leads to another.
fn shown(gateway: usize, other: usize) -> SocketAddr {
    let [first, second, third, fourth] = own_address(other).octets();
    let address = Ipv4Addr::new(first, second | APART, third, fourth);
    let port = FIRST_PORT + u16::try_from(gateway).unwrap_or_default();
    SocketAddr::from((address, port))
}
