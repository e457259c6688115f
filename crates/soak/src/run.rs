//! One soak from its start to its summary.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant, UNIX_EPOCH};

use async_std::task;
use rustix::process::Signal;
use threadledge_net::{HttpClient, StopSignal, timer};
use threadledge_platform_stand_in::Fault as StoreFault;

use crate::caller::{self, History};
use crate::check::{self, Answer, Violation};
use crate::fault::{self, Choice, Fault, Kind};
use crate::proxy::Mode;
use crate::world::{Size, World, looked_at};

/// Time for everything to come up, and to come to rest after the faults.
const CALM: Duration = Duration::from_secs(15);
/// Time between two looks at owners and versions.
const LOOK: Duration = Duration::from_millis(20);
/// Looks between two at the versions of configurations.
const VERSIONS_EACH: u64 = 25;
/// Two owners count when they are seen for so long: the looks at back ends
/// come one after the other.
const OVERLAP: Duration = Duration::from_millis(60);
/// A registration goes when its process has been silent for so long.
const LAPSE: Duration = Duration::from_millis(1_500);
/// A planned stop ends within this.
const GRACE: Duration = Duration::from_secs(6);
/// Lateness of a slow back end.
const LATE: Duration = Duration::from_millis(300);
/// Callers.
const CALLERS: usize = 12;
/// Requests of each kind to each gateway once all is calm again.
const LAST_REQUESTS: usize = 5;

/// What to do.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub dir: PathBuf,
    /// Decides the faults.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// Gateways.
    pub gateways: usize,
    /// Back ends of each service.
    pub back_ends: usize,
    /// Which faults come.
    pub faults: Choice,
    /// Bounds of time are so many times as long, for machines under load.
    pub patience: u32,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Summary {
    /// Faults that were injected.
    pub faults: usize,
    /// Requests by what became of them.
    pub requests: BTreeMap<String, usize>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "faults: {}", self.faults)?;
        for (end, count) in &self.requests {
            writeln!(f, "requests that ended with {end}: {count}")?;
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        write!(f, "violations: {}", self.violations.len())
    }
}

/// Something to undo or to go on with when its time has come.
struct Later {
    due: Instant,
    step: Step,
}

/// What is done later.
#[derive(Debug)]
enum Step {
    /// A fault ends that began at a time from the start of the soak.
    End(Kind, Duration),
    /// Another process serves at the address of a back end that crashed.
    ComeBack { back_end: usize, crashed: String },
    /// The registration of a process that is gone is written.
    RegisterLate(String),
    /// A registration goes.
    Lapse(String),
}

struct Soak {
    world: World,
    start: Instant,
    patience: u32,
    /// What was done to the gateways, beside their logs.
    log: File,
    later: Vec<Later>,
    /// When gateways may have been kept from the store, or from running, as
    /// times from the start.
    troubles: Vec<Range<Duration>>,
    /// Planned stops under way, by gateway.
    stopping: BTreeMap<usize, Instant>,
    /// Versions shown by each gateway and life.
    shown: BTreeMap<(usize, u64), u64>,
    overlaps: BTreeMap<u16, (Instant, Violation)>,
    looks: u64,
    client: HttpClient,
    violations: Vec<Violation>,
}

/// Runs one soak.
///
/// # Errors
///
/// Something cannot be started; what the gateways do wrong is no error but
/// stands in the summary.
pub async fn run(options: &Options) -> eyre::Result<Summary> {
    std::fs::create_dir_all(&options.dir)?;
    let size = Size {
        gateways: options.gateways,
        back_ends: options.back_ends,
    };
    let world = World::start(&options.program, &options.dir, size).await?;
    let mut soak = Soak {
        world,
        start: Instant::now(),
        patience: options.patience,
        log: File::create(options.dir.join("faults.log"))?,
        later: Vec::new(),
        troubles: Vec::new(),
        stopping: BTreeMap::new(),
        shown: BTreeMap::new(),
        overlaps: BTreeMap::new(),
        looks: 0,
        client: caller::client(),
        violations: Vec::new(),
    };
    soak.await_calm("start").await;
    let history = History::default();
    let stop = StopSignal::new();
    let callers = soak.start_callers(options.seed, &history, &stop);
    let faults = fault::plan(
        options.seed,
        options.length,
        options.gateways,
        options.back_ends * 2,
        options.faults,
    );
    soak.play(&faults, options.length).await?;
    soak.mend().await?;
    let mended = Instant::now();
    soak.await_calm("faults").await;
    stop.stop();
    for each in callers {
        each.await;
    }
    soak.last_requests(mended, &history).await;
    Ok(soak.summary(faults.len(), &history))
}

impl Soak {
    fn start_callers(
        &self,
        seed: u64,
        history: &History,
        stop: &StopSignal,
    ) -> Vec<task::JoinHandle<()>> {
        let gateways = self.world.gateways.iter();
        let addresses: Vec<_> = gateways.map(|gateway| gateway.callers).collect();
        (0..CALLERS)
            .map(|number| {
                let to = addresses.clone();
                let (history, stop) = (history.clone(), stop.clone());
                task::spawn(caller::call(number, seed, to, history, stop))
            })
            .collect()
    }

    async fn play(&mut self, faults: &[Fault], length: Duration) -> eyre::Result<()> {
        let start = Instant::now();
        let mut next = faults.iter().peekable();
        while start.elapsed() < length {
            while let Some(fault) = next.next_if(|fault| fault.at <= start.elapsed()) {
                self.inject(fault).await?;
            }
            self.look().await?;
            timer::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Writes down what is done: the time of the machine in seconds, as in the
    /// gateways' logs, and that from the start as in the summary.
    fn note(&mut self, done: &dyn fmt::Debug) -> eyre::Result<()> {
        let machine = UNIX_EPOCH.elapsed()?.as_secs_f64();
        let since = self.since_start().as_secs_f64();
        Ok(writeln!(self.log, "{machine:.3} {since:.3} s: {done:?}")?)
    }

    async fn inject(&mut self, fault: &Fault) -> eyre::Result<()> {
        self.note(fault)?;
        let due = Instant::now() + fault.length;
        let kind = fault.kind;
        match kind {
            Kind::Kill(gw) => self.kill(gw),
            Kind::KillAll => {
                for gw in 0..self.world.gateways.len() {
                    self.kill(gw);
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].signal(Signal::STOP)?,
            Kind::Stop(gw) => {
                // One that was killed cannot be asked.
                if self.world.gateways[gw].runs() && !self.stopping.contains_key(&gw) {
                    // One that stands still cannot stop in time.
                    self.world.gateways[gw].signal(Signal::CONT)?;
                    self.world.gateways[gw].signal(Signal::TERM)?;
                    self.stopping.insert(gw, Instant::now());
                }
            }
            Kind::Reload(gw) => self.world.gateways[gw].signal(Signal::HUP)?,
            Kind::StoreSilent => self.world.store.set_fault(StoreFault::Silent),
            Kind::StoreBusy => self.world.store.set_fault(StoreFault::Busy),
            Kind::StoreLosesAnswers => self.world.store.set_fault(StoreFault::LosesAnswers),
            Kind::StoreForgets => self.world.store.compact(),
            Kind::StoreCut(gw) => self.world.doors[gw].set(Mode::Cut),
            Kind::StoreDeaf(gw) => self.world.doors[gw].set(Mode::Deaf),
            Kind::StoreReset(gw) => self.world.doors[gw].reset(),
            Kind::BackEndReset(be) => self.world.back_ends[be].proxy.reset(),
            Kind::BackEndCut(be) => self.world.back_ends[be].proxy.set(Mode::Cut),
            Kind::BackEndDeaf(be) => self.world.back_ends[be].proxy.set(Mode::Deaf),
            Kind::BackEndSlow(be) => self.world.back_ends[be].proxy.set(Mode::Slow(LATE)),
            Kind::Replace(be) => {
                self.world.forget_left();
                self.world.replace(be).await?;
            }
            Kind::Configure => self.world.configure(),
            Kind::DrainZone(number) => self.world.drain_zone(&zone_name(number), true),
            Kind::BackEndHold {
                back_end,
                ways,
                gateway,
                ..
            } => {
                let process = gateway.map(|gw| self.world.gateways[gw].process());
                // Links of one that does not run cannot be cut.
                if process != Some(None) {
                    let proxy = &self.world.back_ends[back_end].proxy;
                    proxy.hold(ways, process.flatten());
                }
            }
            Kind::StoreHold { gateway, ways, .. } => self.world.doors[gateway].hold(ways, None),
            Kind::BackEndMute(be) => self.world.back_ends[be].proxy.silence(),
            Kind::StoreMute(gw) => self.world.doors[gw].silence(),
            Kind::PeersMute(gw) => self.world.peers.silence(gw),
            Kind::Restart {
                back_end,
                dark,
                lapses,
                late,
            } => self.restart(back_end, dark, lapses, late),
            Kind::Cold(be) => self.world.turn_cold(be, fault.length),
            Kind::LateGrants { back_end, lateness } => {
                let inner = &self.world.back_ends[back_end].inner;
                inner.set_lateness(Some(lateness));
            }
        }
        let began = self.since_start();
        if kind.cuts_off() {
            self.troubles.push(began..began + fault.length + kind.lag());
        }
        self.put_off(due, Step::End(kind, began));
        Ok(())
    }

    fn put_off(&mut self, due: Instant, step: Step) {
        self.later.push(Later { due, step });
    }

    /// A back end crashes, another process takes its address, and the
    /// registration of the dead one is written again before it goes for good.
    fn restart(&mut self, back_end: usize, dark: Duration, lapses: bool, late: Duration) {
        let Some(crashed) = self.world.crash(back_end) else {
            return;
        };
        let back = Instant::now() + dark;
        let written = back + late;
        if lapses {
            self.put_off(back - dark / 2, Step::Lapse(crashed.clone()));
        }
        let come_back = Step::ComeBack {
            back_end,
            crashed: crashed.clone(),
        };
        self.put_off(back, come_back);
        self.put_off(written, Step::RegisterLate(crashed.clone()));
        self.put_off(written + LAPSE, Step::Lapse(crashed));
    }

    fn kill(&mut self, gw: usize) {
        self.stopping.remove(&gw);
        self.world.gateways[gw].kill();
    }

    /// Does what is due, in the order in which it was.
    async fn do_due(&mut self, now: Option<Instant>) -> eyre::Result<()> {
        let is_due = |later: &Later| now.is_none_or(|now| later.due <= now);
        let (mut due, later): (Vec<Later>, Vec<Later>) = self.later.drain(..).partition(is_due);
        self.later = later;
        due.sort_by_key(|later| later.due);
        for each in due {
            self.note(&each.step)?;
            match each.step {
                Step::End(kind, began) => self.end(kind, began)?,
                Step::ComeBack { back_end, crashed } => {
                    self.world.come_back(back_end, &crashed).await?;
                }
                Step::RegisterLate(id) => self.world.register_late(&id),
                Step::Lapse(id) => self.world.lapse(&id),
            }
        }
        Ok(())
    }

    fn end(&mut self, kind: Kind, began: Duration) -> eyre::Result<()> {
        match kind {
            Kind::Kill(gw) => self.world.gateways[gw].begin()?,
            Kind::KillAll => {
                for gateway in &mut self.world.gateways {
                    gateway.begin()?;
                }
            }
            Kind::Pause(gw) => self.world.gateways[gw].signal(Signal::CONT)?,
            Kind::StoreSilent | Kind::StoreBusy | Kind::StoreLosesAnswers => {
                self.world.store.set_fault(StoreFault::None);
            }
            Kind::StoreCut(gw) | Kind::StoreDeaf(gw) => self.world.doors[gw].set(Mode::Sound),
            Kind::BackEndCut(be) | Kind::BackEndDeaf(be) | Kind::BackEndSlow(be) => {
                self.world.back_ends[be].proxy.set(Mode::Sound);
            }
            Kind::DrainZone(number) => self.restore_zone(&zone_name(number), began),
            Kind::BackEndHold { back_end, lag, .. } => {
                self.world.back_ends[back_end].proxy.heal(lag);
            }
            Kind::StoreHold { gateway, lag, .. } => self.world.doors[gateway].heal(lag),
            Kind::Cold(be) => self.world.turn_cold(be, Duration::ZERO),
            Kind::LateGrants { back_end, .. } => {
                self.world.back_ends[back_end].inner.set_lateness(None);
            }
            _ => {}
        }
        Ok(())
    }

    /// Restores a zone and looks at what ran there while it was drained.
    fn restore_zone(&mut self, zone: &str, drained: Duration) {
        let restored = self.since_start();
        self.world.drain_zone(zone, false);
        let runs = self.world.runs_in(zone).into_iter();
        let runs: Vec<Duration> = runs
            .map(|at| at.saturating_duration_since(self.start))
            .collect();
        let requests =
            check::runs_after_drain(&runs, &(drained..restored), &self.troubles, self.patience);
        if requests > 0 {
            let zone = zone.to_owned();
            self.violations
                .push(Violation::SentToDrained { zone, requests });
        }
    }

    fn since_start(&self) -> Duration {
        self.start.elapsed()
    }

    /// Ends every fault.
    async fn mend(&mut self) -> eyre::Result<()> {
        self.do_due(None).await?;
        self.world.mend_back_ends();
        self.world.forget_left();
        Ok(())
    }

    /// Looks at everything once.
    async fn look(&mut self) -> eyre::Result<()> {
        let now = Instant::now();
        self.do_due(Some(now)).await?;
        self.look_at_processes(now)?;
        self.look_at_owners(now);
        self.looks += 1;
        if self.looks.is_multiple_of(VERSIONS_EACH) {
            self.look_at_versions().await;
        }
        Ok(())
    }

    fn look_at_processes(&mut self, now: Instant) -> eyre::Result<()> {
        let grace = GRACE * self.patience;
        for (number, gateway) in self.world.gateways.iter_mut().enumerate() {
            let asked = self.stopping.get(&number).copied();
            let Some(status) = gateway.ended() else {
                if asked.is_some_and(|asked| now > asked + grace) {
                    self.stopping.remove(&number);
                    let problem = "it goes on after the grace time".to_owned();
                    self.violations.push(stop_cut(number, problem));
                    gateway.kill();
                    gateway.begin()?;
                }
                continue;
            };
            self.stopping.remove(&number);
            if !status.success() || asked.is_none() {
                let problem = format!("it ended by itself with {status}");
                self.violations.push(stop_cut(number, problem));
            }
            gateway.begin()?;
        }
        Ok(())
    }

    /// Owners that two looks in a row find beside each other count.
    fn look_at_owners(&mut self, now: Instant) {
        let mut seen = BTreeMap::new();
        let overlap = OVERLAP * self.patience;
        for violation in check::owners(&self.world.held()) {
            let Violation::TwoOwners { key, .. } = violation else {
                continue;
            };
            let since = self.overlaps.get(&key).map_or(now, |(since, _)| *since);
            if now.duration_since(since) >= overlap && !self.violations.contains(&violation) {
                self.violations.push(violation.clone());
            }
            seen.insert(key, (since, violation));
        }
        self.overlaps = seen;
    }

    async fn look_at_versions(&mut self) {
        for number in 0..self.world.gateways.len() {
            let gateway = &self.world.gateways[number];
            let (life, address) = (gateway.life, gateway.readiness);
            let Some(version) = shown_version(&self.client, address).await else {
                continue;
            };
            let before = self.shown.entry((number, life)).or_default();
            if version < *before {
                let versions = [*before, version];
                let gateway = number;
                self.violations
                    .push(Violation::WentBack { gateway, versions });
            }
            *before = version.max(*before);
        }
    }

    /// Waits until every gateway shows the newest configuration and every key
    /// is held.
    async fn await_calm(&mut self, after: &str) {
        let start = Instant::now();
        let calm = CALM * self.patience;
        loop {
            if let Err(error) = self.look().await {
                let problem = error.to_string();
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            let Some(problem) = self.unrest().await else {
                return;
            };
            if start.elapsed() > calm {
                let problem = format!("{problem} {calm:?} after the {after}");
                self.violations.push(Violation::NotRecovered { problem });
                return;
            }
            timer::sleep(LOOK * 5).await;
        }
    }

    async fn unrest(&self) -> Option<String> {
        // It answers until it ends, and is started again by a look.
        if let Some(number) = self.stopping.keys().next() {
            return Some(format!("gateway {number} is stopping"));
        }
        for (number, gateway) in self.world.gateways.iter().enumerate() {
            let shown = shown_version(&self.client, gateway.readiness).await;
            if shown != Some(self.world.version) {
                let wanted = self.world.version;
                return Some(format!(
                    "gateway {number} shows {shown:?} instead of {wanted}"
                ));
            }
        }
        let held: usize = self.world.held().iter().map(|(_, keys)| keys.len()).sum();
        let wanted = looked_at().len();
        (held != wanted).then(|| format!("{held} of {wanted} keys are held"))
    }

    /// Every gateway serves everything again, soon after the last fault.
    async fn last_requests(&mut self, mended: Instant, history: &History) {
        for number in 0..self.world.gateways.len() {
            for kind in caller::Kind::ALL {
                for each in 0..LAST_REQUESTS {
                    let served = self.last_request(number, kind, each, mended, history);
                    if let Err(problem) = served.await {
                        self.violations.push(Violation::NotRecovered { problem });
                    }
                }
            }
        }
    }

    async fn last_request(
        &self,
        number: usize,
        kind: caller::Kind,
        each: usize,
        mended: Instant,
        history: &History,
    ) -> Result<(), String> {
        let to = self.world.gateways[number].callers;
        let key = u16::try_from(each * 9_001).unwrap_or_default();
        for attempt in 0.. {
            let id = format!("last-{number}-{kind:?}-{each}-{attempt}");
            let seen = caller::ask(&self.client, to, kind, &id, key).await;
            let answer = seen.answer.clone();
            history.lock().push(seen);
            if matches!(answer, Answer::Whole { status: 200, .. }) {
                return Ok(());
            }
            if mended.elapsed() > CALM * self.patience {
                return Err(format!("{id} ended with {answer:?}"));
            }
            timer::sleep(LOOK * 5).await;
        }
        Ok(())
    }

    fn summary(mut self, faults: usize, history: &History) -> Summary {
        let seen = history.lock();
        let found = check::requests(&seen, &self.world.runs());
        self.violations.extend(found);
        let found = self
            .world
            .judge_ownership(self.start, OVERLAP * self.patience);
        self.violations.extend(found);
        let mut requests = BTreeMap::new();
        for each in seen.iter() {
            let end = match &each.answer {
                Answer::Whole { status, .. } => status.to_string(),
                Answer::None => "no answer".to_owned(),
            };
            *requests.entry(end).or_default() += 1;
        }
        Summary {
            faults,
            requests,
            violations: self.violations,
        }
    }
}

fn stop_cut(gateway: usize, problem: String) -> Violation {
    Violation::StopCut { gateway, problem }
}

/// The version of the configuration that a gateway says is in force.
async fn shown_version(client: &HttpClient, address: std::net::SocketAddr) -> Option<u64> {
    const METRIC: &str = "threadledge_gateway_configuration_version ";
    let request = http::Request::get("/metrics").body(Vec::new()).ok()?;
    let timeout = Duration::from_millis(300);
    let answer = client.send(address, request, timeout).await.ok()?;
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(METRIC))?;
    line.trim().parse().ok()
}

fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}
