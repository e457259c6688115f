//! The command line of the program.

mod commands;
mod parse;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

pub use parse::{Command, OutputFormat, RouterArguments, options};

use crate::settings::{self, Settings, SettingsError};

/// Exit code of a run that failed or found problems.
const FAILURE: u8 = 1;
/// Exit code for invalid arguments or settings.
const USAGE: u8 = 2;

/// Runs the program with `arguments`, which exclude the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    match options().run_inner(arguments.as_slice()) {
        Ok(command) => commands::run(command),
        Err(failure) => report_usage(failure),
    }
}

/// Runs the subcommand `router` with the arguments that follow the word
/// `router`. Other binaries use this to run a router as a process of their own
/// executable.
pub fn run_router_command(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    match parse::router_options().run_inner(arguments.as_slice()) {
        Ok(arguments) => commands::run_router(&arguments),
        Err(failure) => report_usage(failure),
    }
}

impl RouterArguments {
    /// Loads the settings from the file and the flags.
    ///
    /// # Errors
    ///
    /// Returns every problem found, with its location and remedy.
    pub fn settings(&self) -> Result<Settings, SettingsError> {
        let file: Option<&PathBuf> = self.settings_file.as_ref();
        settings::load(file.map(PathBuf::as_path), &self.overrides)
    }
}

fn report_usage(failure: bpaf::ParseFailure) -> ExitCode {
    failure.print_message(100);
    match failure.exit_code() {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(USAGE),
    }
}
