//! Plays a script: the nodes and agents on one thread, the clients on another, and the front doors as processes of the
//! built daemon, driven from here. What all of them see goes into one record.

use crate::daemon::{healthy, own_address, Door, Files};
use crate::etcd_world::EtcdWorld;
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

/// Longest time for a front door to become ready.
const READY: Duration = Duration::from_secs(20);
/// Longest time for one to end after it was told to stop: the longest deadline of the platform and its 0.7 s, widely.
const STOP: Duration = Duration::from_secs(15);
/// How long an agent that has moved keeps its old connections (later-work page).
const MOVE_GRACE: Duration = Duration::from_millis(1500);
/// How long the front opens new connections to a front door that was told to stop (protocol page: 0.2 to 0.4 s).
const STOP_MS: Millis = 300.0;
/// How often the driver looks round.
const LOOK: Duration = Duration::from_millis(5);
/// Time after the last request in which its retries and answers come.
pub const AFTER: Millis = 3500.0;

/// Why a scenario could not be played.
#[derive(Debug, thiserror::Error)]
pub enum NotPlayed {
    /// The system refused something.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        error: io::Error,
    },
    /// A front door did not become ready.
    #[error("front door {door} ended before it was ready, or was not within {READY:?}; its log ends: {log}")]
    NotReady {
        /// Which.
        door: usize,
        /// The end of its log.
        log: String,
    },
    /// A thread of stand-ins ended early.
    #[error("the stand-ins' {0} ended early")]
    StandIn(&'static str),
    /// More was seen than a record holds.
    #[error("{0} lines found no room in the record: a shorter or smaller scenario is needed")]
    Overflow(u64),
}

/// What the network does to counts, with these pairs cut off from one another.
fn weather(sharing: &Sharing, cut: &[(usize, usize)]) -> NetworkConditions {
    let delay_ms = (sharing.delay_ms[0], sharing.delay_ms[1]);
    NetworkConditions {
        loss: sharing.loss,
        duplicated: sharing.loss / 3.0,
        delay_ms,
        partitions: cut.iter().copied().collect(),
    }
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> NotPlayed {
    let what = what.into();
    |error| NotPlayed::Io { what, error }
}

/// What is played, with what, and where.
pub struct Play<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Its script.
    pub script: &'a Script,
    /// The daemon.
    pub daemon: &'a Path,
    /// A breakage to name to it.
    pub breakage: Option<&'a str>,
    /// Where configurations and logs go; made if it is not there.
    pub folder: PathBuf,
    /// Told the time of the script in milliseconds now and then.
    pub progress: &'a dyn Fn(Millis),
}

/// One front door and all that its driver knows of it.
struct Slot {
    files: Files,
    listen: SocketAddr,
    discovery: SocketAddr,
    list: List,
    door: Option<Door>,
    life: u64,
    /// Whether its end is expected, and after how long it is to come back.
    stopping: Option<Millis>,
    restart_at: Option<Millis>,
    ready_by: Option<Instant>,
}

impl Play<'_> {
    /// Plays the script to its end.
    ///
    /// # Errors
    /// Why it could not be played; a front door that misbehaves is no reason.
    pub fn play(&self) -> Result<Trace, NotPlayed> {
        let (scenario, script) = (self.scenario, self.script);
        std::fs::create_dir_all(&self.folder)
            .map_err(io_error(format!("the folder {}", self.folder.display())))?;
        let recorder = Recorder::new();
        let lateness = Lateness::default();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_start = unix.as_secs_f64() * 1000.0 - recorder.now();
        let doors = scenario.gateways as usize;
        let etcd = scenario.sources != Sources::Agent;
        let play = PLAYS.fetch_add(1, Ordering::Relaxed);
        let port = || TcpListener::bind("127.0.0.1:0");
        let mut places = Vec::new();
        for _ in 0..script.slots {
            places.push(Listeners::open(doors).map_err(io_error("listeners for nodes"))?);
        }
        // Agents: one address to begin with, and one to move to.
        let mut agents_at = Vec::new();
        let mut slots = Vec::new();
        let mut etcd_at = Vec::new();
        let mut auth_at = Vec::new();
        for _ in 0..scenario.checks.as_ref().map_or(0, |checks| checks.servers) {
            auth_at.push(port().map_err(io_error("a listener for authentication"))?);
        }
        let auth_addresses: Vec<SocketAddr> = auth_at
            .iter()
            .filter_map(|listener| listener.local_addr().ok())
            .collect();
        let relay = match &scenario.sharing {
            Some(sharing) => {
                let relay = Relay::new(doors, script.header.seed)
                    .map_err(io_error("a network for counts"))?;
                relay.set_conditions(weather(sharing, &[]));
                Some(relay)
            }
            None => None,
        };
        for door in 0..doors {
            let two = [port(), port()].map(|listener| {
                let listener = listener?;
                listener.set_nonblocking(true)?;
                Ok(listener)
            });
            let [first, second] =
                two.map(|listener| listener.map_err(io_error("listeners for agents")));
            let (first, second) = (first?, second?);
            let local = |listener: &TcpListener| {
                listener
                    .local_addr()
                    .map_err(io_error("the address of an agent"))
            };
            let member =
                |node: u32| member(places[node as usize].address(door), node, Health::Up, 0.0);
            let list = List::new((0..scenario.backends).map(member));
            let mut files = Files::new(&self.folder, door);
            if etcd {
                let listener = port().map_err(io_error("a listener for etcd"))?;
                if let Some(text) = settings::sources(scenario.sources, local(&listener)?, door) {
                    let path = self.folder.join(format!("door-{door}-sources.toml"));
                    std::fs::write(&path, text).map_err(io_error("a file of sources"))?;
                    files.sources = Some(path);
                }
                etcd_at.push(listener);
            }
            if let Some(text) = settings::forward_auth(scenario, &auth_addresses) {
                let path = self.folder.join(format!("door-{door}-auth.toml"));
                std::fs::write(&path, text)
                    .map_err(io_error("a file of forward authentication"))?;
                files.forward_auth = Some(path);
            }
            let listen = own_address(std::process::id(), play, door);
            if let Some(relay) = &relay {
                relay.set_destination(door, listen);
                if let Some(text) =
                    settings::shared_counts(scenario, listen, door, &relay.addresses)
                {
                    let path = self.folder.join(format!("door-{door}-counts.toml"));
                    std::fs::write(&path, text).map_err(io_error("a file of shared counts"))?;
                    files.shared_counts = Some(path);
                }
            }
            slots.push(Slot {
                files,
                listen,
                discovery: local(&first)?,
                list: list.clone(),
                door: None,
                life: 0,
                stopping: None,
                restart_at: None,
                ready_by: None,
            });
            agents_at.push((first, local(&second)?, second, list));
        }
        let moved: Vec<SocketAddr> = agents_at.iter().map(|(_, moved, _, _)| *moved).collect();
        let board = GatewayStates::new(doors);
        let addresses: Vec<SocketAddr> = slots.iter().map(|slot| slot.listen).collect();
        let stop = Arc::new(AtomicBool::new(false));
        // Set once all front doors are ready: the moment from which the script counts.
        let (start_world, world_starts) = tokio::sync::oneshot::channel::<Millis>();
        let (start_clients, clients_start) = tokio::sync::oneshot::channel::<Millis>();
        std::thread::scope(|scope| {
            let nodes = {
                let (recorder, lateness, stop) = (recorder.clone(), lateness.clone(), stop.clone());
                scope.spawn(move || {
                    on_a_runtime(play_world(
                        scenario,
                        script,
                        recorder,
                        lateness,
                        unix_start,
                        places,
                        agents_at,
                        etcd_at,
                        auth_at,
                        world_starts,
                        stop,
                    ))
                })
            };
            let clients = {
                let (recorder, lateness, board) =
                    (recorder.clone(), lateness.clone(), board.clone());
                scope.spawn(move || {
                    on_a_runtime(play_clients(
                        scenario,
                        script,
                        recorder,
                        lateness,
                        addresses,
                        board,
                        clients_start,
                    ))
                })
            };
            let driven = self.drive(
                &recorder,
                &board,
                unix_start,
                &mut slots,
                &moved,
                relay.as_ref(),
                start_world,
                start_clients,
                &clients,
            );
            stop.store(true, Ordering::Relaxed);
            let clients = clients.join().unwrap_or(Err(io::ErrorKind::Other.into()));
            let nodes = nodes.join().unwrap_or(Err(io::ErrorKind::Other.into()));
            driven?;
            clients.map_err(|_| NotPlayed::StandIn("clients"))?;
            nodes.map_err(|_| NotPlayed::StandIn("nodes"))
        })?;
        recorder.record(lateness.entry());
        match recorder.dropped() {
            0 => Ok(Trace {
                header: script.header.clone(),
                events: recorder.take_events(),
            }),
            dropped => Err(NotPlayed::Overflow(dropped)),
        }
    }

    /// Starts the front doors, carries out what is done to them, and ends them.
    #[allow(clippy::too_many_arguments)]
    fn drive<T>(
        &self,
        recorder: &Recorder,
        board: &GatewayStates,
        unix_start: Millis,
        slots: &mut [Slot],
        moved: &[SocketAddr],
        relay: Option<&Relay>,
        start_world: tokio::sync::oneshot::Sender<Millis>,
        start_clients: tokio::sync::oneshot::Sender<Millis>,
        clients: &std::thread::ScopedJoinHandle<'_, T>,
    ) -> Result<(), NotPlayed> {
        for door in 0..slots.len() {
            self.start(recorder, unix_start, slots, door)?;
        }
        while slots.iter().any(|slot| slot.ready_by.is_some()) {
            self.look(recorder, board, unix_start, slots)?;
            std::thread::sleep(LOOK);
        }
        let zero = recorder.now() + 100.0;
        // A thread that has ended is found when it is joined.
        let _ = start_world.send(zero);
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
            while let Some((_, door, act)) = acts.next_if(|(at, _, _)| *at <= now) {
                match (act, relay, &self.scenario.sharing) {
                    (GatewayAct::Cut(pairs), Some(relay), Some(sharing)) => {
                        relay.set_conditions(weather(sharing, pairs))
                    }
                    _ => self.act(recorder, board, slots, moved, *door, act)?,
                }
            }
            self.look(recorder, board, unix_start, slots)?;
            (self.progress)(now.max(0.0));
            let idle = slots
                .iter()
                .all(|slot| slot.restart_at.is_none() && slot.ready_by.is_none());
            if clients.is_finished() && acts.peek().is_none() && idle && now >= self.script.length {
                break;
            }
            std::thread::sleep(LOOK);
        }
        for (door, slot) in slots.iter_mut().enumerate() {
            if let Some(process) = &slot.door {
                recorder.record(EventKind::Proxy {
                    proxy: door as u32,
                    state: ProxyState::Terminated,
                });
                process.terminate();
                slot.stopping = Some(f64::INFINITY);
            }
        }
        let end = Instant::now() + STOP;
        while slots.iter().any(|slot| slot.door.is_some()) && Instant::now() < end {
            self.look(recorder, board, unix_start, slots)?;
            std::thread::sleep(LOOK);
        }
        for (door, slot) in slots.iter_mut().enumerate() {
            if let Some(mut process) = slot.door.take() {
                process.kill();
                // It was told to stop and did not: that is an end by a signal of nobody's script.
                recorder.record(EventKind::Proxy {
                    proxy: door as u32,
                    state: ProxyState::Ended { code: None },
                });
            }
        }
        Ok(())
    }

    /// Writes a front door's configuration; tells the list that stands in it.
    fn configure(&self, slot: &Slot, door: usize) -> Result<Members, NotPlayed> {
        let known = slot.list.snapshot();
        let config = settings::config(
            self.scenario,
            self.script,
            door,
            slot.listen,
            slot.discovery,
            Some(&known).filter(|_| self.scenario.sources != Sources::Etcd),
            slot.life,
        );
        slot.files
            .write(&config.to_string())
            .map_err(io_error("a configuration"))?;
        Ok(known)
    }

    fn start(
        &self,
        recorder: &Recorder,
        unix_start: Millis,
        slots: &mut [Slot],
        door: usize,
    ) -> Result<(), NotPlayed> {
        let Some(slot) = slots.get_mut(door) else {
            return Ok(());
        };
        slot.life += 1;
        let known = self.configure(slot, door)?;
        recorder.record(EventKind::Proxy {
            proxy: door as u32,
            state: ProxyState::Started,
        });
        if self.scenario.sources != Sources::Etcd {
            agent::record_update(recorder, door as u32, &known, unix_start);
        }
        let started = Door::start(
            self.daemon,
            &slot.files,
            door,
            slot.listen,
            slot.discovery,
            self.breakage,
        );
        slot.door =
            Some(started.map_err(io_error(format!("the daemon {}", self.daemon.display())))?);
        (slot.stopping, slot.restart_at) = (None, None);
        slot.ready_by = Some(Instant::now() + READY);
        Ok(())
    }

    fn act(
        &self,
        recorder: &Recorder,
        board: &GatewayStates,
        slots: &mut [Slot],
        moved: &[SocketAddr],
        door: usize,
        act: &GatewayAct,
    ) -> Result<(), NotPlayed> {
        let Some(slot) = slots.get_mut(door) else {
            return Ok(());
        };
        let Some(process) = &mut slot.door else {
            return Ok(());
        };
        let number = door as u32;
        let left = |told| {
            let left = Some((recorder.now(), told));
            board.set(door, GatewayState { ready: true, left });
        };
        match act {
            GatewayAct::Kill(down) => {
                let down = *down;
                let (cpu_ms, memory_kib) = process.used();
                // Before the signal: what is lost from here on is the killer's doing.
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Killed,
                });
                process.kill();
                left(false);
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Ended { code: None },
                });
                recorder.record(EventKind::ResourceUsage {
                    proxy: number,
                    cpu_ms,
                    memory_kib,
                });
                (slot.door, slot.ready_by) = (None, None);
                slot.restart_at = Some(recorder.now() + down);
            }
            GatewayAct::Stop(down) => {
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Terminated,
                });
                process.terminate();
                left(true);
                slot.stopping = Some(*down);
            }
            GatewayAct::Cut(_) => {}
            GatewayAct::Reload => {
                slot.discovery = moved[door];
                self.configure(slot, door)?;
                recorder.record(EventKind::Proxy {
                    proxy: number,
                    state: ProxyState::Reloaded,
                });
                if let Some(process) = &slot.door {
                    process.reload();
                }
            }
        }
        Ok(())
    }

    /// Sees who has become ready, who has ended, and who is due to come back.
    fn look(
        &self,
        recorder: &Recorder,
        board: &GatewayStates,
        unix_start: Millis,
        slots: &mut [Slot],
    ) -> Result<(), NotPlayed> {
        for door in 0..slots.len() {
            let slot = &mut slots[door];
            let number = door as u32;
            if let Some(process) = &mut slot.door {
                let (cpu_ms, memory_kib) = process.used();
                if let Some(status) = process.ended() {
                    // One that never served says nothing of the rules: its configuration or address is no good.
                    if slot.life == 1 && slot.ready_by.is_some() {
                        return Err(NotPlayed::NotReady {
                            door,
                            log: slot.files.last_line(),
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
                    slot.door = None;
                    slot.ready_by = None;
                    board.set(
                        door,
                        GatewayState {
                            ready: true,
                            left: Some((recorder.now(), false)),
                        },
                    );
                    // One that ended by itself comes back too, as a supervisor would have it.
                    let down = slot.stopping.unwrap_or(1000.0);
                    slot.restart_at = down.is_finite().then_some(recorder.now() + down);
                    continue;
                }
            }
            if slot.restart_at.is_some_and(|at| recorder.now() >= at) {
                self.start(recorder, unix_start, slots, door)?;
                continue;
            }
            if let Some(by) = slot.ready_by {
                if healthy(slot.listen) {
                    slot.ready_by = None;
                    recorder.record(EventKind::Proxy {
                        proxy: number,
                        state: ProxyState::Ready,
                    });
                    board.set(
                        door,
                        GatewayState {
                            ready: true,
                            left: None,
                        },
                    );
                } else if Instant::now() > by {
                    return Err(NotPlayed::NotReady {
                        door,
                        log: slot.files.last_line(),
                    });
                }
            }
        }
        Ok(())
    }
}

/// Plays that this process has begun.
static PLAYS: AtomicU32 = AtomicU32::new(0);

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

fn on_a_runtime<T>(of: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, of)
}

/// The nodes and agents, until the driver says that all is over.
#[allow(clippy::too_many_arguments)]
async fn play_world(
    scenario: &Scenario,
    script: &Script,
    recorder: Recorder,
    lateness: Lateness,
    unix_start: Millis,
    places: Vec<Listeners>,
    agents_at: Vec<(TcpListener, SocketAddr, TcpListener, List)>,
    etcd_at: Vec<TcpListener>,
    auth_at: Vec<TcpListener>,
    starts: tokio::sync::oneshot::Receiver<Millis>,
    stop: Arc<AtomicBool>,
) -> io::Result<()> {
    let work = scenario.classes.iter().map(|class| Work {
        class: class.name.clone(),
        effect: class.effect,
        // Every limit is longer by this on sockets, that of a node's memory too (protocol page).
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
    let world = SharedState::new(deployment, recorder.clone(), lateness.clone());
    let spec = |number, initial_capacity| BackendSpec {
        number,
        cores: scenario.cores,
        queue: scenario.queue as usize,
        initial_capacity,
        warmup_ms: scenario.warmup_ms,
        connections: scenario.connections as usize,
    };
    let places: Vec<Rc<BackendSlot>> = places.into_iter().map(BackendSlot::over).collect();
    let born: RefCell<Vec<(u32, Millis)>> = RefCell::default();
    for node in 0..scenario.backends {
        places[node as usize].set_backend(Some(Backend::start(&world, spec(node, 1.0))));
    }
    let doors = scenario.gateways as usize;
    let mut etcd = match etcd_at.is_empty() {
        true => None,
        false => {
            let address = |door, node: u32| places[node as usize].address(door);
            Some(EtcdWorld::start(
                etcd_at,
                scenario.backends,
                address,
                recorder.clone(),
                unix_start,
            )?)
        }
    };
    let auths = authentication(script, auth_at, &recorder);
    let mut agents = Vec::new();
    let mut second = Vec::new();
    for (door, (first, _, later, list)) in agents_at.into_iter().enumerate() {
        let agent = Agent::new(door as u32, list, recorder.clone(), unix_start);
        agent.listen(first, MOVE_GRACE);
        agents.push(agent);
        second.push(Some(later));
    }
    let Ok(zero) = starts.await else {
        return Ok(());
    };
    let moves = script
        .gateway_acts
        .iter()
        .filter(|(_, _, act)| *act == GatewayAct::Reload);
    let moves: Vec<(Millis, usize)> = moves.map(|(at, door, _)| (*at, *door)).collect();
    let mut moves = moves.into_iter().peekable();
    let mut acts = script.environment_acts.iter().peekable();
    while !stop.load(Ordering::Relaxed) {
        let next = [
            acts.peek().map(|(at, _)| *at),
            moves.peek().map(|(at, _)| *at),
        ];
        let next = next.into_iter().flatten().fold(f64::INFINITY, f64::min) + zero;
        // Looks up now and then, to see that all is over.
        let until = next.min(recorder.now() + 50.0);
        tokio::time::sleep_until(recorder.instant(until).into()).await;
        let now = recorder.now();
        while let Some((_, door)) = moves.next_if(|(at, _)| at + zero <= now) {
            if let Some(listener) = second[door].take() {
                agents[door].listen(listener, MOVE_GRACE);
            }
        }
        while let Some((at, act)) = acts.next_if(|(at, _)| at + zero <= now) {
            lateness.record(at + zero, now);
            match *act {
                EnvironmentAct::Strike {
                    place,
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
                    places[place].add_fault(Fault {
                        kind,
                        share,
                        until: at + zero + for_ms,
                    });
                }
                EnvironmentAct::Drain { place, turns_away } => {
                    if let Some(node) = places[place].backend() {
                        node.drain(turns_away);
                    }
                }
                EnvironmentAct::End(place) => {
                    if let Some(node) = places[place].backend() {
                        node.stop();
                    }
                    places[place].set_backend(None);
                }
                EnvironmentAct::Start { place, node } => {
                    let fresh = Backend::start(&world, spec(node, scenario.initial_capacity));
                    born.borrow_mut().push((node, fresh.started_at()));
                    places[place].set_backend(Some(fresh));
                }
                EnvironmentAct::Tell {
                    door,
                    place,
                    node,
                    health,
                } => {
                    let health = match health {
                        record::Health::Up => Health::Up,
                        record::Health::Draining => Health::Draining,
                        record::Health::Removed => Health::Removed,
                    };
                    let born = born.borrow();
                    let life = born.iter().rev().find(|(known, _)| *known == node);
                    let born_ms = life.map_or(0.0, |(_, at)| unix_start + at);
                    agents[door].update(&member(
                        places[place].address(door),
                        node,
                        health,
                        born_ms,
                    ));
                }
                EnvironmentAct::Silence { door, silent } => agents[door].set_silent(silent),
                EnvironmentAct::Lapse { door, lapse } => agents[door].set_lapse(lapse),
                EnvironmentAct::Vanish { door } => agents[door].vanish(),
                EnvironmentAct::BreakOff => agents.iter().for_each(|agent| agent.break_off()),
                EnvironmentAct::Repeat => agents.iter().for_each(|agent| agent.repeat()),
                EnvironmentAct::Commit {
                    place,
                    node,
                    health,
                } => match &mut etcd {
                    Some(etcd) => {
                        let born = born.borrow();
                        let life = born
                            .iter()
                            .rev()
                            .find(|(known, _)| *known == node)
                            .map(|(_, at)| *at);
                        etcd.write(doors, node, health, life, |door| {
                            places[place].address(door)
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
                EnvironmentAct::Member { door, act } => {
                    if let Some(etcd) = &etcd {
                        etcd.act(door, act);
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

/// The servers of the authentication service, which let pass whom the script does not deny.
fn authentication(
    script: &Script,
    listeners: Vec<TcpListener>,
    recorder: &Recorder,
) -> Vec<Rc<Auth>> {
    if listeners.is_empty() {
        return Vec::new();
    }
    let denied: BTreeSet<u64> = script.denied.iter().copied().collect();
    let mut passes: BTreeSet<u64> = script.requests.iter().map(|ask| ask.customer).collect();
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

/// The clients, until the last of them has its answer.
async fn play_clients(
    scenario: &Scenario,
    script: &Script,
    recorder: Recorder,
    lateness: Lateness,
    doors: Vec<SocketAddr>,
    board: GatewayStates,
    starts: tokio::sync::oneshot::Receiver<Millis>,
) -> io::Result<()> {
    let kinds = scenario.classes.iter().map(|class| RequestClass {
        name: class.name.clone(),
        effect: class.effect,
        memory_ms: class.memory_ms,
        give_up_ms: class.give_up_ms,
    });
    let habits = ClientBehavior {
        retries: scenario.retries,
        backoff: match scenario.backoff.as_str() {
            "none" => Backoff::AtOnce,
            "doubling" => Backoff::Doubling(scenario.backoff_ms),
            _ => Backoff::Fixed(scenario.backoff_ms),
        },
        honour: scenario.honour,
        max_wait_ms: settings::MOST_WAIT_MS,
        patience: scenario.patience,
        notice_ms: script.notice_ms,
        stop_ms: STOP_MS,
        busiest_ms: scenario.busiest_ms,
        answer_slack_ms: script.header.rules.response_slack_ms
            + script.header.rules.socket_slack_ms,
    };
    let plans = scenario
        .plans
        .iter()
        .map(|plan| plan.name.clone())
        .collect();
    let crowd = ClientOptions {
        seed: script.header.seed,
        kinds: kinds.collect(),
        plans,
        habits,
        gateways: doors.clone(),
        board,
        credentials: scenario.checks.is_some(),
    };
    let clients = Clients::new(crowd, recorder.clone(), lateness);
    let Ok(zero) = starts.await else {
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
    let mut visits = tokio::task::JoinSet::new();
    for (lot, at) in script.malformed_clients.iter().enumerate() {
        let (recorder, class, plan) = (recorder.clone(), class.clone(), plan.clone());
        let (at, door, kind) = (
            at + zero,
            doors[lot % doors.len()],
            malformed_client::ALL[lot % malformed_client::ALL.len()],
        );
        visits.spawn_local(async move {
            tokio::time::sleep_until(recorder.instant(at).into()).await;
            malformed_client::run(&recorder, door, kind, lot as u64, &class, &plan).await;
        });
    }
    let asks = script.requests.iter().map(|ask| Ask {
        at: ask.at + zero,
        ..ask.clone()
    });
    clients.run(asks).await;
    while visits.join_next().await.is_some() {}
    Ok(())
}
