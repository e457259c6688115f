//! Runs one soak from its start to its summary.

mod checks;
mod faults;

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
use crate::fault::{self, Fault, FaultSet, Kind};
use crate::pipelined;
use crate::regions;
use crate::world::{SERVICES, Size, World};

/// Time for everything to come up, and to recover after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of owners.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Checks of owners for each check of the configuration versions.
const CHECKS_PER_VERSION_CHECK: u64 = 25;
/// Time for which two owners must be observed before they count: the back ends
/// are queried one after the other.
const MIN_OVERLAP: Duration = Duration::from_millis(60);
/// A registration expires when its process has been silent for this long.
const REGISTRATION_TTL: Duration = Duration::from_millis(1_500);
/// A planned stop must end within this time.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay added by a slow back end.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Number of callers that send one request at a time.
const CALLERS: usize = 12;
/// Number of further callers, if back ends send answers twice: their requests
/// are repeated at the one owner of their key, and only after a rejection.
const UNSAFE_KEYED_CALLERS: usize = 8;
/// The same if there are two regions with tens of owners of keys.
const PATIENT_KEYED_CALLERS: usize = 60;
/// Requests of each kind to each gateway after recovery.
const FINAL_REQUESTS: usize = 5;

/// Options of one soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway program.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
    /// Seed that decides the faults.
    pub seed: u64,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of back ends of each service.
    pub back_ends: usize,
    /// Selection of the faults to inject.
    pub faults: FaultSet,
    /// Callers send requests that crash the back ends that run them.
    pub crashing_requests: bool,
    /// Back ends restart under the ids that they had.
    pub reuse_ids: bool,
    /// Two of three back ends leave the ids of requests out of rejections.
    pub omitted_ids: bool,
    /// Factor for all time limits, for machines under load.
    pub time_factor: u32,
    /// Rate of the link between two regions in Mbit/s, if there are regions.
    pub link_mbps: Option<u32>,
    /// Some gateways get the processor only for a part of the time.
    pub slow_gateways: bool,
    /// Back ends read slowly at times; only if there are regions.
    pub slow_readers: bool,
}

impl Options {
    /// Returns the faults to inject, ordered by start time.
    pub fn plan(&self) -> Vec<Fault> {
        let (seed, length, gateways) = (self.seed, self.length, self.gateways);
        let back_ends = self.back_end_count();
        let mut faults = fault::plan(seed, length, gateways, back_ends, self.faults);
        if self.slow_gateways {
            faults.extend(fault::plan_slow_gateways(seed, length, gateways));
        }
        if self.slow_readers {
            let keyed = back_ends - regions::PLAIN_COUNT;
            faults.extend(fault::plan_slow_readers(seed, length, keyed, back_ends));
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }

    /// Number of back ends of all services.
    pub fn back_end_count(&self) -> usize {
        match self.link_mbps {
            Some(_) => regions::keyed_count(self.back_ends) + regions::PLAIN_COUNT,
            None => self.back_ends * SERVICES.len(),
        }
    }
}

/// Result of one soak.
#[derive(Debug, Default)]
pub struct Summary {
    /// Number of faults injected.
    pub faults: usize,
    /// Number of answers that back ends sent twice.
    pub doubled_answers: u64,
    /// Number of requests by their result.
    pub requests: BTreeMap<String, usize>,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "faults: {}", self.faults)?;
        if self.doubled_answers > 0 {
            writeln!(f, "answers sent twice: {}", self.doubled_answers)?;
        }
        for (end, count) in &self.requests {
            writeln!(f, "requests that ended with {end}: {count}")?;
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        write!(f, "violations: {}", self.violations.len())
    }
}

/// A step that is run at a later time.
struct ScheduledStep {
    due: Instant,
    step: Step,
}

/// A delayed part of a fault, written to the log of faults under these names.
#[derive(Debug)]
enum Step {
    /// Ends a fault that began at this time since the start of the soak.
    End(Kind, Duration),
    /// Starts another process at the address of a back end that crashed.
    ComeBack { back_end: usize, crashed: String },
    /// Writes again the registration of a process that has ended.
    RegisterLate(String),
    /// Removes a registration.
    Lapse(String),
    /// Ends the process of a back end that has left.
    EndLeft(String),
    /// Starts a back end of another service at the address of one that ended.
    Reuse(String),
}

/// State of a running soak.
struct Soak {
    world: World,
    start: Instant,
    time_factor: u32,
    /// Log of the injected faults, next to the logs of the gateways.
    log: File,
    scheduled: Vec<ScheduledStep>,
    /// Periods, since the start of the soak, in which gateways may have been
    /// unable to reach the store or to run.
    disturbances: Vec<Range<Duration>>,
    /// Planned stops in progress, by gateway.
    stopping: BTreeMap<usize, Instant>,
    /// Highest configuration version shown by each gateway and incarnation.
    shown_versions: BTreeMap<(usize, u64), u64>,
    /// Crashed incarnations of back ends whose restart has been scheduled.
    restarting: BTreeSet<String>,
    /// Backpressure episodes, each with the time since the start of the soak at
    /// which it began.
    episodes: Vec<(Duration, Episode)>,
    /// Gateways that were killed, with the time.
    kills: Vec<(usize, Instant)>,
    /// Keys with two owners in the last check, each with the start of the
    /// overlap.
    overlaps: BTreeMap<u16, (Instant, Violation)>,
    /// Number of checks so far.
    check_count: u64,
    client: HttpClient,
    violations: Vec<Violation>,
}

/// Runs one soak.
///
/// # Errors
///
/// Fails if something cannot be started. Violations by the gateways are not
/// errors; they are listed in the summary.
pub async fn run(options: &Options) -> eyre::Result<Summary> {
    std::fs::create_dir_all(&options.dir)?;
    let size = Size {
        gateways: options.gateways,
        back_ends: options.back_ends,
        crashing_requests: options.crashing_requests,
        reuse_ids: options.reuse_ids,
        doubled_answers: matches!(options.faults, FaultSet::Doubled | FaultSet::Regions),
        omitted_ids: options.omitted_ids,
        link_mbps: options.link_mbps,
    };
    let world = World::start(&options.program, &options.dir, size).await?;
    let mut soak = Soak {
        world,
        start: Instant::now(),
        time_factor: options.time_factor,
        log: File::create(options.dir.join("faults.log"))?,
        scheduled: Vec::new(),
        disturbances: Vec::new(),
        stopping: BTreeMap::new(),
        shown_versions: BTreeMap::new(),
        restarting: BTreeSet::new(),
        episodes: Vec::new(),
        kills: Vec::new(),
        overlaps: BTreeMap::new(),
        check_count: 0,
        client: caller::client(),
        violations: Vec::new(),
    };
    soak.await_recovery("start").await;
    let history = History::default();
    let stop = StopSignal::new();
    let callers = soak.start_callers(options, &history, &stop);
    let faults = options.plan();
    let stop_crashing = StopSignal::new();
    let crashing_callers = soak.start_crashing(options, &stop_crashing);
    soak.run_faults(&faults, options.length).await?;
    stop_crashing.stop();
    for each in crashing_callers {
        each.await;
    }
    soak.end_all_faults().await?;
    let faults_ended_at = Instant::now();
    soak.await_recovery("faults").await;
    stop.stop();
    for each in callers {
        each.await;
    }
    soak.send_final_requests(faults_ended_at, &history).await;
    let key_log = options.dir.join("keys.log");
    soak.world.write_key_log(&key_log, soak.start)?;
    Ok(soak.summary(faults.len(), &history))
}

impl Soak {
    fn start_callers(
        &self,
        options: &Options,
        history: &History,
        stop: &StopSignal,
    ) -> Vec<task::JoinHandle<()>> {
        let seed = options.seed;
        let gateways = self.world.gateways.iter();
        let addresses: Vec<_> = gateways.map(|gateway| gateway.callers).collect();
        let (keyed_callers, keyed_kind) = match options.faults {
            FaultSet::Doubled => (UNSAFE_KEYED_CALLERS, caller::Kind::UnsafeKeyed),
            FaultSet::Regions => (PATIENT_KEYED_CALLERS, caller::Kind::PatientKeyed),
            _ => (0, caller::Kind::UnsafeKeyed),
        };
        let sequential = (0..CALLERS + keyed_callers).map(|number| {
            let (history, stop) = (history.clone(), stop.clone());
            let kinds = match number < CALLERS {
                true => caller::Kind::ALL.to_vec(),
                false => vec![keyed_kind],
            };
            task::spawn(caller::run_caller(
                number,
                seed,
                kinds,
                addresses.clone(),
                history,
                stop,
            ))
        });
        let pipelined = (0..pipelined::CALLERS).map(|number| {
            let (history, stop) = (history.clone(), stop.clone());
            task::spawn(pipelined::run_pipelined_caller(
                number,
                seed,
                addresses.clone(),
                history,
                stop,
            ))
        });
        sequential.chain(pipelined).collect()
    }

    fn start_crashing(&self, options: &Options, stop: &StopSignal) -> Vec<task::JoinHandle<()>> {
        let gateways = self.world.gateways.iter();
        let addresses: Vec<_> = gateways.map(|gateway| gateway.callers).collect();
        let kinds = crashing::KINDS.iter().filter(|_| options.crashing_requests);
        let start = |kind: &caller::Kind| {
            let call =
                crashing::run_crashing_caller(*kind, options.seed, addresses.clone(), stop.clone());
            task::spawn(call)
        };
        kinds.map(start).collect()
    }

    async fn run_faults(&mut self, faults: &[Fault], length: Duration) -> eyre::Result<()> {
        let start = Instant::now();
        let mut next = faults.iter().peekable();
        while start.elapsed() < length {
            while let Some(fault) = next.next_if(|fault| fault.at <= start.elapsed()) {
                self.inject(fault).await?;
            }
            self.run_checks().await?;
            timer::sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    fn summary(mut self, faults: usize, history: &History) -> Summary {
        let records = history.lock();
        let found = check::check_requests(&records, &self.world.runs());
        self.violations.extend(found);
        self.violations.extend(self.world.check_tenants());
        let found = self
            .world
            .check_ownership(self.start, MIN_OVERLAP * self.time_factor);
        self.violations.extend(found);
        for (_, episode) in &self.episodes {
            let found = episode.check(self.start, &self.kills, self.time_factor);
            self.violations.extend(found);
        }
        for kind in crashing::KINDS {
            let runs = self.world.crashing_run_times(kind).into_iter();
            let runs = runs.map(|at| at.saturating_duration_since(self.start));
            let found = crashing::check_runs(kind, runs.collect(), self.time_factor);
            self.violations.extend(found);
        }
        let mut requests = BTreeMap::new();
        for each in records.iter() {
            let result = match &each.answer {
                Answer::Whole { status, .. } => status.to_string(),
                Answer::None => "no answer".to_owned(),
            };
            *requests.entry(result).or_default() += 1;
        }
        Summary {
            faults,
            doubled_answers: self.world.doubled_answers(),
            requests,
            violations: self.violations,
        }
    }
}

fn stop_failed(gateway: usize, problem: String) -> Violation {
    Violation::StopFailed { gateway, problem }
}

/// Returns the version of the configuration that a gateway reports as in force.
async fn fetch_shown_version(client: &HttpClient, address: std::net::SocketAddr) -> Option<u64> {
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
