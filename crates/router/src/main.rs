//! The `threadledge` program.

use std::process::ExitCode;

use mimalloc::MiMalloc;

/// Requests move between threads, and with them their memory: the C library's
/// allocator takes a lock when another thread than the first gives it back.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    threadledge::cli::main(std::env::args_os().skip(1))
}
