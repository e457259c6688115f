//! Implementation of the subcommands.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use async_std::task;
use serde::Serialize;

use super::{Command, FAILURE, OutputFormat, RouterArguments, USAGE};
use crate::gateway::{self, GatewaySettings};
use crate::operations::{ExplainRequest, OperatorClient, explanation_text, status_text};
use crate::{check, log_trace, logging, run};

pub(super) fn run(command: Command) -> ExitCode {
    exit_code(execute(command))
}

pub(super) fn run_router(arguments: &RouterArguments) -> ExitCode {
    exit_code(start_router(arguments))
}

fn execute(command: Command) -> eyre::Result<ExitCode> {
    match command {
        Command::Router(arguments) => start_router(&arguments),
        Command::Gateway { settings } => start_gateway(&settings),
        Command::Trace { request, files } => {
            println!("{}", log_trace::trace(&request, &files)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { files } => Ok(check_files(&files)),
        Command::Explain {
            operator,
            request,
            output,
        } => explain(operator, &request, output),
        Command::Status { operator, output } => status(operator, output),
        Command::Drain { operator } => drain(operator),
    }
}

fn start_router(arguments: &RouterArguments) -> eyre::Result<ExitCode> {
    let settings = match arguments.settings() {
        Ok(settings) => settings,
        Err(error) => return Ok(fail(USAGE, &error)),
    };
    logging::install(&settings.log)?;
    task::block_on(run::run(settings))?;
    Ok(ExitCode::SUCCESS)
}

fn start_gateway(path: &Path) -> eyre::Result<ExitCode> {
    let settings = match GatewaySettings::read(path) {
        Ok(settings) => settings,
        Err(error) => return Ok(fail(USAGE, &error)),
    };
    let _log = logging::install_queued(&settings.log)?;
    let call_timeout = gateway::settings::seconds(settings.platform.call_timeout_s);
    let ports = threadledge_platform::ports(settings.platform.store, call_timeout);
    task::block_on(gateway::run(settings, ports))?;
    Ok(ExitCode::SUCCESS)
}

fn check_files(files: &[PathBuf]) -> ExitCode {
    let problems = check::check(files);
    for problem in &problems {
        println!("{problem}");
    }
    if problems.is_empty() {
        println!("{} files checked, no problem", files.len());
        ExitCode::SUCCESS
    } else {
        println!("{} files checked, {} problems", files.len(), problems.len());
        ExitCode::from(FAILURE)
    }
}

fn explain(
    operator: SocketAddr,
    request: &ExplainRequest,
    output: OutputFormat,
) -> eyre::Result<ExitCode> {
    let client = OperatorClient::new(operator);
    let explanation = task::block_on(client.explain(request))?;
    print(&explanation, explanation_text, output)
}

fn status(operator: SocketAddr, output: OutputFormat) -> eyre::Result<ExitCode> {
    let client = OperatorClient::new(operator);
    let report = task::block_on(client.status())?;
    print(&report, status_text, output)
}

fn drain(operator: SocketAddr) -> eyre::Result<ExitCode> {
    let client = OperatorClient::new(operator);
    task::block_on(client.drain())?;
    println!("draining; ask for the status until the router is gone");
    Ok(ExitCode::SUCCESS)
}

fn print<T: Serialize>(
    report: &T,
    as_text: fn(&T) -> String,
    output: OutputFormat,
) -> eyre::Result<ExitCode> {
    match output {
        OutputFormat::Text => print!("{}", as_text(report)),
        OutputFormat::Json => println!("{}", serde_json::to_string_pretty(report)?),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints only the message of the outermost error and no chain of causes, because
/// messages already include their causes.
fn exit_code(result: eyre::Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|report| fail(FAILURE, &report))
}

fn fail(code: u8, error: &dyn Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(code)
}
