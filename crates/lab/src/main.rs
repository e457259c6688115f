//! The `threadledge-lab` binary.

use std::ffi::OsString;
use std::process::ExitCode;

use threadledge_lab::rig::end_with_parent;
use threadledge_lab::{cli, commands};
use tracing_subscriber::EnvFilter;

/// Word with which the rig starts a router through this binary.
const ROUTER: &str = "router";

/// Exit code of a command that could not be carried out, which is not the
/// same as a run that breached something.
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

/// The router installs its own logging.
fn run_router(arguments: Vec<OsString>) -> ExitCode {
    end_with_parent();
    threadledge::cli::run_router_command(arguments)
}
