//! The gateways of one soak and everything around them.

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
use crate::ownership::{self, Begun, Change};
use crate::peers::{self, PeerLinks};
use crate::process::{Gateway, Setup};
use crate::proxy::{Mode, Proxy};
use crate::tenants;

/// Zones of back ends and gateways.
pub const ZONES: usize = 2;

/// Longest work on a keyed request: longer than an order takes.
const WORK: Duration = Duration::from_millis(200);

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
    /// Between gateways.
    pub peers: PeerLinks,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// The back ends.
    pub back_ends: Vec<BackEnd>,
    /// Back ends that were replaced.
    pub left: Vec<BackEnd>,
    /// Version of the configuration that the operator wrote last.
    pub version: u64,
    started: usize,
    /// Some requests end the back ends that run them.
    crashing: bool,
    /// Back ends come back under the ids that they had.
    lives: bool,
}

/// How many there are of what.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Back ends of each service.
    pub back_ends: usize,
    /// Some requests end the back ends that run them.
    pub crashing: bool,
    /// Back ends come back under the ids that they had.
    pub lives: bool,
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
            peers: PeerLinks::start(size.gateways).await?,
            gateways: Vec::new(),
            back_ends: Vec::new(),
            left: Vec::new(),
            version: 0,
            started: 0,
            crashing: size.crashing,
            lives: size.lives,
        };
        for _ in 0..size.back_ends {
            for service in ["keyed", "plain"] {
                let back_end = world.start_back_end(service).await?;
                world.back_ends.push(back_end);
            }
        }
        world.configure();
        for number in 0..size.gateways {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let wording = peers::to_store(number, size.gateways);
            let door = Proxy::start_at(any, world.store.address(), wording).await?;
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

    /// Starts a back end, under `id` if it had one before.
    async fn start_inner(
        &mut self,
        service: &'static str,
        id: Option<String>,
    ) -> eyre::Result<StandInBackEnd> {
        self.started += 1;
        let id = id.unwrap_or_else(|| format!("{service}-{}", self.started));
        let started = self.lives.then_some(self.started as u64);
        let inner = StandInBackEnd::start_incarnation(&id, started, service == "keyed").await?;
        inner.set_max_work(WORK);
        if self.crashing {
            inner.set_crash_trigger(crashing::crashing(inner.keyed));
        }
        Ok(inner)
    }

    async fn start_back_end(&mut self, service: &'static str) -> eyre::Result<BackEnd> {
        let inner = self.start_inner(service, None).await?;
        let proxy = Proxy::start(inner.address()).await?;
        let back_end = BackEnd {
            inner,
            proxy,
            zone: format!("zone-{}", self.started / 2 % ZONES),
            service,
        };
        self.register(&back_end, "ready");
        Ok(back_end)
    }

    fn register(&self, back_end: &BackEnd, state: &str) {
        let entry = back_end.entry(state);
        self.store.put("servers", &back_end.inner.id, entry);
    }

    /// The registration of a process that is gone is written, again or late.
    pub fn register_late(&self, life: &str) {
        let Some(left) = self
            .left
            .iter()
            .find(|left| left.inner.incarnation() == life)
        else {
            return;
        };
        self.register(left, "ready");
        // Where another life has its id, that one goes on registering.
        let mut back_ends = self.back_ends.iter();
        if let Some(next) = back_ends.find(|next| next.inner.id == left.inner.id) {
            self.register(next, "ready");
        }
    }

    /// A registration that nobody renews goes.
    pub fn lapse(&self, life: &str) {
        let all = self.back_ends.iter().chain(&self.left);
        let Some(gone) = all.clone().find(|each| each.inner.incarnation() == life) else {
            return;
        };
        let id = gone.inner.id.as_str();
        let renewed = |each: &BackEnd| each.inner.id == id && !each.inner.has_crashed();
        let another = self.lives && all.clone().any(renewed);
        if !another && self.store.get("servers", id).is_some() {
            self.store.remove("servers", id);
        }
    }

    /// A back end crashes. Which of its lives, unless it had ended before.
    pub fn crash(&self, index: usize) -> Option<String> {
        let inner = &self.back_ends[index].inner;
        if inner.has_crashed() {
            return None;
        }
        inner.crash();
        Some(inner.incarnation())
    }

    /// Another process serves at the address of the one that crashed, unless
    /// the operator has replaced that one meanwhile.
    ///
    /// # Errors
    ///
    /// A port cannot be listened on.
    pub async fn come_back(&mut self, index: usize, crashed: &str) -> eyre::Result<()> {
        let before = &self.back_ends[index];
        if before.inner.incarnation() != crashed {
            return Ok(());
        }
        let (proxy, zone, service) = (before.proxy.clone(), before.zone.clone(), before.service);
        let id = self.lives.then(|| before.inner.id.clone());
        let inner = self.start_inner(service, id).await?;
        proxy.lead_to(inner.address());
        let next = BackEnd {
            inner,
            proxy,
            zone,
            service,
        };
        self.register(&next, "ready");
        let dead = std::mem::replace(&mut self.back_ends[index], next);
        self.left.push(dead);
        Ok(())
    }

    /// A back end that runs says how long it stays slow.
    pub fn turn_cold(&self, index: usize, remaining: Duration) {
        let back_end = &self.back_ends[index];
        if !back_end.inner.has_crashed() {
            let entry = StandInBackEnd::with_cold_remaining(back_end.entry("ready"), remaining);
            self.store.put("servers", &back_end.inner.id, entry);
        }
    }

    /// Every back end and every link to one works again.
    pub fn mend_back_ends(&self) {
        for back_end in self.back_ends.iter().chain(&self.left) {
            back_end.proxy.set(Mode::Sound);
            back_end.proxy.heal(Duration::ZERO);
            back_end.inner.set_grant_delay(None);
        }
    }

    /// Judges who held which keys when, in times from `start`.
    pub fn judge_ownership(&self, start: Instant, tolerance: Duration) -> Vec<Violation> {
        let inners = self.back_ends.iter().chain(&self.left);
        let inners: Vec<(String, &StandInBackEnd)> = inners
            .map(|back_end| (back_end.inner.incarnation(), &back_end.inner))
            .collect();
        let mut changes = Vec::new();
        let mut begun = Vec::new();
        for (life, inner) in &inners {
            let back_end = life.as_str();
            let since = |at: Instant| at.saturating_duration_since(start);
            changes.extend(inner.key_events().iter().map(|event| Change {
                back_end,
                at: since(event.at),
                what: event.change,
            }));
            let keyed = inner.runs();
            let keyed = keyed.iter().filter_map(|run| Some((run, run.key?)));
            begun.extend(keyed.map(|(run, key)| Begun {
                back_end,
                at: since(run.at),
                until: run.until.map(since),
                key,
            }));
        }
        ownership::judge(&changes, &begun, tolerance)
    }

    /// The operator writes the next configuration.
    pub fn configure(&mut self) {
        self.version += 1;
        let wanted = tenants::configuration(self.version);
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
        if !leaving.inner.has_crashed() {
            self.register(&leaving, "draining");
        }
        self.left.push(leaving);
        Ok(())
    }

    /// Back ends that have been leaving for a while are gone.
    pub fn forget_left(&self) {
        for left in &self.left {
            self.lapse(&left.inner.incarnation());
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

    /// When the request of a kind that crashes back ends began to run.
    pub fn crashing_runs(&self, kind: Kind) -> Vec<Instant> {
        let all = self.back_ends.iter().chain(&self.left);
        let runs = all.flat_map(|back_end| back_end.inner.runs());
        runs.filter(|run| crashing::is_one(kind, &run.target))
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

    /// What back ends were told of the callers of what they ran.
    pub fn judge_tenants(&self) -> Vec<Violation> {
        let all = self.back_ends.iter().chain(&self.left);
        let found = all.map(|back_end| tenants::check(&back_end.inner.runs()));
        found.flatten().collect()
    }

    /// Which of the keys looked at each back end holds.
    pub fn held(&self) -> Vec<(String, Vec<u16>)> {
        let all = self.back_ends.iter().chain(&self.left);
        let keyed = all.filter(|back_end| back_end.inner.keyed);
        keyed
            .map(|back_end| {
                (
                    back_end.inner.incarnation(),
                    back_end.inner.held(&looked_at()),
                )
            })
            .collect()
    }
}

impl BackEnd {
    fn entry(&self, state: &str) -> Value {
        self.inner
            .registration_at(self.proxy.address(), &self.zone, self.service, state)
    }
}

/// Keys whose owners are looked at.
pub fn looked_at() -> Vec<u16> {
    (0..=u16::MAX).step_by(512).collect()
}
