//! The program `maplefall`: serves until SIGTERM, or runs a command, and ends with an exit code.

#![forbid(unsafe_code)]

mod counts;
mod net;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Counts allocations, in builds for the benchmark only.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static ALLOCATIONS: &stats_alloc::StatsAlloc<std::alloc::System> =
    &stats_alloc::INSTRUMENTED_SYSTEM;

const ABOUT: &str = "\
The front door of a service sold by plan: holds each customer to its quota over all front doors, chooses a backend for
every request, and repeats only what may be repeated. Without a command it serves, by the BALANCER_* variables below.";

const VARIABLES: &str = "\
Variables:
  BALANCER_CONFIG          the configuration, a JSON file (deploy/example.json is one, docs/operators explains it)
  BALANCER_NAME            its name in the log, before the file's `name`
  BALANCER_LISTEN          where clients connect, before the file's `listen`
  BALANCER_DISCOVERY       where discovery answers, before the file's `discovery`
  MAPLEFALL_SOURCES        a file of sources of the list of backends (deploy/sources.toml is one); without it only discovery
  MAPLEFALL_GRPC           a file of methods (deploy/grpc.toml is one); without it gRPC is not taken
  MAPLEFALL_FORWARD_AUTH   a file of who checks callers (deploy/forward-auth.toml is one); without it nobody is checked
  MAPLEFALL_SHARED_COUNTS  a file of how doors tell one another what customers used (deploy/shared-counts.toml is one)

Signals:
  SIGHUP                   forgets kept verdicts, and reads the first two files again; `discovery`, etcd's endpoints and credentials, and files of nodes move
                           at once, the rest takes a restart
  SIGTERM                  answers what has come, then ends with 0

To rehearse failures on one machine: maplefall-rehearse --help";

#[derive(Parser)]
#[command(name = "maplefall", version, about = ABOUT, after_help = VARIABLES)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Tells every mistake in a configuration, or in a file of sources, forward authentication, gRPC or shared counts (.toml);
    /// 0 if there is none
    Check {
        /// The file
        file: String,
    },
    /// Shows what a running front door knows by shared counts
    #[command(subcommand)]
    Counts(counts::Command),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(asked) => asked,
        Err(error) => {
            // Help and versions go to standard output and are no failure.
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

/// Prints every mistake in a configuration on a line of its own.
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

/// Serves on one thread: a process has one core, and nothing on the path of a request needs a lock.
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
