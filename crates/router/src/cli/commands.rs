//! What each subcommand does.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use serde::Serialize;

use super::{Command, FAILURE, OutputFormat, RouterArguments, USAGE};
use crate::operations::{ExplainRequest, OperatorClient, explanation_text, status_text};
use crate::{check, logging, run};

pub(super) fn run(command: Command) -> ExitCode {
    match command {
        Command::Router(arguments) => run_router(&arguments),
        Command::Check { files } => check_files(&files),
        Command::Explain {
            operator,
            request,
            output,
        } => explain(operator, &request, output),
        Command::Status { operator, output } => status(operator, output),
        Command::Drain { operator } => drain(operator),
    }
}

pub(super) fn run_router(arguments: &RouterArguments) -> ExitCode {
    let settings = match arguments.settings() {
        Ok(settings) => settings,
        Err(error) => return fail(USAGE, &error),
    };
    if let Err(error) = logging::install(&settings.log) {
        return fail(FAILURE, &error);
    }
    match task::block_on(run::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILURE, &error),
    }
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

fn explain(operator: SocketAddr, request: &ExplainRequest, output: OutputFormat) -> ExitCode {
    let client = OperatorClient::new(operator);
    match task::block_on(client.explain(request)) {
        Ok(explanation) => print(&explanation, explanation_text, output),
        Err(error) => fail(FAILURE, &error),
    }
}

fn status(operator: SocketAddr, output: OutputFormat) -> ExitCode {
    let client = OperatorClient::new(operator);
    match task::block_on(client.status()) {
        Ok(report) => print(&report, status_text, output),
        Err(error) => fail(FAILURE, &error),
    }
}

fn drain(operator: SocketAddr) -> ExitCode {
    let client = OperatorClient::new(operator);
    match task::block_on(client.drain()) {
        Ok(()) => {
            println!("draining; ask for the status until the router is gone");
            ExitCode::SUCCESS
        }
        Err(error) => fail(FAILURE, &error),
    }
}

fn print<T: Serialize>(answer: &T, as_text: fn(&T) -> String, output: OutputFormat) -> ExitCode {
    match output {
        OutputFormat::Text => print!("{}", as_text(answer)),
        OutputFormat::Json => match serde_json::to_string_pretty(answer) {
            Ok(json) => println!("{json}"),
            Err(error) => return fail(FAILURE, &error),
        },
    }
    ExitCode::SUCCESS
}

fn fail(code: u8, error: &dyn Display) -> ExitCode {
    eprintln!("{error:#}");
    ExitCode::from(code)
}
