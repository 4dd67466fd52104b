//! Sockets, time and the disk's thread round [`Core`].

use crate::core::{Call, CallResponse, Core, Output, TICK};
use crate::disk::Directory;
use crate::store::{write_queue, Store, StoreLimits, StoreRecord, StoredState, WriteQueue};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use maplefall_control_messages::{Hello, PROTOCOL_VERSION};
use maplefall_control_transport::fencing::{Admission, ConnectionFence};
use maplefall_control_transport::{
    connect, run_connection, ConnectionError, Event, Handshake, ReconnectBackoff,
    OUTGOING_QUEUE_FRAMES,
};
use maplefall_node_settings::{Settings, SettingsFile};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, Semaphore};

/// Longest body of a call.
const LONGEST_BODY: usize = 32 << 20;
/// How long the body of a call may take to come.
const BODY_COMES: Duration = Duration::from_secs(5);
/// Calls that are worked on at a time; what comes beyond waits in the system's queue.
const MOST_CALLERS: usize = 1024;
/// How long a caller's connection may be without a request.
const CALLER_IDLE: Duration = Duration::from_secs(10);
/// Pause when the system has no descriptor for a new connection.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
/// The settings file is looked at once in this many ticks.
const LOOK: u32 = 20;
/// How long a planned stop takes at least: who is connected finds another exchange, and somebody else leads.
const LAST: Duration = Duration::from_millis(400);
/// How long it waits at most for others to have what rests on this one, or half of the time until the SIGKILL.
const LONGEST_LAST: Duration = Duration::from_millis(2500);

/// For a word to the main loop beside those of the disk's thread.
type Told = mpsc::WeakUnboundedSender<Result<u64, crate::store::Error>>;

/// Why an exchange ends.
#[derive(Debug)]
pub enum Error {
    /// It cannot listen there.
    Listen(SocketAddr, std::io::Error),
    /// The settings lack this.
    Missing(&'static str),
    /// Signals cannot be had.
    Signals(std::io::Error),
    /// Its disk.
    Store(crate::store::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Listen(address, error) => {
                write!(f, "step=listen address={address} error={:?}", error.kind())
            }
            Error::Missing(field) => write!(f, "step=settings missing={field}"),
            Error::Signals(error) => write!(f, "step=signals error={:?}", error.kind()),
            Error::Store(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}

/// An exchange and all its connections.
struct Exchange {
    core: RefCell<Core>,
    started: Instant,
    hello: Hello,
    ip: IpAddr,
    port: u16,
    control: SocketAddr,
    /// What goes to other exchanges, by address.
    peers: RefCell<HashMap<String, mpsc::Sender<Bytes>>>,
    doors: RefCell<HashMap<u64, mpsc::Sender<Bytes>>>,
    /// Of each machine's door and exchange, the latest link that was taken from it: older ones say nothing more.
    fence: RefCell<ConnectionFence<(String, bool)>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<CallResponse>>>,
    last_call: Cell<u64>,
    disk: WriteQueue,
    /// What the disk's thread tells; a record that has no room ends the process this way too.
    told: Told,
}

/// Runs an exchange until a SIGTERM has been carried out.
pub async fn run(mut settings: Settings, mut file: SettingsFile, seed: u64) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let mut hup = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    let control = settings
        .bind
        .control
        .ok_or(Error::Missing("Bind.Control"))?;
    let data = settings.data_dir.clone().ok_or(Error::Missing("DataDir"))?;
    let inner = SocketAddr::new(settings.ip, settings.internal_ports.0);
    let listen = |address| async move {
        TcpListener::bind(address)
            .await
            .map_err(|error| Error::Listen(address, error))
    };
    let (callers, exchanges) = (listen(control).await?, listen(inner).await?);
    let (disk, incoming) = write_queue();
    // One word for each batch that was sent in: no more than there are batches.
    let (told, mut written) = mpsc::unbounded_channel();
    let (opened, opening) = oneshot::channel();
    // The disk's thread holds the only sender: its end is noticed.
    let weak = told.downgrade();
    std::thread::spawn(move || {
        match Store::open_with_retries(Directory::new(&data), StoreLimits::default()) {
            Ok((store, kept)) => {
                if opened.send(Ok(kept)).is_ok() {
                    store.run(&incoming, |result| told.send(result).is_ok());
                }
            }
            // Nobody waits any more: the process ends.
            Err(error) => drop(opened.send(Err(error))),
        }
    });
    // A disk that refuses holds up the start, not a stop.
    let kept = tokio::select! {
        biased;
        _ = term.recv() => return Ok(()),
        opened = opening => match opened {
            Ok(kept) => kept.map_err(Error::Store)?,
            Err(_) => return Err(Error::Missing("the disk's thread")),
        },
    };
    settings.bootstrap = kept.may_bootstrap(settings.bootstrap);
    log::info!(
        "event=start node={} control={control} inner={inner} bootstrap={} term={} snapshot={} log={} identity={:x?}",
        settings.node,
        settings.bootstrap,
        kept.raft.term,
        kept.raft.snapshot.index,
        kept.raft.log.len(),
        kept.raft.identity,
    );
    let exchange = start(&settings, seed, kept, (control, disk, weak));
    tokio::task::spawn_local(exchange.clone().accept_callers(callers));
    tokio::task::spawn_local(exchange.clone().accept_inner(exchanges));
    let mut tick = tokio::time::interval(Duration::from_secs_f64(TICK / 1000.0));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let longest = LONGEST_LAST.min(Duration::from_secs_f64(
        (settings.bounds.grace_s / 2.0).clamp(0.0, 60.0),
    ));
    let (mut last, mut looks) = (None, 0_u32);
    loop {
        tokio::select! {
            biased;
            _ = term.recv(), if last.is_none() => {
                log::info!("event=stop node={}", settings.node);
                exchange.drive(|core, now, out| core.shut_down(now, out));
                last = Some(tokio::time::Instant::now());
            }
            _ = hup.recv() => reload(&exchange, &file, true),
            result = written.recv() => match result {
                Some(Ok(number)) => exchange.drive(|core, now, out| core.persisted(now, number, out)),
                // What is on disk now only a new start can tell.
                Some(Err(error)) => return Err(Error::Store(error)),
                None => return Ok(()),
            },
            _ = tick.tick() => {
                exchange.drive(|core, now, out| core.tick(now, out));
                exchange.dial_voters();
                looks += 1;
                if looks % LOOK == 0 && file.changed() {
                    reload(&exchange, &file, false);
                }
                if let Some(past) = last.map(|last: tokio::time::Instant| last.elapsed()) {
                    let left = exchange.core.borrow().may_stop(exchange.now());
                    if past >= LAST && (left || past >= longest) {
                        log::info!("event=gone left={left} ms={}", past.as_millis());
                        return Ok(());
                    }
                }
            }
        }
    }
}

/// Reads the settings file again; one that cannot be used changes nothing.
fn reload(exchange: &Rc<Exchange>, file: &SettingsFile, told: bool) {
    match Settings::load(file.path()) {
        Ok(settings) => {
            log::info!("event=reload node={} signal={told}", settings.node);
            exchange.core.borrow_mut().reload(&settings);
            settings
                .seeds
                .iter()
                .for_each(|seed| exchange.clone().dial_peer(seed.ip()));
        }
        Err(error) => log::warn!("event=reload signal={told} {error}"),
    }
}

fn start(
    settings: &Settings,
    seed: u64,
    kept: StoredState,
    (control, disk, told): (SocketAddr, WriteQueue, Told),
) -> Rc<Exchange> {
    let mut out = Vec::new();
    let core = Core::new(settings, 0.0, seed, kept, &mut out);
    let hello = Hello {
        version: PROTOCOL_VERSION,
        ip: settings.ip.to_string(),
        node: settings.node.clone(),
        incarnation: seed.max(1),
        is_controller: true,
        config_index: 0,
    };
    let exchange = Rc::new(Exchange {
        core: RefCell::new(core),
        started: Instant::now(),
        hello,
        ip: settings.ip,
        port: settings.internal_ports.0,
        control,
        peers: RefCell::default(),
        doors: RefCell::default(),
        fence: RefCell::default(),
        calls: RefCell::default(),
        last_call: Cell::new(0),
        disk,
        told,
    });
    exchange.clone().carry_out(out);
    for seed in &settings.seeds {
        exchange.clone().dial_peer(seed.ip());
    }
    exchange
}

impl Exchange {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn drive(self: &Rc<Self>, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.core.borrow_mut(), self.now(), &mut out);
        self.clone().carry_out(out);
    }

    fn carry_out(self: Rc<Self>, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, stored) => {
                    // A disk that has let this much pile up is none: the queue takes no more, and the process ends.
                    if let Err(error) = self.disk.push(StoreRecord { number, ..*stored }) {
                        log::error!("event=disk_full {error}");
                        if let Some(told) = self.told.upgrade() {
                            let _ = told.send(Err(error));
                        }
                    }
                }
                Output::SendToPeer(ip, bytes) => self.to_peer(&ip, bytes),
                Output::SendToAllPeers(bytes) => {
                    let all: Vec<String> = self.peers.borrow().keys().cloned().collect();
                    all.iter().for_each(|ip| self.to_peer(ip, bytes.clone()));
                }
                Output::SendToProxy(conn, bytes) => {
                    let full = self
                        .doors
                        .borrow()
                        .get(&conn)
                        .is_some_and(|door| door.try_send(bytes).is_err());
                    if full {
                        // Its task sees the end of the queue and closes the connection.
                        self.drop_door(conn);
                    }
                }
                Output::Respond(number, answer) => {
                    if let Some(call) = self.calls.borrow_mut().remove(&number) {
                        // The caller may have gone.
                        let _ = call.send(answer);
                    }
                }
                Output::Log(line) => log::info!("{line}"),
                Output::Debug(line) => log::debug!("{line}"),
            }
        }
    }

    // ---- Other exchanges ----------------------------------------------------------------------------

    fn to_peer(&self, ip: &str, bytes: Bytes) {
        let full = self
            .peers
            .borrow()
            .get(ip)
            .is_some_and(|peer| peer.try_send(bytes).is_err());
        if full {
            if let Some(peer) = self.peers.borrow_mut().get_mut(ip) {
                // The connection ends with its queue, and is dialled anew.
                *peer = mpsc::channel(1).0;
            }
        }
    }

    fn dial_voters(self: &Rc<Self>) {
        let missing: Vec<IpAddr> = {
            let (core, peers) = (self.core.borrow(), self.peers.borrow());
            let strangers = core.voters().iter().filter(|ip| !peers.contains_key(*ip));
            strangers.filter_map(|ip| ip.parse().ok()).collect()
        };
        missing
            .into_iter()
            .for_each(|ip| self.clone().dial_peer(ip));
    }

    /// Keeps a connection to another exchange, for as long as this one runs.
    fn dial_peer(self: Rc<Self>, ip: IpAddr) {
        let name = ip.to_string();
        if name == self.hello.ip || self.peers.borrow().contains_key(&name) {
            return;
        }
        self.peers
            .borrow_mut()
            .insert(name.clone(), mpsc::channel(1).0);
        tokio::task::spawn_local(async move {
            let address = SocketAddr::new(ip, self.port);
            let (mut known, mut pause) = (true, ReconnectBackoff::default());
            loop {
                let mut up = false;
                let end = match connect(self.ip, address).await {
                    Ok(stream) => {
                        let (sender, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
                        let mut sender = Some(sender);
                        run_connection(
                            stream,
                            outgoing,
                            Handshake::Initiator(self.hello.clone()),
                            |event| {
                                // Nothing but that it reads is said on it by the other side.
                                if let (Event::Up, Some(sender)) = (event, sender.take()) {
                                    up = true;
                                    self.peers.borrow_mut().insert(name.clone(), sender);
                                    log::info!("event=peer_up peer={name}");
                                    self.drive(|core, now, out| {
                                        core.peer_connected(now, &name, out)
                                    });
                                }
                                true
                            },
                        )
                        .await
                    }
                    Err(end) => end,
                };
                if up {
                    (known, pause) = (true, ReconnectBackoff::default());
                }
                if std::mem::take(&mut known) {
                    log::info!("event=peer_down peer={name} {end}");
                }
                self.peers
                    .borrow_mut()
                    .insert(name.clone(), mpsc::channel(1).0);
                if up {
                    self.core.borrow_mut().peer_disconnected(&name);
                }
                pause.wait().await;
            }
        });
    }

    async fn accept_inner(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::task::spawn_local(self.clone().serve_inner(stream, from));
                }
                Err(_) => tokio::time::sleep(NO_DESCRIPTOR).await,
            }
        }
    }

    /// Serves a door or another exchange.
    async fn serve_inner(self: Rc<Self>, stream: TcpStream, from: SocketAddr) {
        let (sender, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
        let mut who: Option<(String, bool)> = None;
        let mut sender = Some(sender);
        let number = Cell::new(0);
        let exchange = &self;
        let end = run_connection(stream, outgoing, Handshake::Acceptor, |event| {
            match (event, &who) {
                (Event::HelloReceived, None) => {
                    number.set(exchange.fence.borrow_mut().next_token());
                    true
                }
                (Event::Verified(hello), None)
                    if hello.version == PROTOCOL_VERSION && hello.incarnation != 0 =>
                {
                    // A machine speaks for itself alone.
                    if hello.ip != from.ip().to_string() {
                        return false;
                    }
                    let (link, speaker) = (number.get(), (hello.ip.clone(), hello.is_controller));
                    let verdict = exchange.fence.borrow_mut().admit(&speaker, link);
                    if verdict == Admission::Stale {
                        log::info!(
                            "event=old_link peer={} life={}",
                            hello.ip,
                            hello.incarnation
                        );
                        return false;
                    }
                    if hello.is_controller {
                        if let Ok(ip) = hello.ip.parse() {
                            exchange.clone().dial_peer(ip);
                        }
                    } else {
                        if let Admission::Replaces(before) = verdict {
                            exchange.drop_door(before);
                        }
                        if let Some(sender) = sender.take() {
                            exchange.doors.borrow_mut().insert(link, sender);
                        }
                        exchange
                            .drive(|core, now, out| core.proxy_connected(now, link, &hello, out));
                    }
                    who = Some(speaker);
                    true
                }
                (Event::Frame(frame), Some(who))
                    if exchange.fence.borrow().is_current(who, number.get()) =>
                {
                    match who {
                        (ip, true) => exchange
                            .drive(|core, now, out| core.receive_from_peer(now, ip, frame, out)),
                        (_, false) => exchange
                            .drive(|core, now, out| core.door(now, number.get(), frame, out)),
                    }
                    true
                }
                _ => false,
            }
        })
        .await;
        if let Some(who) = &who {
            self.fence.borrow_mut().disconnected(who, number.get());
            if !who.1 {
                self.drop_door(number.get());
            }
        }
        log::debug!("event=inner_down from={from} {end}");
        if let ConnectionError::Frame(broken) = end {
            log::warn!("event=stranger from={from} {broken}");
        }
    }

    /// A door's link has ended, or a later one of the same door has come.
    fn drop_door(self: &Rc<Self>, link: u64) {
        // With its queue goes the connection.
        if self.doors.borrow_mut().remove(&link).is_some() {
            self.drive(|core, _, out| core.proxy_disconnected(link, out));
        }
    }

    // ---- Callers ------------------------------------------------------------------------------------

    async fn accept_callers(self: Rc<Self>, listener: TcpListener) {
        let room = std::sync::Arc::new(Semaphore::new(MOST_CALLERS));
        loop {
            let Ok(place) = room.clone().acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let exchange = self.clone();
                    tokio::task::spawn_local(async move {
                        let _place = place;
                        let _ = stream.set_nodelay(true);
                        let service = service_fn(|request| {
                            let exchange = exchange.clone();
                            async move { Ok::<_, Infallible>(exchange.answer(request).await) }
                        });
                        let connection = hyper::server::conn::http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(CALLER_IDLE)
                            .serve_connection(TokioIo::new(stream), service);
                        // A caller that goes or writes no HTTP is no event here.
                        let _ = connection.await;
                    });
                }
                Err(_) => tokio::time::sleep(NO_DESCRIPTOR).await,
            }
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let target = request
            .uri()
            .path_and_query()
            .map(|p| p.as_str().to_owned())
            .unwrap_or_default();
        let (head, body) = request.into_parts();
        let body = Limited::new(body, LONGEST_BODY).collect();
        let body = match tokio::time::timeout(BODY_COMES, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "step=read field=body".to_owned()),
            // Nothing of it was taken: a promise that holds.
            Err(_) => {
                return plain(
                    StatusCode::REQUEST_TIMEOUT,
                    "step=read field=body late".to_owned(),
                )
            }
        };
        let query = head.uri.query().unwrap_or_default();
        let field = |name: &str| {
            let values = query.split('&').filter_map(|pair| pair.split_once('='));
            values
                .into_iter()
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        if head.uri.path() != "/api/rpc" {
            return plain(StatusCode::NOT_FOUND, "step=route".to_owned());
        }
        if head.method != Method::POST {
            return plain(
                StatusCode::METHOD_NOT_ALLOWED,
                "step=route field=method".to_owned(),
            );
        }
        let call = match (field("call").as_deref(), field("of")) {
            (Some("instances.beat"), Some(id)) if !id.is_empty() => Call::Heartbeat(id, body),
            (Some("instances.leave"), Some(id)) if !id.is_empty() => Call::Deregister(id),
            (Some("config.amend"), _) => Call::Amend(body),
            (Some("config.read"), _) => Call::ReadConfig,
            _ => return plain(StatusCode::BAD_REQUEST, "step=route field=call".to_owned()),
        };
        let (sender, receiver) = oneshot::channel();
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        self.calls.borrow_mut().insert(number, sender);
        // A caller that goes drops this, and nobody is left to answer.
        let _asked = Asked {
            exchange: &self,
            number,
        };
        self.drive(|core, now, out| core.call(now, number, call, out));
        match receiver.await.unwrap_or(CallResponse::Unavailable) {
            CallResponse::Ok(text) => {
                let mut response = plain(StatusCode::OK, text);
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            CallResponse::Rejected(status, why) => plain(
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST),
                why,
            ),
            CallResponse::Redirect(ip) => {
                let mut response = plain(StatusCode::TEMPORARY_REDIRECT, String::new());
                let location = format!("http://{ip}:{}{target}", self.control.port());
                if let Ok(location) = HeaderValue::try_from(location) {
                    response.headers_mut().insert(LOCATION, location);
                }
                response
            }
            CallResponse::Unavailable => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "step=agree".to_owned())
            }
        }
    }
}

/// A call that has a caller.
struct Asked<'a> {
    exchange: &'a Exchange,
    number: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.exchange.calls.borrow_mut().remove(&self.number);
    }
}

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
