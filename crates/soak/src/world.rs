//! The gateways of one soak and everything around them.

mod back_ends;
mod key_log;
mod observations;
mod regions;

use std::net::SocketAddr;
use std::path::Path;

use eyre::WrapErr;
use serde_json::json;
use threadledge_platform_stand_in::StandInStore;

use crate::peers::{self, PeerLinks};
use crate::process::{Gateway, GatewayConfig};
use crate::proxy::Proxy;
use crate::proxy::link::{Link, LinkEnd};
use crate::regions as layout;
use crate::tenants;

pub use back_ends::BackEnd;
pub use observations::sampled_keys;

/// Number of zones over which back ends and gateways are spread.
pub const ZONES: usize = 2;

/// The services, in the order of their back ends; that of the first is
/// partitioned by key.
pub const SERVICES: [&str; 2] = ["keyed", "plain"];

/// Gateways, back ends, the store and the proxies between them.
#[derive(Debug)]
pub struct World {
    /// The stand-in store.
    pub store: StandInStore,
    /// Address of the store for each gateway if there are regions, with faults
    /// of its own.
    pub store_endpoints: Vec<StandInStore>,
    /// The link between the regions, if there are any.
    pub link: Option<Link>,
    /// Proxy between each gateway and the store, by gateway number.
    pub store_proxies: Vec<Proxy>,
    /// Proxies between the gateways.
    pub peers: PeerLinks,
    /// The gateway processes.
    pub gateways: Vec<Gateway>,
    /// The current back ends.
    pub back_ends: Vec<BackEnd>,
    /// Back ends that were replaced or crashed.
    pub former_back_ends: Vec<BackEnd>,
    /// Version of the configuration that was written last.
    pub version: u64,
    /// Number of back ends started so far.
    started_count: usize,
    /// Callers send requests that crash the back ends that run them.
    crashing_requests: bool,
    /// Back ends restart under the ids that they had.
    reuse_ids: bool,
    /// Back ends send answers twice.
    doubled_answers: bool,
    /// Two of three back ends leave the ids of requests out of rejections.
    omitted_ids: bool,
}

/// Number of processes, and options of the back ends.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of back ends of each service.
    pub back_ends: usize,
    /// Callers send requests that crash the back ends that run them.
    pub crashing_requests: bool,
    /// Back ends restart under the ids that they had.
    pub reuse_ids: bool,
    /// Back ends send answers twice.
    pub doubled_answers: bool,
    /// Two of three back ends leave the ids of requests out of rejections.
    pub omitted_ids: bool,
    /// Rate of the link between two regions in Mbit/s, if there are regions.
    pub link_mbps: Option<u32>,
}

impl World {
    /// Starts the store, the back ends, the proxies and the gateways.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be listened on or the program does not start.
    pub async fn start(program: &Path, dir: &Path, size: Size) -> eyre::Result<Self> {
        let store = StandInStore::start().await.wrap_err("no store")?;
        let link = size.link_mbps.map(Link::new);
        let mut world = World {
            store,
            store_endpoints: Vec::new(),
            store_proxies: Vec::new(),
            peers: PeerLinks::start(size.gateways, link.as_ref()).await?,
            link,
            gateways: Vec::new(),
            back_ends: Vec::new(),
            former_back_ends: Vec::new(),
            version: 0,
            started_count: 0,
            crashing_requests: size.crashing_requests,
            reuse_ids: size.reuse_ids,
            doubled_answers: size.doubled_answers,
            omitted_ids: size.omitted_ids,
        };
        world.start_back_ends(size.back_ends).await?;
        world.configure();
        for number in 0..size.gateways {
            let store = world.start_store_proxy(number, size.gateways).await?;
            world.gateways.push(Gateway::start(&GatewayConfig {
                program,
                dir,
                number,
                store,
                regions: world.link.is_some(),
            })?);
        }
        Ok(world)
    }

    /// Starts the proxy between a gateway and the store. Returns its address.
    async fn start_store_proxy(
        &mut self,
        number: usize,
        gateways: usize,
    ) -> eyre::Result<SocketAddr> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let Some(link) = self.link.clone() else {
            let rewriter = peers::store_rewriter(number, gateways, None);
            let proxy = Proxy::start_at(any, self.store.address(), rewriter).await?;
            let address = proxy.address();
            self.store_proxies.push(proxy);
            return Ok(address);
        };
        let region = layout::region_of(number);
        let view = layout::view_pair(region, layout::STORE_REGION);
        let rewriter = peers::store_rewriter(number, gateways, view);
        let endpoint = self.store.open_endpoint().await?;
        let proxy = Proxy::start_at(any, endpoint.address(), rewriter).await?;
        if region != layout::STORE_REGION {
            proxy.set_link(LinkEnd { link, region });
        }
        let address = proxy.address();
        self.store_endpoints.push(endpoint);
        self.store_proxies.push(proxy);
        Ok(address)
    }

    /// Writes the next configuration, as an operator does.
    pub fn configure(&mut self) {
        self.version += 1;
        let wanted = match self.link {
            Some(_) => tenants::patient_configuration(self.version),
            None => tenants::configuration(self.version),
        };
        self.store.put("config", "main", wanted);
    }

    /// Drains a zone or restores it, as an operator does.
    pub fn drain_zone(&self, zone: &str, drained: bool) {
        if drained {
            self.store.put("evacuations", zone, json!({}));
        } else {
            self.store.remove("evacuations", zone);
        }
    }
}
