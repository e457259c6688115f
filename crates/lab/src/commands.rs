//! Implements the subcommands.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use async_std::net::TcpListener;
use async_std::task;
use k8s_openapi::jiff::Timestamp;

use crate::baseline::{self, BaselineKind};
use crate::cli::{Command, HollowArguments, RunArguments, StandIn};
use crate::experiment::{self, Experiment};
use crate::history::Recorder;
use crate::hollow::{self, HollowPlan, HollowReport};
use crate::load;
use crate::report::{Report, compare, page, table};
use crate::rig::{BackEndHost, PlatformSettings, RunOptions, exit_with_parent, read_settings, run};
use crate::stand_in::back_end::{self, Admission};
use crate::stand_in::machine_list::MachineListServer;
use crate::stand_in::object_api::seed::create_objects;
use crate::stand_in::object_api::{ObjectApi, ObjectApiSettings, ObjectStore};

/// The experiment that `demo` runs.
const DEMO: &str = "experiments/demo.toml";

/// Runs one subcommand and returns its exit code.
///
/// # Errors
///
/// Returns the error that prevented the subcommand from completing, for display
/// to the user.
pub fn execute(command: Command) -> eyre::Result<ExitCode> {
    match command {
        Command::Demo(arguments) => run_experiment(&demo_file(), &arguments),
        Command::Run {
            experiment,
            arguments,
        } => run_experiment(&experiment, &arguments),
        Command::Compare { first, second } => {
            print!(
                "{}",
                compare(&Report::read(&first)?, &Report::read(&second)?)
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Hollow(arguments) => run_hollow(&arguments),
        Command::List { directory } => {
            for (path, experiment) in experiment::list(&directory)? {
                println!("{:<48} {}", path.display(), experiment.description);
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { file, page: target } => {
            let report = Report::read(&file)?;
            if let Some(target) = target {
                std::fs::write(&target, page(&report)?)?;
            }
            print!("{}", table(&report));
            Ok(exit_code(&report))
        }
        Command::StandIn(kind) => stand_in(kind),
    }
}

fn run_experiment(file: &Path, arguments: &RunArguments) -> eyre::Result<ExitCode> {
    let mut experiment: Experiment = experiment::read(file)?;
    if let Some(duration) = arguments.duration {
        experiment::set_duration(&mut experiment, duration);
    }
    let options = RunOptions {
        seed: arguments.seed,
        keep_logs: arguments.keep_logs,
        baselines: match arguments.baselines {
            true => BaselineKind::ALL.to_vec(),
            false => Vec::new(),
        },
    };
    let report = run(&experiment, &options)?;
    if let Some(path) = &arguments.report {
        report.write(path)?;
    }
    print!("{}", table(&report));
    Ok(exit_code(&report))
}

fn run_hollow(arguments: &HollowArguments) -> eyre::Result<ExitCode> {
    let mut reports = Vec::with_capacity(arguments.nodes.len());
    for nodes in &arguments.nodes {
        let plan = HollowPlan {
            nodes: *nodes,
            regions: arguments.regions,
            zones: arguments.zones,
            routers_per_back_end: arguments.routers_per_back_end,
            duration: arguments.duration,
            seed: arguments.seed,
        };
        reports.push(hollow::measure(&plan, |step| eprintln!("{step}")));
    }
    if let Some(path) = &arguments.report {
        std::fs::write(path, serde_json::to_vec_pretty(&reports)?)?;
    }
    print!("{}", hollow::table(&reports));
    let all_passed = reports.iter().all(HollowReport::passed);
    Ok(if all_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn exit_code(report: &Report) -> ExitCode {
    if report.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns the path of the demo experiment: relative to the current directory
/// if it exists there, otherwise in the repository that the binary was built
/// in.
fn demo_file() -> PathBuf {
    let here = PathBuf::from(DEMO);
    if here.exists() {
        return here;
    }
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(DEMO)
}

fn stand_in(kind: StandIn) -> eyre::Result<ExitCode> {
    let recorder = Recorder::to_standard_output();
    match kind {
        StandIn::Platform => {
            let settings: PlatformSettings = read_settings()?;
            exit_with_parent();
            task::block_on(platform(settings, recorder))?;
        }
        StandIn::BackEnds => back_ends(Admission::GrantRequired, recorder)?,
        StandIn::UngrantedBackEnds => back_ends(Admission::Unchecked, recorder)?,
        StandIn::BaselineRouter => {
            let settings = read_settings()?;
            exit_with_parent();
            task::block_on(baseline::run_process(settings, recorder))?;
        }
        StandIn::Callers => {
            let settings = read_settings()?;
            exit_with_parent();
            task::block_on(load::run_process(settings, recorder));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn back_ends(admission: Admission, recorder: Recorder) -> eyre::Result<()> {
    let host: BackEndHost = read_settings()?;
    exit_with_parent();
    let serving = back_end::run_process(host.back_ends, host.incarnation, admission, recorder);
    task::block_on(serving)?;
    Ok(())
}

async fn platform(settings: PlatformSettings, recorder: Recorder) -> eyre::Result<()> {
    match settings {
        PlatformSettings::ObjectApi { address, objects } => {
            let listener = TcpListener::bind(address).await?;
            let mut store = ObjectStore::new();
            let given = objects
                .into_iter()
                .map(|object| (PathBuf::from("rig"), object));
            create_objects(&mut store, given, &Timestamp::now().to_string())?;
            let settings = ObjectApiSettings {
                store,
                ..ObjectApiSettings::default()
            };
            let api = ObjectApi::serve(listener, settings)?;
            recorder.ready();
            api.run().await;
        }
        PlatformSettings::MachineList { address, machines } => {
            let listener = TcpListener::bind(address).await?;
            let list = MachineListServer::serve(listener, machines)?;
            recorder.ready();
            list.run().await;
        }
    }
    Ok(())
}
