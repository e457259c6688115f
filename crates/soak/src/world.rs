//! The gateways of one soak and everything around them.

mod key_log;
mod regions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde_json::{Value, json};
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore};

use crate::caller::Kind;
use crate::check::Violation;
use crate::crashing;
use crate::ownership::{self, KeyChangeEvent, KeyedRun};
use crate::peers::{self, PeerLinks};
use crate::process::{Gateway, GatewayConfig};
use crate::proxy::copies::Doubling;
use crate::proxy::link::{Link, LinkEnd};
use crate::proxy::{Mode, Proxy};
use crate::regions as layout;
use crate::tenants;

/// Number of zones over which back ends and gateways are spread.
pub const ZONES: usize = 2;

/// The services, in the order of their back ends; that of the first is
/// partitioned by key.
pub const SERVICES: [&str; 2] = ["keyed", "plain"];

/// Longest processing time of a keyed request: longer than a grant takes.
const MAX_WORK: Duration = Duration::from_millis(200);
/// The same if answers are sent twice: releases have to wait for long work, so
/// that one which seems to be answered early gives keys on during it.
const MAX_LONG_WORK: Duration = Duration::from_millis(1_000);
/// Requests that a back end works on at once if answers are sent twice; it
/// rejects further ones. As many as its registration says.
const SLOTS: usize = 2;
/// Requests that wait at a back end for one of them, if there are regions.
const QUEUE: usize = 6;

/// A back end behind its proxy.
#[derive(Debug)]
pub struct BackEnd {
    /// The stand-in process.
    pub inner: StandInBackEnd,
    /// Proxy through which gateways reach the back end.
    pub proxy: Proxy,
    /// Zone of the back end.
    pub zone: String,
    /// Proxy for gateways of the other region, if there are regions; it leads
    /// to the other one.
    far: Option<Proxy>,
    /// Address at which it is registered.
    registered: SocketAddr,
    service: &'static str,
}

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

    /// Starts this many back ends of each service; in regions, as many that
    /// hold keys in each of the two, and fewer others.
    async fn start_back_ends(&mut self, count: usize) -> eyre::Result<()> {
        if self.link.is_some() {
            let [keyed, plain] = SERVICES;
            let keyed = std::iter::repeat_n(keyed, layout::keyed_count(count));
            let plain = std::iter::repeat_n(plain, layout::PLAIN_COUNT);
            for (number, service) in keyed.chain(plain).enumerate() {
                let back_end = self.start_back_end_in(service, number).await?;
                self.back_ends.push(back_end);
            }
            return Ok(());
        }
        for _ in 0..count {
            for service in SERVICES {
                let back_end = self.start_back_end(service).await?;
                self.back_ends.push(back_end);
            }
        }
        Ok(())
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

    /// Starts a stand-in back end, under `id` if it restarts an earlier one.
    async fn start_stand_in(
        &mut self,
        service: &'static str,
        id: Option<String>,
    ) -> eyre::Result<StandInBackEnd> {
        self.started_count += 1;
        let id = id.unwrap_or_else(|| format!("{service}-{}", self.started_count));
        let start_number = self.reuse_ids.then_some(self.started_count as u64);
        let inner =
            StandInBackEnd::start_incarnation(&id, start_number, service == "keyed").await?;
        inner.set_max_work(MAX_WORK);
        if self.doubled_answers {
            inner.set_max_work(MAX_LONG_WORK);
            inner.set_slots(Some(SLOTS));
        }
        if self.link.is_some() {
            inner.set_queue(QUEUE);
        }
        if self.omitted_ids {
            inner.set_omits_ids(!self.started_count.is_multiple_of(3));
        }
        if self.crashing_requests {
            inner.set_crash_trigger(crashing::crash_trigger(inner.keyed));
        }
        Ok(inner)
    }

    async fn start_back_end(&mut self, service: &'static str) -> eyre::Result<BackEnd> {
        let inner = self.start_stand_in(service, None).await?;
        let proxy = Proxy::start(inner.address()).await?;
        if self.doubled_answers {
            proxy.set_doubling(Doubling::none());
        }
        let registered = proxy.address();
        let back_end = BackEnd {
            inner,
            proxy,
            zone: format!("zone-{}", self.started_count / 2 % ZONES),
            far: None,
            registered,
            service,
        };
        self.register(&back_end, "ready");
        Ok(back_end)
    }

    /// Starts a back end in the zone and region of this number.
    async fn start_back_end_in(
        &mut self,
        service: &'static str,
        number: usize,
    ) -> eyre::Result<BackEnd> {
        let Some(link) = self.link.clone() else {
            return self.start_back_end(service).await;
        };
        let inner = self.start_stand_in(service, None).await?;
        let region = layout::region_of(number);
        let proxies = layout::start_proxies(&link, region, inner.address()).await?;
        proxies.near.set_doubling(Doubling::none());
        let back_end = BackEnd {
            inner,
            proxy: proxies.near,
            zone: format!("zone-{}", layout::zone_of(number)),
            far: Some(proxies.far),
            registered: proxies.registered,
            service,
        };
        self.register(&back_end, "ready");
        Ok(back_end)
    }

    fn register(&self, back_end: &BackEnd, state: &str) {
        let registration = back_end.registration(state);
        self.store.put("servers", &back_end.inner.id, registration);
    }

    /// Writes again the registration of a process that has ended.
    pub fn register_again(&self, incarnation: &str) {
        let Some(former) = self
            .former_back_ends
            .iter()
            .find(|former| former.inner.incarnation() == incarnation)
        else {
            return;
        };
        self.register(former, "ready");
        // If another incarnation runs under the same id, it keeps registering.
        let mut back_ends = self.back_ends.iter();
        if let Some(next) = back_ends.find(|next| next.inner.id == former.inner.id) {
            self.register(next, "ready");
        }
    }

    /// Removes the registration of an ended process, unless another one renews
    /// it.
    pub fn expire_registration(&self, incarnation: &str) {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let Some(ended) = all
            .clone()
            .find(|each| each.inner.incarnation() == incarnation)
        else {
            return;
        };
        let id = ended.inner.id.as_str();
        let renewed = |each: &BackEnd| each.inner.id == id && !each.inner.has_crashed();
        let another = self.reuse_ids && all.clone().any(renewed);
        if !another && self.store.get("servers", id).is_some() {
            self.store.remove("servers", id);
        }
    }

    /// Crashes a back end. Returns its incarnation, or `None` if it had crashed
    /// already.
    pub fn crash(&self, index: usize) -> Option<String> {
        let inner = &self.back_ends[index].inner;
        if inner.has_crashed() {
            return None;
        }
        inner.crash();
        Some(inner.incarnation())
    }

    /// Starts another process at the address of the crashed one, unless the
    /// operator has replaced that back end meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be listened on.
    pub async fn restart_back_end(&mut self, index: usize, crashed: &str) -> eyre::Result<()> {
        let before = &self.back_ends[index];
        if before.inner.incarnation() != crashed {
            return Ok(());
        }
        let service = before.service;
        let id = self.reuse_ids.then(|| before.inner.id.clone());
        let inner = self.start_stand_in(service, id).await?;
        let next = self.back_ends[index].next_process(inner, service);
        self.register(&next, "ready");
        let crashed_back_end = std::mem::replace(&mut self.back_ends[index], next);
        self.former_back_ends.push(crashed_back_end);
        Ok(())
    }

    /// Registers a running back end with the time for which it stays slow.
    pub fn register_cold(&self, index: usize, remaining: Duration) {
        let back_end = &self.back_ends[index];
        if !back_end.inner.has_crashed() {
            let registration =
                StandInBackEnd::with_cold_remaining(back_end.registration("ready"), remaining);
            self.store.put("servers", &back_end.inner.id, registration);
        }
    }

    /// Restores every back end and every connection to one.
    pub fn restore_back_ends(&self) {
        for back_end in self.back_ends.iter().chain(&self.former_back_ends) {
            back_end.proxy.set_mode(Mode::Normal);
            back_end.proxy.heal(Duration::ZERO);
            if self.doubled_answers {
                back_end.proxy.set_doubling(Doubling::none());
            }
            back_end.proxy.read_at_once();
            back_end.inner.set_grant_delay(None);
            back_end.inner.set_order_delay(None);
        }
    }

    /// Number of answers that back ends sent twice.
    pub fn doubled_answers(&self) -> u64 {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        // A process that serves at the address of a crashed one shares its proxy.
        let counts: BTreeMap<SocketAddr, u64> = all
            .map(|back_end| (back_end.proxy.address(), back_end.proxy.doubled()))
            .collect();
        counts.values().sum()
    }

    /// Checks which back ends held which keys when. Times in the violations
    /// count from `start`.
    pub fn check_ownership(&self, start: Instant, tolerance: Duration) -> Vec<Violation> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let all: Vec<(String, &BackEnd)> = all
            .map(|back_end| (back_end.inner.incarnation(), back_end))
            .collect();
        let mut changes = Vec::new();
        let mut runs = Vec::new();
        for (incarnation, BackEnd { inner, proxy, .. }) in &all {
            let back_end = incarnation.as_str();
            let since = |at: Instant| at.saturating_duration_since(start);
            changes.extend(inner.key_events().iter().map(|event| {
                KeyChangeEvent {
                    back_end,
                    at: since(event.at),
                    change: event.change,
                    late: event.late,
                    delayed: self
                        .link
                        .as_ref()
                        .is_some_and(|link| link.may_have_delayed(event.at)),
                    unread: proxy.may_have_read_late(event.at),
                }
            }));
            let keyed = inner.runs();
            let keyed = keyed.iter().filter_map(|run| Some((run, run.key?)));
            runs.extend(keyed.map(|(run, key)| KeyedRun {
                back_end,
                at: since(run.at),
                until: run.until.map(since),
                key,
            }));
        }
        ownership::check_history(&changes, &runs, tolerance)
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

    /// Starts another back end in place of this one, which registers as
    /// draining.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be listened on.
    pub async fn replace(&mut self, index: usize) -> eyre::Result<()> {
        let service = self.back_ends[index].service;
        let next = self.start_back_end_in(service, index).await?;
        let leaving = std::mem::replace(&mut self.back_ends[index], next);
        if !leaving.inner.has_crashed() {
            self.register(&leaving, "draining");
        }
        self.former_back_ends.push(leaving);
        Ok(())
    }

    /// Removes the registrations of the back ends that were replaced.
    pub fn remove_former_registrations(&self) {
        for former in &self.former_back_ends {
            self.expire_registration(&former.inner.incarnation());
        }
    }

    /// Drains a zone or restores it, as an operator does.
    pub fn drain_zone(&self, zone: &str, drained: bool) {
        if drained {
            self.store.put("evacuations", zone, json!({}));
        } else {
            self.store.remove("evacuations", zone);
        }
    }

    /// Returns when each request started at the back ends of a zone.
    pub fn run_times_in_zone(&self, zone: &str) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let there = all.filter(|back_end| back_end.zone == zone);
        there
            .flat_map(|back_end| back_end.inner.runs())
            .map(|run| run.at)
            .collect()
    }

    /// Returns when each run of the crashing request of a kind started.
    pub fn crashing_run_times(&self, kind: Kind) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let runs = all.flat_map(|back_end| back_end.inner.runs());
        runs.filter(|run| crashing::is_crashing_request(kind, &run.target))
            .map(|run| run.at)
            .collect()
    }

    /// Returns how often each request ran, over all back ends.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for back_end in self.back_ends.iter().chain(&self.former_back_ends) {
            for run in back_end.inner.runs() {
                *runs.entry(run.id).or_default() += 1;
            }
        }
        runs
    }

    /// Checks the tenant that back ends were told for each request that they
    /// ran.
    pub fn check_tenants(&self) -> Vec<Violation> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let found = all.map(|back_end| tenants::check_runs(&back_end.inner.runs()));
        found.flatten().collect()
    }

    /// Returns which of the sampled keys each back end holds.
    pub fn held_keys(&self) -> Vec<(String, Vec<u16>)> {
        let all = self.back_ends.iter().chain(&self.former_back_ends);
        let keyed = all.filter(|back_end| back_end.inner.keyed);
        keyed
            .map(|back_end| {
                (
                    back_end.inner.incarnation(),
                    back_end.inner.held(&sampled_keys()),
                )
            })
            .collect()
    }
}

impl BackEnd {
    fn registration(&self, state: &str) -> Value {
        self.inner
            .registration_at(self.registered, &self.zone, self.service, state)
    }

    /// Leads the address of this back end to another process.
    fn next_process(&self, inner: StandInBackEnd, service: &'static str) -> BackEnd {
        self.proxy.set_target(inner.address());
        BackEnd {
            inner,
            proxy: self.proxy.clone(),
            zone: self.zone.clone(),
            far: self.far.clone(),
            registered: self.registered,
            service,
        }
    }
}

/// Keys whose owners are checked.
pub fn sampled_keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(512).collect()
}
