//! Api nodes: cores, a queue, a cold start, memory of keys, and failures by script.
//!
//! A node is a tenant of a [`BackendSlot`], which holds one listener for each front door, so that whoever dials tells by the
//! address which front door it is; a replacement may move into the place of one that has gone. What all nodes share
//! (the memory of keys, the meter of use, the numbering of attempts) is the [`SharedState`].

use crate::lateness::Lateness;
use crate::wire::{Link, Message, NoMessage};
use crate::{draw, hash};
use maplefall_event_trace::{
    request_fingerprint, AttemptEnd, Effect, EventKind, Millis, NodeState, Recorder,
};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Keys, and ids of requests, that are remembered at most; the oldest go first.
const MOST_REMEMBERED: usize = 200_000;
/// Customers whose use is metered at most; a further one has no figure.
const MOST_METERED: usize = 200_000;
/// Periods of a customer's use that are kept: 8 s of the platform's, and the meter is about one late.
const PERIODS_KEPT: usize = 16;
/// Units of a request of the usual size: work grows with units.
pub const USUAL_UNITS: f64 = 2.5;
/// Bytes of an endless answer that are written at most.
const ENDLESS: usize = 8 << 20;

/// What a class costs a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The class's name on the wire, the first part of the path.
    pub class: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// For how long a repeat of its key is dropped.
    pub memory_ms: Millis,
    /// Least and most work of a request of the usual size, in milliseconds of a warm core.
    pub work_ms: [Millis; 2],
}

/// What pushes a cold node over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Multiple of its present capacity.
    pub factor: f64,
    /// Window over which that is taken.
    pub window_ms: Millis,
    /// Work by which it may be passed by chance.
    pub slack_ms: Millis,
}

/// The meter of customers' use (protocol page, `Api-Usage`).
#[derive(Clone, Debug, PartialEq)]
pub struct Metering {
    /// Length of a period; 0 for no meter.
    pub period_ms: Millis,
    /// How late a period's figure is told.
    pub delay_ms: Millis,
    /// Units a second of each plan's quota, by number.
    pub rates: Vec<f64>,
}

/// What all nodes of a deployment are like.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Seed of what is drawn for each request.
    pub seed: u64,
    /// What the classes cost.
    pub work: Vec<Work>,
    /// The meter of customers' use.
    pub metering: Metering,
    /// After how long an idle connection is closed.
    pub idle_ms: Millis,
    /// What pushes a cold node over.
    pub overload: Overload,
}

/// What all nodes of a deployment share.
pub struct SharedState {
    deployment: Deployment,
    recorder: Recorder,
    lateness: Lateness,
    attempts: Cell<u64>,
    dials: Cell<u64>,
    keys: RefCell<(HashMap<String, Millis>, VecDeque<String>)>,
    seen: RefCell<(HashSet<String>, VecDeque<String>)>,
    used: RefCell<HashMap<u64, VecDeque<(u64, f64)>>>,
}

impl SharedState {
    /// A deployment whose nodes write what they see to this record.
    pub fn new(deployment: Deployment, recorder: Recorder, lateness: Lateness) -> Rc<SharedState> {
        Rc::new(SharedState {
            deployment,
            recorder,
            lateness,
            attempts: Cell::new(0),
            dials: Cell::new(0),
            keys: RefCell::default(),
            seen: RefCell::default(),
            used: RefCell::default(),
        })
    }

    fn next_attempt(&self) -> u64 {
        self.attempts.set(self.attempts.get() + 1);
        self.attempts.get()
    }

    fn next_dial(&self) -> u64 {
        self.dials.set(self.dials.get() + 1);
        self.dials.get()
    }

    /// The work of a request, the same at each of its attempts.
    fn work_of(&self, class: &Work, id: &str, units: f64) -> Millis {
        let [least, most] = class.work_ms;
        (least + (most - least) * draw(self.deployment.seed, hash(id), 11)) * units / USUAL_UNITS
    }

    /// Whether this is the first attempt with this id that comes whole to any node.
    fn first_time(&self, id: &str) -> bool {
        let mut seen = self.seen.borrow_mut();
        let (known, order) = &mut *seen;
        if !known.insert(id.to_owned()) {
            return false;
        }
        order.push_back(id.to_owned());
        if order.len() > MOST_REMEMBERED {
            if let Some(old) = order.pop_front() {
                known.remove(&old);
            }
        }
        true
    }

    /// Whether a keyed request is a repeat that is dropped; if not, its key is remembered from now on.
    fn repeat(&self, key: &str, now: Millis, memory: Millis) -> bool {
        let mut keys = self.keys.borrow_mut();
        let (known, order) = &mut *keys;
        if known.get(key).is_some_and(|since| now - since <= memory) {
            return true;
        }
        if known.insert(key.to_owned(), now).is_none() {
            order.push_back(key.to_owned());
        }
        if order.len() > MOST_REMEMBERED {
            if let Some(old) = order.pop_front() {
                known.remove(&old);
            }
        }
        false
    }

    fn meter(&self, now: Millis, customer: u64, units: f64) {
        if self.deployment.metering.period_ms > 0.0 {
            let period = (now / self.deployment.metering.period_ms) as u64;
            let mut used = self.used.borrow_mut();
            if used.len() >= MOST_METERED && !used.contains_key(&customer) {
                return;
            }
            let periods = used.entry(customer).or_default();
            match periods.back_mut() {
                Some((last, sum)) if *last == period => *sum += units,
                _ => periods.push_back((period, units)),
            }
            if periods.len() > PERIODS_KEPT {
                periods.pop_front();
            }
        }
    }

    /// The use in the last period whose figure has come, in percent of the quota.
    fn usage(&self, now: Millis, customer: u64, plan: usize) -> Option<u32> {
        let rate = *self.deployment.metering.rates.get(plan)?;
        if self.deployment.metering.period_ms <= 0.0 || rate <= 0.0 {
            return None;
        }
        let ended = ((now - self.deployment.metering.delay_ms)
            / self.deployment.metering.period_ms)
            .floor()
            - 1.0;
        if ended < 0.0 {
            return None;
        }
        let used = self.used.borrow();
        let sum = used
            .get(&customer)
            .and_then(|all| all.iter().find(|(p, _)| *p == ended as u64));
        let full = rate * self.deployment.metering.period_ms / 1000.0;
        Some((100.0 * sum.map_or(0.0, |(_, sum)| *sum) / full).round() as u32)
    }
}

/// What a node can be made to do wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Requests are read and never answered.
    Stall,
    /// Connections are reset when they are accepted.
    ResetBefore,
    /// Connections are reset at the first bytes of a request.
    ResetWithin,
    /// Connections are reset when the request has come whole; its effect runs in half of the cases.
    ResetAfter,
    /// The answer is no HTTP.
    Malformed,
    /// The answer is said to have 3 GB and keeps coming.
    Endless,
    /// 500 at once, and nothing runs.
    FastError,
    /// Answers come later by this.
    Late(Millis),
    /// Dials are refused.
    Refuse,
    /// Another program takes this part of the machine.
    Neighbour(f64),
}

/// A trouble for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// Part of the requests that it strikes.
    pub share: f64,
    /// When it ends.
    pub until: Millis,
}

/// What a node is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSpec {
    /// Its number.
    pub number: u32,
    /// Its cores.
    pub cores: u32,
    /// Requests that wait at most, besides those that run.
    pub queue: usize,
    /// Part of its capacity that it starts with; 1 for one that is warm from the start.
    pub initial_capacity: f64,
    /// Time until it is warm.
    pub warmup_ms: Millis,
    /// Connections that it holds at most.
    pub connections: usize,
}

/// How a node's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    Draining,
    Gone,
    Fell,
}

impl Life {
    fn down(self) -> bool {
        matches!(self, Life::Gone | Life::Fell)
    }
}

/// One api node.
pub struct Backend {
    world: Rc<SharedState>,
    spec: BackendSpec,
    born: Millis,
    life: watch::Sender<Life>,
    /// When each core is free.
    cores: RefCell<Vec<Millis>>,
    held: Cell<usize>,
    connections: Cell<usize>,
    faults: RefCell<Vec<Fault>>,
    /// What has come while it was cold, within the window.
    pressure: RefCell<VecDeque<(Millis, Millis)>>,
}

impl Backend {
    /// A node whose process starts now.
    pub fn start(world: &Rc<SharedState>, spec: BackendSpec) -> Rc<Backend> {
        let cores = f64::from(spec.cores);
        let state = NodeState::Up {
            cores,
            initial_capacity: spec.initial_capacity,
            warmup_ms: spec.warmup_ms,
        };
        let born = world.recorder.record(EventKind::Node {
            node: spec.number,
            state,
        });
        Rc::new(Backend {
            world: world.clone(),
            spec,
            born,
            life: watch::Sender::new(Life::Up),
            cores: RefCell::new(vec![0.0; spec.cores as usize]),
            held: Cell::new(0),
            connections: Cell::new(0),
            faults: RefCell::default(),
            pressure: RefCell::default(),
        })
    }

    /// When its process started.
    pub fn started_at(&self) -> Millis {
        self.born
    }

    /// Its number.
    pub fn number(&self) -> u32 {
        self.spec.number
    }

    /// From now on it finishes what it has, and either turns away what comes or goes on serving it, as a process does
    /// that only its list knows to be draining.
    pub fn drain(&self, turns_away: bool) {
        let life = *self.life.borrow();
        // One that is down stays down.
        if life == Life::Up {
            self.turn(
                if turns_away { Life::Draining } else { Life::Up },
                NodeState::Draining,
            );
        }
    }

    /// Its process ends: its connections are reset.
    pub fn stop(&self) {
        self.turn(Life::Gone, NodeState::Stopped);
    }

    fn down(&self) -> bool {
        self.life.borrow().down()
    }

    fn turn(&self, life: Life, state: NodeState) {
        self.life.send_replace(life);
        self.world.recorder.record(EventKind::Node {
            node: self.spec.number,
            state,
        });
    }

    /// Begins a trouble.
    pub fn add_fault(&self, fault: Fault) {
        self.faults.borrow_mut().push(fault);
    }

    fn troubles(&self, now: Millis) -> Vec<Fault> {
        let mut faults = self.faults.borrow_mut();
        faults.retain(|fault| fault.until > now);
        faults.clone()
    }

    /// Part of its capacity that it has.
    fn warmth(&self, now: Millis) -> f64 {
        if self.spec.initial_capacity >= 1.0 || self.spec.warmup_ms <= 0.0 {
            return 1.0;
        }
        let risen = ((now - self.born) / self.spec.warmup_ms).clamp(0.0, 1.0);
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * risen
    }

    fn speed(&self, now: Millis) -> f64 {
        let taken = self
            .troubles(now)
            .iter()
            .fold(0.0, |most: f64, fault| match fault.kind {
                FaultKind::Neighbour(part) => most.max(part),
                _ => most,
            });
        self.warmth(now) * (1.0 - taken).max(0.02)
    }

    /// Counts what has come to a cold node, and lets it fall once that is too much.
    fn press(&self, now: Millis, work: Millis) {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || *self.life.borrow() != Life::Up {
            return;
        }
        let Overload {
            factor,
            window_ms: window,
            slack_ms,
        } = self.world.deployment.overload;
        let mut pressure = self.pressure.borrow_mut();
        pressure.push_back((now, work));
        while pressure.front().is_some_and(|(at, _)| now - at > window) {
            pressure.pop_front();
        }
        let sum: Millis = pressure.iter().map(|(_, work)| work).sum();
        let budget = factor * warmth * f64::from(self.spec.cores) * window + slack_ms;
        if sum > budget {
            self.turn(Life::Fell, NodeState::Overloaded);
        }
    }

    /// Takes a place in the queue; when its work will be done, or `None` where it is full.
    fn queue(self: &Rc<Self>, now: Millis, work: Millis) -> Option<(Millis, Held)> {
        if self.held.get() >= self.spec.cores as usize + self.spec.queue {
            return None;
        }
        let mut cores = self.cores.borrow_mut();
        let core = cores.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        *core = core.max(now) + work / self.speed(now);
        self.held.set(self.held.get() + 1);
        Some((*core, Held(self.clone())))
    }

    async fn until(&self, at: Millis) {
        tokio::time::sleep_until(self.world.recorder.instant(at).into()).await;
        self.world.lateness.record(at, self.world.recorder.now());
    }

    /// Serves one connection of a front door.
    async fn serve(self: Rc<Self>, stream: TcpStream, door: u32) {
        if self.connections.get() >= self.spec.connections {
            return Link::over(stream).reset();
        }
        self.connections.set(self.connections.get() + 1);
        let _open = Open(self.clone());
        let mut life = self.life.subscribe();
        let mut link = Link::over(stream);
        let ended = |life: &Life| life.down();
        let over = tokio::select! {
            // One that is down says nothing more.
            biased;
            _ = life.wait_for(ended) => Talk::Reset,
            over = self.talk(&mut link, door) => over,
        };
        if over == Talk::Reset {
            link.reset();
        }
    }

    async fn talk(self: &Rc<Self>, link: &mut Link, door: u32) -> Talk {
        let recorder = &self.world.recorder;
        let idle = Duration::try_from_secs_f64(self.world.deployment.idle_ms / 1000.0)
            .unwrap_or(Duration::MAX);
        loop {
            if link.pending() == 0 {
                match tokio::time::timeout(idle, link.more()).await {
                    Ok(Ok(true)) => {}
                    _ => return Talk::Close,
                }
            }
            let first = recorder.now();
            let attempt = self.world.next_attempt();
            let partly = Partly {
                node: self,
                attempt,
                door,
                first,
                told: Cell::new(false),
            };
            if self
                .struck(first, attempt, |t| *t == FaultKind::ResetWithin)
                .is_some()
            {
                // What has been read may be whole: then it counts as come, and nothing of it ran.
                if let Ok(Some((message, head, length))) = crate::wire::parse(link.pending_bytes())
                {
                    if link.pending() >= head + length {
                        partly.came(&message, 0.0);
                        recorder.record(EventKind::AttemptEnded {
                            attempt,
                            end: AttemptEnd::Reset,
                        });
                    }
                }
                return Talk::Reset;
            }
            let message = match link.message().await {
                Ok(message) => message,
                Err(NoMessage::Closed | NoMessage::Cut(_)) => return Talk::Close,
                Err(NoMessage::Garbage(_)) => {
                    // The other end may be gone; then there is nobody to tell.
                    let _ = link
                        .write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                        .await;
                    return Talk::Close;
                }
            };
            match self.answer(link, &message, attempt, &partly).await {
                Talk::Next => {}
                over => return over,
            }
        }
    }

    /// The trouble that strikes this attempt, if one does.
    fn struck(
        &self,
        now: Millis,
        attempt: u64,
        of: impl Fn(&FaultKind) -> bool,
    ) -> Option<FaultKind> {
        let faults = self.troubles(now);
        let mut hits = faults.iter().enumerate().filter(|(i, fault)| {
            of(&fault.kind)
                && draw(self.world.deployment.seed, attempt, 100 + *i as u64) < fault.share
        });
        hits.next().map(|(_, fault)| fault.kind)
    }

    /// Carries out one request that has come whole, and answers it.
    async fn answer(
        self: &Rc<Self>,
        link: &mut Link,
        message: &Message,
        attempt: u64,
        came: &Partly<'_>,
    ) -> Talk {
        let (world, recorder) = (&self.world, &self.world.recorder);
        let over = |end| recorder.record(EventKind::AttemptEnded { attempt, end });
        let name = message
            .target
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or_default();
        let class = world.deployment.work.iter().find(|work| work.class == name);
        let (Some(id), Some(class)) = (message.header("request-id"), class) else {
            let _ = link
                .write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                .await;
            return Talk::Next;
        };
        let units: f64 = message
            .query("u")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1.0);
        let customer = message
            .query("k")
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .unwrap_or(0);
        let plan = message
            .query("p")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let work = world.work_of(class, id, units);
        let now = came.came(message, work);
        if world.first_time(id) {
            world.meter(now, customer, units);
        }
        self.press(now, work);
        if *self.life.borrow() == Life::Fell {
            // The one that pushes it over breaks with it.
            over(AttemptEnd::Reset);
            return Talk::Reset;
        }
        let usage = world.usage(now, customer, plan);
        let usage = usage
            .map(|percent| format!("Api-Usage: {percent}\r\n"))
            .unwrap_or_default();
        let full = self.held.get() >= self.spec.cores as usize + self.spec.queue;
        if full || *self.life.borrow() != Life::Up {
            over(AttemptEnd::Rejected);
            let text =
                format!("HTTP/1.1 503 X\r\nNot-Started: 1\r\n{usage}Content-Length: 0\r\n\r\n");
            return Talk::after(link.write(text.as_bytes()).await);
        }
        let mine = |t: &FaultKind| {
            !matches!(
                t,
                FaultKind::Neighbour(_) | FaultKind::Refuse | FaultKind::ResetBefore
            )
        };
        let trouble = self.struck(now, attempt, mine);
        let key = message
            .header("idempotency-key")
            .filter(|_| class.effect == Effect::Keyed);
        let repeats = || key.is_some_and(|key| world.repeat(key, now, class.memory_ms));
        match trouble {
            Some(FaultKind::FastError) => {
                over(AttemptEnd::Error);
                let text = format!("HTTP/1.1 500 X\r\n{usage}Content-Length: 0\r\n\r\n");
                return Talk::after(link.write(text.as_bytes()).await);
            }
            Some(FaultKind::ResetAfter) => {
                // What runs is remembered, and what is remembered does not run.
                if draw(world.deployment.seed, attempt, 7) < 0.5 && !repeats() {
                    recorder.record(EventKind::EffectApplied { attempt });
                }
                over(AttemptEnd::Reset);
                return Talk::Reset;
            }
            Some(FaultKind::Stall) => {
                link.until_closed().await;
                over(AttemptEnd::Cancelled);
                return Talk::Close;
            }
            _ => {}
        }
        let repeat = repeats();
        let late = if let Some(FaultKind::Late(by)) = trouble {
            by
        } else {
            0.0
        };
        if !repeat {
            let Some((done, held)) = self.queue(now, work) else {
                return Talk::Close;
            };
            tokio::select! {
                () = self.until(done) => {}
                () = link.until_closed() => {
                    // Giving up stops nothing: the work goes on to its end.
                    over(AttemptEnd::Cancelled);
                    let (node, recorder) = (self.clone(), recorder.clone());
                    tokio::task::spawn_local(async move {
                        node.until(done).await;
                        if !node.down() {
                            recorder.record(EventKind::EffectApplied { attempt });
                        }
                        drop(held);
                    });
                    return Talk::Close;
                }
            }
            recorder.record(EventKind::EffectApplied { attempt });
        }
        if late > 0.0 {
            tokio::select! {
                () = self.until(recorder.now() + late) => {}
                () = link.until_closed() => {
                    over(AttemptEnd::Cancelled);
                    return Talk::Close;
                }
            }
        }
        match trouble {
            Some(FaultKind::Malformed) => {
                over(AttemptEnd::Malformed);
                let _ = link
                    .write(b"HTTP/1.1 \x00\x01 2oo\r\nContent-Length: 1\r\n\r\n{")
                    .await;
                link.until_closed().await;
                Talk::Close
            }
            Some(FaultKind::Endless) => {
                over(AttemptEnd::Malformed);
                let mut wrote = link
                    .write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
                    .await;
                let chunk = [b'x'; 16 * 1024];
                for _ in 0..ENDLESS / chunk.len() {
                    if wrote.is_err() {
                        break;
                    }
                    wrote = link.write(&chunk).await;
                }
                Talk::Close
            }
            _ => {
                let body = format!("{id} {attempt} {}", self.spec.number);
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{usage}Api-Charge: {units}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                // Noted before the write: whoever reads the answer must not come before its line.
                over(AttemptEnd::Served);
                Talk::after(link.write(text.as_bytes()).await)
            }
        }
    }
}

/// What a message leaves its connection at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Talk {
    Next,
    Close,
    Reset,
}

impl Talk {
    fn after(wrote: io::Result<()>) -> Talk {
        if wrote.is_ok() {
            Talk::Next
        } else {
            Talk::Close
        }
    }
}

/// An attempt of which the first byte has come: noted once, as whole or as broken off.
struct Partly<'a> {
    node: &'a Rc<Backend>,
    attempt: u64,
    door: u32,
    first: Millis,
    told: Cell<bool>,
}

impl Partly<'_> {
    fn note(&self, id: &str, key: Option<String>, form: u64, whole: bool, work: Millis) -> Millis {
        self.told.set(true);
        self.node.world.recorder.record(EventKind::AttemptReceived {
            attempt: self.attempt,
            node: self.node.spec.number,
            proxy: self.door,
            id: id.to_owned(),
            key,
            fingerprint: form,
            first_byte_at: self.first,
            complete: whole,
            work,
        })
    }

    fn came(&self, message: &Message, work: Millis) -> Millis {
        let key = message.header("idempotency-key").map(str::to_owned);
        let form = request_fingerprint(
            &message.method,
            &message.target,
            key.as_deref(),
            &message.body,
        );
        self.note(
            message.header("request-id").unwrap_or_default(),
            key,
            form,
            true,
            work,
        )
    }
}

impl Drop for Partly<'_> {
    fn drop(&mut self) {
        if !self.told.get() {
            self.note("", None, 0, false, 0.0);
        }
    }
}

/// A place in a node's queue, held until its work is done.
struct Held(Rc<Backend>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}

/// A connection that a node holds.
struct Open(Rc<Backend>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Listeners that are open, one for each front door, before a [`BackendSlot`] answers there.
pub struct Listeners {
    addresses: Vec<SocketAddr>,
    listeners: Vec<StdListener>,
}

impl Listeners {
    /// Opens listeners for so many front doors. They are at an address of their own, from which no outgoing connection
    /// comes, so that a place that refuses for a while finds its port again.
    ///
    /// # Errors
    /// What the system says where it has no port.
    pub fn open(doors: usize) -> io::Result<Listeners> {
        let listeners = (0..doors)
            .map(|_| {
                let listener = StdListener::bind(("127.0.0.2", 0))?;
                listener.set_nonblocking(true)?;
                Ok(listener)
            })
            .collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners
            .iter()
            .map(StdListener::local_addr)
            .collect::<io::Result<_>>()?;
        Ok(Listeners {
            addresses,
            listeners,
        })
    }

    /// Where a front door dials.
    pub fn address(&self, door: usize) -> SocketAddr {
        self.addresses[door]
    }
}

/// Listeners, one for each front door, and the node that lives there.
pub struct BackendSlot {
    addresses: Vec<SocketAddr>,
    tenant: RefCell<Option<Rc<Backend>>>,
    /// Until when dials are refused.
    refusing: watch::Sender<Millis>,
}

impl BackendSlot {
    /// Accepts connections of all front doors from now on, for as long as the runtime runs.
    pub fn over(seats: Listeners) -> Rc<BackendSlot> {
        let Listeners {
            addresses,
            listeners,
        } = seats;
        let place = Rc::new(BackendSlot {
            addresses,
            tenant: RefCell::default(),
            refusing: watch::Sender::new(0.0),
        });
        for (door, listener) in listeners.into_iter().enumerate() {
            tokio::task::spawn_local(place.clone().accept(listener, door as u32));
        }
        place
    }

    /// Where a front door dials.
    pub fn address(&self, door: usize) -> SocketAddr {
        self.addresses[door]
    }

    /// A node moves in.
    pub fn set_backend(&self, node: Option<Rc<Backend>>) {
        *self.tenant.borrow_mut() = node;
    }

    /// The node that lives here.
    pub fn backend(&self) -> Option<Rc<Backend>> {
        self.tenant.borrow().clone()
    }

    /// Begins a trouble of the node that lives here, if one does.
    pub fn add_fault(&self, fault: Fault) {
        if let Some(node) = self.backend() {
            node.add_fault(fault);
        }
        if fault.kind == FaultKind::Refuse {
            self.refusing.send_replace(fault.until);
        }
    }

    async fn accept(self: Rc<Self>, listener: StdListener, door: u32) {
        let Ok(mut listener) = TcpListener::from_std(listener) else {
            return;
        };
        let address = self.addresses[door as usize];
        let mut refusing = self.refusing.subscribe();
        if *refusing.borrow() > 0.0 {
            refusing.mark_changed();
        }
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    };
                    let Some(node) = self.backend() else {
                        Link::over(stream).reset();
                        continue;
                    };
                    let now = node.world.recorder.now();
                    let lot = node.world.next_dial();
                    if node.struck(now, lot, |t| *t == FaultKind::ResetBefore).is_some() {
                        Link::over(stream).reset();
                        continue;
                    }
                    tokio::task::spawn_local(node.serve(stream, door));
                }
                changed = refusing.changed() => {
                    let until = *refusing.borrow_and_update();
                    let recorder = self.backend().map(|node| node.world.recorder.clone());
                    let (Ok(()), Some(recorder)) = (changed, recorder) else { continue };
                    // The port is free meanwhile; on loopback nobody else asks for this very one.
                    drop(listener);
                    tokio::time::sleep_until(recorder.instant(until).into()).await;
                    listener = loop {
                        match TcpListener::bind(address).await {
                            Ok(listener) => break listener,
                            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                        }
                    };
                }
            }
        }
    }
}
