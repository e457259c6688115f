//! One soak from its start to its summary.

mod inject;
mod look;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::File;
use std::ops::Range;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::task;
use threadledge_net::{HttpClient, StopSignal, timer};

use crate::backpressure::Episode;
use crate::caller::{self, History};
use crate::check::{self, Answer, Violation};
use crate::crashing;
use crate::fault::{self, Choice, Fault, Kind};
use crate::pipelined;
use crate::world::{Size, World};

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
    /// Callers send requests that end the back ends that run them.
    pub crashing: bool,
    /// Back ends come back under the ids that they had.
    pub lives: bool,
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
    /// Back ends that crashed and come back.
    away: BTreeSet<String>,
    /// What back ends said, by when they began to.
    episodes: Vec<(Duration, Episode)>,
    /// Gateways that were killed.
    kills: Vec<(usize, Instant)>,
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
        crashing: options.crashing,
        lives: options.lives,
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
        away: BTreeSet::new(),
        episodes: Vec::new(),
        kills: Vec::new(),
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
    let crashed = StopSignal::new();
    let crashing = soak.start_crashing(options, &crashed);
    soak.play(&faults, options.length).await?;
    crashed.stop();
    for each in crashing {
        each.await;
    }
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
        let one_by_one = (0..CALLERS).map(|number| {
            let (history, stop) = (history.clone(), stop.clone());
            task::spawn(caller::call(number, seed, addresses.clone(), history, stop))
        });
        let ahead = (0..pipelined::CALLERS).map(|number| {
            let (history, stop) = (history.clone(), stop.clone());
            task::spawn(pipelined::call(
                number,
                seed,
                addresses.clone(),
                history,
                stop,
            ))
        });
        one_by_one.chain(ahead).collect()
    }

    fn start_crashing(&self, options: &Options, stop: &StopSignal) -> Vec<task::JoinHandle<()>> {
        let gateways = self.world.gateways.iter();
        let addresses: Vec<_> = gateways.map(|gateway| gateway.callers).collect();
        let kinds = crashing::KINDS.iter().filter(|_| options.crashing);
        let start = |kind: &caller::Kind| {
            let call = crashing::call(*kind, options.seed, addresses.clone(), stop.clone());
            task::spawn(call)
        };
        kinds.map(start).collect()
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

    fn summary(mut self, faults: usize, history: &History) -> Summary {
        let seen = history.lock();
        let found = check::requests(&seen, &self.world.runs());
        self.violations.extend(found);
        self.violations.extend(self.world.judge_tenants());
        let found = self
            .world
            .judge_ownership(self.start, OVERLAP * self.patience);
        self.violations.extend(found);
        for (_, episode) in &self.episodes {
            let found = episode.judge(self.start, &self.kills, self.patience);
            self.violations.extend(found);
        }
        for kind in crashing::KINDS {
            let runs = self.world.crashing_runs(kind).into_iter();
            let runs = runs.map(|at| at.saturating_duration_since(self.start));
            let found = crashing::judge(kind, runs.collect(), self.patience);
            self.violations.extend(found);
        }
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
