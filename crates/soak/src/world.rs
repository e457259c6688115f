//! The gateways of one soak and everything around them.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

use eyre::WrapErr;
use serde_json::{Value, json};
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, changing_configuration};

use crate::process::{Gateway, Setup};
use crate::proxy::Proxy;

/// Zones of back ends and gateways.
pub const ZONES: usize = 2;

/// A back end behind its proxy.
#[derive(Debug)]
pub struct BackEnd {
    /// The back end.
    pub inner: StandInBackEnd,
    /// Gateways reach it through this.
    pub proxy: Proxy,
    /// Its zone.
    pub zone: String,
    service: &'static str,
}

/// Gateways, back ends and the store.
#[derive(Debug)]
pub struct World {
    /// The store.
    pub store: StandInStore,
    /// Between each gateway and the store.
    pub doors: Vec<Proxy>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The back ends.
    pub back_ends: Vec<BackEnd>,
    /// Back ends that were replaced.
    pub left: Vec<BackEnd>,
    /// Version of the configuration that the operator wrote last.
    pub version: u64,
    started: usize,
}

/// How many there are of what.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Back ends of each service.
    pub back_ends: usize,
}

impl World {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// A port cannot be listened on, or the program does not start.
    pub async fn start(program: &Path, dir: &Path, size: Size) -> eyre::Result<Self> {
        let store = StandInStore::start().await.wrap_err("no store")?;
        let mut world = World {
            store,
            doors: Vec::new(),
            gateways: Vec::new(),
            back_ends: Vec::new(),
            left: Vec::new(),
            version: 0,
            started: 0,
        };
        for _ in 0..size.back_ends {
            for service in ["keyed", "plain"] {
                let back_end = world.start_back_end(service).await?;
                world.back_ends.push(back_end);
            }
        }
        world.configure();
        for number in 0..size.gateways {
            let door = Proxy::start(world.store.address()).await?;
            let store = door.address();
            world.doors.push(door);
            world.gateways.push(Gateway::start(&Setup {
                program,
                dir,
                number,
                store,
            })?);
        }
        Ok(world)
    }

    async fn start_back_end(&mut self, service: &'static str) -> eyre::Result<BackEnd> {
        self.started += 1;
        let id = format!("{service}-{}", self.started);
        let inner = StandInBackEnd::start(&id, service == "keyed").await?;
        let proxy = Proxy::start(inner.address()).await?;
        let back_end = BackEnd {
            inner,
            proxy,
            zone: format!("zone-{}", self.started / 2 % ZONES),
            service,
        };
        self.store.put("servers", &id, back_end.entry("ready"));
        Ok(back_end)
    }

    /// The operator writes the next configuration.
    pub fn configure(&mut self) {
        self.version += 1;
        let wanted = changing_configuration(self.version);
        self.store.put("config", "main", wanted);
    }

    /// A back end says that it is leaving, and another one starts.
    ///
    /// # Errors
    ///
    /// A port cannot be listened on.
    pub async fn replace(&mut self, index: usize) -> eyre::Result<()> {
        let service = self.back_ends[index].service;
        let next = self.start_back_end(service).await?;
        let leaving = std::mem::replace(&mut self.back_ends[index], next);
        let entry = leaving.entry("draining");
        self.store.put("servers", &leaving.inner.id, entry);
        self.left.push(leaving);
        Ok(())
    }

    /// Back ends that have been leaving for a while are gone.
    pub fn forget_left(&self) {
        for left in &self.left {
            if self.store.get("servers", &left.inner.id).is_some() {
                self.store.remove("servers", &left.inner.id);
            }
        }
    }

    /// The operator drains a zone, or restores it.
    pub fn drain_zone(&self, zone: &str, drained: bool) {
        if drained {
            self.store.put("evacuations", zone, json!({}));
        } else {
            self.store.remove("evacuations", zone);
        }
    }

    /// When requests began to run at the back ends of a zone.
    pub fn runs_in(&self, zone: &str) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.left);
        let there = all.filter(|back_end| back_end.zone == zone);
        there
            .flat_map(|back_end| back_end.inner.runs())
            .map(|run| run.at)
            .collect()
    }

    /// How often each request ran, wherever.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for back_end in self.back_ends.iter().chain(&self.left) {
            for run in back_end.inner.runs() {
                *runs.entry(run.id).or_default() += 1;
            }
        }
        runs
    }

    /// Which of the keys looked at each back end holds.
    pub fn held(&self) -> Vec<(String, Vec<u16>)> {
        let all = self.back_ends.iter().chain(&self.left);
        let keyed = all.filter(|back_end| back_end.inner.keyed);
        keyed
            .map(|back_end| (back_end.inner.id.clone(), back_end.inner.held(&looked_at())))
            .collect()
    }
}

impl BackEnd {
    fn entry(&self, state: &str) -> Value {
        self.inner
            .entry_at(self.proxy.address(), &self.zone, self.service, state)
    }
}

/// Keys whose owners are looked at.
pub fn looked_at() -> Vec<u16> {
    (0..=u16::MAX).step_by(512).collect()
}
