//! `threadledge-soak`: runs soak tests and prints the guarantees that were
//! violated.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use bpaf::Bpaf;
use eyre::ensure;
use threadledge_soak::fault::FaultSet;
use threadledge_soak::{Options, run};

/// Runs real gateways under injected faults and checks their guarantees.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The program [default: target/release/threadledge]
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("target/release/threadledge"))
    )]
    program: PathBuf,
    /// Directory for settings and logs [default: target/soak]
    #[bpaf(argument("DIR"), fallback(PathBuf::from("target/soak")))]
    dir: PathBuf,
    /// Seed of the first soak; each further soak adds one [default: 1]
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of soaks, run one after the other [default: 1]
    #[bpaf(argument("N"), fallback(1))]
    soaks: u64,
    /// How long faults are injected, in seconds [default: 60]
    #[bpaf(argument("N"), fallback(60))]
    seconds: u64,
    /// Number of gateways, at most 80 [default: 5]
    #[bpaf(argument("N"), fallback(5), guard(is_1_to_80, "must be 1 to 80"))]
    gateways: usize,
    /// Number of back ends of each service, at most 80 [default: 3]
    #[bpaf(argument("N"), fallback(3), guard(is_1_to_80, "must be 1 to 80"))]
    back_ends: usize,
    /// Factor for all time limits, for machines under load [default: 1]
    #[bpaf(argument("N"), fallback(1), guard(is_1_to_10, "must be 1 to 10"))]
    patience: u32,
    /// Inject only faults that affect the ownership of keys
    owners_only: bool,
    /// Callers send requests that crash the back ends that run them
    crashing: bool,
    /// Back ends that crash restart under the ids that they had
    lives: bool,
    /// Inject only backpressure from back ends, together with store outages and
    /// killed gateways
    backpressure: bool,
    /// Back ends send answers twice while keys move, and nothing else fails
    doubled: bool,
    /// Two of three back ends leave the ids of requests out of rejections
    omitted_ids: bool,
    /// Two regions joined by a narrow link, each with as many back ends that
    /// hold keys, and the faults of such a deployment
    regions: bool,
    /// Rate of that link in each direction, in Mbit/s [default: 60]
    #[bpaf(argument("N"), fallback(60), guard(is_positive, "must be above 0"))]
    link_mbps: u32,
    /// Some gateways get the processor only for a part of each 100 ms
    slow_gateways: bool,
    /// With two regions: back ends read slowly at times, so that what they were
    /// sent waits unread
    slow_readers: bool,
    /// Print the faults of the seed and run nothing
    plan: bool,
}

fn is_1_to_80(number: &usize) -> bool {
    (1..=80).contains(number)
}

fn is_1_to_10(number: &u32) -> bool {
    (1..=10).contains(number)
}

fn is_positive(number: &u32) -> bool {
    *number > 0
}

fn main() -> eyre::Result<ExitCode> {
    let arguments = arguments().run();
    ensure!(
        arguments.regions || !arguments.slow_readers,
        "--slow-readers needs --regions"
    );
    let mut no_violations = true;
    let faults = match arguments {
        Arguments {
            backpressure: true, ..
        } => FaultSet::Backpressure,
        Arguments { regions: true, .. } => FaultSet::Regions,
        Arguments { doubled: true, .. } => FaultSet::Doubled,
        Arguments {
            owners_only: true, ..
        } => FaultSet::Owners,
        _ => FaultSet::All,
    };
    for seed in arguments.seed..arguments.seed + arguments.soaks {
        let options = Options {
            program: arguments.program.clone(),
            dir: arguments.dir.join(seed.to_string()),
            seed,
            length: Duration::from_secs(arguments.seconds),
            gateways: arguments.gateways,
            back_ends: arguments.back_ends,
            faults,
            crashing_requests: arguments.crashing,
            reuse_ids: arguments.lives,
            omitted_ids: arguments.omitted_ids,
            time_factor: arguments.patience,
            link_mbps: arguments.regions.then_some(arguments.link_mbps),
            slow_gateways: arguments.slow_gateways,
            slow_readers: arguments.slow_readers,
        };
        if arguments.plan {
            for fault in options.plan() {
                println!("{fault}");
            }
            continue;
        }
        let summary = task::block_on(run(&options))?;
        println!("seed {seed}\n{summary}");
        no_violations &= summary.violations.is_empty();
    }
    Ok(if no_violations {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
