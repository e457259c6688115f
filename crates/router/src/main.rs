//! The `threadledge` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    threadledge::cli::main(std::env::args_os().skip(1))
}
