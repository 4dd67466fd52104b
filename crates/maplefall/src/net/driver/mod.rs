//! The driver: hands events to the decision module and carries out what comes back.
//!
//! It owns the gateway, the tables of requests and attempts, the alarms, and the maps between names on the
//! wire and the module's numbers. [`Driver::post`] is the only place that calls the module; events that arise
//! while actions are carried out wait in a queue, so the module is never re-entered.

use crate::net::backends::{self, ResponseReader};
#[cfg(feature = "breakages")]
use crate::net::breakages;
use crate::net::config::Config;
use crate::net::counts::SharedCounts;
use crate::net::grpc::{self, GrpcSettings, ProxiedCall};
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
const REQUEST_ID_RETENTION: Millis = 5000.0;
/// Ids of requests that are over that are kept at most.
const MAX_RETAINED_REQUEST_IDS: usize = 8192;

/// What comes due at a time.
#[derive(Clone, Copy, Debug)]
enum TimerEvent {
    /// An alarm of the module.
    Alarm(AlarmId),
    /// The time-out of an attempt.
    AttemptTimeout(RequestId, u32),
    /// The client of a request stops waiting.
    Deadline(RequestId),
}

/// An entry of the timer heap; of two for one time, the one set first comes first.
#[derive(Clone, Copy, Debug)]
struct Timer {
    at: Millis,
    sequence: u64,
    event: TimerEvent,
}

impl Ord for Timer {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.sequence.cmp(&other.sequence))
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
struct PendingRequest {
    forwarded: Rc<Order>,
    customer: CustomerId,
    plan: PlanId,
    /// Units that its quota was asked for.
    reserved_units: f64,
    deadline: Millis,
    /// Present until the one final answer has been handed over.
    answer_sender: Option<oneshot::Sender<Answer>>,
    attempts_started: u32,
    in_flight: Option<Attempt>,
    /// Whether the module waits for its caller's check.
    awaits_check: bool,
    /// The call that it is, if it came over gRPC.
    call: Option<Rc<ProxiedCall>>,
    /// Whether its answer is on its way to the client: there can be no other attempt.
    response_started: bool,
}

/// An attempt that is out.
struct Attempt {
    number: u32,
    backend: BackendId,
    sent_at: Millis,
    handle: AttemptHandle,
}

struct State {
    gateway: Gateway,
    requests: HashMap<RequestId, PendingRequest>,
    /// Ids on the wire of the requests in the table, and of those over for less than [`REQUEST_ID_RETENTION`].
    known_ids: HashSet<Rc<str>>,
    /// The latter, the oldest first; at most [`MAX_RETAINED_REQUEST_IDS`].
    retired_ids: VecDeque<(Millis, Rc<str>)>,
    last_request_number: u32,
    backend_ids: HashMap<String, BackendId>,
    last_backend_number: u32,
    timers: BinaryHeap<Reverse<Timer>>,
    timer_sequence: u64,
}

/// A front door's driver.
pub struct Driver {
    /// The one clock.
    pub clock: Clock,
    /// The settings.
    pub settings: Settings,
    /// The names that the settings give to numbers.
    pub names: Names,
    pools: Rc<Pools>,
    grpc_backends: grpc::Backends,
    /// Set once before anything is served, where doors share counts.
    shared_counts: OnceCell<Rc<SharedCounts>>,
    response_reader: Rc<ResponseReader>,
    state: RefCell<State>,
    event_queue: RefCell<VecDeque<(Millis, Event)>>,
    last_event_at: Cell<Millis>,
    handling: Cell<bool>,
    timer_advanced: Notify,
    #[cfg(feature = "breakages")]
    last_body: RefCell<hyper::body::Bytes>,
    #[cfg(feature = "breakages")]
    last_started: Cell<Option<BackendId>>,
}

/// The settings that the decision module goes by.
fn policy_settings(settings: Settings) -> Settings {
    #[cfg(feature = "breakages")]
    let settings = breakages::settings(settings);
    settings
}

/// Ends the process if the module panics: a front door that cannot decide must not go on taking requests.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Driver {
    /// A front door with an empty list of backends; so many of the descriptors for backends are needed elsewhere.
    pub fn new(
        config: &Config,
        reserved_sockets: usize,
        grpc: Option<&GrpcSettings>,
    ) -> Rc<Driver> {
        let parsed = &config.parsed;
        let (connections, streams) =
            grpc.map_or((0, 0), |grpc| (grpc.backend_connections, grpc.streams));
        let response_reader = ResponseReader::new(parsed, config.limits.memory_mb << 20);
        let pools = Pools::new(
            parsed.links,
            pool::upstream_budget(config.limits.sockets).saturating_sub(reserved_sockets),
        );
        Rc::new(Driver {
            clock: Clock::new(),
            settings: parsed.settings.clone(),
            names: parsed.names.clone(),
            pools: Rc::new(pools),
            grpc_backends: grpc::Backends::new(
                parsed.links,
                connections,
                streams as usize,
                parsed.settings.max_units,
            ),
            shared_counts: OnceCell::new(),
            response_reader: Rc::new(response_reader),
            state: RefCell::new(State {
                gateway: Gateway::new(policy_settings(parsed.settings.clone()), config.seed),
                requests: HashMap::new(),
                known_ids: HashSet::new(),
                retired_ids: VecDeque::new(),
                last_request_number: 0,
                backend_ids: HashMap::new(),
                last_backend_number: 0,
                timers: BinaryHeap::new(),
                timer_sequence: 0,
            }),
            event_queue: RefCell::default(),
            last_event_at: Cell::new(0.0),
            handling: Cell::new(false),
            timer_advanced: Notify::new(),
            #[cfg(feature = "breakages")]
            last_body: RefCell::default(),
            #[cfg(feature = "breakages")]
            last_started: Cell::new(None),
        })
    }

    /// From now on counts are shared with other doors.
    pub fn enable_shared_counts(&self, counts: Rc<SharedCounts>) {
        // A second call would change nothing.
        let _ = self.shared_counts.set(counts);
    }

    /// Whether there is a list to serve from.
    pub fn ready(&self) -> bool {
        !self.state.borrow().backend_ids.is_empty()
    }

    /// Requests that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.state
            .borrow()
            .requests
            .values()
            .filter(|entry| entry.answer_sender.is_some())
            .count()
    }

    /// Hands an event to the module, or queues it behind the one that is being handled.
    fn post(self: &Rc<Self>, at: Millis, event: Event) {
        self.event_queue.borrow_mut().push_back((at, event));
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some((at, event)) = self.event_queue.borrow_mut().pop_front() else {
                break;
            };
            // Two events may have been read in another order than they came; the clock never goes back.
            let at = at.max(self.last_event_at.get());
            self.last_event_at.set(at);
            let exit_on_panic = ExitOnPanic;
            self.state
                .borrow_mut()
                .gateway
                .handle(at, event, &mut actions);
            drop(exit_on_panic);
            actions.drain(..).for_each(|action| self.execute(action));
        }
        self.handling.set(false);
    }

    fn execute(self: &Rc<Self>, action: Action) {
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
                    entry.awaits_check = true;
                }
            }
            Action::Refuse {
                request,
                retry_after,
                ..
            } => self.send_answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => self.send_answer(request, Answer::Failed),
            Action::CallOff { request, attempt } => {
                self.finish_attempt(request, attempt, Ended::of(Outcome::Cancelled))
            }
            Action::SetAlarm { at, alarm } => self.set_timer(at, TimerEvent::Alarm(alarm)),
            Action::CloseIdle(backend) => self.pools.close_idle(backend),
            Action::Log(text) => eprintln!("{text}"),
            // Changes of the list come unasked, and probes are not permitted.
            Action::Subscribe | Action::FetchList | Action::Probe(_) => {}
        }
    }

    // ---- Requests -----------------------------------------------------------------------------------

    /// Takes a request in; `None` if one with its id has come before.
    pub fn start_request(
        self: &Rc<Self>,
        incoming: Incoming,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        self.start_call(incoming, None)
    }

    /// Takes a request in that may have come over gRPC; `None` if one with its id has come before.
    pub fn start_call(
        self: &Rc<Self>,
        incoming: Incoming,
        call: Option<Rc<ProxiedCall>>,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            state.expire_request_ids(incoming.at);
            if !state.known_ids.insert(incoming.order.id.clone()) {
                return None;
            }
            let id = state.allocate_request_id();
            let entry = PendingRequest {
                forwarded: Rc::new(incoming.order),
                customer: incoming.customer,
                plan: incoming.plan,
                reserved_units: incoming.units,
                deadline: incoming.deadline,
                answer_sender: Some(sender),
                attempts_started: 0,
                in_flight: None,
                awaits_check: false,
                call,
                response_started: false,
            };
            state.requests.insert(id, entry);
            id
        };
        self.set_timer(incoming.deadline, TimerEvent::Deadline(id));
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
        if let Some(counts) = self.shared_counts.get() {
            // What is known of the customer's use elsewhere goes first, so that this request is decided by it.
            if let Some(usage) = counts.usage_elsewhere(incoming.at, request.customer, request.plan)
            {
                self.post(incoming.at, Event::Elsewhere(usage));
            }
        }
        self.post(incoming.at, Event::Arrival(request));
        Some((id, receiver))
    }

    /// Other doors have let in more for a customer.
    pub fn record_usage_elsewhere(self: &Rc<Self>, at: Millis, usage: Elsewhere) {
        self.post(at, Event::Elsewhere(usage));
    }

    /// Whether a request waits for its caller's check.
    pub fn awaits_check(&self, id: RequestId) -> bool {
        self.state
            .borrow()
            .requests
            .get(&id)
            .is_some_and(|entry| entry.awaits_check)
    }

    /// A held request's caller passes, with these headers for the backend. One that has its answer by now stays as it is.
    pub fn check_passed(self: &Rc<Self>, id: RequestId, onward: &[(HeaderName, HeaderValue)]) {
        if let Some(entry) = self
            .state
            .borrow_mut()
            .requests
            .get_mut(&id)
            .filter(|entry| entry.awaits_check)
        {
            entry.awaits_check = false;
            if !onward.is_empty() {
                let order = Order {
                    onward: onward.to_vec(),
                    ..(*entry.forwarded).clone()
                };
                entry.forwarded = Rc::new(order);
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
    pub fn check_denied(self: &Rc<Self>, id: RequestId) -> bool {
        let unanswered = {
            let mut state = self.state.borrow_mut();
            state
                .requests
                .get_mut(&id)
                .is_some_and(|entry| entry.answer_sender.take().is_some())
        };
        if unanswered {
            self.post(
                self.clock.now(),
                Event::Checked {
                    request: id,
                    passes: false,
                },
            );
            self.state.borrow_mut().remove_if_finished(id);
        }
        unanswered
    }

    /// Notes that a client has gone away; nothing happens if its request has been answered.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let unanswered = {
            let mut state = self.state.borrow_mut();
            state
                .requests
                .get_mut(&id)
                .is_some_and(|entry| entry.answer_sender.take().is_some())
        };
        if unanswered {
            self.post(self.clock.now(), Event::ClientGone(id));
            self.state.borrow_mut().remove_if_finished(id);
        }
    }

    /// A call's answer is on its way to its client: no further attempt can take the place of this one.
    pub fn response_started(self: &Rc<Self>, id: RequestId) {
        if let Some(entry) = self.state.borrow_mut().requests.get_mut(&id) {
            entry.response_started = true;
        }
        self.post(self.clock.now(), Event::StreamStarted(id));
    }

    /// Ends the attempt of a call whose client has gone, where the settings allow it.
    pub fn cancel_if_permitted(self: &Rc<Self>, id: RequestId) {
        let number = self
            .state
            .borrow()
            .requests
            .get(&id)
            .and_then(|entry| Some(entry.in_flight.as_ref()?.number));
        if let Some(number) = number.filter(|_| self.settings.cancel) {
            self.finish_attempt(id, number, Ended::of(Outcome::Cancelled));
        }
    }

    /// Gives a request its final answer, unless it has one.
    fn send_answer(&self, id: RequestId, answer: Answer) {
        let mut state = self.state.borrow_mut();
        if let Some(sender) = state
            .requests
            .get_mut(&id)
            .and_then(|entry| entry.answer_sender.take())
        {
            // The client may be gone; then there is nobody to tell.
            let _ = sender.send(answer);
        }
        state.remove_if_finished(id);
    }

    // ---- Attempts -----------------------------------------------------------------------------------

    fn send(
        self: &Rc<Self>,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Millis>,
        care: Care,
    ) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.requests.get_mut(&id) else {
            return;
        };
        let number = entry.attempts_started;
        entry.attempts_started += 1;
        let timeout = timeout.unwrap_or(f64::INFINITY).min(entry.deadline - now);
        let not_needed =
            entry.answer_sender.is_none() || entry.in_flight.is_some() || timeout <= 0.0;
        if not_needed || number >= self.settings.max_attempts {
            drop(state);
            self.post(
                now,
                Event::Settled(settlement(
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
        if let Some(counts) = self.shared_counts.get().filter(|_| number == 0) {
            counts.record_usage(now, entry.customer, entry.plan, entry.reserved_units);
        }
        let forwarded = entry.forwarded.clone();
        #[cfg(feature = "breakages")]
        let forwarded = breakages::forwarded_request(forwarded);
        let handle = AttemptHandle::default();
        let (driver, task_handle) = (self.clone(), handle.clone());
        let target = backend;
        #[cfg(feature = "breakages")]
        let target = match self.last_started.get() {
            Some(last) if breakages::is(breakages::Breakage::ColdFavoured) => last,
            _ => target,
        };
        let call = entry.call.clone();
        let task = tokio::task::spawn_local(async move {
            let ended = match &call {
                None => {
                    backends::send_attempt(
                        &driver.pools,
                        &driver.response_reader,
                        target,
                        &forwarded,
                        timeout,
                        care,
                        &task_handle,
                    )
                    .await
                }
                Some(call) => {
                    let (pools, clock) = (&*driver.pools, driver.clock);
                    let committed = &|| driver.response_started(id);
                    let (forwarded, handle) = (&*forwarded, &task_handle);
                    let context = grpc::AttemptContext {
                        pools,
                        clock,
                        forwarded,
                        call,
                        timeout,
                        care,
                        handle,
                        committed,
                    };
                    driver.grpc_backends.attempt(target, context).await
                }
            };
            driver.finish_attempt(id, number, ended);
        });
        handle.attach_task(task.abort_handle());
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::TwoOut) {
            self.resend(backend, entry.forwarded.clone(), 0);
        }
        entry.in_flight = Some(Attempt {
            number,
            backend,
            sent_at: now,
            handle,
        });
        drop(state);
        self.set_timer(now + timeout, TimerEvent::AttemptTimeout(id, number));
    }

    /// Sends an order once more, past the decision module, after so many milliseconds.
    #[cfg(feature = "breakages")]
    fn resend(self: &Rc<Self>, backend: BackendId, forwarded: Rc<Order>, after_ms: u64) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(after_ms)).await;
            let handle = AttemptHandle::default();
            backends::send_attempt(
                &driver.pools,
                &driver.response_reader,
                backend,
                &forwarded,
                2000.0,
                Care::Usual,
                &handle,
            )
            .await;
        });
    }

    /// Sends a request's order on once more, past the decision module, to wherever it is out.
    #[cfg(feature = "breakages")]
    pub fn resend_in_flight(self: &Rc<Self>, id: RequestId) {
        let state = self.state.borrow();
        let Some(entry) = state.requests.get(&id) else {
            return;
        };
        let Some(backend) = entry.in_flight.as_ref().map(|out| out.backend) else {
            return;
        };
        let forwarded = entry.forwarded.clone();
        drop(state);
        self.resend(backend, forwarded, 30);
    }

    /// Settles an attempt, once: whatever ends it later finds it gone.
    fn finish_attempt(self: &Rc<Self>, id: RequestId, number: u32, mut end: Ended) {
        let now = self.clock.now();
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.requests.get_mut(&id) else {
                return;
            };
            let Some(attempt) = entry.in_flight.take_if(|attempt| attempt.number == number) else {
                return;
            };
            if matches!(end.outcome, Outcome::Cancelled | Outcome::Timeout) {
                // What has not been written whole when its connection is closed cannot run.
                if end.outcome == Outcome::Timeout && !attempt.handle.fully_written() {
                    end.outcome = Outcome::ConnectFailed;
                }
                attempt.handle.abort();
            }
            #[cfg(feature = "breakages")]
            if end.outcome == Outcome::Ok && breakages::is(breakages::Breakage::StaleBody) {
                std::mem::swap(&mut end.body, &mut *self.last_body.borrow_mut());
            }
            #[cfg(feature = "breakages")]
            if end.outcome == Outcome::Ok && breakages::is(breakages::Breakage::SentAfterAnswer) {
                self.resend(attempt.backend, entry.forwarded.clone(), 150);
            }
            if let Some(sender) = entry.answer_sender.take_if(|_| end.outcome == Outcome::Ok) {
                let _ = sender.send(Answer::Served(end.body.clone()));
            }
            if let (Some(counts), Some(charge)) = (self.shared_counts.get(), end.charge) {
                counts.record_usage(
                    now,
                    entry.customer,
                    entry.plan,
                    charge - entry.reserved_units,
                );
            }
            let closed = entry.answer_sender.is_none();
            settlement(
                id,
                number,
                attempt.backend,
                now - attempt.sent_at,
                &end,
                closed,
            )
        };
        self.post(now, Event::Settled(event));
        self.state.borrow_mut().remove_if_finished(id);
    }

    // ---- Time ---------------------------------------------------------------------------------------

    fn set_timer(&self, at: Millis, event: TimerEvent) {
        let mut state = self.state.borrow_mut();
        let is_earliest = state
            .timers
            .peek()
            .is_none_or(|Reverse(first)| at < first.at);
        state.timer_sequence += 1;
        let sequence = state.timer_sequence;
        state.timers.push(Reverse(Timer {
            at,
            sequence,
            event,
        }));
        if is_earliest {
            self.timer_advanced.notify_one();
        }
    }

    /// Fires what comes due, for as long as the front door runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let next = {
                let mut state = self.state.borrow_mut();
                state.discard_stale_timers();
                match state.timers.peek() {
                    Some(Reverse(first)) if first.at <= now => {
                        state.timers.pop().map(|Reverse(first)| Ok(first))
                    }
                    Some(Reverse(first)) => Some(Err(first.at)),
                    None => None,
                }
            };
            match next {
                Some(Ok(timer)) => self.handle_timer(now, timer.event),
                Some(Err(at)) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.timer_advanced.notified() => {}
                },
                None => self.timer_advanced.notified().await,
            }
        }
    }

    fn handle_timer(self: &Rc<Self>, now: Millis, event: TimerEvent) {
        match event {
            TimerEvent::Alarm(alarm) => self.post(now, Event::Alarm(alarm)),
            TimerEvent::AttemptTimeout(id, number) => {
                // A stream that has begun is not given up for its length: its client's deadline ends it.
                let state = self.state.borrow();
                let streaming = state
                    .requests
                    .get(&id)
                    .filter(|entry| entry.response_started && entry.deadline > now);
                let later = streaming.map(|entry| entry.deadline);
                drop(state);
                match later {
                    Some(deadline) => {
                        self.set_timer(deadline, TimerEvent::AttemptTimeout(id, number))
                    }
                    None => self.finish_attempt(id, number, Ended::of(Outcome::Timeout)),
                }
            }
            TimerEvent::Deadline(id) => {
                // The module answers before this; a request that it holds must not stay without an answer.
                let unanswered = self
                    .state
                    .borrow()
                    .requests
                    .get(&id)
                    .is_some_and(|entry| entry.answer_sender.is_some());
                if unanswered {
                    self.send_answer(id, Answer::Failed);
                    self.post(now, Event::ClientGone(id));
                }
            }
        }
    }

    // ---- The list of backends -----------------------------------------------------------------------

    /// Takes in changes of the list of backends, later.
    #[cfg(feature = "breakages")]
    pub fn apply_changes(self: &Rc<Self>, changes: Vec<Member>) {
        if !breakages::is(breakages::Breakage::DrainLate) {
            return self.apply_changes_now(&changes);
        }
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(breakages::LATE_MS)).await;
            driver.apply_changes_now(&changes);
        });
    }

    /// Takes in changes of the list of backends.
    #[cfg(not(feature = "breakages"))]
    pub fn apply_changes(self: &Rc<Self>, changes: Vec<Member>) {
        self.apply_changes_now(&changes);
    }

    fn apply_changes_now(self: &Rc<Self>, changes: &[Member]) {
        let entries = {
            let mut state = self.state.borrow_mut();
            changes
                .iter()
                .filter_map(|member| self.apply_change(&mut state, member))
                .collect()
        };
        self.post(
            self.clock.now(),
            Event::Backends(ListKind::Changes, entries),
        );
    }

    /// An entry as the module hears it.
    fn apply_change(&self, state: &mut State, member: &Member) -> Option<BackendEntry> {
        #[cfg(feature = "breakages")]
        if member.health != Health::Up && breakages::is(breakages::Breakage::DrainIgnored) {
            return None;
        }
        let id = state.backend_id(&member.host);
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
                state.backend_ids.remove(&member.host);
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
    pub async fn close_idle_connections(self: Rc<Self>) {
        tokio::join!(
            self.pools.close_idle_periodically(),
            self.grpc_backends.close_idle_connections(&self.pools)
        );
    }
}

impl State {
    fn allocate_request_id(&mut self) -> RequestId {
        loop {
            self.last_request_number = self.last_request_number.wrapping_add(1);
            let id = RequestId(self.last_request_number);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// Drops what would fire first but has nothing left to do, so that nobody wakes for it. Most requests are
    /// over long before their times are up. What an alarm means only the module knows: it always fires.
    fn discard_stale_timers(&mut self) {
        while let Some(Reverse(first)) = self.timers.peek() {
            let stale = match first.event {
                TimerEvent::Alarm(_) => false,
                TimerEvent::Deadline(id) => self
                    .requests
                    .get(&id)
                    .is_none_or(|entry| entry.answer_sender.is_none()),
                TimerEvent::AttemptTimeout(id, number) => {
                    let out = self
                        .requests
                        .get(&id)
                        .and_then(|entry| entry.in_flight.as_ref());
                    out.is_none_or(|attempt| attempt.number != number)
                }
            };
            if !stale {
                return;
            }
            self.timers.pop();
        }
    }

    fn backend_id(&mut self, host: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(host) {
            return *id;
        }
        self.last_backend_number = self.last_backend_number.wrapping_add(1);
        let id = BackendId(self.last_backend_number);
        self.backend_ids.insert(host.to_owned(), id);
        id
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let finished = self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.answer_sender.is_none() && entry.in_flight.is_none());
        if finished {
            if let Some(entry) = self.requests.remove(&id) {
                self.retired_ids
                    .push_back((entry.deadline, entry.forwarded.id.clone()));
            }
        }
    }

    fn expire_request_ids(&mut self, now: Millis) {
        while let Some((since, _)) = self.retired_ids.front() {
            if now - since < REQUEST_ID_RETENTION
                && self.retired_ids.len() <= MAX_RETAINED_REQUEST_IDS
            {
                return;
            }
            if let Some((_, id)) = self.retired_ids.pop_front() {
                self.known_ids.remove(&id);
            }
        }
    }
}

fn settlement(
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    elapsed: Millis,
    end: &Ended,
    closed: bool,
) -> Settled {
    Settled {
        request,
        attempt,
        backend,
        outcome: end.outcome,
        elapsed,
        closed,
        use_of_quota: end.used,
        true_units: end.charge,
        report: end.report,
        broken: end.broken,
    }
}
