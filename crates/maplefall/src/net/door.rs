//! The driver: hands events to the decision module and carries out what comes back.
//!
//! It owns the gateway, the tables of requests and attempts, the alarms, and the maps between names on the
//! wire and the module's numbers. [`Door::post`] is the only place that calls the module; events that arise
//! while actions are carried out wait in a queue, so the module is never re-entered.

use super::backends::{self, Reading};
#[cfg(feature = "breakages")]
use super::breakages;
use super::config::Config;
use super::counts::Counts;
use super::grpc::{self, GrpcSettings, Passage};
use hyper::header::{HeaderName, HeaderValue};
use maplefall_policy::*;
use maplefall_protocol::{Answer, Ended, Health, Incoming, Member, Order};
use maplefall_settings::{self as settings, Names};
use maplefall_upstream::Clock;
use maplefall_upstream::{self as pool, AttemptHandle, Pools};
use std::cell::{Cell, OnceCell, RefCell};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// How long after its deadline the id of a request that is over is turned down. Every request has its own, a client's retry too: one
/// that comes again is somebody else's, and sent on it would run a second time.
const ID_MEMORY: Millis = 5000.0;
/// Ids of requests that are over that are kept at most.
const IDS_KEPT: usize = 8192;

/// What comes due at a time.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// An alarm of the module.
    Alarm(AlarmId),
    /// The time-out of an attempt.
    TimeOut(RequestId, u32),
    /// The client of a request stops waiting.
    Deadline(RequestId),
}

/// An entry of the timer heap; of two for one time, the one set first comes first.
#[derive(Clone, Copy, Debug)]
struct Timer {
    at: Millis,
    order: u64,
    due: Due,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

/// A request that has no final answer yet, or an attempt of which is still out.
struct Entry {
    order: Rc<Order>,
    customer: CustomerId,
    plan: PlanId,
    /// Units that its quota was asked for.
    units: f64,
    deadline: Millis,
    /// Present until the one final answer has been handed over.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    out: Option<Attempt>,
    /// Whether the module waits for its caller's check.
    held: bool,
    /// The call that it is, if it came over gRPC.
    passage: Option<Rc<Passage>>,
    /// Whether its answer is on its way to the client: there can be no other attempt.
    started: bool,
}

/// An attempt that is out.
struct Attempt {
    number: u32,
    backend: BackendId,
    sent: Millis,
    line: AttemptHandle,
}

struct State {
    gateway: Gateway,
    requests: HashMap<RequestId, Entry>,
    /// Ids on the wire of the requests in the table, and of those over for less than [`ID_MEMORY`].
    ids: HashSet<Rc<str>>,
    /// The latter, the oldest first; at most [`IDS_KEPT`].
    past_ids: VecDeque<(Millis, Rc<str>)>,
    last_request: u32,
    backends: HashMap<String, BackendId>,
    last_backend: u32,
    timers: BinaryHeap<Reverse<Timer>>,
    timers_set: u64,
}

/// A front door's driver.
pub struct Door {
    /// The one clock.
    pub clock: Clock,
    /// The settings.
    pub settings: Settings,
    /// The names that the settings give to numbers.
    pub names: Names,
    pools: Rc<Pools>,
    calls: grpc::Backends,
    /// Set once before anything is served, where doors share counts.
    counts: OnceCell<Rc<Counts>>,
    reading: Rc<Reading>,
    state: RefCell<State>,
    queue: RefCell<VecDeque<(Millis, Event)>>,
    last_event: Cell<Millis>,
    busy: Cell<bool>,
    earlier: Notify,
    #[cfg(feature = "breakages")]
    last_body: RefCell<hyper::body::Bytes>,
    #[cfg(feature = "breakages")]
    last_started: Cell<Option<BackendId>>,
}

/// The settings that the decision module goes by.
fn for_the_module(settings: Settings) -> Settings {
    #[cfg(feature = "breakages")]
    let settings = breakages::settings(settings);
    settings
}

/// Ends the process if the module panics: a front door that cannot decide must not go on taking requests.
struct Deciding;

impl Drop for Deciding {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Door {
    /// A front door with an empty list of backends; so many of the descriptors for backends are needed elsewhere.
    pub fn new(config: &Config, elsewhere: usize, grpc: Option<&GrpcSettings>) -> Rc<Door> {
        let told = &config.told;
        let (connections, streams) =
            grpc.map_or((0, 0), |grpc| (grpc.backend_connections, grpc.streams));
        let reading = Reading::new(told, config.limits.memory_mb << 20);
        let pools = Pools::new(
            told.links,
            pool::upstream_budget(config.limits.sockets).saturating_sub(elsewhere),
        );
        Rc::new(Door {
            clock: Clock::new(),
            settings: told.settings.clone(),
            names: told.names.clone(),
            pools: Rc::new(pools),
            calls: grpc::Backends::new(
                told.links,
                connections,
                streams as usize,
                told.settings.max_units,
            ),
            counts: OnceCell::new(),
            reading: Rc::new(reading),
            state: RefCell::new(State {
                gateway: Gateway::new(for_the_module(told.settings.clone()), config.seed),
                requests: HashMap::new(),
                ids: HashSet::new(),
                past_ids: VecDeque::new(),
                last_request: 0,
                backends: HashMap::new(),
                last_backend: 0,
                timers: BinaryHeap::new(),
                timers_set: 0,
            }),
            queue: RefCell::default(),
            last_event: Cell::new(0.0),
            busy: Cell::new(false),
            earlier: Notify::new(),
            #[cfg(feature = "breakages")]
            last_body: RefCell::default(),
            #[cfg(feature = "breakages")]
            last_started: Cell::new(None),
        })
    }

    /// From now on counts are shared with other doors.
    pub fn share(&self, counts: Rc<Counts>) {
        // A second call would change nothing.
        let _ = self.counts.set(counts);
    }

    /// Whether there is a list to serve from.
    pub fn ready(&self) -> bool {
        !self.state.borrow().backends.is_empty()
    }

    /// Requests that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|entry| entry.answer.is_some())
            .count()
    }

    /// Hands an event to the module, or queues it behind the one that is being handled.
    fn post(self: &Rc<Self>, at: Millis, event: Event) {
        self.queue.borrow_mut().push_back((at, event));
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some((at, event)) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            // Two events may have been read in another order than they came; the clock never goes back.
            let at = at.max(self.last_event.get());
            self.last_event.set(at);
            let deciding = Deciding;
            self.state
                .borrow_mut()
                .gateway
                .handle(at, event, &mut actions);
            drop(deciding);
            actions.drain(..).for_each(|action| self.carry_out(action));
        }
        self.busy.set(false);
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        #[cfg(feature = "breakages")]
        let action = breakages::action(action);
        match action {
            Action::Send {
                request,
                backend,
                limit,
                care,
            } => self.send(request, backend, limit, care),
            Action::Check(request) => {
                if let Some(entry) = self.state.borrow_mut().requests.get_mut(&request) {
                    entry.held = true;
                }
            }
            Action::Refuse {
                request,
                retry_after,
                ..
            } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::CallOff { request, attempt } => {
                self.settle(request, attempt, Ended::of(Outcome::Cancelled))
            }
            Action::SetAlarm { at, alarm } => self.set_timer(at, Due::Alarm(alarm)),
            Action::CloseIdle(backend) => self.pools.close_idle(backend),
            Action::Log(text) => eprintln!("{text}"),
            // Changes of the list come unasked, and probes are not permitted.
            Action::Subscribe | Action::FetchList | Action::Probe(_) => {}
        }
    }

    // ---- Requests -----------------------------------------------------------------------------------

    /// Takes a request in; `None` if one with its id has come before.
    pub fn arrive(
        self: &Rc<Self>,
        incoming: Incoming,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.arrive_by(incoming, None)
    }

    /// Takes a request in that may have come over gRPC; `None` if one with its id has come before.
    pub fn arrive_by(
        self: &Rc<Self>,
        incoming: Incoming,
        passage: Option<Rc<Passage>>,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            state.forget_ids(incoming.at);
            if !state.ids.insert(incoming.order.id.clone()) {
                return None;
            }
            let id = state.new_request();
            let entry = Entry {
                order: Rc::new(incoming.order),
                customer: incoming.customer,
                plan: incoming.plan,
                units: incoming.units,
                deadline: incoming.deadline,
                answer: Some(sender),
                attempts: 0,
                out: None,
                held: false,
                passage,
                started: false,
            };
            state.requests.insert(id, entry);
            id
        };
        self.set_timer(incoming.deadline, Due::Deadline(id));
        let request = Request {
            id,
            customer: incoming.customer,
            plan: incoming.plan,
            class: incoming.class,
            units: incoming.units,
            deadline: incoming.deadline,
            checked: incoming.checked,
            spread: incoming.spread,
        };
        if let Some(counts) = self.counts.get() {
            // What is known of the customer's use elsewhere goes first, so that this request is decided by it.
            if let Some(told) = counts.elsewhere(incoming.at, request.customer, request.plan) {
                self.post(incoming.at, Event::Elsewhere(told));
            }
        }
        self.post(incoming.at, Event::Arrival(request));
        Some((id, receiver))
    }

    /// Other doors have let in more for a customer.
    pub fn used_elsewhere(self: &Rc<Self>, at: Millis, told: Elsewhere) {
        self.post(at, Event::Elsewhere(told));
    }

    /// Whether a request waits for its caller's check.
    pub fn held(&self, id: RequestId) -> bool {
        self.state
            .borrow()
            .requests
            .get(&id)
            .is_some_and(|entry| entry.held)
    }

    /// A held request's caller passes, with these headers for the backend. One that has its answer by now stays as it is.
    pub fn passed(self: &Rc<Self>, id: RequestId, onward: &[(HeaderName, HeaderValue)]) {
        if let Some(entry) = self
            .state
            .borrow_mut()
            .requests
            .get_mut(&id)
            .filter(|entry| entry.held)
        {
            entry.held = false;
            if !onward.is_empty() {
                let order = Order {
                    onward: onward.to_vec(),
                    ..(*entry.order).clone()
                };
                entry.order = Rc::new(order);
            }
        }
        self.post(
            self.clock.now(),
            Event::Checked {
                request: id,
                passes: true,
            },
        );
    }

    /// A held request's caller does not pass, and whoever says so answers it; `false` if it has its answer by now.
    pub fn turned_down(self: &Rc<Self>, id: RequestId) -> bool {
        let waited = {
            let mut state = self.state.borrow_mut();
            state
                .requests
                .get_mut(&id)
                .is_some_and(|entry| entry.answer.take().is_some())
        };
        if waited {
            self.post(
                self.clock.now(),
                Event::Checked {
                    request: id,
                    passes: false,
                },
            );
            self.state.borrow_mut().forget_if_over(id);
        }
        waited
    }

    /// Notes that a client has gone away; nothing happens if its request has been answered.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        let waited = {
            let mut state = self.state.borrow_mut();
            state
                .requests
                .get_mut(&id)
                .is_some_and(|entry| entry.answer.take().is_some())
        };
        if waited {
            self.post(self.clock.now(), Event::ClientGone(id));
            self.state.borrow_mut().forget_if_over(id);
        }
    }

    /// A call's answer is on its way to its client: no further attempt can take the place of this one.
    pub fn started(self: &Rc<Self>, id: RequestId) {
        if let Some(entry) = self.state.borrow_mut().requests.get_mut(&id) {
            entry.started = true;
        }
        self.post(self.clock.now(), Event::StreamStarted(id));
    }

    /// Ends the attempt of a call whose client has gone, where the settings allow it.
    pub fn call_off(self: &Rc<Self>, id: RequestId) {
        let out = self
            .state
            .borrow()
            .requests
            .get(&id)
            .and_then(|entry| Some(entry.out.as_ref()?.number));
        if let Some(number) = out.filter(|_| self.settings.cancel) {
            self.settle(id, number, Ended::of(Outcome::Cancelled));
        }
    }

    /// Gives a request its final answer, unless it has one.
    fn answer(&self, id: RequestId, answer: Answer) {
        let mut state = self.state.borrow_mut();
        if let Some(sender) = state
            .requests
            .get_mut(&id)
            .and_then(|entry| entry.answer.take())
        {
            // The client may be gone; then there is nobody to tell.
            let _ = sender.send(answer);
        }
        state.forget_if_over(id);
    }

    // ---- Attempts -----------------------------------------------------------------------------------

    fn send(self: &Rc<Self>, id: RequestId, backend: BackendId, limit: Option<Millis>, care: Care) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.requests.get_mut(&id) else {
            return;
        };
        let number = entry.attempts;
        entry.attempts += 1;
        let limit = limit.unwrap_or(f64::INFINITY).min(entry.deadline - now);
        let over = entry.answer.is_none() || entry.out.is_some() || limit <= 0.0;
        if over || number >= self.settings.max_attempts {
            drop(state);
            self.post(
                now,
                Event::Settled(settled(
                    id,
                    number,
                    backend,
                    0.0,
                    &Ended::of(Outcome::NotSent),
                    false,
                )),
            );
            return;
        }
        if let Some(counts) = self.counts.get().filter(|_| number == 0) {
            counts.used(now, entry.customer, entry.plan, entry.units);
        }
        let order = entry.order.clone();
        #[cfg(feature = "breakages")]
        let order = breakages::order(order);
        let line = AttemptHandle::default();
        let (door, on) = (self.clone(), line.clone());
        let to = backend;
        #[cfg(feature = "breakages")]
        let to = match self.last_started.get() {
            Some(last) if breakages::is(breakages::Breakage::ColdFavoured) => last,
            _ => to,
        };
        let passage = entry.passage.clone();
        let task = tokio::task::spawn_local(async move {
            let ended = match &passage {
                None => {
                    backends::attempt(&door.pools, &door.reading, to, &order, limit, care, &on)
                        .await
                }
                Some(passage) => {
                    let (pools, clock) = (&*door.pools, door.clock);
                    let committed = &|| door.started(id);
                    let (order, line) = (&*order, &on);
                    let errand = grpc::Errand {
                        pools,
                        clock,
                        order,
                        passage,
                        limit,
                        care,
                        line,
                        committed,
                    };
                    door.calls.attempt(to, errand).await
                }
            };
            door.settle(id, number, ended);
        });
        line.attach_task(task.abort_handle());
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::TwoOut) {
            self.send_again(backend, entry.order.clone(), 0);
        }
        entry.out = Some(Attempt {
            number,
            backend,
            sent: now,
            line,
        });
        drop(state);
        self.set_timer(now + limit, Due::TimeOut(id, number));
    }

    /// Sends an order once more, past the decision module, after so many milliseconds.
    #[cfg(feature = "breakages")]
    fn send_again(self: &Rc<Self>, backend: BackendId, order: Rc<Order>, after_ms: u64) {
        let door = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(after_ms)).await;
            let line = AttemptHandle::default();
            backends::attempt(
                &door.pools,
                &door.reading,
                backend,
                &order,
                2000.0,
                Care::Usual,
                &line,
            )
            .await;
        });
    }

    /// Sends a request's order on once more, past the decision module, to wherever it is out.
    #[cfg(feature = "breakages")]
    pub fn send_on_again(self: &Rc<Self>, id: RequestId) {
        let state = self.state.borrow();
        let Some(entry) = state.requests.get(&id) else {
            return;
        };
        let Some(backend) = entry.out.as_ref().map(|out| out.backend) else {
            return;
        };
        let order = entry.order.clone();
        drop(state);
        self.send_again(backend, order, 30);
    }

    /// Settles an attempt, once: whatever ends it later finds it gone.
    fn settle(self: &Rc<Self>, id: RequestId, number: u32, mut ended: Ended) {
        let now = self.clock.now();
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.requests.get_mut(&id) else {
                return;
            };
            let Some(attempt) = entry.out.take_if(|attempt| attempt.number == number) else {
                return;
            };
            if matches!(ended.outcome, Outcome::Cancelled | Outcome::Timeout) {
                // What has not been written whole when its connection is closed cannot run.
                if ended.outcome == Outcome::Timeout && !attempt.line.fully_written() {
                    ended.outcome = Outcome::ConnectFailed;
                }
                attempt.line.abort();
            }
            #[cfg(feature = "breakages")]
            if ended.outcome == Outcome::Ok && breakages::is(breakages::Breakage::StaleBody) {
                std::mem::swap(&mut ended.body, &mut *self.last_body.borrow_mut());
            }
            #[cfg(feature = "breakages")]
            if ended.outcome == Outcome::Ok && breakages::is(breakages::Breakage::SentAfterAnswer) {
                self.send_again(attempt.backend, entry.order.clone(), 150);
            }
            if let Some(sender) = entry.answer.take_if(|_| ended.outcome == Outcome::Ok) {
                let _ = sender.send(Answer::Served(ended.body.clone()));
            }
            if let (Some(counts), Some(charge)) = (self.counts.get(), ended.charge) {
                counts.used(now, entry.customer, entry.plan, charge - entry.units);
            }
            let closed = entry.answer.is_none();
            settled(
                id,
                number,
                attempt.backend,
                now - attempt.sent,
                &ended,
                closed,
            )
        };
        self.post(now, Event::Settled(event));
        self.state.borrow_mut().forget_if_over(id);
    }

    // ---- Time ---------------------------------------------------------------------------------------

    fn set_timer(&self, at: Millis, due: Due) {
        let mut state = self.state.borrow_mut();
        let earliest = state
            .timers
            .peek()
            .is_none_or(|Reverse(first)| at < first.at);
        state.timers_set += 1;
        let order = state.timers_set;
        state.timers.push(Reverse(Timer { at, order, due }));
        if earliest {
            self.earlier.notify_one();
        }
    }

    /// Fires what comes due, for as long as the front door runs.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let next = {
                let mut state = self.state.borrow_mut();
                state.drop_dead_timers();
                match state.timers.peek() {
                    Some(Reverse(first)) if first.at <= now => {
                        state.timers.pop().map(|Reverse(first)| Ok(first))
                    }
                    Some(Reverse(first)) => Some(Err(first.at)),
                    None => None,
                }
            };
            match next {
                Some(Ok(timer)) => self.fire(now, timer.due),
                Some(Err(at)) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
        }
    }

    fn fire(self: &Rc<Self>, now: Millis, due: Due) {
        match due {
            Due::Alarm(alarm) => self.post(now, Event::Alarm(alarm)),
            Due::TimeOut(id, number) => {
                // A stream that has begun is not given up for its length: its client's deadline ends it.
                let state = self.state.borrow();
                let goes_on = state
                    .requests
                    .get(&id)
                    .filter(|entry| entry.started && entry.deadline > now);
                let later = goes_on.map(|entry| entry.deadline);
                drop(state);
                match later {
                    Some(deadline) => self.set_timer(deadline, Due::TimeOut(id, number)),
                    None => self.settle(id, number, Ended::of(Outcome::Timeout)),
                }
            }
            Due::Deadline(id) => {
                // The module answers before this; a request that it holds must not stay without an answer.
                let waited = self
                    .state
                    .borrow()
                    .requests
                    .get(&id)
                    .is_some_and(|e| e.answer.is_some());
                if waited {
                    self.answer(id, Answer::Failed);
                    self.post(now, Event::ClientGone(id));
                }
            }
        }
    }

    // ---- The list of backends -----------------------------------------------------------------------

    /// Takes in changes of the list of backends, later.
    #[cfg(feature = "breakages")]
    pub fn list_changed(self: &Rc<Self>, changes: Vec<Member>) {
        if !breakages::is(breakages::Breakage::DrainLate) {
            return self.list_heard(&changes);
        }
        let door = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(breakages::LATE_MS)).await;
            door.list_heard(&changes);
        });
    }

    /// Takes in changes of the list of backends.
    #[cfg(not(feature = "breakages"))]
    pub fn list_changed(self: &Rc<Self>, changes: Vec<Member>) {
        self.list_heard(&changes);
    }

    fn list_heard(self: &Rc<Self>, changes: &[Member]) {
        let entries = {
            let mut state = self.state.borrow_mut();
            changes
                .iter()
                .filter_map(|member| self.entry(&mut state, member))
                .collect()
        };
        self.post(
            self.clock.now(),
            Event::Backends(ListKind::Changes, entries),
        );
    }

    /// An entry as the module hears it.
    fn entry(&self, state: &mut State, member: &Member) -> Option<BackendEntry> {
        #[cfg(feature = "breakages")]
        if member.health != Health::Up && breakages::is(breakages::Breakage::DrainIgnored) {
            return None;
        }
        let id = state.backend(&member.host);
        let availability = match member.health {
            Health::Up => Availability::Ready,
            Health::Draining => Availability::Draining,
            Health::Removed => Availability::Gone,
        };
        match member.health {
            Health::Up => self.pools.open(id, member.dial, member.born_ms),
            Health::Draining => self.pools.drain(id),
            Health::Removed => {
                self.pools.remove(id);
                state.backends.remove(&member.host);
            }
        }
        let site = settings::plain(&member.site);
        let zone = self.names.zones.iter().position(|zone| *zone == site);
        let entry = BackendEntry {
            id,
            zone: ZoneId(zone.map_or(u32::MAX, |zone| zone as u32)),
            cell: CellId(member.block),
            availability,
            started: (member.born_ms > 0.0).then_some(member.born_ms),
            size: member.share,
        };
        #[cfg(feature = "breakages")]
        if entry.availability == Availability::Ready && entry.started.is_some() {
            self.last_started.set(Some(id));
        }
        #[cfg(feature = "breakages")]
        let entry = breakages::entry(entry);
        Some(entry)
    }

    /// Disposes of idle connections before backends do, for as long as the front door runs.
    pub async fn tidy(self: Rc<Self>) {
        tokio::join!(
            self.pools.close_idle_periodically(),
            self.calls.tidy(&self.pools)
        );
    }
}

impl State {
    fn new_request(&mut self) -> RequestId {
        loop {
            self.last_request = self.last_request.wrapping_add(1);
            let id = RequestId(self.last_request);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Drops what would fire first but has nothing left to do, so that nobody wakes for it. Most requests are
    /// over long before their times are up. What an alarm means only the module knows: it always fires.
    fn drop_dead_timers(&mut self) {
        while let Some(Reverse(first)) = self.timers.peek() {
            let dead = match first.due {
                Due::Alarm(_) => false,
                Due::Deadline(id) => self
                    .requests
                    .get(&id)
                    .is_none_or(|entry| entry.answer.is_none()),
                Due::TimeOut(id, number) => {
                    let out = self.requests.get(&id).and_then(|entry| entry.out.as_ref());
                    out.is_none_or(|attempt| attempt.number != number)
                }
            };
            if !dead {
                return;
            }
            self.timers.pop();
        }
    }

    fn backend(&mut self, host: &str) -> BackendId {
        if let Some(id) = self.backends.get(host) {
            return *id;
        }
        self.last_backend = self.last_backend.wrapping_add(1);
        let id = BackendId(self.last_backend);
        self.backends.insert(host.to_owned(), id);
        id
    }

    fn forget_if_over(&mut self, id: RequestId) {
        let over = self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.answer.is_none() && entry.out.is_none());
        if over {
            if let Some(entry) = self.requests.remove(&id) {
                self.past_ids
                    .push_back((entry.deadline, entry.order.id.clone()));
            }
        }
    }

    fn forget_ids(&mut self, now: Millis) {
        while let Some((since, _)) = self.past_ids.front() {
            if now - since < ID_MEMORY && self.past_ids.len() <= IDS_KEPT {
                return;
            }
            if let Some((_, id)) = self.past_ids.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}

fn settled(
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    elapsed: Millis,
    ended: &Ended,
    closed: bool,
) -> Settled {
    Settled {
        request,
        attempt,
        backend,
        outcome: ended.outcome,
        elapsed,
        closed,
        use_of_quota: ended.used,
        true_units: ended.charge,
        report: ended.report,
        broken: ended.broken,
    }
}
