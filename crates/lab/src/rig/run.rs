//! Runs an experiment, from the start of its processes to the report.

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use threadledge_types::{ServiceId, Timestamp};

use super::callers::{caller_settings, imitated_services};
use super::deployment::{Deployment, DeploymentError};
use super::fault_schedule::FaultSchedule;
use super::plan::{Plan, service_settings};
use super::poller::RouterPoller;
use super::product_processes::ProductProcesses;
use super::progress::Progress;
use super::summary::{RunData, summarise};
use super::systems::Systems;
use crate::baseline::BaselineKind;
use crate::clock;
use crate::experiment::Experiment;
use crate::history::Event;
use crate::load::TrafficSettings;
use crate::report::Report;

/// Maximum time until every router is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the start of the callers and their first request.
const CALLER_START_DELAY: Duration = Duration::from_millis(700);
/// Maximum time for callers to end after the last request, in addition to
/// their timeout.
const CALLER_END_MARGIN: Duration = Duration::from_secs(5);
/// Name of the file with all events, written beside the logs.
const HISTORY_FILE: &str = "history.jsonl";
/// Interval between two readings of the routers' processor time.
const CPU_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two iterations of the loops that monitor a run.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Options of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// Seed of arrivals, keys and service times.
    pub seed: u64,
    /// Whether to keep the logs of all processes even if the run passes.
    pub keep_logs: bool,
    /// Baselines to run in parallel with the product.
    pub baselines: Vec<BaselineKind>,
}

/// A run failed before it produced a report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The deployment cannot be used.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// An I/O operation or a process start failed.
    #[error("the run could not be carried out ({0}); check free memory, processes and ports")]
    Machine(#[from] io::Error),
    /// A child ended early or did not become ready.
    #[error("{name} did not become ready; its log is {log}")]
    Child {
        /// Name of the child.
        name: String,
        /// Path of its log.
        log: PathBuf,
    },
    /// The experiment refers to an object that the deployment or the load
    /// files lack.
    #[error("{what} is not in the deployment; correct the experiment or the load file")]
    Unknown {
        /// The missing object.
        what: String,
    },
    /// Not all routers became ready in time.
    #[error(
        "not every router became ready within {} s; their logs are in {logs}",
        READY_TIMEOUT.as_secs()
    )]
    NotReady {
        /// Directory of the logs.
        logs: PathBuf,
    },
}

/// Runs an experiment and returns its report.
///
/// # Errors
///
/// Fails if the run cannot be carried out. A violated guarantee or an exceeded
/// bound is not an error but part of the report.
pub fn run(experiment: &Experiment, options: &RunOptions) -> Result<Report, RunError> {
    let deployment = Deployment::read(&experiment.deployments)?;
    check_names(experiment, &deployment)?;
    let plan = Plan::new(experiment, deployment, options.seed)?;
    let directory = log_directory(&experiment.name)?;
    let mut systems = Systems::start(experiment, &plan, &options.baselines, &directory)?;
    let traffic: Vec<TrafficSettings> = experiment
        .loads
        .iter()
        .flat_map(|load| load.traffic.clone())
        .collect();
    let started = clock::now();
    let poller = RouterPoller::start(&systems.product.routers, &traffic);
    let services: Vec<ServiceId> = plan.deployment.services.keys().cloned().collect();
    wait_until_ready(
        &mut systems.product,
        &poller,
        &services,
        started,
        &directory,
    )?;
    let ready_ms = clock::now().since(started).as_millis() as u64;
    eprintln!("all routers are ready after {ready_ms} ms");

    let begin = clock::now() + CALLER_START_DELAY;
    let settings = caller_settings(experiment, &plan, options.seed, begin);
    systems.start_callers(&settings)?;
    let mut events = run_load(experiment, &plan, &mut systems, &poller, begin);
    events.extend(poller.finish());
    let (product, baselines) = systems.finish();
    events.extend(product.events);
    if options.keep_logs {
        write_history(&directory, &events)?;
    }
    let run_data = RunData {
        deployments: plan.deployment.names.clone(),
        seed: options.seed,
        begin,
        ready_ms,
        members: plan.deployment.member_counts(),
        imitated: imitated_services(&plan),
        cpu_seconds: product.cpu_seconds,
    };
    let report = summarise(experiment, run_data, events, baselines);
    if report.passed() && !options.keep_logs {
        // The logs of a passed run are not needed.
        let _ = fs::remove_dir_all(&directory);
    } else {
        eprintln!("logs are in {}", directory.display());
    }
    Ok(report)
}

/// Applies the faults until the callers have ended.
fn run_load(
    experiment: &Experiment,
    plan: &Plan,
    systems: &mut Systems,
    poller: &RouterPoller,
    begin: Timestamp,
) -> Vec<Event> {
    let mut schedule = FaultSchedule::new(&experiment.faults, begin, plan);
    let mut cpu_read = Timestamp::ZERO;
    let mut progress = Progress::new(begin, experiment.duration);
    let loads = experiment.loads.iter();
    let patience_ms = loads
        .flat_map(|load| &load.traffic)
        .map(|traffic| traffic.patience_ms)
        .max();
    let caller_timeout = Duration::from_millis(patience_ms.unwrap_or(0));
    let limit = begin + experiment.duration + caller_timeout + CALLER_END_MARGIN;
    while clock::now() < limit {
        if clock::now().since(cpu_read) >= CPU_INTERVAL {
            cpu_read = clock::now();
            systems.observe();
        }
        schedule.advance(systems, poller);
        progress.print_if_due(&systems.product.callers);
        if systems.callers_ended() {
            break;
        }
        std::thread::sleep(TICK_INTERVAL);
    }
    progress.end();
    schedule.finish()
}

/// Waits until every router is ready and all services have owners.
fn wait_until_ready(
    processes: &mut ProductProcesses,
    poller: &RouterPoller,
    services: &[ServiceId],
    started: Timestamp,
    logs: &std::path::Path,
) -> Result<(), RunError> {
    while !poller.all_serve(services) {
        for router in &mut processes.routers {
            if router.child.has_ended() {
                return Err(RunError::Child {
                    name: router.name.clone(),
                    log: router.child.log().to_owned(),
                });
            }
        }
        if clock::now().since(started) > READY_TIMEOUT {
            return Err(RunError::NotReady {
                logs: logs.to_owned(),
            });
        }
        std::thread::sleep(TICK_INTERVAL);
    }
    Ok(())
}

/// Checks that the deployment contains the back ends and services that the
/// experiment refers to, and that the load files describe every service.
fn check_names(experiment: &Experiment, deployment: &Deployment) -> Result<(), RunError> {
    let unknown = |what: String| RunError::Unknown { what };
    for fault in &experiment.faults {
        let named = fault.action.affected_back_end();
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
        if service_settings(experiment, service).is_none() {
            return Err(unknown(format!(
                "a [[service]] of a load file for {service}"
            )));
        }
    }
    Ok(())
}

/// Writes all events as JSON lines, for the analysis of violations.
fn write_history(directory: &std::path::Path, events: &[Event]) -> io::Result<()> {
    let file = fs::File::create(directory.join(HISTORY_FILE))?;
    let mut writer = io::BufWriter::new(file);
    for event in events {
        serde_json::to_writer(&mut writer, event)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}

/// Creates the directory for the logs of this run.
fn log_directory(experiment: &str) -> io::Result<PathBuf> {
    let name = format!("threadledge-lab-{experiment}-{}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}
