//! The grpc_server door on real sockets: the parts round the decision module and how they start and stop.

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
use driver::Driver;
use grpc::{GrpcServer, GrpcSettings};
use maplefall_discovery_agent::Follower;
use maplefall_policy::Discovery;
use membership::Membership;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// How soon a configuration that could not be used at SIGHUP is read again, and how many times: whoever writes it is done
/// within a minute.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RELOAD_RETRIES: u32 = 300;

/// Serves until a SIGTERM has been carried out.
pub async fn run() -> Result<(), String> {
    let no_signals = |error| format!("no signals: {error}");
    // Before anything else: until they are caught, both end the process.
    let mut hangup = signal(SignalKind::hangup()).map_err(no_signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(no_signals)?;
    let config = Config::from_env().map_err(|error| error.to_string())?;
    let listen = config.listen;
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let bound = listener
        .local_addr()
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let sources = sources::from_env()?;
    let classes = &config.parsed.settings.classes;
    let effects: Vec<_> = classes.iter().map(|class| class.effect).collect();
    let auth_settings = auth_settings::from_env(&config.parsed.names.classes, &effects)?;
    let auth_sockets = auth::reserved_sockets(auth_settings.as_ref(), config.limits.sockets);
    let grpc_settings = grpc::from_env(&config.parsed.names.classes)?;
    let shared = counts_settings::from_env()?;
    let reserved_sockets = auth_sockets
        + grpc::reserved_sockets(grpc_settings.as_ref())
        + usize::from(shared.is_some());
    let driver = Driver::new(&config, reserved_sockets, grpc_settings.as_ref());
    let auth =
        auth_settings.map(|settings| Auth::new(settings, driver.clock, config.seed, auth_sockets));
    if let Some(auth) = &auth {
        tokio::task::spawn_local(auth.clone().run_timers());
    }
    if let Some(shared) = shared {
        let name = config.name.clone();
        let counts = counts::SharedCounts::start(
            shared,
            &name,
            driver.clock,
            config.seed,
            driver.settings.gateways,
        )
        .await?;
        driver.enable_shared_counts(counts.clone());
        let driver = driver.clone();
        let notify = move |at, usage| driver.record_usage_elsewhere(at, usage);
        tokio::task::spawn_local(counts.run(notify));
    }
    tokio::task::spawn_local(driver.clone().run_timers());
    tokio::task::spawn_local(driver.clone().close_idle_connections());
    let agent = watch::Sender::new(config.discovery[0]);
    let membership = Membership::new(driver.clone(), sources);
    membership.restore_state_file();
    if let Some(known) = &config.known {
        membership.restore_known_list(known);
    }
    membership.start(config.seed);
    if let Some(source) = membership.agent() {
        let settings = &config.parsed.settings;
        let follower = Follower::new(
            maplefall_discovery_agent::Settings {
                source,
                // Where it pushes, it is an agent on this machine, which answers at once and at no cost, and what it has
                // been sent counts as told. Where it must be asked, it is one service for all doors.
                own: settings.discovery == Discovery::Pushed,
                sharing: settings.gateways,
                stop_within: settings.drain_grace,
                seed: config.seed,
                places: config.discovery.clone(),
                known: config.known.clone(),
            },
            driver.clock.now(),
        );
        let subscriber = membership.clone();
        let deliver = move |output| subscriber.apply_agent_output(output);
        tokio::task::spawn_local(discovery::follow(
            follower,
            driver.clock,
            agent.subscribe(),
            deliver,
        ));
    }
    let clients = Clients::new(driver.clone(), auth.clone(), config.limits.sockets);
    tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::task::spawn_local(clients.clone().sweep());
    eprintln!("{}: serving on {bound}", config.name);
    let grpc_server = match grpc_settings {
        Some(settings) => Some(start_grpc(&config.name, &driver, &auth, settings).await?),
        None => None,
    };
    // For as long as anything is served, so also while the program stops: discovery may move in that time, and what it
    // tells of backends that leave binds the last request as it binds the first.
    let reloads = async {
        let mut retries_left = 0;
        loop {
            // A file that is not whole when its signal comes is read again: nobody sends a second one.
            let signalled = tokio::select! {
                received = hangup.recv() => received.is_some(),
                () = tokio::time::sleep(RELOAD_RETRY_INTERVAL), if retries_left > 0 => false,
            };
            let usable = reload_configuration(&config.name, &agent, &membership, signalled);
            retries_left = match (usable, signalled) {
                (true, _) => 0,
                (false, true) => MAX_RELOAD_RETRIES,
                (false, false) => retries_left.saturating_sub(1),
            };
            if let Some(auth) = auth.as_ref().filter(|_| signalled) {
                auth.clear_cache();
            }
        }
    };
    let stopped = async {
        terminate.recv().await;
        eprintln!("{}: stopping", config.name);
        let calls = async {
            if let Some(grpc_server) = &grpc_server {
                grpc_server.stop().await;
            }
        };
        tokio::join!(clients.stop(), calls);
    };
    tokio::select! {
        () = reloads => {}
        () = stopped => {}
    }
    Ok(())
}

/// Opens the port for gRPC.
async fn start_grpc(
    name: &str,
    driver: &Rc<Driver>,
    auth: &Option<Rc<Auth>>,
    settings: GrpcSettings,
) -> Result<Rc<GrpcServer>, String> {
    let listen = settings.listen;
    let no_port = |error| format!("cannot listen on {listen} for gRPC: {error}");
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(no_port)?;
    let bound = listener.local_addr().map_err(no_port)?;
    let grpc_server = GrpcServer::new(driver.clone(), auth.clone(), settings);
    tokio::task::spawn_local(grpc_server.clone().accept(listener));
    eprintln!("{name}: gRPC on {bound}");
    Ok(grpc_server)
}

/// Re-reads the configuration and the file of sources after SIGHUP. Only where discovery and etcd answer, and credentials,
/// can change while the program runs; what cannot be used is told (once: where `told`), and the old goes on. Tells whether the
/// configuration could be used.
fn reload_configuration(
    name: &str,
    agent: &watch::Sender<SocketAddr>,
    membership: &Membership,
    signalled: bool,
) -> bool {
    let config = Config::reload_discovery();
    let usable = config.is_ok();
    match config {
        Ok(address) => {
            eprintln!("{name}: discovery is at {address}");
            // Also where it is the same: the watch is opened anew.
            agent.send_replace(address);
        }
        Err(error) if signalled => eprintln!("{name}: the old configuration goes on: {error}"),
        Err(_) => {}
    }
    match sources::from_env() {
        _ if !signalled => {}
        Ok(sources) => membership.reload(&sources),
        Err(error) => eprintln!("{name}: the old sources go on: {error}"),
    }
    usable
}
