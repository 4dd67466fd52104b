//! `switchboard`: takes clients' requests, admits them by tenant, and sends them on to backends.

use bytes::Bytes;
use clap::{Parser, Subcommand};
use http_body_util::Full;
use hyper::{Response, StatusCode};
use maplefall_control_messages::{Hello, PROTOCOL_VERSION};
use maplefall_node_settings::{Settings, SettingsFile};
use maplefall_proxy::clients::Clients;
use maplefall_proxy::controllers;
use maplefall_proxy::driver::Proxy;
use std::convert::Infallible;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

/// Descriptors that are kept for files.
const FILES: usize = 200;
/// Part of the memory that bodies of requests may take.
const BODIES: u64 = 3;
/// Ticks between two lines about what was served.
const ACCOUNT: u32 = 10;
/// How often the settings file is looked at.
const LOOK: Duration = Duration::from_secs(2);
/// Time for the last words to the exchanges.
const FAREWELL: Duration = Duration::from_millis(20);

/// The door of the system.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves; the same as no command.
    Run,
    /// Reads a settings file and tells whether it can be used.
    Check {
        /// The file; by default the one that MAPLEFALL_CONFIG names.
        file: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    let result = match line.command.unwrap_or(Command::Run) {
        Command::Run => run(),
        Command::Check { file } => check(&file.unwrap_or_else(Settings::path)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=ended {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(path: &std::path::Path) -> Result<(), String> {
    let settings = Settings::load(path).map_err(|error| error.to_string())?;
    settings
        .bind
        .front_http
        .ok_or("step=check missing=Bind.FrontHttp")?;
    settings
        .bind
        .ready_probe
        .ok_or("step=check missing=Bind.ReadyProbe")?;
    println!(
        "event=checked node={} file={}",
        settings.node,
        path.display()
    );
    Ok(())
}

fn run() -> Result<(), String> {
    let logger =
        flexi_logger::Logger::try_with_env_or_str("info").map_err(|error| error.to_string())?;
    let _logger = logger
        .log_to_stderr()
        .format(line)
        .start()
        .map_err(|error| error.to_string())?;
    let path = Settings::path();
    let settings = Settings::load(&path).map_err(|error| error.to_string())?;
    // The standard library's hashers are keyed from the system's source of chance.
    let seed = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("step=runtime error={:?}", error.kind()))?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(serve(settings, path, seed)))
}

async fn serve(settings: Settings, path: PathBuf, seed: u64) -> Result<(), String> {
    let signals = |error: std::io::Error| format!("step=signals error={:?}", error.kind());
    let mut term = signal(SignalKind::terminate()).map_err(signals)?;
    let mut hup = signal(SignalKind::hangup()).map_err(signals)?;
    let front = settings
        .bind
        .front_http
        .ok_or("step=settings missing=Bind.FrontHttp")?;
    let probe = settings
        .bind
        .ready_probe
        .ok_or("step=settings missing=Bind.ReadyProbe")?;
    let (clients_at, probes_at) = (listen(front).await?, listen(probe).await?);
    log::info!(
        "event=start node={} front={front} probe={probe} bootstrap={}",
        settings.node,
        settings.bootstrap
    );
    let door = Proxy::new(&settings, seed);
    let sockets = settings.limits.file_limit.saturating_sub(FILES);
    let room = (settings.limits.memory_mb / BODIES) << 20;
    let clients = Clients::new(door.clone(), sockets, room as usize);
    let hello = Hello {
        version: PROTOCOL_VERSION,
        ip: settings.ip.to_string(),
        node: settings.node.clone(),
        incarnation: seed.max(1),
        is_controller: false,
        config_index: 0,
    };
    tokio::task::spawn_local(door.clone().keep_time());
    tokio::task::spawn_local(door.clone().tidy());
    tokio::task::spawn_local(controllers::follow(
        door.clone(),
        hello,
        settings.internal_ports.0,
    ));
    clients.open(clients_at);
    tokio::task::spawn_local(probes(door.clone(), probes_at));
    tokio::task::spawn_local(tick(door.clone()));
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let mut file = SettingsFile::new(path);
    loop {
        let told = tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        // Both are asked: what a signal told is not told again by the file.
        if file.changed() || told {
            match Settings::load(file.path()) {
                Ok(settings) => {
                    log::info!("event=reload node={} signal={told}", settings.node);
                    door.drive(|core, _, out| core.reload(&settings, out));
                }
                Err(error) => log::warn!("event=reload signal={told} {error}"),
            }
        }
    }
    log::info!("event=stop node={}", settings.node);
    door.ask(|core| core.shut_down());
    clients.stop(grace).await;
    door.drive(|core, now, out| core.release_leases(now, out));
    tokio::time::sleep(FAREWELL).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| format!("step=listen address={address} error={:?}", error.kind()))
}

async fn tick(door: Rc<Proxy>) {
    let mut ticks = 0_u32;
    let mut tick = tokio::time::interval(Duration::from_millis(500));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        door.drive(|core, now, out| core.tick(now, out));
        ticks += 1;
        if ticks.is_multiple_of(ACCOUNT) {
            let now = door.clock.now();
            if let Some(line) = door.ask(|core| core.stats_line(now)) {
                log::info!("{line}");
            }
        }
    }
}

/// Answers the platform's question whether this door is ready.
async fn probes(door: Rc<Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(FAREWELL).await;
            continue;
        };
        let door = door.clone();
        tokio::task::spawn_local(async move {
            let service =
                hyper::service::service_fn(|request: hyper::Request<hyper::body::Incoming>| {
                    let door = door.clone();
                    async move {
                        let mut response = Response::new(Full::<Bytes>::default());
                        *response.status_mut() = match request.uri().path() {
                            "/api/readiness" if door.ask(|core| core.ready()) => StatusCode::OK,
                            "/api/readiness" => StatusCode::SERVICE_UNAVAILABLE,
                            _ => StatusCode::NOT_FOUND,
                        };
                        Ok::<_, Infallible>(response)
                    }
                });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(Duration::from_secs(5))
                .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
            // A prober that goes is no event.
            let _ = connection.await;
        });
    }
}

/// One line of key=value pairs for each event.
fn line(
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
