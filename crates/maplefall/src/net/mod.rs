//! The decision module on real sockets: the modules around it, and their start, reload and
//! shutdown.
//!
//! Everything runs on one thread. Imports go one way: `clients`, `grpc::server`, `auth` and
//! `membership` use `driver`; the driver uses `backends`, `grpc::{attempt, proxied_call}` and
//! `counts`.

mod auth;
mod auth_settings;
mod backends;
#[cfg(feature = "breakages")]
mod breakages;
pub mod check;
mod clients;
pub mod config;
mod counts;
pub mod counts_settings;
mod discovery;
mod driver;
mod grpc;
mod membership;
mod request;
mod sources;

use auth::Auth;
use clients::Clients;
use config::Config;
use counts::SharedCounts;
use counts_settings::CountsSettings;
use driver::Driver;
use grpc::{GrpcServer, GrpcSettings};
use maplefall_discovery_agent::Follower;
use maplefall_policy::Discovery;
use membership::Membership;
use sources::Sources;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Interval at which a configuration that could not be used at SIGHUP is read again, as it may be
/// incomplete: its writer is done within a minute.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of times that an unusable configuration is read again after one SIGHUP.
const MAX_RELOAD_RETRIES: u32 = 300;

/// Serves until a SIGTERM has been handled.
///
/// # Errors
/// One line: the setting that cannot be used, or the address that cannot be bound.
pub async fn run() -> Result<(), String> {
    let no_signal_handler = |error| format!("cannot install signal handlers: {error}");
    // The handlers of SIGHUP and SIGTERM are installed first: until then, both signals end the
    // process.
    let hangup = signal(SignalKind::hangup()).map_err(no_signal_handler)?;
    let terminate = signal(SignalKind::terminate()).map_err(no_signal_handler)?;
    let config = Config::from_env().map_err(|error| error.to_string())?;
    let (listener, bound) = listen_for_clients(config.listen).await?;
    let sources = sources::from_env()?;
    let classes = &config.parsed.settings.classes;
    let idempotency: Vec<_> = classes.iter().map(|class| class.idempotency).collect();
    let auth_settings = auth_settings::from_env(&config.parsed.names.classes, &idempotency)?;
    let auth_sockets = auth::reserved_sockets(auth_settings.as_ref(), config.limits.sockets);
    let grpc_settings = grpc::from_env(&config.parsed.names.classes)?;
    let counts_settings = counts_settings::from_env()?;
    let reserved_sockets = auth_sockets
        + grpc::reserved_sockets(grpc_settings.as_ref())
        + usize::from(counts_settings.is_some());
    let driver = Driver::new(&config, reserved_sockets, grpc_settings.as_ref());
    let auth =
        auth_settings.map(|settings| Auth::new(settings, driver.clock, config.seed, auth_sockets));
    if let Some(auth) = &auth {
        tokio::task::spawn_local(auth.clone().run_timers());
    }
    if let Some(settings) = counts_settings {
        start_shared_counts(&config, &driver, settings).await?;
    }
    tokio::task::spawn_local(driver.clone().run_timers());
    tokio::task::spawn_local(driver.clone().close_idle_connections());
    let agent_address = watch::Sender::new(config.discovery[0]);
    let membership = start_membership(&config, &driver, sources, &agent_address);
    let clients = Clients::new(driver.clone(), auth.clone(), config.limits);
    tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::task::spawn_local(clients.clone().sweep());
    eprintln!("{}: serving on {bound}", config.name);
    let grpc_server = match grpc_settings {
        Some(settings) => Some(start_grpc(&config.name, &driver, &auth, settings).await?),
        None => None,
    };
    // Reloads still happen during the shutdown: discovery may move in that time, and drains of
    // backends apply to the last request as to the first.
    tokio::select! {
        () = reload_on(hangup, &config.name, &agent_address, &membership, auth.as_deref()) => {}
        () = stop_on(terminate, &config.name, &clients, grpc_server.as_deref()) => {}
    }
    Ok(())
}

/// Opens the listener for clients of HTTP/1.1.
async fn listen_for_clients(listen: SocketAddr) -> Result<(TcpListener, SocketAddr), String> {
    let bind_error = |error| format!("cannot listen on {listen}: {error}");
    let listener = TcpListener::bind(listen).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((listener, bound))
}

/// Starts sharing usage with peers.
async fn start_shared_counts(
    config: &Config,
    driver: &Rc<Driver>,
    settings: CountsSettings,
) -> Result<(), String> {
    let counts = SharedCounts::start(
        settings,
        &config.name,
        driver.clock,
        config.seed,
        driver.settings.gateways,
    )
    .await?;
    driver.enable_shared_counts(counts.clone());
    let driver = driver.clone();
    let notify = move |at, usage| driver.record_usage_elsewhere(at, usage);
    tokio::task::spawn_local(counts.run(notify));
    Ok(())
}

/// Restores the list of backends and starts following its sources.
fn start_membership(
    config: &Config,
    driver: &Rc<Driver>,
    sources: Sources,
    agent_address: &watch::Sender<SocketAddr>,
) -> Rc<Membership> {
    let membership = Membership::new(driver.clone(), sources);
    membership.restore_state_file();
    if let Some(known) = &config.known {
        membership.restore_known_list(known);
    }
    membership.start(config.seed);
    if let Some(source) = membership.agent() {
        let settings = agent_settings(config, source);
        let follower = Follower::new(settings, driver.clock.now());
        let subscriber = membership.clone();
        let deliver = move |output| subscriber.apply_agent_output(output);
        tokio::task::spawn_local(discovery::follow(
            follower,
            driver.clock,
            agent_address.subscribe(),
            deliver,
        ));
    }
    membership
}

/// Settings of the agent's follower; `source` is the agent's index among the sources.
fn agent_settings(config: &Config, source: usize) -> maplefall_discovery_agent::Settings {
    let settings = &config.parsed.settings;
    maplefall_discovery_agent::Settings {
        source,
        // Pushed discovery is an agent on this machine, which responds at once and at no cost, and
        // whatever it has sent counts as acknowledged. Polled discovery is one service for all
        // gateways.
        is_local: settings.discovery == Discovery::Pushed,
        process_count: settings.gateways,
        drain_grace_period: settings.drain_grace,
        seed: config.seed,
        addresses: config.discovery.clone(),
        initial_list: config.known.clone(),
    }
}

/// Reloads the configuration at each SIGHUP, and repeatedly for a while if it could not be used: a
/// file that is incomplete at the signal must be read again, because there is no second signal.
async fn reload_on(
    mut hangup: Signal,
    name: &str,
    agent_address: &watch::Sender<SocketAddr>,
    membership: &Membership,
    auth: Option<&Auth>,
) {
    let mut retries_left = 0;
    loop {
        let signalled = tokio::select! {
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(RELOAD_RETRY_INTERVAL), if retries_left > 0 => false,
        };
        let usable = reload_configuration(name, agent_address, membership, signalled);
        retries_left = match (usable, signalled) {
            (true, _) => 0,
            (false, true) => MAX_RELOAD_RETRIES,
            (false, false) => retries_left.saturating_sub(1),
        };
        if let Some(auth) = auth.filter(|_| signalled) {
            auth.clear_cache();
        }
    }
}

/// Shuts down gracefully after SIGTERM.
async fn stop_on(
    mut terminate: Signal,
    name: &str,
    clients: &Clients,
    grpc_server: Option<&GrpcServer>,
) {
    terminate.recv().await;
    eprintln!("{name}: stopping");
    let calls = async {
        if let Some(grpc_server) = grpc_server {
            grpc_server.stop().await;
        }
    };
    tokio::join!(clients.stop(), calls);
}

/// Opens the listener for gRPC and starts its server.
async fn start_grpc(
    name: &str,
    driver: &Rc<Driver>,
    auth: &Option<Rc<Auth>>,
    settings: GrpcSettings,
) -> Result<Rc<GrpcServer>, String> {
    let listen = settings.listen;
    let bind_error = |error| format!("cannot listen on {listen} for gRPC: {error}");
    let listener = TcpListener::bind(listen).await.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    let grpc_server = GrpcServer::new(driver.clone(), auth.clone(), settings);
    tokio::task::spawn_local(grpc_server.clone().accept(listener));
    eprintln!("{name}: gRPC on {bound}");
    Ok(grpc_server)
}

/// Reads the configuration and the file of sources again after SIGHUP; `true` if the configuration
/// could be used. Only the addresses of discovery and of etcd, and credentials, can change while
/// the process runs. An unusable file is logged once for a signal, and the old values remain.
fn reload_configuration(
    name: &str,
    agent_address: &watch::Sender<SocketAddr>,
    membership: &Membership,
    signalled: bool,
) -> bool {
    let config = Config::reload_discovery();
    let usable = config.is_ok();
    match config {
        Ok(address) => {
            eprintln!("{name}: discovery is at {address}");
            // The address is sent even if it is the same: the watch is opened again.
            agent_address.send_replace(address);
        }
        Err(error) if signalled => eprintln!("{name}: the old configuration goes on: {error}"),
        Err(_) => {}
    }
    match sources::from_env() {
        _ if !signalled => {}
        Ok(sources) => membership.reload(&sources),
        Err(error) => eprintln!("{name}: sources not reloaded, the old ones stay in use: {error}"),
    }
    usable
}
