//! `maplefall-controller`: keeps the operator's configuration and the service registry, and leases proxies their shares of quotas.

use clap::{Parser, Subcommand};
use maplefall_controller::net;
use maplefall_node_settings::{Settings, SettingsFile};
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The control plane: configuration, service registry, quota leases.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves; the same as no command.
    Run,
    /// Reads a settings file and says whether it can be used.
    Check {
        /// The file; by default the one that MAPLEFALL_CONFIG names.
        file: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command.unwrap_or(Command::Run) {
        Command::Run => run(),
        Command::Check { file } => check(&file.unwrap_or_else(Settings::path)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=fatal {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(path: &Path) -> Result<(), String> {
    let settings = Settings::load(path).map_err(|error| error.to_string())?;
    settings
        .bind
        .control
        .ok_or("step=check missing=Bind.Control")?;
    settings
        .data_dir
        .as_ref()
        .ok_or("step=check missing=DataDir")?;
    println!(
        "event=settings_checked node={} file={}",
        settings.node,
        path.display()
    );
    Ok(())
}

fn run() -> Result<(), String> {
    let _logger = start_logger().map_err(|error| error.to_string())?;
    let file = SettingsFile::new(Settings::path());
    let settings = Settings::load(file.path()).map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("step=runtime error={:?}", error.kind()))?;
    let local = tokio::task::LocalSet::new();
    runtime
        .block_on(local.run_until(net::run(settings, file, random_seed())))
        .map_err(|error| error.to_string())
}

/// The standard library's hashers are keyed from the system's source of randomness.
fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// Logs to standard error, `info` and above unless `RUST_LOG` says otherwise.
fn start_logger() -> Result<flexi_logger::LoggerHandle, flexi_logger::FlexiLoggerError> {
    flexi_logger::Logger::try_with_env_or_str("info")?
        .log_to_stderr()
        .format(format_record)
        .start()
}

/// One line of `key=value` pairs for each event.
fn format_record(
    to: &mut dyn std::io::Write,
    _: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), std::io::Error> {
    write!(
        to,
        "level={} {}",
        record.level().as_str().to_ascii_lowercase(),
        record.args()
    )
}
