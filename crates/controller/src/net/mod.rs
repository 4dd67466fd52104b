//! The driver of [`Core`](crate::Core): owns the sockets, the clock, the signals and the disk
//! thread, and carries out the core's outputs.
//!
//! Everything except the disk runs on one thread, which serializes the core's inputs. Modules:
//!
//! - `controller`: the core and the execution of its outputs;
//! - `descriptors`: how many connections the listeners may have open;
//! - `peers`: connections that this controller opens to other controllers;
//! - `internal_connections`: connections that proxies and other controllers open to this one;
//! - `api`, `api_connection`: the calls of backends and of the operator over HTTP;
//! - `disk_thread`: the thread that owns the store;
//! - `lease_requests`: processes lease requests when no other input is pending;
//! - `load`: the time that the thread spends on each kind of input, for the log;
//! - `settings_reload`, `shutdown`: changes of the settings file, and graceful shutdown.

mod api;
mod api_connection;
mod controller;
mod descriptors;
mod disk_thread;
mod internal_connections;
mod lease_requests;
mod load;
mod peers;
mod settings_reload;
mod shutdown;

use crate::core::TICK;
use crate::store::Error as StoreError;
use controller::Controller;
use descriptors::DescriptorBudget;
use disk_thread::{DiskThread, WriteResult};
use load::InputKind;
use maplefall_node_settings::{Settings, SettingsFile};
use settings_reload::{ReloadTrigger, SettingsReload};
use shutdown::Shutdown;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Interval, MissedTickBehavior};

/// Delay before the next accept when the system has no file descriptor for a new connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a controller ends other than by a graceful shutdown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The controller cannot listen at this address.
    #[error("step=listen address={0} error={kind:?}", kind = .1.kind())]
    Listen(SocketAddr, #[source] std::io::Error),
    /// The settings lack this field.
    #[error("step=settings missing={0}")]
    Missing(&'static str),
    /// The signal handlers cannot be installed.
    #[error("step=signals error={kind:?}", kind = .0.kind())]
    Signals(#[source] std::io::Error),
    /// The disk cannot be used, or its content cannot be read.
    #[error("{0}")]
    Store(#[source] StoreError),
    /// The disk thread has ended without an error.
    #[error("step=disk error=thread_ended")]
    DiskThreadEnded,
}

/// The signals that a controller handles.
struct Signals {
    /// SIGTERM: graceful shutdown.
    terminate: Signal,
    /// SIGHUP: reload of the settings file.
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Signals, Error> {
        let install = |kind| signal(kind).map_err(Error::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// The addresses and the directory that a controller requires in its settings.
struct Addresses {
    /// The address for API calls of backends and the operator, over HTTP.
    api: SocketAddr,
    /// The address for connections of proxies and other controllers.
    internal: SocketAddr,
    data_dir: PathBuf,
}

impl Addresses {
    fn from_settings(settings: &Settings) -> Result<Addresses, Error> {
        let api = settings.bind.control;
        let data_dir = settings.data_dir.clone();
        Ok(Addresses {
            api: api.ok_or(Error::Missing("Bind.Control"))?,
            internal: SocketAddr::new(settings.ip, settings.internal_ports.0),
            data_dir: data_dir.ok_or(Error::Missing("DataDir"))?,
        })
    }
}

/// Runs a controller until a graceful shutdown, begun by a SIGTERM, is complete. `seed` is its only
/// source of randomness.
///
/// # Errors
///
/// If the controller cannot start, or if the disk fails while it runs.
pub async fn run(mut settings: Settings, file: SettingsFile, seed: u64) -> Result<(), Error> {
    let mut signals = Signals::new()?;
    let addresses = Addresses::from_settings(&settings)?;
    let api_listener = listen(addresses.api).await?;
    let internal_listener = listen(addresses.internal).await?;
    let disk = DiskThread::start(addresses.data_dir);
    // A failing disk delays the start, but not a SIGTERM.
    let stored = tokio::select! {
        biased;
        _ = signals.terminate.recv() => return Ok(()),
        result = disk.open_result => result.map_err(|_| Error::DiskThreadEnded)?.map_err(Error::Store)?,
    };
    settings.bootstrap = stored.may_bootstrap(settings.bootstrap);
    log::info!(
        "event=start node={} control={} internal={} bootstrap={} term={} snapshot={} log={} identity={:x?}",
        settings.node,
        addresses.api,
        addresses.internal,
        settings.bootstrap,
        stored.raft.term,
        stored.raft.snapshot.index,
        stored.raft.log.len(),
        stored.raft.identity,
    );
    let controller = Controller::start(&settings, addresses.api, seed, stored, disk.writer);
    tokio::task::spawn_local(api::accept_connections(
        controller.clone(),
        api_listener,
        settings.limits,
    ));
    tokio::task::spawn_local(internal_connections::accept(
        controller.clone(),
        internal_listener,
        DescriptorBudget::new(settings.limits.file_limit).internal,
    ));
    tokio::task::spawn_local(lease_requests::process(controller.clone()));
    let max_shutdown = shutdown::max_duration(&settings);
    let reload = SettingsReload::new(file);
    serve(&controller, signals, disk.results, reload, max_shutdown).await
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::Listen(address, error))
}

/// Passes signals, write results and ticks to the controller.
async fn serve(
    controller: &Rc<Controller>,
    mut signals: Signals,
    mut write_results: UnboundedReceiver<WriteResult>,
    mut reload: SettingsReload,
    max_shutdown: Duration,
) -> Result<(), Error> {
    let mut ticks = ticks();
    let mut shutdown: Option<Shutdown> = None;
    loop {
        tokio::select! {
            biased;
            _ = signals.terminate.recv(), if shutdown.is_none() => {
                shutdown = Some(Shutdown::begin(controller, max_shutdown));
            }
            _ = signals.hangup.recv() => reload.reload(controller, ReloadTrigger::Signal),
            result = write_results.recv() => match result {
                Some(Ok(number)) => {
                    controller.drive(InputKind::DiskWrite, |core, now, out| core.persisted(now, number, out));
                }
                // After an error of the store the state on the disk is unknown, and only a restart
                // can determine it.
                Some(Err(error)) => return Err(Error::Store(error)),
                None => return Ok(()),
            },
            _ = ticks.tick() => {
                controller.tick();
                controller.connect_to_voters();
                reload.tick(controller);
                if shutdown.as_ref().is_some_and(|shutdown| shutdown.is_complete(controller)) {
                    return Ok(());
                }
            }
        }
    }
}

fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(TICK / 1000.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
