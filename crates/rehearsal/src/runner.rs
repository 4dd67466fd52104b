//! Runs a script: backends and agents on one thread, clients on another, and gateways as processes
//! of the built program, controlled from here. All observations go into one record.

use crate::daemon::{gateway_address, is_ready, Files, GatewayProcess};
use crate::etcd_cluster::EtcdCluster;
use crate::scenario::{AuthFault, BackendFault, Scenario, Sharing, Sources};
use crate::script::{EnvironmentAct, GatewayAct, Script};
use crate::settings;
use maplefall_event_trace as record;
use maplefall_event_trace::{EventKind, Millis, ProxyState, Recorder, Trace};
use maplefall_protocol::{Health, Member, Members};
use maplefall_test_servers::agent::{self, Agent, List};
use maplefall_test_servers::auth::{self, Auth};
use maplefall_test_servers::backend::{
    Backend, BackendSlot, BackendSpec, Deployment, Fault, FaultKind, Listeners, Metering, Overload,
    SharedState, Work,
};
use maplefall_test_servers::client::{
    credential, Ask, Backoff, ClientBehavior, ClientOptions, Clients, GatewayState, GatewayStates,
    RequestClass,
};
use maplefall_test_servers::lateness::Lateness;
use maplefall_test_servers::malformed_client;
use maplefall_test_servers::relay::{NetworkConditions, Relay};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time for a gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for a gateway to end after SIGTERM: the platform's longest deadline and its 0.7 s,
/// with a wide margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// How long an agent keeps its old connections after its address has changed (later-work page).
const MOVE_GRACE: Duration = Duration::from_millis(1500);
/// How long the load balancer opens new connections to a gateway after SIGTERM (protocol page: 0.2
/// to 0.4 s).
const NEW_CONNECTIONS_AFTER_STOP_MS: Millis = 300.0;
/// Poll interval of the driver.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time allowed after the last request for its retries and responses.
pub const AFTER_LAST_REQUEST_MS: Millis = 3500.0;

/// Reason why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An I/O operation failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation.
        what: String,
        /// The error.
        error: io::Error,
    },
    /// A gateway did not become ready.
    #[error("front door {gateway} ended before it was ready, or was not within {READY_TIMEOUT:?}; its log ends: {log}")]
    NotReady {
        /// Index of the gateway.
        gateway: usize,
        /// Last line of its log.
        log: String,
    },
    /// A thread of the test servers or clients ended early.
    #[error("the test servers' thread for {0} ended early")]
    ThreadEnded(&'static str),
    /// There were more events than a record holds.
    #[error("the record overflowed by {0} events: use a shorter or smaller scenario")]
    Overflow(u64),
}

/// Network conditions of shared counts, with the given (from, to) pairs partitioned.
fn network_conditions(sharing: &Sharing, partitioned: &[(usize, usize)]) -> NetworkConditions {
    let delay_ms = (sharing.delay_ms[0], sharing.delay_ms[1]);
    NetworkConditions {
        loss: sharing.loss,
        duplicated: sharing.loss / 3.0,
        delay_ms,
        partitions: partitioned.iter().copied().collect(),
    }
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
    let what = what.into();
    |error| RunError::Io { what, error }
}

/// A run of a scenario.
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Its script.
    pub script: &'a Script,
    /// Path of the gateway program.
    pub daemon: &'a Path,
    /// Breakage to enable in the program.
    pub breakage: Option<&'a str>,
    /// Directory for configurations and logs; created if missing.
    pub directory: PathBuf,
    /// Called periodically with the script's time in milliseconds.
    pub progress: &'a dyn Fn(Millis),
}

/// A gateway and the driver's state for it.
struct Gateway {
    files: Files,
    listen: SocketAddr,
    discovery: SocketAddr,
    list: List,
    process: Option<GatewayProcess>,
    instance: u64,
    /// Set once the process has been terminated: time from its end to its restart.
    stopping: Option<Millis>,
    restart_at: Option<Millis>,
    ready_by: Option<Instant>,
}

impl Run<'_> {
    /// Runs the script to its end.
    ///
    /// # Errors
    /// Returns why the script could not be run. A gateway that misbehaves is not an error.
    pub fn run(&self) -> Result<Trace, RunError> {
        let (scenario, script) = (self.scenario, self.script);
        std::fs::create_dir_all(&self.directory).map_err(io_error(format!(
            "the directory {}",
            self.directory.display()
        )))?;
        let recorder = Recorder::new();
        let lateness = Lateness::default();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_start = unix.as_secs_f64() * 1000.0 - recorder.now();
        let gateway_count = scenario.gateways as usize;
        let etcd = scenario.sources != Sources::Agent;
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let port = || TcpListener::bind("127.0.0.1:0");
        let mut backend_slots = Vec::new();
        for _ in 0..script.slots {
            backend_slots
                .push(Listeners::open(gateway_count).map_err(io_error("listeners for backends"))?);
        }
        // Each agent has an initial address and one to move to.
        let mut agent_listeners = Vec::new();
        let mut gateways = Vec::new();
        let mut etcd_listeners = Vec::new();
        let mut auth_listeners = Vec::new();
        for _ in 0..scenario.checks.as_ref().map_or(0, |checks| checks.servers) {
            auth_listeners.push(port().map_err(io_error("a listener for authentication"))?);
        }
        let auth_addresses: Vec<SocketAddr> = auth_listeners
            .iter()
            .filter_map(|listener| listener.local_addr().ok())
            .collect();
        let relay = match &scenario.sharing {
            Some(sharing) => {
                let relay = Relay::new(gateway_count, script.header.seed)
                    .map_err(io_error("a network relay for shared counts"))?;
                relay.set_conditions(network_conditions(sharing, &[]));
                Some(relay)
            }
            None => None,
        };
        for index in 0..gateway_count {
            let listeners = [port(), port()].map(|listener| {
                let listener = listener?;
                listener.set_nonblocking(true)?;
                Ok(listener)
            });
            let [first, second] =
                listeners.map(|listener| listener.map_err(io_error("listeners for agents")));
            let (first, second) = (first?, second?);
            let local = |listener: &TcpListener| {
                listener
                    .local_addr()
                    .map_err(io_error("the address of an agent"))
            };
            let member = |node: u32| {
                member(
                    backend_slots[node as usize].address(index),
                    node,
                    Health::Up,
                    0.0,
                )
            };
            let list = List::new((0..scenario.backends).map(member));
            let mut files = Files::new(&self.directory, index);
            if etcd {
                let listener = port().map_err(io_error("a listener for etcd"))?;
                if let Some(text) = settings::sources(scenario.sources, local(&listener)?, index) {
                    let path = self.directory.join(format!("door-{index}-sources.toml"));
                    std::fs::write(&path, text).map_err(io_error("a file of sources"))?;
                    files.sources = Some(path);
                }
                etcd_listeners.push(listener);
            }
            if let Some(text) = settings::forward_auth(scenario, &auth_addresses) {
                let path = self.directory.join(format!("door-{index}-auth.toml"));
                std::fs::write(&path, text)
                    .map_err(io_error("a file of forward authentication"))?;
                files.forward_auth = Some(path);
            }
            let listen = gateway_address(std::process::id(), run, index);
            if let Some(relay) = &relay {
                relay.set_destination(index, listen);
                if let Some(text) =
                    settings::shared_counts(scenario, listen, index, &relay.addresses)
                {
                    let path = self.directory.join(format!("door-{index}-counts.toml"));
                    std::fs::write(&path, text).map_err(io_error("a file of shared counts"))?;
                    files.shared_counts = Some(path);
                }
            }
            gateways.push(Gateway {
                files,
                listen,
                discovery: local(&first)?,
                list: list.clone(),
                process: None,
                instance: 0,
                stopping: None,
                restart_at: None,
                ready_by: None,
            });
            agent_listeners.push((first, local(&second)?, second, list));
        }
        let new_agent_addresses: Vec<SocketAddr> = agent_listeners
            .iter()
            .map(|(_, new_address, _, _)| *new_address)
            .collect();
        let gateway_states = GatewayStates::new(gateway_count);
        let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.listen).collect();
        let stop = Arc::new(AtomicBool::new(false));
        // Sent once all gateways are ready: the time zero of the script.
        let (start_environment, environment_start) = tokio::sync::oneshot::channel::<Millis>();
        let (start_clients, clients_start) = tokio::sync::oneshot::channel::<Millis>();
        std::thread::scope(|scope| {
            let environment = {
                let (recorder, lateness, stop) = (recorder.clone(), lateness.clone(), stop.clone());
                scope.spawn(move || {
                    block_on_local(run_environment(
                        scenario,
                        script,
                        recorder,
                        lateness,
                        unix_start,
                        backend_slots,
                        agent_listeners,
                        etcd_listeners,
                        auth_listeners,
                        environment_start,
                        stop,
                    ))
                })
            };
            let clients = {
                let (recorder, lateness, gateway_states) =
                    (recorder.clone(), lateness.clone(), gateway_states.clone());
                scope.spawn(move || {
                    block_on_local(run_clients(
                        scenario,
                        script,
                        recorder,
                        lateness,
                        addresses,
                        gateway_states,
                        clients_start,
                    ))
                })
            };
            let result = self.drive(
                &recorder,
                &gateway_states,
                unix_start,
                &mut gateways,
                &new_agent_addresses,
                relay.as_ref(),
                start_environment,
                start_clients,
                &clients,
            );
            stop.store(true, Ordering::Relaxed);
            let clients = clients.join().unwrap_or(Err(io::ErrorKind::Other.into()));
            let environment = environment
                .join()
                .unwrap_or(Err(io::ErrorKind::Other.into()));
            result?;
            clients.map_err(|_| RunError::ThreadEnded("clients"))?;
            environment.map_err(|_| RunError::ThreadEnded("backends"))
        })?;
        recorder.record(lateness.entry());
        match recorder.dropped() {
            0 => Ok(Trace {
                header: script.header.clone(),
                events: recorder.take_events(),
            }),
            dropped => Err(RunError::Overflow(dropped)),
        }
    }

    /// Starts the gateways, carries out the script's actions on them, and stops them.
    #[allow(clippy::too_many_arguments)]
    fn drive<T>(
        &self,
        recorder: &Recorder,
        gateway_states: &GatewayStates,
        unix_start: Millis,
        gateways: &mut [Gateway],
        new_agent_addresses: &[SocketAddr],
        relay: Option<&Relay>,
        start_environment: tokio::sync::oneshot::Sender<Millis>,
        start_clients: tokio::sync::oneshot::Sender<Millis>,
        clients: &std::thread::ScopedJoinHandle<'_, T>,
    ) -> Result<(), RunError> {
        for index in 0..gateways.len() {
            self.start(recorder, unix_start, gateways, index)?;
        }
        while gateways.iter().any(|gateway| gateway.ready_by.is_some()) {
            self.poll(recorder, gateway_states, unix_start, gateways)?;
            std::thread::sleep(POLL_INTERVAL);
        }
        let zero = recorder.now() + 100.0;
        // A thread that has ended is detected when it is joined.
        let _ = start_environment.send(zero);
        let _ = start_clients.send(zero);
        let mut acts = self.script.gateway_acts.iter().peekable();
        let mut failures = self.script.failures.iter().peekable();
        loop {
            let now = recorder.now() - zero;
            while let Some((_, name, begins)) = failures.next_if(|(at, _, _)| *at <= now) {
                recorder.record(EventKind::Fault {
                    name: name.clone(),
                    is_start: *begins,
                });
            }
            while let Some((_, index, act)) = acts.next_if(|(at, _, _)| *at <= now) {
                match (act, relay, &self.scenario.sharing) {
                    (GatewayAct::Cut(pairs), Some(relay), Some(sharing)) => {
                        relay.set_conditions(network_conditions(sharing, pairs))
                    }
                    _ => self.act(
                        recorder,
                        gateway_states,
                        gateways,
                        new_agent_addresses,
                        *index,
                        act,
                    )?,
                }
            }
            self.poll(recorder, gateway_states, unix_start, gateways)?;
            (self.progress)(now.max(0.0));
            let idle = gateways
                .iter()
                .all(|gateway| gateway.restart_at.is_none() && gateway.ready_by.is_none());
            if clients.is_finished() && acts.peek().is_none() && idle && now >= self.script.length {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if let Some(process) = &gateway.process {
                recorder.record(EventKind::Proxy {
                    proxy: index as u32,
                    state: ProxyState::Terminated,
                });
                process.terminate();
                gateway.stopping = Some(f64::INFINITY);
            }
        }
        let end = Instant::now() + STOP_TIMEOUT;
        while gateways.iter().any(|gateway| gateway.process.is_some()) && Instant::now() < end {
            self.poll(recorder, gateway_states, unix_start, gateways)?;
            std::thread::sleep(POLL_INTERVAL);
        }
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if let Some(mut process) = gateway.process.take() {
                process.kill();
                // It did not end after SIGTERM: recorded as ended by a signal that no script sent.
                recorder.record(EventKind::Proxy {
                    proxy: index as u32,
                    state: ProxyState::Ended { code: None },
                });
            }
        }
        Ok(())
    }

    /// Writes a gateway's configuration. Returns the list of backends in it.
    fn configure(&self, gateway: &Gateway, index: usize) -> Result<Members, RunError> {
        let known = gateway.list.snapshot();
        let config = settings::config(
            self.scenario,
            self.script,
            index,
            gateway.listen,
            gateway.discovery,
            Some(&known).filter(|_| self.scenario.sources != Sources::Etcd),
            gateway.instance,
        );
        gateway
            .files
            .write(&config.to_string())
            .map_err(io_error("a configuration"))?;
        Ok(known)
    }

    fn start(
        &self,
        recorder: &Recorder,
        unix_start: Millis,
        gateways: &mut [Gateway],
        index: usize,
    ) -> Result<(), RunError> {
        let Some(gateway) = gateways.get_mut(index) else {
            return Ok(());
        };
        gateway.instance += 1;
        let known = self.configure(gateway, index)?;
        recorder.record(EventKind::Proxy {
            proxy: index as u32,
            state: ProxyState::Started,
        });
        if self.scenario.sources != Sources::Etcd {
            agent::record_update(recorder, index as u32, &known, unix_start);
        }
        let started = GatewayProcess::start(
            self.daemon,
            &gateway.files,
            index,
            gateway.listen,
            gateway.discovery,
            self.breakage,
        );
        gateway.process =
            Some(started.map_err(io_error(format!("the daemon {}", self.daemon.display())))?);
        (gateway.stopping, gateway.restart_at) = (None, None);
        gateway.ready_by = Some(Instant::now() + READY_TIMEOUT);
        Ok(())
    }

    fn act(
        &self,
        recorder: &Recorder,
        gateway_states: &GatewayStates,
        gateways: &mut [Gateway],
        new_agent_addresses: &[SocketAddr],
        index: usize,
        act: &GatewayAct,
    ) -> Result<(), RunError> {
        let Some(gateway) = gateways.get_mut(index) else {
            return Ok(());
        };
        let Some(process) = &mut gateway.process else {
            return Ok(());
        };
        let number = index as u32;
        let set_left = |terminated| {
            let left = Some((recorder.now(), terminated));
            gateway_states.set(index, GatewayState { ready: true, left });
        };
        match act {
            GatewayAct::Kill(down) => {
                let down = *down;
                let (cpu_ms, memory_kib) = process.resource_usage();
                // Recorded before the signal: what is lost from here on is due to the kill.
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Killed,
                });
                process.kill();
                set_left(false);
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Ended { code: None },
                });
                recorder.record(EventKind::ResourceUsage {
                    proxy: number,
                    cpu_ms,
                    memory_kib,
                });
                (gateway.process, gateway.ready_by) = (None, None);
                gateway.restart_at = Some(recorder.now() + down);
            }
            GatewayAct::Stop(down) => {
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Terminated,
                });
                process.terminate();
                set_left(true);
                gateway.stopping = Some(*down);
            }
            GatewayAct::Cut(_) => {}
            GatewayAct::Reload => {
                gateway.discovery = new_agent_addresses[index];
                self.configure(gateway, index)?;
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Reloaded,
                });
                if let Some(process) = &gateway.process {
                    process.reload();
                }
            }
        }
        Ok(())
    }

    /// Polls the gateways: notices which are ready or have ended, and restarts those that are due.
    fn poll(
        &self,
        recorder: &Recorder,
        gateway_states: &GatewayStates,
        unix_start: Millis,
        gateways: &mut [Gateway],
    ) -> Result<(), RunError> {
        for index in 0..gateways.len() {
            let gateway = &mut gateways[index];
            let number = index as u32;
            if let Some(process) = &mut gateway.process {
                let (cpu_ms, memory_kib) = process.resource_usage();
                if let Some(status) = process.exit_status() {
                    // A gateway that ends before it is ready for the first time has a bad
                    // configuration or address; that is no verdict on the rules.
                    if gateway.instance == 1 && gateway.ready_by.is_some() {
                        return Err(RunError::NotReady {
                            gateway: index,
                            log: gateway.files.last_line(),
                        });
                    }
                    let state = ProxyState::Ended {
                        code: status.code(),
                    };
                    recorder.record(EventKind::Proxy {
                        proxy: number,
                        state,
                    });
                    recorder.record(EventKind::ResourceUsage {
                        proxy: number,
                        cpu_ms,
                        memory_kib,
                    });
                    gateway.process = None;
                    gateway.ready_by = None;
                    gateway_states.set(
                        index,
                        GatewayState {
                            ready: true,
                            left: Some((recorder.now(), false)),
                        },
                    );
                    // A gateway that ended by itself is restarted too, as a supervisor would do.
                    let down = gateway.stopping.unwrap_or(1000.0);
                    gateway.restart_at = down.is_finite().then_some(recorder.now() + down);
                    continue;
                }
            }
            if gateway.restart_at.is_some_and(|at| recorder.now() >= at) {
                self.start(recorder, unix_start, gateways, index)?;
                continue;
            }
            if let Some(by) = gateway.ready_by {
                if is_ready(gateway.listen) {
                    gateway.ready_by = None;
                    recorder.record(EventKind::Proxy {
                        proxy: number,
                        state: ProxyState::Ready,
                    });
                    gateway_states.set(
                        index,
                        GatewayState {
                            ready: true,
                            left: None,
                        },
                    );
                } else if Instant::now() > by {
                    return Err(RunError::NotReady {
                        gateway: index,
                        log: gateway.files.last_line(),
                    });
                }
            }
        }
        Ok(())
    }
}

/// Number of runs started by this process.
static RUNS: AtomicU32 = AtomicU32::new(0);

fn member(dial: SocketAddr, node: u32, health: Health, born_ms: Millis) -> Member {
    Member {
        host: agent::host(node),
        dial,
        site: "z-1".into(),
        block: 0,
        health,
        share: 1.0,
        born_ms,
    }
}

fn block_on_local<T>(future: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Runs the backends, agents, etcd and authentication servers until the driver sets `stop`.
#[allow(clippy::too_many_arguments)]
async fn run_environment(
    scenario: &Scenario,
    script: &Script,
    recorder: Recorder,
    lateness: Lateness,
    unix_start: Millis,
    backend_slots: Vec<Listeners>,
    agent_listeners: Vec<(TcpListener, SocketAddr, TcpListener, List)>,
    etcd_listeners: Vec<TcpListener>,
    auth_listeners: Vec<TcpListener>,
    start: tokio::sync::oneshot::Receiver<Millis>,
    stop: Arc<AtomicBool>,
) -> io::Result<()> {
    let work = scenario.classes.iter().map(|class| Work {
        class: class.name.clone(),
        effect: class.effect,
        // Every limit is longer by this on sockets, also that of a backend's duplicate
        // suppression (protocol page).
        memory_ms: class.memory_ms + script.header.rules.socket_slack_ms,
        work_ms: class.work_ms,
    });
    let rules = script.header.rules;
    let deployment = Deployment {
        seed: script.header.seed,
        work: work.collect(),
        metering: Metering {
            period_ms: settings::METER_MS,
            delay_ms: script.meter_delay_ms,
            rates: scenario.plans.iter().map(|plan| plan.rate).collect(),
        },
        idle_ms: settings::IDLE_MS,
        overload: Overload {
            factor: rules.overload_factor,
            window_ms: rules.overload_window_ms,
            slack_ms: rules.warmup_slack_ms,
        },
    };
    let shared_state = SharedState::new(deployment, recorder.clone(), lateness.clone());
    let spec = |number, initial_capacity| BackendSpec {
        number,
        cores: scenario.cores,
        queue: scenario.queue as usize,
        initial_capacity,
        warmup_ms: scenario.warmup_ms,
        connections: scenario.connections as usize,
    };
    let backend_slots: Vec<Rc<BackendSlot>> =
        backend_slots.into_iter().map(BackendSlot::over).collect();
    let born: RefCell<Vec<(u32, Millis)>> = RefCell::default();
    for node in 0..scenario.backends {
        backend_slots[node as usize]
            .set_backend(Some(Backend::start(&shared_state, spec(node, 1.0))));
    }
    let gateways = scenario.gateways as usize;
    let mut etcd = match etcd_listeners.is_empty() {
        true => None,
        false => {
            let address = |gateway, node: u32| backend_slots[node as usize].address(gateway);
            Some(EtcdCluster::start(
                etcd_listeners,
                scenario.backends,
                address,
                recorder.clone(),
                unix_start,
            )?)
        }
    };
    let auths = authentication(script, auth_listeners, &recorder);
    let mut agents = Vec::new();
    let mut new_listeners = Vec::new();
    for (gateway, (first, _, new_listener, list)) in agent_listeners.into_iter().enumerate() {
        let agent = Agent::new(gateway as u32, list, recorder.clone(), unix_start);
        agent.listen(first, MOVE_GRACE);
        agents.push(agent);
        new_listeners.push(Some(new_listener));
    }
    let Ok(zero) = start.await else {
        return Ok(());
    };
    let moves = script
        .gateway_acts
        .iter()
        .filter(|(_, _, act)| *act == GatewayAct::Reload);
    let moves: Vec<(Millis, usize)> = moves.map(|(at, gateway, _)| (*at, *gateway)).collect();
    let mut moves = moves.into_iter().peekable();
    let mut acts = script.environment_acts.iter().peekable();
    while !stop.load(Ordering::Relaxed) {
        let next = [
            acts.peek().map(|(at, _)| *at),
            moves.peek().map(|(at, _)| *at),
        ];
        let next = next.into_iter().flatten().fold(f64::INFINITY, f64::min) + zero;
        // Wakes up periodically to check `stop`.
        let until = next.min(recorder.now() + 50.0);
        tokio::time::sleep_until(recorder.instant(until).into()).await;
        let now = recorder.now();
        while let Some((_, gateway)) = moves.next_if(|(at, _)| at + zero <= now) {
            if let Some(listener) = new_listeners[gateway].take() {
                agents[gateway].listen(listener, MOVE_GRACE);
            }
        }
        while let Some((at, act)) = acts.next_if(|(at, _)| at + zero <= now) {
            lateness.record(at + zero, now);
            match *act {
                EnvironmentAct::Strike {
                    place: slot,
                    strike,
                    share,
                    late_ms,
                    for_ms,
                } => {
                    let kind = match strike {
                        BackendFault::Stall => FaultKind::Stall,
                        BackendFault::ResetBefore => FaultKind::ResetBefore,
                        BackendFault::ResetWithin => FaultKind::ResetWithin,
                        BackendFault::ResetAfter => FaultKind::ResetAfter,
                        BackendFault::Spoilt => FaultKind::Malformed,
                        BackendFault::Endless => FaultKind::Endless,
                        BackendFault::FastErrors => FaultKind::FastError,
                        BackendFault::Late => FaultKind::Late(late_ms),
                        BackendFault::Refuse => FaultKind::Refuse,
                        BackendFault::Neighbour => FaultKind::Neighbour(share),
                    };
                    backend_slots[slot].add_fault(Fault {
                        kind,
                        share,
                        until: at + zero + for_ms,
                    });
                }
                EnvironmentAct::Drain {
                    place: slot,
                    turns_away,
                } => {
                    if let Some(node) = backend_slots[slot].backend() {
                        node.drain(turns_away);
                    }
                }
                EnvironmentAct::End(slot) => {
                    if let Some(node) = backend_slots[slot].backend() {
                        node.stop();
                    }
                    backend_slots[slot].set_backend(None);
                }
                EnvironmentAct::Start { place: slot, node } => {
                    let fresh =
                        Backend::start(&shared_state, spec(node, scenario.initial_capacity));
                    born.borrow_mut().push((node, fresh.started_at()));
                    backend_slots[slot].set_backend(Some(fresh));
                }
                EnvironmentAct::Tell {
                    door: gateway,
                    place: slot,
                    node,
                    health,
                } => {
                    let health = match health {
                        record::Health::Up => Health::Up,
                        record::Health::Draining => Health::Draining,
                        record::Health::Removed => Health::Removed,
                    };
                    let born = born.borrow();
                    let instance = born.iter().rev().find(|(known, _)| *known == node);
                    let born_ms = instance.map_or(0.0, |(_, at)| unix_start + at);
                    agents[gateway].update(&member(
                        backend_slots[slot].address(gateway),
                        node,
                        health,
                        born_ms,
                    ));
                }
                EnvironmentAct::Silence {
                    door: gateway,
                    silent,
                } => agents[gateway].set_silent(silent),
                EnvironmentAct::Lapse {
                    door: gateway,
                    lapse,
                } => agents[gateway].set_lapse(lapse),
                EnvironmentAct::Vanish { door: gateway } => agents[gateway].vanish(),
                EnvironmentAct::BreakOff => agents.iter().for_each(|agent| agent.break_off()),
                EnvironmentAct::Repeat => agents.iter().for_each(|agent| agent.repeat()),
                EnvironmentAct::Commit {
                    place: slot,
                    node,
                    health,
                } => match &mut etcd {
                    Some(etcd) => {
                        let born = born.borrow();
                        let instance = born
                            .iter()
                            .rev()
                            .find(|(known, _)| *known == node)
                            .map(|(_, at)| *at);
                        etcd.write(gateways, node, health, instance, |gateway| {
                            backend_slots[slot].address(gateway)
                        });
                    }
                    None => {
                        recorder.record(EventKind::Committed { node, health });
                    }
                },
                EnvironmentAct::Noise { lot } => {
                    if let Some(etcd) = &mut etcd {
                        etcd.noise(lot);
                    }
                }
                EnvironmentAct::Member { door: gateway, act } => {
                    if let Some(etcd) = &etcd {
                        etcd.act(gateway, act);
                    }
                }
                EnvironmentAct::Auth { server, trouble } => {
                    auths[server].fault(
                        trouble.map(|(trouble, share, late)| (auth_fault(trouble, late), share)),
                    );
                }
                EnvironmentAct::Revoke { customer } => {
                    auths
                        .iter()
                        .for_each(|auth| auth.revoke(&credential(customer)));
                    recorder.record(EventKind::Credential {
                        customer,
                        passes: false,
                    });
                }
                EnvironmentAct::Compact => {
                    if let Some(etcd) = &etcd {
                        etcd.compact();
                    }
                }
            }
        }
    }
    Ok(())
}

/// Starts the authentication servers, which pass all customers that the script does not deny.
fn authentication(
    script: &Script,
    listeners: Vec<TcpListener>,
    recorder: &Recorder,
) -> Vec<Rc<Auth>> {
    if listeners.is_empty() {
        return Vec::new();
    }
    let denied: BTreeSet<u64> = script.denied.iter().copied().collect();
    let mut passes: BTreeSet<u64> = script
        .requests
        .iter()
        .map(|request| request.customer)
        .collect();
    passes.retain(|customer| !denied.contains(customer));
    for customer in &denied {
        recorder.record(EventKind::Credential {
            customer: *customer,
            passes: false,
        });
    }
    let begin = |(number, listener): (usize, TcpListener)| {
        let auth = Auth::new(script.header.seed ^ number as u64);
        for customer in &passes {
            auth.grant(&credential(*customer), &["Cache-Control: max-age=600"]);
        }
        tokio::task::spawn_local(auth.clone().serve(listener));
        auth
    };
    listeners.into_iter().enumerate().map(begin).collect()
}

fn auth_fault(trouble: AuthFault, late: Millis) -> auth::Fault {
    match trouble {
        AuthFault::Stall => auth::Fault::Stall,
        AuthFault::Half => auth::Fault::HalfHead,
        AuthFault::Late => {
            auth::Fault::Late(Duration::try_from_secs_f64(late / 1000.0).unwrap_or_default())
        }
        AuthFault::Dead => auth::Fault::ResetBefore,
        AuthFault::Reset => auth::Fault::ResetAfter,
        AuthFault::Twice => auth::Fault::Twice,
        AuthFault::Endless => auth::Fault::Endless,
        AuthFault::Close => auth::Fault::Close,
        AuthFault::Errors => auth::Fault::Status(500),
    }
}

/// Runs the clients until the last one has its response.
async fn run_clients(
    scenario: &Scenario,
    script: &Script,
    recorder: Recorder,
    lateness: Lateness,
    gateways: Vec<SocketAddr>,
    gateway_states: GatewayStates,
    start: tokio::sync::oneshot::Receiver<Millis>,
) -> io::Result<()> {
    let classes = scenario.classes.iter().map(|class| RequestClass {
        name: class.name.clone(),
        effect: class.effect,
        memory_ms: class.memory_ms,
        give_up_ms: class.give_up_ms,
    });
    let behavior = ClientBehavior {
        retries: scenario.retries,
        backoff: match scenario.backoff.as_str() {
            "none" => Backoff::AtOnce,
            "doubling" => Backoff::Doubling(scenario.backoff_ms),
            _ => Backoff::Fixed(scenario.backoff_ms),
        },
        honour: scenario.honour,
        max_wait_ms: settings::MAX_RETRY_AFTER_MS,
        patience: scenario.patience,
        notice_ms: script.notice_ms,
        stop_ms: NEW_CONNECTIONS_AFTER_STOP_MS,
        busiest_ms: scenario.busiest_ms,
        answer_slack_ms: script.header.rules.response_slack_ms
            + script.header.rules.socket_slack_ms,
    };
    let plans = scenario
        .plans
        .iter()
        .map(|plan| plan.name.clone())
        .collect();
    let options = ClientOptions {
        seed: script.header.seed,
        kinds: classes.collect(),
        plans,
        behavior,
        gateways: gateways.clone(),
        states: gateway_states,
        credentials: scenario.checks.is_some(),
    };
    let clients = Clients::new(options, recorder.clone(), lateness);
    let Ok(zero) = start.await else {
        return Ok(());
    };
    let safe = scenario
        .classes
        .iter()
        .find(|class| class.effect == record::Effect::Safe);
    let class = safe
        .or(scenario.classes.first())
        .map_or(String::new(), |class| class.name.clone());
    let plan = scenario
        .plans
        .first()
        .map_or(String::new(), |plan| plan.name.clone());
    let mut malformed_tasks = tokio::task::JoinSet::new();
    for (index, at) in script.malformed_clients.iter().enumerate() {
        let (recorder, class, plan) = (recorder.clone(), class.clone(), plan.clone());
        let (at, gateway, kind) = (
            at + zero,
            gateways[index % gateways.len()],
            malformed_client::ALL[index % malformed_client::ALL.len()],
        );
        malformed_tasks.spawn_local(async move {
            tokio::time::sleep_until(recorder.instant(at).into()).await;
            malformed_client::run(&recorder, gateway, kind, index as u64, &class, &plan).await;
        });
    }
    let requests = script.requests.iter().map(|request| Ask {
        at: request.at + zero,
        ..request.clone()
    });
    clients.run(requests).await;
    while malformed_tasks.join_next().await.is_some() {}
    Ok(())
}
