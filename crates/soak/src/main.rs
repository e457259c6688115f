//! `threadledge-soak`: runs soaks and says which promises were broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use bpaf::Bpaf;
use threadledge_soak::fault::{self, Choice};
use threadledge_soak::{Options, run};

/// Runs real gateways under faults from outside and checks what they promise.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The program [default: target/release/threadledge]
    #[bpaf(
        argument("FILE"),
        fallback(PathBuf::from("target/release/threadledge"))
    )]
    program: PathBuf,
    /// Folder for settings and logs [default: target/soak]
    #[bpaf(argument("DIR"), fallback(PathBuf::from("target/soak")))]
    dir: PathBuf,
    /// Seed of the first soak; the next ones count on [default: 1]
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Soaks, one after the other [default: 1]
    #[bpaf(argument("N"), fallback(1))]
    soaks: u64,
    /// How long faults come, in seconds [default: 60]
    #[bpaf(argument("N"), fallback(60))]
    seconds: u64,
    /// Gateways, at most 20 [default: 5]
    #[bpaf(argument("N"), fallback(5), guard(few, "must be 1 to 20"))]
    gateways: usize,
    /// Back ends of each service, at most 20 [default: 3]
    #[bpaf(argument("N"), fallback(3), guard(few, "must be 1 to 20"))]
    back_ends: usize,
    /// Bounds of time are N times as long, for machines under load [default: 1]
    #[bpaf(argument("N"), fallback(1), guard(some, "must be 1 to 10"))]
    patience: u32,
    /// Only faults that aim at the owners of keys
    owners_only: bool,
    /// Callers send requests that end the back ends that run them
    crashing: bool,
    /// Back ends that crash come back under the ids that they had
    lives: bool,
    /// Only back ends that say what concerns later requests, beside a store
    /// that is away and gateways that are killed
    backpressure: bool,
    /// Show the faults of the seed and run nothing
    plan: bool,
}

fn few(number: &usize) -> bool {
    (1..=20).contains(number)
}

fn some(number: &u32) -> bool {
    (1..=10).contains(number)
}

fn main() -> eyre::Result<ExitCode> {
    let arguments = arguments().run();
    let mut sound = true;
    let faults = match arguments {
        Arguments {
            backpressure: true, ..
        } => Choice::Backpressure,
        Arguments {
            owners_only: true, ..
        } => Choice::Owners,
        _ => Choice::All,
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
            crashing: arguments.crashing,
            lives: arguments.lives,
            patience: arguments.patience,
        };
        if arguments.plan {
            let back_ends = options.back_ends * 2;
            let (length, gateways) = (options.length, options.gateways);
            for each in fault::plan(seed, length, gateways, back_ends, faults) {
                println!("{each}");
            }
            continue;
        }
        let summary = task::block_on(run(&options))?;
        println!("seed {seed}\n{summary}");
        sound &= summary.violations.is_empty();
    }
    Ok(if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
