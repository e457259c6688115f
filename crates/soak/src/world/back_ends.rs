//! Back ends: their start, their registrations, and what becomes of them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use threadledge_platform_stand_in::StandInBackEnd;

use super::{SERVICES, World, ZONES};
use crate::crashing;
use crate::proxy::copies::Doubling;
use crate::proxy::{Mode, Proxy};
use crate::regions as layout;

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
    pub(super) far: Option<Proxy>,
    /// Address at which it is registered.
    pub(super) registered: SocketAddr,
    pub(super) service: &'static str,
}

impl World {
    /// Starts this many back ends of each service; in regions, as many that
    /// hold keys in each of the two, and fewer others.
    pub(super) async fn start_back_ends(&mut self, count: usize) -> eyre::Result<()> {
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

    /// Starts a stand-in back end, under `id` if it restarts an earlier one.
    pub(super) async fn start_stand_in(
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
    pub(super) async fn start_back_end_in(
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

    pub(super) fn register(&self, back_end: &BackEnd, state: &str) {
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
}

impl BackEnd {
    fn registration(&self, state: &str) -> Value {
        self.inner
            .registration_at(self.registered, &self.zone, self.service, state)
    }

    /// Leads the address of this back end to another process.
    pub(super) fn next_process(&self, inner: StandInBackEnd, service: &'static str) -> BackEnd {
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
