//! Start-up of every program: sub-commands, logger, random seed and exit code.
//!
//! Shared so that proxy and controller do not diverge in the format of log lines or in the output
//! of a failed start.

use clap::Subcommand;
use std::fmt::Display;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Log level if `RUST_LOG` is not set.
const DEFAULT_LOG_LEVEL: &str = "info";

/// The sub-commands of a program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serves; the default without a command.
    Run,
    /// Checks whether a settings file can be used.
    Check {
        /// The file; by default the one given by MAPLEFALL_CONFIG.
        file: Option<PathBuf>,
    },
}

/// Returns the exit code for the result of a program. An error is printed to standard error as one
/// `event=fatal` line, even if no logger could be started.
pub fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=fatal {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns a number that differs between starts: the standard library's hashers are keyed from the
/// system's random number generator.
pub fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// Starts a logger that writes to standard error until the handle is dropped: `info` and above
/// unless `RUST_LOG` is set.
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

/// Writes one log line of `key=value` pairs: the level, then the text of the record.
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
