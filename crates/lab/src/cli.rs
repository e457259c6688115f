//! Command line of the lab.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// Default of `--seed`.
pub const DEFAULT_SEED: u64 = 1;
/// Default of the directory that `list` reads.
const EXPERIMENTS: &str = "experiments";

/// One run of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Both partners on three routers, for a bounded time.
    Demo(RunArguments),
    /// One experiment.
    Run {
        /// Its file.
        experiment: PathBuf,
        /// How to run it.
        arguments: RunArguments,
    },
    /// Two reports side by side.
    Compare {
        /// The first report.
        first: PathBuf,
        /// The second report.
        second: PathBuf,
    },
    /// The experiments there are.
    List {
        /// Directory that is searched.
        directory: PathBuf,
    },
    /// A report as a table.
    Report {
        /// The report.
        file: PathBuf,
    },
    /// A stand-in, started by the rig.
    StandIn(StandIn),
}

/// Kinds of stand-in processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandIn {
    /// Object API or machine list, as the settings say.
    Platform,
    /// Back ends.
    BackEnds,
    /// Callers of one partner.
    Callers,
}

/// How to run an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunArguments {
    /// Seed of arrivals, keys and service times.
    pub seed: u64,
    /// Time under load in place of the experiment's.
    pub duration: Option<Duration>,
    /// Where the JSON report goes.
    pub report: Option<PathBuf>,
    /// Keep the logs of a run that passes.
    pub keep_logs: bool,
}

/// The whole command line.
pub fn options() -> OptionParser<Command> {
    let demo = run_arguments()
        .map(Command::Demo)
        .to_options()
        .descr("Run three routers with stand-ins and the callers of both partners")
        .command("demo")
        .help("Run three routers with stand-ins and the callers of both partners");
    let stand_in = stand_in()
        .map(Command::StandIn)
        .to_options()
        .command("stand-in")
        .hide();
    let (run, compare, list, report) = (run(), compare(), list(), report());
    construct!([demo, run, compare, list, report, stand_in])
        .to_options()
        .descr("Rehearsal kit of threadledge: stand-ins, load, experiments and history checks")
        .version(env!("CARGO_PKG_VERSION"))
}

fn run() -> impl Parser<Command> {
    let arguments = run_arguments();
    let experiment = positional::<PathBuf>("EXPERIMENT.toml").help("Experiment file");
    construct!(Command::Run {
        arguments,
        experiment,
    })
    .to_options()
    .descr("Run one experiment; exits with 1 when a guarantee or a bound is breached")
    .command("run")
    .help("Run one experiment")
}

fn compare() -> impl Parser<Command> {
    let first = positional::<PathBuf>("A").help("First report");
    let second = positional::<PathBuf>("B").help("Second report");
    construct!(Command::Compare { first, second })
        .to_options()
        .descr("Compare two reports")
        .command("compare")
        .help("Compare two reports")
}

fn list() -> impl Parser<Command> {
    let directory = positional::<PathBuf>("DIRECTORY")
        .help("Directory with experiments")
        .fallback(PathBuf::from(EXPERIMENTS));
    construct!(Command::List { directory })
        .to_options()
        .descr("List experiments")
        .command("list")
        .help("List experiments")
}

fn report() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE.json").help("Report");
    construct!(Command::Report { file })
        .to_options()
        .descr("Show a report as a table")
        .command("report")
        .help("Show a report as a table")
}

fn run_arguments() -> impl Parser<RunArguments> {
    let seed = long("seed")
        .help("Seed of arrivals, keys and service times")
        .argument::<u64>("NUMBER")
        .fallback(DEFAULT_SEED)
        .display_fallback();
    let duration = long("duration")
        .help("Seconds under load, in place of the experiment's; faults keep their share of it")
        .argument::<u64>("SECONDS")
        .guard(
            |seconds| (1..=3_600).contains(seconds),
            "must lie between 1 and 3600",
        )
        .map(Duration::from_secs)
        .optional();
    let report = long("report")
        .help("Write the JSON report to this file")
        .argument::<PathBuf>("FILE.json")
        .optional();
    let keep_logs = long("keep-logs")
        .help("Keep the logs of all processes even when the run passes")
        .switch();
    construct!(RunArguments {
        seed,
        duration,
        report,
        keep_logs,
    })
}

fn stand_in() -> impl Parser<StandIn> {
    positional::<String>("KIND").parse(|kind| match kind.as_str() {
        "platform" => Ok(StandIn::Platform),
        "back-ends" => Ok(StandIn::BackEnds),
        "callers" => Ok(StandIn::Callers),
        other => Err(format!("unknown stand-in '{other}'")),
    })
}
