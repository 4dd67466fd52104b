//! The front door on real sockets: the parts round the decision module and how they start and stop.

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
mod door;
mod grpc;
mod membership;
mod request;
mod sources;

use auth::Auth;
use clients::Clients;
use config::Config;
use door::Door;
use grpc::{Front, GrpcSettings};
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
const READ_AGAIN: Duration = Duration::from_millis(200);
const READ_AGAIN_TIMES: u32 = 300;

/// Serves until a SIGTERM has been carried out.
pub async fn run() -> Result<(), String> {
    let no_signals = |error| format!("no signals: {error}");
    // Before anything else: until they are caught, both end the process.
    let mut reload = signal(SignalKind::hangup()).map_err(no_signals)?;
    let mut stop = signal(SignalKind::terminate()).map_err(no_signals)?;
    let config = Config::from_env().map_err(|error| error.to_string())?;
    let listen = config.listen;
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let bound = listener
        .local_addr()
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let sources = sources::from_env()?;
    let classes = &config.told.settings.classes;
    let effects: Vec<_> = classes.iter().map(|class| class.effect).collect();
    let auth_settings = auth_settings::from_env(&config.told.names.classes, &effects)?;
    let auth_sockets = auth::sockets(auth_settings.as_ref(), config.limits.sockets);
    let grpc_settings = grpc::from_env(&config.told.names.classes)?;
    let shared = counts_settings::from_env()?;
    let elsewhere =
        auth_sockets + grpc::sockets(grpc_settings.as_ref()) + usize::from(shared.is_some());
    let door = Door::new(&config, elsewhere, grpc_settings.as_ref());
    let auth =
        auth_settings.map(|settings| Auth::new(settings, door.clock, config.seed, auth_sockets));
    if let Some(auth) = &auth {
        tokio::task::spawn_local(auth.clone().keep_time());
    }
    if let Some(shared) = shared {
        let name = config.name.clone();
        let counts = counts::Counts::start(
            shared,
            &name,
            door.clock,
            config.seed,
            door.settings.gateways,
        )
        .await?;
        door.share(counts.clone());
        let driver = door.clone();
        let notify = move |at, usage| driver.used_elsewhere(at, usage);
        tokio::task::spawn_local(counts.run(notify));
    }
    tokio::task::spawn_local(door.clone().keep_time());
    tokio::task::spawn_local(door.clone().tidy());
    let agent = watch::Sender::new(config.discovery[0]);
    let membership = Membership::new(door.clone(), sources);
    membership.recall_last_life();
    if let Some(known) = &config.known {
        membership.recall(known);
    }
    membership.start(config.seed);
    if let Some(source) = membership.agent() {
        let settings = &config.told.settings;
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
            door.clock.now(),
        );
        let told = membership.clone();
        let take = move |output| told.agent_said(output);
        tokio::task::spawn_local(discovery::follow(
            follower,
            door.clock,
            agent.subscribe(),
            take,
        ));
    }
    let clients = Clients::new(door.clone(), auth.clone(), config.limits.sockets);
    tokio::task::spawn_local(clients.clone().accept(listener));
    tokio::task::spawn_local(clients.clone().sweep());
    eprintln!("{}: serving on {bound}", config.name);
    let front = match grpc_settings {
        Some(settings) => Some(listen_for_calls(&config.name, &door, &auth, settings).await?),
        None => None,
    };
    // For as long as anything is served, so also while the program stops: discovery may move in that time, and what it
    // tells of backends that leave binds the last request as it binds the first.
    let reloads = async {
        let mut again = 0;
        loop {
            // A file that is not whole when its signal comes is read again: nobody sends a second one.
            let told = tokio::select! {
                told = reload.recv() => told.is_some(),
                () = tokio::time::sleep(READ_AGAIN), if again > 0 => false,
            };
            let taken = take_up(&config.name, &agent, &membership, told);
            again = match (taken, told) {
                (true, _) => 0,
                (false, true) => READ_AGAIN_TIMES,
                (false, false) => again.saturating_sub(1),
            };
            if let Some(auth) = auth.as_ref().filter(|_| told) {
                auth.forget();
            }
        }
    };
    let stopped = async {
        stop.recv().await;
        eprintln!("{}: stopping", config.name);
        let calls = async {
            if let Some(front) = &front {
                front.stop().await;
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
async fn listen_for_calls(
    name: &str,
    door: &Rc<Door>,
    auth: &Option<Rc<Auth>>,
    settings: GrpcSettings,
) -> Result<Rc<Front>, String> {
    let listen = settings.listen;
    let no_port = |error| format!("cannot listen on {listen} for gRPC: {error}");
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(no_port)?;
    let bound = listener.local_addr().map_err(no_port)?;
    let front = Front::new(door.clone(), auth.clone(), settings);
    tokio::task::spawn_local(front.clone().accept(listener));
    eprintln!("{name}: gRPC on {bound}");
    Ok(front)
}

/// Re-reads the configuration and the file of sources after SIGHUP. Only where discovery and etcd answer, and credentials,
/// can change while the program runs; what cannot be used is told (once: where `told`), and the old goes on. Tells whether the
/// configuration could be used.
fn take_up(
    name: &str,
    agent: &watch::Sender<SocketAddr>,
    membership: &Membership,
    told: bool,
) -> bool {
    let config = Config::told_discovery();
    let taken = config.is_ok();
    match config {
        Ok(address) => {
            eprintln!("{name}: discovery is at {address}");
            // Also where it is the same: the watch is opened anew.
            agent.send_replace(address);
        }
        Err(error) if told => eprintln!("{name}: the old configuration goes on: {error}"),
        Err(_) => {}
    }
    match sources::from_env() {
        _ if !told => {}
        Ok(sources) => membership.take_up(&sources),
        Err(error) => eprintln!("{name}: the old sources go on: {error}"),
    }
    taken
}
