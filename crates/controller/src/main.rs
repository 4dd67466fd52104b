//! `maplefall-controller`: keeps the operator's configuration and the service registry, and leases
//! quota shares to proxies.

use clap::Parser;
use maplefall_controller::net;
use maplefall_node_settings::{Settings, SettingsFile};
use maplefall_process::{exit_code, random_seed, start_logger, Command};
use std::path::Path;
use std::process::ExitCode;

/// The control plane: configuration, service registry, quota leases.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command.unwrap_or(Command::Run) {
        Command::Run => run(),
        Command::Check { file } => check(&file.unwrap_or_else(Settings::path)),
    };
    exit_code(result)
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
