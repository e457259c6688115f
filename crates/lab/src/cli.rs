//! Command-line interface of the lab.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// Default of `--seed`.
pub const DEFAULT_SEED: u64 = 1;
/// Default of `--regions`: the number of regions that the system is designed
/// for.
const DEFAULT_REGIONS: usize = 6;
/// Default of `--zones`: the number of zones that the system is designed for.
const DEFAULT_ZONES: usize = 18;
/// Default of `hollow --routers-per-back-end`.
const DEFAULT_ROUTERS_PER_BACK_END: usize = 12;
/// Default of `hollow --duration`.
const DEFAULT_HOLLOW_SECONDS: u64 = 10;
/// Default of the directory that `list` searches.
const EXPERIMENTS: &str = "experiments";

/// A subcommand with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs the demo: both partners on three routers, for a limited time.
    Demo(RunArguments),
    /// Runs one experiment.
    Run {
        /// The experiment file.
        experiment: PathBuf,
        /// Options of the run.
        arguments: RunArguments,
    },
    /// Compares two reports.
    Compare {
        /// The first report.
        first: PathBuf,
        /// The second report.
        second: PathBuf,
    },
    /// Runs hollow nodes in virtual time.
    Hollow(HollowArguments),
    /// Lists experiments.
    List {
        /// Directory to search.
        directory: PathBuf,
    },
    /// Prints a report as a table.
    Report {
        /// The report file.
        file: PathBuf,
        /// Output file for the HTML page with charts.
        page: Option<PathBuf>,
    },
    /// Runs a stand-in; used by the rig.
    StandIn(StandIn),
}

/// Kinds of stand-in processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandIn {
    /// Object API or machine list, depending on the settings.
    Platform,
    /// Back ends that require grants.
    BackEnds,
    /// Back ends that execute every request, for baselines.
    UngrantedBackEnds,
    /// A router of a baseline.
    BaselineRouter,
    /// Callers of one partner.
    Callers,
}

/// Options for running an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunArguments {
    /// Seed of arrivals, keys and service times.
    pub seed: u64,
    /// Duration of the load, overriding that of the experiment.
    pub duration: Option<Duration>,
    /// Output file for the JSON report.
    pub report: Option<PathBuf>,
    /// Whether to keep the logs of a run that passes.
    pub keep_logs: bool,
    /// Whether to run the baselines in parallel with the product.
    pub baselines: bool,
}

/// Options for running hollow nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HollowArguments {
    /// Numbers of routers in all regions; one run for each number.
    pub nodes: Vec<usize>,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones in all regions.
    pub zones: usize,
    /// Number of routers per back end.
    pub routers_per_back_end: usize,
    /// Virtual time that each failure lasts.
    pub duration: Duration,
    /// Seed of every random choice.
    pub seed: u64,
    /// Output file for the JSON report.
    pub report: Option<PathBuf>,
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Command> {
    let demo = run_arguments(with_baselines())
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
    let hollow = hollow();
    construct!([demo, run, compare, list, hollow, report, stand_in])
        .to_options()
        .descr("Rehearsal kit of threadledge: stand-ins, load, experiments and history checks")
        .version(env!("CARGO_PKG_VERSION"))
}

fn run() -> impl Parser<Command> {
    let arguments = run_arguments(without_baselines());
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

fn hollow() -> impl Parser<Command> {
    let nodes = long("nodes")
        .help("Routers of all regions; may be given several times")
        .argument::<usize>("NUMBER")
        .guard(|nodes| *nodes > 0, "must be above 0")
        .some("give --nodes NUMBER");
    let regions = long("regions")
        .help("Regions; as many as fit run, the others are only on the machine list")
        .argument::<usize>("NUMBER")
        .guard(|regions| *regions > 0, "must be above 0")
        .fallback(DEFAULT_REGIONS)
        .display_fallback();
    let zones = long("zones")
        .help("Zones of all regions")
        .argument::<usize>("NUMBER")
        .fallback(DEFAULT_ZONES)
        .display_fallback();
    let routers_per_back_end = long("routers-per-back-end")
        .help("Routers for each back end")
        .argument::<usize>("NUMBER")
        .guard(|number| *number > 0, "must be above 0")
        .fallback(DEFAULT_ROUTERS_PER_BACK_END)
        .display_fallback();
    let duration = long("duration")
        .help("Seconds of virtual time that each failure lasts")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_HOLLOW_SECONDS)
        .display_fallback()
        .map(Duration::from_secs);
    let (seed, report) = (seed(), report_file());
    construct!(HollowArguments {
        nodes,
        regions,
        zones,
        routers_per_back_end,
        duration,
        seed,
        report,
    })
    .map(Command::Hollow)
    .to_options()
    .descr("Run a day's failures over hollow nodes in virtual time and measure what control costs")
    .command("hollow")
    .help("Run hollow nodes in virtual time")
}

fn report() -> impl Parser<Command> {
    let page = long("page")
        .help("Write a self-contained page with pictures to this file")
        .argument::<PathBuf>("FILE.html")
        .optional();
    let file = positional::<PathBuf>("FILE.json").help("Report");
    construct!(Command::Report { page, file })
        .to_options()
        .descr("Show a report as a table")
        .command("report")
        .help("Show a report as a table")
}

fn with_baselines() -> impl Parser<bool> {
    long("baselines")
        .help("Run a hash ring and static owners beside the product, with the same load")
        .switch()
}

fn without_baselines() -> impl Parser<bool> {
    long("without-baselines")
        .help("Run the product alone, without a hash ring and static owners beside it")
        .switch()
        .map(|alone| !alone)
}

fn run_arguments(baselines: impl Parser<bool>) -> impl Parser<RunArguments> {
    let (seed, report) = (seed(), report_file());
    let duration = long("duration")
        .help("Seconds under load, in place of the experiment's; faults keep their share of it")
        .argument::<u64>("SECONDS")
        .guard(
            |seconds| (1..=3_600).contains(seconds),
            "must lie between 1 and 3600",
        )
        .map(Duration::from_secs)
        .optional();
    let keep_logs = long("keep-logs")
        .help("Keep the logs of all processes even when the run passes")
        .switch();
    construct!(RunArguments {
        seed,
        duration,
        report,
        keep_logs,
        baselines,
    })
}

fn seed() -> impl Parser<u64> {
    long("seed")
        .help("Seed of every random choice")
        .argument::<u64>("NUMBER")
        .fallback(DEFAULT_SEED)
        .display_fallback()
}

fn report_file() -> impl Parser<Option<PathBuf>> {
    long("report")
        .help("Write the JSON report to this file")
        .argument::<PathBuf>("FILE.json")
        .optional()
}

fn stand_in() -> impl Parser<StandIn> {
    positional::<String>("KIND").parse(|kind| match kind.as_str() {
        "platform" => Ok(StandIn::Platform),
        "back-ends" => Ok(StandIn::BackEnds),
        "ungranted-back-ends" => Ok(StandIn::UngrantedBackEnds),
        "baseline-router" => Ok(StandIn::BaselineRouter),
        "callers" => Ok(StandIn::Callers),
        other => Err(format!("unknown stand-in '{other}'")),
    })
}
