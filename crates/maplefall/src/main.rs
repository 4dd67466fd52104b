//! The front door: starts up, serves until it is told to stop, and ends with an exit code.

#![forbid(unsafe_code)]

mod net;

use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplefall: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves on one thread: a front door has one core, and nothing on the path needs a lock.
fn serve() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, net::run())
}
