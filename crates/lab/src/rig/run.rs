//! One run of one experiment, from its start to its report.

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use threadledge_types::{ServiceId, Timestamp};

use super::callers::{caller_settings, imitated};
use super::deployment::{Deployment, DeploymentError};
use super::faults::Timeline;
use super::plan::{Plan, service_load};
use super::processes::Processes;
use super::progress::Progress;
use super::sides::Sides;
use super::summary::{RunFacts, summarise};
use super::watch::Watch;
use crate::baseline::BaselineKind;
use crate::clock;
use crate::experiment::Experiment;
use crate::history::Event;
use crate::load::TrafficSettings;
use crate::report::Report;

/// Longest time until every router serves.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time between the start of the callers and their first request.
const CALLER_START: Duration = Duration::from_millis(700);
/// Longest time that callers may need after the last request, on top of
/// their patience.
const CALLER_END_MARGIN: Duration = Duration::from_secs(5);
/// Name of the file with all events, kept together with the logs.
const HISTORY_FILE: &str = "history.jsonl";
/// Interval between two readings of the routers' processor time.
const CPU_INTERVAL: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(10);

/// Choices of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// Seed of arrivals, keys and service times.
    pub seed: u64,
    /// Keep the logs of all processes even when the run passes.
    pub keep_logs: bool,
    /// Baselines that run beside the product.
    pub baselines: Vec<BaselineKind>,
}

/// A run did not come to its report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The deployment cannot be used.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// Something of the machine failed.
    #[error("the run could not be carried out ({0}); check free memory, processes and ports")]
    Machine(#[from] io::Error),
    /// A child ended or never served.
    #[error("{name} did not begin to serve; its log is {log}")]
    Child {
        /// The child.
        name: String,
        /// Its log.
        log: PathBuf,
    },
    /// The experiment names something that the deployment lacks.
    #[error("{what} is not in the deployment; correct the experiment or the load file")]
    Unknown {
        /// What is missing.
        what: String,
    },
    /// The routers never served.
    #[error(
        "not every router served within {} s; their logs are in {logs}",
        READY_LIMIT.as_secs()
    )]
    NotReady {
        /// Directory of the logs.
        logs: PathBuf,
    },
}

/// Runs an experiment.
///
/// # Errors
///
/// The run could not be carried out; a run that breaches a guarantee or a
/// bound is no error but says so in its report.
pub fn run(experiment: &Experiment, options: &RunOptions) -> Result<Report, RunError> {
    let deployment = Deployment::read(&experiment.deployments)?;
    check_names(experiment, &deployment)?;
    let plan = Plan::new(experiment, deployment, options.seed)?;
    let directory = log_directory(&experiment.name)?;
    let mut sides = Sides::start(experiment, &plan, &options.baselines, &directory)?;
    let traffic: Vec<TrafficSettings> = experiment
        .loads
        .iter()
        .flat_map(|load| load.traffic.clone())
        .collect();
    let started = clock::now();
    let watch = Watch::start(&sides.product.routers, &traffic);
    let services: Vec<ServiceId> = plan.deployment.services.keys().cloned().collect();
    wait_until_ready(&mut sides.product, &watch, &services, started, &directory)?;
    let ready_ms = clock::now().since(started).as_millis() as u64;
    eprintln!("every router serves after {ready_ms} ms");

    let begin = clock::now() + CALLER_START;
    let settings = caller_settings(experiment, &plan, options.seed, begin);
    sides.start_callers(&settings)?;
    let mut events = under_load(experiment, &plan, &mut sides, &watch, begin);
    events.extend(watch.finish());
    let (product, baselines) = sides.finish();
    events.extend(product.events);
    if options.keep_logs {
        write_history(&directory, &events)?;
    }
    let facts = RunFacts {
        deployments: plan.deployment.names.clone(),
        seed: options.seed,
        begin,
        ready_ms,
        members: plan.deployment.member_counts(),
        imitated: imitated(&plan),
        cpu_seconds: product.cpu_seconds,
    };
    let report = summarise(experiment, facts, events, baselines);
    if report.passed() && !options.keep_logs {
        // Logs of a run that passed are of no more use.
        let _ = fs::remove_dir_all(&directory);
    } else {
        eprintln!("logs are in {}", directory.display());
    }
    Ok(report)
}

/// Carries out the faults until the callers are done.
fn under_load(
    experiment: &Experiment,
    plan: &Plan,
    sides: &mut Sides,
    watch: &Watch,
    begin: Timestamp,
) -> Vec<Event> {
    let mut timeline = Timeline::new(&experiment.faults, begin, plan);
    let mut cpu_read = Timestamp::ZERO;
    let mut progress = Progress::new(begin, experiment.duration);
    let loads = experiment.loads.iter();
    let patience_ms = loads
        .flat_map(|load| &load.traffic)
        .map(|traffic| traffic.patience_ms)
        .max();
    let patience = Duration::from_millis(patience_ms.unwrap_or(0));
    let limit = begin + experiment.duration + patience + CALLER_END_MARGIN;
    while clock::now() < limit {
        if clock::now().since(cpu_read) >= CPU_INTERVAL {
            cpu_read = clock::now();
            sides.observe();
        }
        timeline.advance(sides, watch);
        progress.tell(&sides.product.callers);
        if sides.are_done() {
            break;
        }
        std::thread::sleep(TICK);
    }
    progress.end();
    timeline.finish()
}

fn wait_until_ready(
    processes: &mut Processes,
    watch: &Watch,
    services: &[ServiceId],
    started: Timestamp,
    logs: &std::path::Path,
) -> Result<(), RunError> {
    while !watch.all_serve(services) {
        for router in &mut processes.routers {
            if router.child.has_ended() {
                return Err(RunError::Child {
                    name: router.name.clone(),
                    log: router.child.log().to_owned(),
                });
            }
        }
        if clock::now().since(started) > READY_LIMIT {
            return Err(RunError::NotReady {
                logs: logs.to_owned(),
            });
        }
        std::thread::sleep(TICK);
    }
    Ok(())
}

fn check_names(experiment: &Experiment, deployment: &Deployment) -> Result<(), RunError> {
    let unknown = |what: String| RunError::Unknown { what };
    for fault in &experiment.faults {
        let named = fault.action.named_back_end();
        if let Some(back_end) = named.filter(|id| !deployment.back_ends.contains_key(id)) {
            return Err(unknown(format!("back end {back_end}")));
        }
    }
    for traffic in experiment.loads.iter().flat_map(|load| &load.traffic) {
        if !deployment.services.contains_key(&traffic.service) {
            return Err(unknown(format!("service {}", traffic.service)));
        }
    }
    for service in deployment.services.keys() {
        if service_load(experiment, service).is_none() {
            return Err(unknown(format!(
                "a [[service]] of a load file for {service}"
            )));
        }
    }
    Ok(())
}

/// One event a line, for those who want to look a breach up.
fn write_history(directory: &std::path::Path, events: &[Event]) -> io::Result<()> {
    let file = fs::File::create(directory.join(HISTORY_FILE))?;
    let mut writer = io::BufWriter::new(file);
    for event in events {
        serde_json::to_writer(&mut writer, event)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}

fn log_directory(experiment: &str) -> io::Result<PathBuf> {
    let name = format!("threadledge-lab-{experiment}-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}
