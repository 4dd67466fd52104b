//! `maplefall-proxy`: accepts clients' requests, admits them by tenant, and forwards them to
//! backends.

use clap::Parser;
use maplefall_control_messages::{Hello, PROTOCOL_VERSION};
use maplefall_node_settings::{Settings, SettingsFile};
use maplefall_process::{exit_code, random_seed, start_logger, Command};
use maplefall_proxy::controllers::connect_to_controllers;
use maplefall_proxy::downstream::DownstreamServer;
use maplefall_proxy::driver::{Proxy, RESERVED_DESCRIPTORS};
use maplefall_proxy::readiness;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Interval of the core's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of ticks between two `stats` log lines.
const STATS_TICKS: u32 = 10;
/// How often the settings file is checked for a change.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time to send the last frames to the controllers at shutdown.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(20);

/// An error that prevents the process from starting. `Display` is the text of the `fatal` event.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Logger(String),
    #[error(transparent)]
    Settings(#[from] maplefall_node_settings::SettingsError),
    #[error("step={step} missing={field}")]
    MissingSetting {
        step: &'static str,
        field: &'static str,
    },
    #[error("step=runtime error={:?}", .0.kind())]
    Runtime(io::Error),
    #[error("step=signals error={:?}", .0.kind())]
    Signals(io::Error),
    #[error("step=listen address={address} error={:?}", .error.kind())]
    Listen {
        address: SocketAddr,
        error: io::Error,
    },
}

/// The proxy of the data plane.
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

/// The addresses to listen on.
struct Listeners {
    front: SocketAddr,
    probe: SocketAddr,
}

impl Listeners {
    /// Reads the addresses for clients and for readiness probes; a proxy requires both. An error
    /// contains `step`.
    fn from_settings(settings: &Settings, step: &'static str) -> Result<Listeners, StartError> {
        let missing = |field| StartError::MissingSetting { step, field };
        let bind = &settings.bind;
        Ok(Listeners {
            front: bind.front_http.ok_or(missing("Bind.FrontHttp"))?,
            probe: bind.ready_probe.ok_or(missing("Bind.ReadyProbe"))?,
        })
    }
}

fn check(path: &std::path::Path) -> Result<(), StartError> {
    let settings = Settings::load(path)?;
    Listeners::from_settings(&settings, "check")?;
    println!(
        "event=settings_checked node={} file={}",
        settings.node,
        path.display()
    );
    Ok(())
}

fn run() -> Result<(), StartError> {
    let _logger = start_logger().map_err(|error| StartError::Logger(error.to_string()))?;
    let path = Settings::path();
    let settings = Settings::load(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(serve(settings, path, random_seed())))
}

async fn serve(settings: Settings, path: PathBuf, seed: u64) -> Result<(), StartError> {
    let terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let Listeners { front, probe } = Listeners::from_settings(&settings, "settings")?;
    let client_listener = listen(front).await?;
    let probe_listener = listen(probe).await?;
    log::info!(
        "event=start node={} front={front} probe={probe} bootstrap={}",
        settings.node,
        settings.bootstrap
    );
    let proxy = Proxy::new(&settings, seed);
    let server = new_server(&proxy, &settings);
    spawn_tasks(&proxy, &settings, seed);
    server.serve(client_listener);
    tokio::task::spawn_local(readiness::serve(proxy.clone(), probe_listener));
    tokio::task::spawn_local(tick(proxy.clone()));
    reload_until_terminated(&proxy, SettingsFile::new(path), terminate, hangup).await;
    log::info!("event=shutdown node={}", settings.node);
    proxy.with_core(|core| core.shut_down());
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    server.shut_down(grace).await;
    proxy.drive(|core, now, out| core.release_leases(now, out));
    tokio::time::sleep(FINAL_FLUSH_TIME).await;
    Ok(())
}

fn new_server(proxy: &Rc<Proxy>, settings: &Settings) -> Rc<DownstreamServer> {
    let max_sockets = settings
        .limits
        .file_limit
        .saturating_sub(RESERVED_DESCRIPTORS);
    DownstreamServer::new(proxy.clone(), max_sockets)
}

fn spawn_tasks(proxy: &Rc<Proxy>, settings: &Settings, seed: u64) {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        ip: settings.ip.to_string(),
        node: settings.node.clone(),
        incarnation: seed.max(1),
        is_controller: false,
        config_index: 0,
        may_have_missed_updates: false,
    };
    tokio::task::spawn_local(proxy.clone().run_timers());
    tokio::task::spawn_local(proxy.clone().close_idle_periodically());
    tokio::task::spawn_local(connect_to_controllers(
        proxy.clone(),
        hello,
        settings.internal_ports.0,
    ));
}

/// Reloads the settings file on SIGHUP and when it has changed, until SIGTERM.
async fn reload_until_terminated(
    proxy: &Rc<Proxy>,
    mut file: SettingsFile,
    mut terminate: Signal,
    mut hangup: Signal,
) {
    loop {
        let signalled = tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        // The settings file is checked also after a signal, so that a change announced by a signal
        // is not reloaded twice.
        if file.changed() || signalled {
            match Settings::load(file.path()) {
                Ok(settings) => {
                    log::info!("event=reload node={} signal={signalled}", settings.node);
                    proxy.drive(|core, _, out| core.reload(&settings, out));
                }
                Err(error) => log::warn!("event=reload signal={signalled} {error}"),
            }
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen { address, error })
}

async fn tick(proxy: Rc<Proxy>) {
    let mut ticks = 0_u32;
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        proxy.drive(|core, now, out| core.tick(now, out));
        ticks += 1;
        if ticks.is_multiple_of(STATS_TICKS) {
            let now = proxy.clock.now();
            let stats = proxy.with_core(|core| core.take_stats_summary(now));
            for line in stats.into_iter().chain(proxy.body_memory.take_summary()) {
                log::info!("{line}");
            }
        }
    }
}
