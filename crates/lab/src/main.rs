//! The `threadledge-lab` binary.

use std::ffi::OsString;
use std::process::ExitCode;

use threadledge_lab::rig::exit_with_parent;
use threadledge_lab::{cli, commands};
use tracing_subscriber::EnvFilter;

/// Subcommand with which the rig starts a router through this binary.
const ROUTER: &str = "router";

/// Exit code of a command that could not be carried out, to distinguish it from
/// a run that violated a guarantee or exceeded a bound.
const NOT_CARRIED_OUT: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1).peekable();
    if arguments.peek().is_some_and(|first| first == ROUTER) {
        arguments.next();
        return run_router(arguments.collect());
    }
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    commands::execute(cli::options().run()).unwrap_or_else(|error| {
        eprintln!("{error:#}");
        ExitCode::from(NOT_CARRIED_OUT)
    })
}

/// Runs a router, which installs its own logging.
fn run_router(arguments: Vec<OsString>) -> ExitCode {
    exit_with_parent();
    threadledge::cli::run_router_command(arguments)
}
