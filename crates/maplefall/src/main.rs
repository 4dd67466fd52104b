//! The front door: starts up, serves until it is told to stop, and ends with an exit code.

#![forbid(unsafe_code)]

mod net;

use std::process::ExitCode;

/// Counts what is allocated, in builds for the bench alone.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

const HELP: &str = "\
The front door of a service sold by plan: holds each customer to its quota over all front doors, chooses a backend for
every request, and repeats only what may be repeated.

Usage:
  maplefall                serves, by the BALANCER_* variables below
  maplefall check FILE     tells every mistake in a configuration, or in a file of sources, of forward authentication or of
                           gRPC (.toml); 0 if there is none
  maplefall --help         this text
  maplefall --version      the version

Variables:
  BALANCER_CONFIG          the configuration, a JSON file (deploy/example.json is one, docs/operators explains it)
  BALANCER_NAME            its name in the log, before the file's `name`
  BALANCER_LISTEN          where clients connect, before the file's `listen`
  BALANCER_DISCOVERY       where discovery answers, before the file's `discovery`
  MAPLEFALL_SOURCES        a file of sources of the list of backends (deploy/sources.toml is one); without it only discovery
  MAPLEFALL_GRPC           a file of methods (deploy/grpc.toml is one); without it gRPC is not taken
  MAPLEFALL_FORWARD_AUTH   a file of who checks callers (deploy/forward-auth.toml is one); without it nobody is checked

Signals:
  SIGHUP                   forgets kept verdicts, and reads the first two files again; `discovery`, etcd's endpoints and credentials, and files of nodes move
                           at once, the rest takes a restart
  SIGTERM                  answers what has come, then ends with 0

To rehearse failures on one machine: maplefall-rehearse --help
";

/// What the words behind the program's name ask for.
enum Asked {
    Serve,
    Check(String),
    Say(String),
}

fn asked(words: impl Iterator<Item = String>) -> Result<Asked, String> {
    let words: Vec<String> = words.collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => Ok(Asked::Serve),
        ["check", file] => Ok(Asked::Check(file.to_owned())),
        ["--help" | "-h"] => Ok(Asked::Say(HELP.to_owned())),
        ["--version" | "-V"] => Ok(Asked::Say(format!("maplefall {}\n", env!("CARGO_PKG_VERSION")))),
        _ => Err(format!("{}: not understood; see maplefall --help", words.join(" "))),
    }
}

fn main() -> ExitCode {
    let ended = match asked(std::env::args().skip(1)) {
        Ok(Asked::Serve) => serve(),
        Ok(Asked::Check(file)) => return check(&file),
        Ok(Asked::Say(text)) => {
            print!("{text}");
            Ok(())
        }
        Err(error) => Err(error),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplefall: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Tells every mistake in a configuration on a line of its own.
fn check(file: &str) -> ExitCode {
    let named = |mistake: String| format!("{file}: {mistake}");
    let found = match std::fs::read_to_string(file) {
        Ok(text) if file.ends_with(".toml") => net::check::source_mistakes(file.as_ref(), &text),
        Ok(text) => net::check::mistakes(&text).into_iter().map(named).collect(),
        Err(error) => vec![named(error.to_string())],
    };
    for mistake in &found {
        println!("{mistake}");
    }
    if found.is_empty() {
        println!("{file}: no mistakes");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
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
    let served = local.block_on(&runtime, net::run());
    #[cfg(feature = "count-allocations")]
    eprintln!("allocations {} bytes {}", COUNTED.stats().allocations, COUNTED.stats().bytes_allocated);
    served
}
