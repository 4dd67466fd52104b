//! The program `maplefall`: serves until SIGTERM, or runs a command, and returns an exit code.

#![forbid(unsafe_code)]

mod counts;
mod net;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Counts allocations; only in builds for the benchmark.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static ALLOCATIONS: &stats_alloc::StatsAlloc<std::alloc::System> =
    &stats_alloc::INSTRUMENTED_SYSTEM;

const ABOUT: &str = "\
The gateway of a service sold by plan: enforces each customer's quota over all gateways, chooses a backend for every
request, and retries only requests that may be retried. Without a command it serves, configured by the variables below.";

const VARIABLES: &str = "\
Variables:
  BALANCER_CONFIG          the configuration, a JSON file (example: deploy/example.json; explained in docs/operators)
  BALANCER_NAME            name in the log; overrides the file's `name`
  BALANCER_LISTEN          address for clients; overrides the file's `listen`
  BALANCER_DISCOVERY       address of discovery; overrides the file's `discovery`
  MAPLEFALL_SOURCES        the sources of the list of backends (example: deploy/sources.toml); by default only discovery
  MAPLEFALL_GRPC           the methods of gRPC (example: deploy/grpc.toml); by default gRPC is not served
  MAPLEFALL_FORWARD_AUTH   forward authentication (example: deploy/forward-auth.toml); by default no caller is checked
  MAPLEFALL_SHARED_COUNTS  sharing of customers' usage between gateways (example: deploy/shared-counts.toml)

Signals:
  SIGHUP                   clears cached verdicts and reads the configuration and the sources again: `discovery`, etcd's endpoints and
                           credentials, and files of nodes change at once; any other change needs a restart
  SIGTERM                  graceful shutdown: responds to all requests, then exits with 0

To rehearse failures on one machine: maplefall-rehearse --help";

#[derive(Parser)]
#[command(name = "maplefall", version, about = ABOUT, after_help = VARIABLES)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reports all errors in a configuration, or in a file of sources, forward authentication, gRPC
    /// or shared counts (.toml); exit code 0 if there are none
    Check {
        /// The file
        file: String,
    },
    /// Shows the shared counts of a running gateway
    #[command(subcommand)]
    Counts(counts::Command),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(asked) => asked,
        Err(error) => {
            // Help and version are printed to standard output and are not errors.
            let _ = error.print();
            return if error.use_stderr() {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let result = match arguments.command {
        None => serve(),
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Counts(command)) => counts::run(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplefall: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints each error in a configuration on a line of its own.
fn check(file: &str) -> ExitCode {
    let with_file_name = |mistake: String| format!("{file}: {mistake}");
    let errors = match std::fs::read_to_string(file) {
        Ok(text) if file.ends_with(".toml") => net::check::toml_file_errors(file.as_ref(), &text),
        Ok(text) => net::check::config_errors(&text)
            .into_iter()
            .map(with_file_name)
            .collect(),
        Err(error) => vec![with_file_name(error.to_string())],
    };
    for mistake in &errors {
        println!("{mistake}");
    }
    if errors.is_empty() {
        println!("{file}: no mistakes");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Serves on one thread: a process has one core, and the path of a request needs no locks.
fn serve() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    let local = tokio::task::LocalSet::new();
    let served = local.block_on(&runtime, net::run());
    #[cfg(feature = "count-allocations")]
    eprintln!(
        "allocations {} bytes {}",
        ALLOCATIONS.stats().allocations,
        ALLOCATIONS.stats().bytes_allocated
    );
    served
}
