//! Fake backends: cores, a queue, warm-up after a start, deduplication by idempotency key, and
//! failures by script.
//!
//! A backend runs in a [`BackendSlot`], which has one listener for each gateway: the address that
//! is dialled identifies the gateway. A replacement can take over the slot of a stopped backend.
//! What all backends share (the idempotency keys, usage metering, the numbering of attempts) is in
//! [`SharedState`].

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

/// Maximum number of remembered idempotency keys and of request ids; the oldest are dropped.
const MAX_REMEMBERED: usize = 200_000;
/// Maximum number of metered customers; further ones are not metered.
const MAX_METERED: usize = 200_000;
/// Metering periods kept per customer: 8 s with the platform's period; the meter is about one
/// second late.
const PERIODS_KEPT: usize = 16;
/// Units of a request of the usual size; work is proportional to units.
pub const USUAL_UNITS: f64 = 2.5;
/// Maximum number of bytes written of an endless response.
const ENDLESS_BODY_BYTES: usize = 8 << 20;

/// The cost of a request class at a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The class's name on the wire: the first path segment.
    pub class: String,
    /// Whether a request of the class may run more than once.
    pub effect: Effect,
    /// Time for which a repeated idempotency key is not run again.
    pub memory_ms: Millis,
    /// Minimum and maximum work of a request of the usual size, in milliseconds of a warm core.
    pub work_ms: [Millis; 2],
}

/// The load at which a backend that is warming up fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Allowed load as a multiple of the current capacity.
    pub factor: f64,
    /// Window over which the load is summed.
    pub window_ms: Millis,
    /// Work allowed in addition, for random peaks.
    pub slack_ms: Millis,
}

/// Metering of customers' usage (protocol page, `Api-Usage`).
#[derive(Clone, Debug, PartialEq)]
pub struct Metering {
    /// Length of a period; 0 disables metering.
    pub period_ms: Millis,
    /// Time from the end of a period until its figure is reported.
    pub delay_ms: Millis,
    /// Quota of each plan in units per second, by plan number.
    pub rates: Vec<f64>,
}

/// Properties that all backends of a deployment have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Seed of the draws for requests.
    pub seed: u64,
    /// The cost of each class.
    pub work: Vec<Work>,
    /// Usage metering.
    pub metering: Metering,
    /// Time after which an idle connection is closed.
    pub idle_ms: Millis,
    /// The load at which a backend that is warming up fails.
    pub overload: Overload,
}

/// State shared by all backends of a deployment.
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
    /// Creates the state of a deployment whose backends write events to `recorder`.
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

    /// Returns the work of a request, which is the same for all of its attempts.
    fn work_of(&self, class: &Work, id: &str, units: f64) -> Millis {
        let [min, max] = class.work_ms;
        (min + (max - min) * draw(self.deployment.seed, hash(id), 11)) * units / USUAL_UNITS
    }

    /// Returns whether this is the first complete attempt with this id at any backend.
    fn first_time(&self, id: &str) -> bool {
        let mut seen = self.seen.borrow_mut();
        let (known, order) = &mut *seen;
        if !known.insert(id.to_owned()) {
            return false;
        }
        order.push_back(id.to_owned());
        if order.len() > MAX_REMEMBERED {
            if let Some(old) = order.pop_front() {
                known.remove(&old);
            }
        }
        true
    }

    /// Returns whether the idempotency key was seen within `memory`; if not, remembers it from now
    /// on.
    fn is_repeat(&self, key: &str, now: Millis, memory: Millis) -> bool {
        let mut keys = self.keys.borrow_mut();
        let (known, order) = &mut *keys;
        if known.get(key).is_some_and(|since| now - since <= memory) {
            return true;
        }
        if known.insert(key.to_owned(), now).is_none() {
            order.push_back(key.to_owned());
        }
        if order.len() > MAX_REMEMBERED {
            if let Some(old) = order.pop_front() {
                known.remove(&old);
            }
        }
        false
    }

    fn record_usage(&self, now: Millis, customer: u64, units: f64) {
        if self.deployment.metering.period_ms > 0.0 {
            let period = (now / self.deployment.metering.period_ms) as u64;
            let mut used = self.used.borrow_mut();
            if used.len() >= MAX_METERED && !used.contains_key(&customer) {
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

    /// Returns the usage in the last reported period, in percent of the quota.
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

/// A way in which a backend fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Requests are read, but no response is sent.
    Stall,
    /// Connections are reset when they are accepted.
    ResetBefore,
    /// Connections are reset at the first bytes of a request.
    ResetWithin,
    /// Connections are reset after the complete request was read; its effect runs in half of the
    /// cases.
    ResetAfter,
    /// The response is not valid HTTP.
    Malformed,
    /// The response announces 3 GB; up to 8 MiB of it are sent.
    Endless,
    /// The response is an immediate 500, and nothing runs.
    FastError,
    /// Responses are delayed by this long.
    Late(Millis),
    /// New connections are refused.
    Refuse,
    /// Another program uses this fraction of the machine.
    Neighbour(f64),
}

/// A fault that lasts for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// Fraction of the requests that it affects.
    pub share: f64,
    /// When the fault ends.
    pub until: Millis,
}

/// Properties of a single backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSpec {
    /// The backend's number.
    pub number: u32,
    /// Number of cores.
    pub cores: u32,
    /// Maximum number of queued requests, in addition to the running ones.
    pub queue: usize,
    /// Fraction of its capacity that the backend starts with; 1 for no warm-up.
    pub initial_capacity: f64,
    /// Duration of the warm-up.
    pub warmup_ms: Millis,
    /// Maximum number of open connections; further ones are reset.
    pub connections: usize,
}

/// State of a backend's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    Draining,
    Stopped,
    Overloaded,
}

impl ProcessState {
    fn is_down(self) -> bool {
        matches!(self, ProcessState::Stopped | ProcessState::Overloaded)
    }
}

/// A fake backend.
pub struct Backend {
    shared: Rc<SharedState>,
    spec: BackendSpec,
    started_at: Millis,
    state: watch::Sender<ProcessState>,
    /// When each core is free.
    cores: RefCell<Vec<Millis>>,
    occupied: Cell<usize>,
    connections: Cell<usize>,
    faults: RefCell<Vec<Fault>>,
    /// Arrival time and work of the requests within the overload window, during warm-up.
    recent_work: RefCell<VecDeque<(Millis, Millis)>>,
}

impl Backend {
    /// Starts a backend now.
    pub fn start(shared: &Rc<SharedState>, spec: BackendSpec) -> Rc<Backend> {
        let cores = f64::from(spec.cores);
        let state = NodeState::Up {
            cores,
            initial_capacity: spec.initial_capacity,
            warmup_ms: spec.warmup_ms,
        };
        let started_at = shared.recorder.record(EventKind::Node {
            node: spec.number,
            state,
        });
        Rc::new(Backend {
            shared: shared.clone(),
            spec,
            started_at,
            state: watch::Sender::new(ProcessState::Up),
            cores: RefCell::new(vec![0.0; spec.cores as usize]),
            occupied: Cell::new(0),
            connections: Cell::new(0),
            faults: RefCell::default(),
            recent_work: RefCell::default(),
        })
    }

    /// Returns when the backend started.
    pub fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns the backend's number.
    pub fn number(&self) -> u32 {
        self.spec.number
    }

    /// Starts draining: the backend finishes its requests and either rejects new ones or, like a
    /// process that is only marked as draining in the member list, still serves them.
    pub fn drain(&self, reject_new: bool) {
        let state = *self.state.borrow();
        // A backend that is down stays down.
        if state == ProcessState::Up {
            self.set_state(
                if reject_new {
                    ProcessState::Draining
                } else {
                    ProcessState::Up
                },
                NodeState::Draining,
            );
        }
    }

    /// Stops the process, which resets its connections.
    pub fn stop(&self) {
        self.set_state(ProcessState::Stopped, NodeState::Stopped);
    }

    fn is_down(&self) -> bool {
        self.state.borrow().is_down()
    }

    fn set_state(&self, state: ProcessState, recorded: NodeState) {
        self.state.send_replace(state);
        self.shared.recorder.record(EventKind::Node {
            node: self.spec.number,
            state: recorded,
        });
    }

    /// Adds a fault.
    pub fn add_fault(&self, fault: Fault) {
        self.faults.borrow_mut().push(fault);
    }

    fn active_faults(&self, now: Millis) -> Vec<Fault> {
        let mut faults = self.faults.borrow_mut();
        faults.retain(|fault| fault.until > now);
        faults.clone()
    }

    /// Returns the fraction of its capacity that the backend has now.
    fn capacity(&self, now: Millis) -> f64 {
        if self.spec.initial_capacity >= 1.0 || self.spec.warmup_ms <= 0.0 {
            return 1.0;
        }
        let progress = ((now - self.started_at) / self.spec.warmup_ms).clamp(0.0, 1.0);
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * progress
    }

    fn speed(&self, now: Millis) -> f64 {
        let taken = self
            .active_faults(now)
            .iter()
            .fold(0.0, |max: f64, fault| match fault.kind {
                FaultKind::Neighbour(share) => max.max(share),
                _ => max,
            });
        self.capacity(now) * (1.0 - taken).max(0.02)
    }

    /// Adds the work of a request during warm-up and stops the backend once it is overloaded.
    fn check_overload(&self, now: Millis, work: Millis) {
        let capacity = self.capacity(now);
        if capacity >= 1.0 || *self.state.borrow() != ProcessState::Up {
            return;
        }
        let Overload {
            factor,
            window_ms: window,
            slack_ms,
        } = self.shared.deployment.overload;
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        while recent_work.front().is_some_and(|(at, _)| now - at > window) {
            recent_work.pop_front();
        }
        let sum: Millis = recent_work.iter().map(|(_, work)| work).sum();
        let budget = factor * capacity * f64::from(self.spec.cores) * window + slack_ms;
        if sum > budget {
            self.set_state(ProcessState::Overloaded, NodeState::Overloaded);
        }
    }

    /// Adds a request to the queue; returns when its work will be done, or `None` if the queue is
    /// full.
    fn enqueue(self: &Rc<Self>, now: Millis, work: Millis) -> Option<(Millis, QueueSlot)> {
        if self.occupied.get() >= self.spec.cores as usize + self.spec.queue {
            return None;
        }
        let mut cores = self.cores.borrow_mut();
        let core = cores.iter_mut().min_by(|a, b| a.total_cmp(b))?;
        *core = core.max(now) + work / self.speed(now);
        self.occupied.set(self.occupied.get() + 1);
        Some((*core, QueueSlot(self.clone())))
    }

    async fn sleep_until(&self, at: Millis) {
        tokio::time::sleep_until(self.shared.recorder.instant(at).into()).await;
        self.shared.lateness.record(at, self.shared.recorder.now());
    }

    /// Serves one connection of a gateway.
    async fn serve(self: Rc<Self>, stream: TcpStream, gateway: u32) {
        if self.connections.get() >= self.spec.connections {
            return Link::over(stream).reset();
        }
        self.connections.set(self.connections.get() + 1);
        let _guard = ConnectionGuard(self.clone());
        let mut state = self.state.subscribe();
        let mut link = Link::over(stream);
        let is_down = |state: &ProcessState| state.is_down();
        let next = tokio::select! {
            // A backend that is down sends nothing more.
            biased;
            _ = state.wait_for(is_down) => NextStep::Reset,
            next = self.serve_requests(&mut link, gateway) => next,
        };
        if next == NextStep::Reset {
            link.reset();
        }
    }

    async fn serve_requests(self: &Rc<Self>, link: &mut Link, gateway: u32) -> NextStep {
        let recorder = &self.shared.recorder;
        let idle = Duration::try_from_secs_f64(self.shared.deployment.idle_ms / 1000.0)
            .unwrap_or(Duration::MAX);
        loop {
            if link.pending() == 0 {
                match tokio::time::timeout(idle, link.more()).await {
                    Ok(Ok(true)) => {}
                    _ => return NextStep::Close,
                }
            }
            let first_byte_at = recorder.now();
            let attempt = self.shared.next_attempt();
            let arrival = Arrival {
                backend: self,
                attempt,
                gateway,
                first_byte_at,
                recorded: Cell::new(false),
            };
            if self
                .fault_for(first_byte_at, attempt, |kind| {
                    *kind == FaultKind::ResetWithin
                })
                .is_some()
            {
                // If the bytes read so far are a complete request, it is recorded as received; it
                // did not run.
                if let Ok(Some((message, head, length))) = crate::wire::parse(link.pending_bytes())
                {
                    if link.pending() >= head + length {
                        arrival.record_complete(&message, 0.0);
                        recorder.record(EventKind::AttemptEnded {
                            attempt,
                            end: AttemptEnd::Reset,
                        });
                    }
                }
                return NextStep::Reset;
            }
            let message = match link.message().await {
                Ok(message) => message,
                Err(NoMessage::Closed | NoMessage::Truncated(_)) => return NextStep::Close,
                Err(NoMessage::Malformed(_)) => {
                    // The peer may have closed the connection already.
                    let _ = link
                        .write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                        .await;
                    return NextStep::Close;
                }
            };
            match self.respond(link, &message, attempt, &arrival).await {
                NextStep::Continue => {}
                next => return next,
            }
        }
    }

    /// Draws the fault that affects this attempt, if any, among the kinds that `applies` selects.
    fn fault_for(
        &self,
        now: Millis,
        attempt: u64,
        applies: impl Fn(&FaultKind) -> bool,
    ) -> Option<FaultKind> {
        let faults = self.active_faults(now);
        let mut matching = faults.iter().enumerate().filter(|(i, fault)| {
            applies(&fault.kind)
                && draw(self.shared.deployment.seed, attempt, 100 + *i as u64) < fault.share
        });
        matching.next().map(|(_, fault)| fault.kind)
    }

    /// Runs one complete request and sends the response.
    async fn respond(
        self: &Rc<Self>,
        link: &mut Link,
        message: &Message,
        attempt: u64,
        arrival: &Arrival<'_>,
    ) -> NextStep {
        let (shared, recorder) = (&self.shared, &self.shared.recorder);
        let record_end = |end| recorder.record(EventKind::AttemptEnded { attempt, end });
        let name = message
            .target
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or_default();
        let class = shared
            .deployment
            .work
            .iter()
            .find(|work| work.class == name);
        let (Some(id), Some(class)) = (message.header("request-id"), class) else {
            let _ = link
                .write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                .await;
            return NextStep::Continue;
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
        let work = shared.work_of(class, id, units);
        let now = arrival.record_complete(message, work);
        if shared.first_time(id) {
            shared.record_usage(now, customer, units);
        }
        self.check_overload(now, work);
        if *self.state.borrow() == ProcessState::Overloaded {
            // The request that overloads the backend fails with it.
            record_end(AttemptEnd::Reset);
            return NextStep::Reset;
        }
        let usage = shared.usage(now, customer, plan);
        let usage = usage
            .map(|percent| format!("Api-Usage: {percent}\r\n"))
            .unwrap_or_default();
        let full = self.occupied.get() >= self.spec.cores as usize + self.spec.queue;
        if full || *self.state.borrow() != ProcessState::Up {
            record_end(AttemptEnd::Rejected);
            let text =
                format!("HTTP/1.1 503 X\r\nNot-Started: 1\r\n{usage}Content-Length: 0\r\n\r\n");
            return NextStep::after(link.write(text.as_bytes()).await);
        }
        let applies = |kind: &FaultKind| {
            !matches!(
                kind,
                FaultKind::Neighbour(_) | FaultKind::Refuse | FaultKind::ResetBefore
            )
        };
        let fault = self.fault_for(now, attempt, applies);
        let key = message
            .header("idempotency-key")
            .filter(|_| class.effect == Effect::Keyed);
        let check_repeat = || key.is_some_and(|key| shared.is_repeat(key, now, class.memory_ms));
        match fault {
            Some(FaultKind::FastError) => {
                record_end(AttemptEnd::Error);
                let text = format!("HTTP/1.1 500 X\r\n{usage}Content-Length: 0\r\n\r\n");
                return NextStep::after(link.write(text.as_bytes()).await);
            }
            Some(FaultKind::ResetAfter) => {
                // A key is remembered if the request runs, and a remembered key does not run again.
                if draw(shared.deployment.seed, attempt, 7) < 0.5 && !check_repeat() {
                    recorder.record(EventKind::EffectApplied { attempt });
                }
                record_end(AttemptEnd::Reset);
                return NextStep::Reset;
            }
            Some(FaultKind::Stall) => {
                link.until_closed().await;
                record_end(AttemptEnd::Cancelled);
                return NextStep::Close;
            }
            _ => {}
        }
        let repeat = check_repeat();
        let late = if let Some(FaultKind::Late(delay)) = fault {
            delay
        } else {
            0.0
        };
        if !repeat {
            let Some((done, slot)) = self.enqueue(now, work) else {
                return NextStep::Close;
            };
            tokio::select! {
                () = self.sleep_until(done) => {}
                () = link.until_closed() => {
                    // A cancelled request still runs to its end.
                    record_end(AttemptEnd::Cancelled);
                    let (backend, recorder) = (self.clone(), recorder.clone());
                    tokio::task::spawn_local(async move {
                        backend.sleep_until(done).await;
                        if !backend.is_down() {
                            recorder.record(EventKind::EffectApplied { attempt });
                        }
                        drop(slot);
                    });
                    return NextStep::Close;
                }
            }
            recorder.record(EventKind::EffectApplied { attempt });
        }
        if late > 0.0 {
            tokio::select! {
                () = self.sleep_until(recorder.now() + late) => {}
                () = link.until_closed() => {
                    record_end(AttemptEnd::Cancelled);
                    return NextStep::Close;
                }
            }
        }
        match fault {
            Some(FaultKind::Malformed) => {
                record_end(AttemptEnd::Malformed);
                let _ = link
                    .write(b"HTTP/1.1 \x00\x01 2oo\r\nContent-Length: 1\r\n\r\n{")
                    .await;
                link.until_closed().await;
                NextStep::Close
            }
            Some(FaultKind::Endless) => {
                record_end(AttemptEnd::Malformed);
                let mut written = link
                    .write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
                    .await;
                let chunk = [b'x'; 16 * 1024];
                for _ in 0..ENDLESS_BODY_BYTES / chunk.len() {
                    if written.is_err() {
                        break;
                    }
                    written = link.write(&chunk).await;
                }
                NextStep::Close
            }
            _ => {
                let body = format!("{id} {attempt} {}", self.spec.number);
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{usage}Api-Charge: {units}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                // Recorded before the write, so that the event precedes any event of the response's
                // receiver.
                record_end(AttemptEnd::Served);
                NextStep::after(link.write(text.as_bytes()).await)
            }
        }
    }
}

/// What happens to a connection after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Continue,
    Close,
    Reset,
}

impl NextStep {
    fn after(written: io::Result<()>) -> NextStep {
        if written.is_ok() {
            NextStep::Continue
        } else {
            NextStep::Close
        }
    }
}

/// An attempt whose first byte has arrived; recorded once, as complete or as truncated.
struct Arrival<'a> {
    backend: &'a Rc<Backend>,
    attempt: u64,
    gateway: u32,
    first_byte_at: Millis,
    recorded: Cell<bool>,
}

impl Arrival<'_> {
    fn record(
        &self,
        id: &str,
        key: Option<String>,
        fingerprint: u64,
        complete: bool,
        work: Millis,
    ) -> Millis {
        self.recorded.set(true);
        self.backend
            .shared
            .recorder
            .record(EventKind::AttemptReceived {
                attempt: self.attempt,
                node: self.backend.spec.number,
                proxy: self.gateway,
                id: id.to_owned(),
                key,
                fingerprint,
                first_byte_at: self.first_byte_at,
                complete,
                work,
            })
    }

    fn record_complete(&self, message: &Message, work: Millis) -> Millis {
        let key = message.header("idempotency-key").map(str::to_owned);
        let fingerprint = request_fingerprint(
            &message.method,
            &message.target,
            key.as_deref(),
            &message.body,
        );
        self.record(
            message.header("request-id").unwrap_or_default(),
            key,
            fingerprint,
            true,
            work,
        )
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        if !self.recorded.get() {
            self.record("", None, 0, false, 0.0);
        }
    }
}

/// A place in a backend's queue, occupied until the work is done.
struct QueueSlot(Rc<Backend>);

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.0.occupied.set(self.0.occupied.get() - 1);
    }
}

/// Counts an open connection of a backend while it exists.
struct ConnectionGuard(Rc<Backend>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Open listeners, one for each gateway, for a future [`BackendSlot`].
pub struct Listeners {
    addresses: Vec<SocketAddr>,
    listeners: Vec<StdListener>,
}

impl Listeners {
    /// Opens a listener for each of `gateways` gateways. They use 127.0.0.2, from which no outgoing
    /// connection originates, so that a slot that closes its listener for a while can bind its port
    /// again.
    ///
    /// # Errors
    /// The operating system's error if no port is available.
    pub fn open(gateways: usize) -> io::Result<Listeners> {
        let listeners = (0..gateways)
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

    /// Returns the address that a gateway dials.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }
}

/// Listeners, one for each gateway, and the backend that serves them.
pub struct BackendSlot {
    addresses: Vec<SocketAddr>,
    current: RefCell<Option<Rc<Backend>>>,
    /// Time until which connections are refused.
    refusing: watch::Sender<Millis>,
}

impl BackendSlot {
    /// Accepts connections of all gateways from now on, for as long as the runtime runs.
    pub fn over(open: Listeners) -> Rc<BackendSlot> {
        let Listeners {
            addresses,
            listeners,
        } = open;
        let slot = Rc::new(BackendSlot {
            addresses,
            current: RefCell::default(),
            refusing: watch::Sender::new(0.0),
        });
        for (gateway, listener) in listeners.into_iter().enumerate() {
            tokio::task::spawn_local(slot.clone().accept(listener, gateway as u32));
        }
        slot
    }

    /// Returns the address that a gateway dials.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }

    /// Sets the backend that serves the listeners; `None` if there is none.
    pub fn set_backend(&self, backend: Option<Rc<Backend>>) {
        *self.current.borrow_mut() = backend;
    }

    /// Returns the current backend.
    pub fn backend(&self) -> Option<Rc<Backend>> {
        self.current.borrow().clone()
    }

    /// Adds a fault to the current backend, if there is one; [`FaultKind::Refuse`] closes the
    /// listeners.
    pub fn add_fault(&self, fault: Fault) {
        if let Some(backend) = self.backend() {
            backend.add_fault(fault);
        }
        if fault.kind == FaultKind::Refuse {
            self.refusing.send_replace(fault.until);
        }
    }

    async fn accept(self: Rc<Self>, listener: StdListener, gateway: u32) {
        let Ok(mut listener) = TcpListener::from_std(listener) else {
            return;
        };
        let address = self.addresses[gateway as usize];
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
                    let Some(backend) = self.backend() else {
                        Link::over(stream).reset();
                        continue;
                    };
                    let now = backend.shared.recorder.now();
                    let dial = backend.shared.next_dial();
                    if backend.fault_for(now, dial, |kind| *kind == FaultKind::ResetBefore).is_some() {
                        Link::over(stream).reset();
                        continue;
                    }
                    tokio::task::spawn_local(backend.serve(stream, gateway));
                }
                changed = refusing.changed() => {
                    let until = *refusing.borrow_and_update();
                    let recorder = self.backend().map(|backend| backend.shared.recorder.clone());
                    let (Ok(()), Some(recorder)) = (changed, recorder) else { continue };
                    // The port is free meanwhile; nothing else on loopback binds this address and
                    // port.
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
