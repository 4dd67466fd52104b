//! The front door on real sockets: the parts round the decision module and how they start and stop.

mod backends;
mod clients;
pub mod config;
mod discovery;
mod door;

use clients::Clients;
use config::Config;
use door::Door;
use tokio::signal::unix::{signal, SignalKind};

/// Serves until a SIGTERM has been carried out.
pub async fn run(config: Config) -> Result<(), String> {
    let mut stop = signal(SignalKind::terminate()).map_err(|error| format!("no signals: {error}"))?;
    let listen = config.listen;
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let bound = listener.local_addr().map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let door = Door::new(&config);
    tokio::task::spawn_local(door.clone().keep_time());
    tokio::task::spawn_local(door.clone().tidy());
    tokio::task::spawn_local(discovery::follow(door.clone(), config.discovery, config.known));
    let clients = Clients::new(door.clone(), config.limits.sockets);
    tokio::task::spawn_local(clients.clone().accept(listener));
    eprintln!("{}: serving on {bound}", config.name);
    stop.recv().await;
    eprintln!("{}: stopping", config.name);
    clients.stop().await;
    Ok(())
}
