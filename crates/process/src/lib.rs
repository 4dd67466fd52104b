//! What every program of the system starts with: its sub-commands, the logger, a seed and the exit code.
//!
//! Shared so that proxy and controller cannot come to differ in the form of a log line or in what a failed start
//! prints.

use clap::Subcommand;
use std::fmt::Display;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Log level where `RUST_LOG` is not set.
const DEFAULT_LOG_LEVEL: &str = "info";

/// The sub-commands of a program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serves; the same as no command.
    Run,
    /// Reads a settings file and says whether it can be used.
    Check {
        /// The file; by default the one that MAPLEFALL_CONFIG names.
        file: Option<PathBuf>,
    },
}

/// The exit code for how a program ended. An error is printed to standard error as one `event=fatal` line, also where
/// no logger could be started.
pub fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=fatal {error}");
            ExitCode::FAILURE
        }
    }
}

/// A number that differs between starts: the standard library's hashers are keyed from the system's random number
/// generator.
pub fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// Logs to standard error, `info` and above unless `RUST_LOG` says otherwise, until the handle is dropped.
///
/// # Errors
///
/// `RUST_LOG` cannot be parsed, or the process has a logger already.
pub fn start_logger() -> Result<flexi_logger::LoggerHandle, flexi_logger::FlexiLoggerError> {
    flexi_logger::Logger::try_with_env_or_str(DEFAULT_LOG_LEVEL)?
        .log_to_stderr()
        .format(format_record)
        .start()
}

/// Writes one line of `key=value` pairs: the level, then what the record says.
///
/// # Errors
///
/// `to` cannot be written to.
pub fn format_record(
    to: &mut dyn io::Write,
    _: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), io::Error> {
    write!(
        to,
        "level={} {}",
        record.level().as_str().to_ascii_lowercase(),
        record.args()
    )
}
