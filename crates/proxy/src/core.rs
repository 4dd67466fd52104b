//! What a door decides.

use crate::services::{PoolCommand, Services};
use crate::timers::Timers;
use maplefall_control_messages::{ConfigUpdate, Frame};
use maplefall_gateway_config::{Change, ItemSet, Route, RouteMatch, RouteTable as Numbers, Tenant};
use maplefall_node_settings::{Bounds, Settings};
use maplefall_policy::*;
use maplefall_quota_lease::{Demand, LeaseClient};
use maplefall_service_registry::{Applied, InstanceRecord, Registry};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Shortest time between two reports for one lender beyond those of the ticks.
const URGENT: Millis = 60.0;
/// Backends that somebody who knows all does not name are lost if nobody has spoken of them for this long.
const UNNAMED: Millis = 10_000.0;
/// What is kept free of a client's time for the answer's way back.
const WAY_BACK: Millis = 4.0;
/// When a client is told to come back where nothing else is known, as a part of the aim.
const COME_BACK_AIMS: f64 = 0.2;
/// The same for a door that has no configuration yet.
const COME_BACK: Millis = 300.0;
/// Advice is this at least: a client that comes back at once finds the same.
const SOONEST: Millis = 10.0;
/// A request may wait this long for what a door that has just started still lacks.
const LONGEST_MOMENT: Millis = 120.0;
/// Lenders answer within this, or are taken not to; and are asked again after this.
const LENDERS_ANSWER: (Millis, Millis) = (30.0, 1000.0);
/// Part of its aim for which a request may wait for tokens that are sure to come.
const WAIT_AIMS: f64 = 0.2;
/// A tenant is short of tokens for this long after it was turned away.
const SHORT: Millis = 300.0;
/// Requests at most that wait for their answers.
const MOST_REQUESTS: usize = 4096;

/// A request as it came.
pub struct IncomingRequest<'a> {
    /// The value of `Host`.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key, if one came.
    pub api_key: Option<&'a str>,
    /// How long the client waits from now on.
    pub remaining: Option<Millis>,
    /// When its first byte came.
    pub received_at: Millis,
    /// Whether it has been counted: it waited for what was missing.
    pub is_retry: bool,
}

/// The final answer of a request that no backend answers.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// The status.
    pub status: u16,
    /// When to come back, where it has not run.
    pub retry_after: Option<Millis>,
    /// A backend's own answer is to be passed on in its place, if there is one.
    pub prefer_backend_response: bool,
}

impl LocalResponse {
    fn of(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            prefer_backend_response: false,
        }
    }

    fn not_run(status: u16, retry_after: Millis) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: Some(retry_after.max(SOONEST)),
            prefer_backend_response: false,
        }
    }
}

/// Why a request is not let in.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// This is its answer.
    Rejected(LocalResponse),
    /// This is its answer, if what is missing does not come in a moment, this long at most: a configuration, backends, a loan.
    RejectedUnless(LocalResponse, Millis),
}

/// A request that was let in.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Its number.
    pub id: RequestId,
    /// The tenant for the backend to see.
    pub tenant: Option<Rc<str>>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// Connections that had come up and broke under it.
    pub broken_connections: u32,
    /// Somebody else is at the backend's address.
    pub wrong_instance: bool,
}

/// What is to be done.
#[derive(Debug)]
pub enum Output {
    /// Start an attempt.
    Send {
        /// Of this request.
        request: RequestId,
        /// Its number.
        attempt: u32,
        /// To this backend.
        backend: BackendId,
        /// Whose id is this.
        instance: Rc<str>,
        /// The backend is told this as its time.
        limit: Millis,
        /// What is done lest a broken connection takes the request along.
        care: Care,
    },
    /// Pass on the answer that an attempt has brought.
    ForwardResponse(RequestId),
    /// Answer a request.
    Respond(RequestId, LocalResponse),
    /// Close the connection of an attempt; tell [`Core::ended`] how far it was.
    CancelAttempt(RequestId, u32),
    /// Connections of a backend.
    Pool(PoolCommand),
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Say something to an exchange.
    SendToController(String, Frame),
    /// These exchanges there are.
    ControllersChanged(Vec<String>),
    /// Something has come that requests may have waited for.
    StateChanged,
    /// A line for the log.
    Log(String),
}

enum Due {
    Alarm(RequestId),
    /// A request's token is there.
    Token(RequestId),
    TimeOut(RequestId, u32),
}

struct Entry {
    service: usize,
    tenant: Option<Rc<str>>,
    aim: Millis,
    deadline: Millis,
    attempts: u32,
    out: Option<(u32, BackendId, Millis)>,
    may_have_run: bool,
    answered: bool,
    sent: bool,
    /// What is decided once its token is there.
    awaits: Option<Request>,
}

/// The decisions of one door.
pub struct Core {
    bounds: Bounds,
    rng: Pcg32,
    board: ItemSet,
    config_index: u64,
    numbers: Rc<Numbers>,
    tenants: Tenants<Rc<str>>,
    names: HashMap<String, Rc<str>>,
    purse: LeaseClient,
    connected: BTreeSet<String>,
    controllers: BTreeSet<String>,
    urgent: Millis,
    /// When the lenders were asked for more of a tenant's quota.
    asked: HashMap<Rc<str>, Millis>,
    /// When a tenant's bucket was found empty last.
    short: HashMap<Rc<str>, Millis>,
    directory: Registry,
    services: Services,
    requests: HashMap<RequestId, Entry>,
    last: u32,
    timers: Timers<Due>,
    stopping: bool,
    was_ready: bool,
    /// What happened since the last line about it.
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    arrived: u64,
    passed: u64,
    quota: u64,
    boxed: u64,
    no_backend: u64,
    failed: u64,
    repeats: u64,
    unknown: u64,
    /// Requests turned away for lack of tokens, by tenant.
    turned: HashMap<Rc<str>, u64>,
}

/// What a tenant may use, and the part of it that is held here. In any window the runs are at most what buckets hold together
/// and what fills them meanwhile: that is kept within the window's bound. A fifth of the overshoot is kept for requests that wait
/// for tokens: if all loans ended while they do, they would run without.
pub fn quota(bounds: &Bounds, rate: f64, burst: f64, part: f64, aim: Millis) -> Quota {
    let over = 1.0 + 0.8 * bounds.quota_overshoot;
    let spare = 1000.0 * 0.2 * bounds.quota_overshoot * bounds.quota_window_s;
    let wait = spare.min(WAIT_AIMS * aim);
    Quota {
        rate: over * rate,
        burst,
        depth: over * burst + 0.9 * bounds.quota_slack,
        part,
        wait,
    }
}

impl Core {
    /// A door that knows nothing yet. `seed` is its only source of chance, and names this life.
    pub fn new(settings: &Settings, seed: u64) -> Core {
        Core {
            bounds: settings.bounds,
            rng: Pcg32::seed_from_u64(seed),
            board: ItemSet::default(),
            config_index: 0,
            numbers: Rc::default(),
            tenants: Tenants::new(settings.bootstrap),
            names: HashMap::new(),
            purse: LeaseClient::new(seed.max(1)),
            connected: BTreeSet::new(),
            controllers: settings
                .seeds
                .iter()
                .map(|seed| seed.ip().to_string())
                .collect(),
            urgent: 0.0,
            asked: HashMap::new(),
            short: HashMap::new(),
            directory: Registry::default(),
            services: Services::new(settings.bounds, &settings.zone, seed),
            requests: HashMap::new(),
            last: 0,
            timers: Timers::default(),
            stopping: false,
            was_ready: false,
            counts: Counts::default(),
        }
    }

    /// The index of the configuration that holds here.
    pub fn index(&self) -> u64 {
        self.config_index
    }

    /// What clients may send.
    pub fn limits(&self) -> maplefall_gateway_config::Limits {
        self.numbers.limits
    }

    /// Whether new clients may come.
    pub fn ready(&self) -> bool {
        !self.stopping && self.config_index > 0 && self.services.any()
    }

    /// The settings file has changed: seeds and bounds hold from now on; the rest takes a start.
    pub fn reload(&mut self, settings: &Settings, out: &mut Vec<Output>) {
        self.bounds = settings.bounds;
        self.services.set_bounds(settings.bounds);
        let known = self.controllers.len();
        self.controllers
            .extend(settings.seeds.iter().map(|seed| seed.ip().to_string()));
        if self.controllers.len() > known {
            out.push(Output::ControllersChanged(
                self.controllers.iter().cloned().collect(),
            ));
        }
    }

    /// A planned stop begins.
    pub fn shut_down(&mut self) {
        self.stopping = true;
    }

    /// Whether requests wait for their answers.
    pub fn has_pending_requests(&self) -> bool {
        self.requests.values().any(|entry| !entry.answered)
    }

    // ---- Requests -----------------------------------------------------------------------------------

    /// Takes a request in, or answers it at once.
    pub fn admit(
        &mut self,
        now: Millis,
        arrival: &IncomingRequest<'_>,
        out: &mut Vec<Output>,
    ) -> Result<AdmittedRequest, Rejection> {
        if self.config_index == 0 {
            // Without a configuration nothing is known: neither that there is no route nor that a key is wrong.
            return Err(Rejection::RejectedUnless(
                LocalResponse::not_run(503, COME_BACK),
                LONGEST_MOMENT,
            ));
        }
        let numbers = self.numbers.clone();
        let (route, tenant) = match numbers.resolve(arrival.host, arrival.path, arrival.api_key) {
            RouteMatch::Matched(route, tenant) => (route, tenant),
            RouteMatch::NoRoute => {
                self.counts.unknown += 1;
                return Err(Rejection::Rejected(LocalResponse::of(404)));
            }
            RouteMatch::UnknownKey => {
                self.counts.unknown += 1;
                return Err(Rejection::Rejected(LocalResponse::of(401)));
            }
        };
        let wait = arrival
            .remaining
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let deadline = arrival.received_at + wait - WAY_BACK;
        if self.requests.len() >= MOST_REQUESTS || deadline <= now {
            return Err(Rejection::Rejected(LocalResponse::not_run(
                503,
                COME_BACK_AIMS * route.latency_target,
            )));
        }
        let place = self.choose_service(route);
        if !self.services.has_any(place) {
            return Err(Rejection::RejectedUnless(
                LocalResponse::not_run(503, COME_BACK_AIMS * route.latency_target),
                LONGEST_MOMENT,
            ));
        }
        self.counts.arrived += 1;
        let who = tenant.map(|tenant| self.name(&tenant.name));
        let mut token = 0.0;
        if let (Some(tenant), Some(who)) = (tenant, &who) {
            let quota = self.quota(now, tenant, route.latency_target);
            let taken = if arrival.is_retry {
                self.tenants.take(now, who, 1.0, quota)
            } else {
                self.tenants.arrived(now, who, 1.0, quota)
            };
            match taken {
                Ok(wait) => token = wait,
                Err(turned) => {
                    let refusal =
                        |wait: Millis| LocalResponse::not_run(429, wait.min(route.timeout));
                    let last = match turned {
                        Turned::Box(wait) => Rejection::Rejected(refusal(wait)),
                        Turned::Bucket(wait) => match self.await_loan(now, who, out) {
                            Some(moment) => Rejection::RejectedUnless(refusal(wait), moment),
                            None => Rejection::Rejected(refusal(wait)),
                        },
                    };
                    match turned {
                        Turned::Box(_) => self.counts.boxed += 1,
                        Turned::Bucket(_) => {
                            self.counts.quota += 1;
                            *self.counts.turned.entry(who.clone()).or_default() += 1;
                        }
                    }
                    return Err(last);
                }
            }
        }
        let class = self.services.class(place, route);
        let id = self.new_request();
        let entry = Entry {
            service: place,
            tenant: who.clone(),
            aim: route.latency_target,
            deadline,
            attempts: 0,
            out: None,
            may_have_run: false,
            answered: false,
            sent: false,
            awaits: None,
        };
        let request = Request {
            id,
            customer: CustomerId(0),
            plan: PlanId(0),
            class,
            units: 1.0,
            deadline,
            checked: true,
            spread: 1.0,
        };
        if token > 0.0 {
            self.requests.insert(
                id,
                Entry {
                    awaits: Some(request),
                    ..entry
                },
            );
            self.timers.set(now + token, Due::Token(id));
        } else {
            self.requests.insert(id, entry);
            self.post(now, place, Event::Arrival(request), out);
        }
        Ok(AdmittedRequest { id, tenant: who })
    }

    /// A client has gone away before its answer.
    pub fn client_disconnected(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(entry) = self.requests.get_mut(&id).filter(|entry| !entry.answered) else {
            return;
        };
        entry.answered = true;
        let service = entry.service;
        if entry.awaits.take().is_some() {
            if let Some(tenant) = &entry.tenant {
                self.tenants.give_back(tenant, 1.0);
            }
        }
        self.post(now, service, Event::ClientGone(id), out);
        self.forget_if_over(id);
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        number: u32,
        ended: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((_, backend, sent)) = entry.out.take_if(|(attempt, _, _)| *attempt == number)
        else {
            return;
        };
        let never = matches!(
            ended.outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent
        );
        entry.may_have_run |= !never;
        if ended.outcome == Outcome::Ok && !entry.answered {
            entry.answered = true;
            self.counts.passed += 1;
            out.push(Output::ForwardResponse(id));
        }
        let (service, closed) = (entry.service, entry.answered);
        if ended.wrong_instance {
            let instance = self
                .services
                .backend(backend)
                .map(|backend| backend.instance.clone());
            if let Some(word) =
                instance.and_then(|instance| self.directory.mark_expired(now, &instance))
            {
                out.push(Output::Log(format!(
                    "event=stranger backend={} service={}",
                    word.id, word.service
                )));
                self.apply(now, &word, out);
            }
        }
        let settled = Settled {
            request: id,
            attempt: number,
            backend,
            outcome: ended.outcome,
            elapsed: now - sent,
            closed,
            use_of_quota: None,
            true_units: None,
            report: Report::default(),
            broken: ended.broken_connections,
        };
        self.post(now, service, Event::Settled(settled), out);
        self.forget_if_over(id);
    }

    fn post(&mut self, now: Millis, place: usize, event: Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        let Some(service) = self.services.get(place) else {
            return;
        };
        service.gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    backend,
                    limit,
                    care,
                } => {
                    self.send(now, request, backend, limit, care, out);
                }
                Action::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    self.refuse(request, reason, retry_after, out);
                }
                Action::Fail(request) => self.fail(now, request, out),
                Action::CallOff { request, attempt } => {
                    out.push(Output::CancelAttempt(request, attempt))
                }
                Action::SetAlarm { at, alarm } => {
                    if let Ok(id) = u32::try_from(alarm.0) {
                        self.timers.set(at, Due::Alarm(RequestId(id)));
                    }
                }
                Action::CloseIdle(backend) => out.push(Output::CloseIdle(backend)),
                Action::Log(text) => out.push(Output::Log(format!("event=judged text={text:?}"))),
                // Callers are checked by their keys, the list comes unasked, and nobody is probed.
                Action::Check(_) | Action::Subscribe | Action::FetchList | Action::Probe(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        now: Millis,
        id: RequestId,
        backend: BackendId,
        limit: Option<Millis>,
        care: Care,
        out: &mut Vec<Output>,
    ) {
        let instance = self
            .services
            .backend(backend)
            .map(|backend| backend.instance.clone());
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = entry.attempts;
        entry.attempts += 1;
        self.counts.repeats += u64::from(attempt > 0);
        let limit = limit.unwrap_or(f64::INFINITY).min(entry.deadline - now);
        entry.out = Some((attempt, backend, now));
        match instance.filter(|_| limit > 0.0) {
            Some(instance) => {
                entry.sent = true;
                self.timers.set(now + limit, Due::TimeOut(id, attempt));
                let left = entry.deadline - now;
                out.push(Output::Send {
                    request: id,
                    attempt,
                    backend,
                    instance,
                    limit: left,
                    care,
                });
            }
            None => {
                let ended = AttemptEnd {
                    outcome: Outcome::NotSent,
                    broken_connections: 0,
                    wrong_instance: false,
                };
                self.attempt_ended(now, id, attempt, ended, out);
            }
        }
    }

    fn refuse(
        &mut self,
        id: RequestId,
        reason: Reason,
        wait: Option<Millis>,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if !entry.answered {
            entry.answered = true;
            // What is still out may have run, or may run yet: nothing is promised.
            let answer = if entry.may_have_run || entry.out.is_some() {
                self.counts.failed += 1;
                LocalResponse {
                    status: if entry.out.is_some() { 504 } else { 502 },
                    retry_after: None,
                    prefer_backend_response: true,
                }
            } else {
                self.counts.no_backend += 1;
                LocalResponse::not_run(503, wait.unwrap_or(COME_BACK_AIMS * entry.aim))
            };
            if let (Some(tenant), false, Reason::Backends) = (&entry.tenant, entry.sent, reason) {
                self.tenants.give_back(tenant, 1.0);
            }
            out.push(Output::Respond(id, answer));
        }
        self.forget_if_over(id);
    }

    fn fail(&mut self, now: Millis, id: RequestId, out: &mut Vec<Output>) {
        let Some(entry) = self.requests.get_mut(&id) else {
            return;
        };
        if !entry.answered {
            entry.answered = true;
            self.counts.failed += 1;
            let status = if now + 2.0 * WAY_BACK >= entry.deadline {
                504
            } else {
                502
            };
            out.push(Output::Respond(
                id,
                LocalResponse {
                    status,
                    retry_after: None,
                    prefer_backend_response: true,
                },
            ));
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|entry| entry.answered && entry.out.is_none())
        {
            self.requests.remove(&id);
        }
    }

    fn new_request(&mut self) -> RequestId {
        loop {
            self.last = self.last.wrapping_add(1);
            let id = RequestId(self.last);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    /// The service that a request goes to, drawn by the weights of a split.
    fn choose_service(&mut self, route: &Route) -> usize {
        let all: f64 = route.destinations.iter().map(|to| to.weight).sum();
        let mut drawn = f64::from(self.rng.next_u32()) / 4_294_967_296.0 * all;
        let mut chosen = "";
        for to in route.destinations.iter().filter(|to| to.weight > 0.0) {
            chosen = &to.service;
            drawn -= to.weight;
            if drawn < 0.0 {
                break;
            }
        }
        self.services.place(chosen)
    }

    // ---- Time ---------------------------------------------------------------------------------------

    /// When something comes due.
    pub fn next_due(&mut self) -> Option<Millis> {
        let requests = &self.requests;
        self.timers.next(|due| match due {
            Due::Alarm(id) | Due::Token(id) => !requests.contains_key(id),
            Due::TimeOut(id, number) => {
                let out = requests.get(id).and_then(|entry| entry.out);
                out.is_none_or(|(attempt, _, _)| attempt != *number)
            }
        })
    }

    /// Does what is due.
    pub fn run_timers(&mut self, now: Millis, out: &mut Vec<Output>) {
        while let Some(due) = self.timers.take(now) {
            match due {
                Due::Alarm(id) => {
                    if let Some(place) = self.requests.get(&id).map(|entry| entry.service) {
                        self.post(now, place, Event::Alarm(AlarmId(u64::from(id.0))), out);
                        self.forget_if_over(id);
                    }
                }
                Due::Token(id) => {
                    let Some(entry) = self.requests.get_mut(&id) else {
                        continue;
                    };
                    if let Some(request) = entry.awaits.take() {
                        let place = entry.service;
                        self.post(now, place, Event::Arrival(request), out);
                    }
                }
                Due::TimeOut(id, number) => {
                    let Some(entry) = self.requests.get(&id) else {
                        continue;
                    };
                    let deadline = entry.deadline;
                    if entry.out.is_none_or(|(attempt, _, _)| attempt != number) {
                        continue;
                    }
                    // Guards requests under way at a planned stop: silence is no reason to end one sooner than its client does.
                    if self.stopping && now < deadline {
                        self.timers.set(deadline, Due::TimeOut(id, number));
                    } else {
                        out.push(Output::CancelAttempt(id, number));
                    }
                }
            }
        }
    }

    /// Time passes; to be called every half a second.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        let numbers = self.numbers.clone();
        for tenant in numbers.tenants.values() {
            let (who, quota) = (self.name(&tenant.name), self.quota(now, tenant, 0.0));
            self.tenants.hold(now, &who, quota);
        }
        self.services.set_doors(self.purse.client_count());
        self.report(now, out);
        if self.ready() != self.was_ready {
            self.was_ready = self.ready();
            out.push(Output::Log(format!(
                "event=ready ready={} index={}",
                self.was_ready, self.config_index
            )));
        }
    }

    /// A line that tells what happened since the last one; `None` if nothing did. Of tenants it names the one that was turned away
    /// most, with the part of its quota that is held here.
    pub fn stats_line(&mut self, now: Millis) -> Option<String> {
        let c = std::mem::take(&mut self.counts);
        let worst = c
            .turned
            .iter()
            .max_by(|a, b| a.1.cmp(b.1).then_with(|| b.0.cmp(a.0)));
        let worst = worst.map(|(who, times)| {
            let part = self.purse.fraction(now, who);
            format!(
                " tenant={who} turned={times} part={part:.3} lenders={}",
                self.connected.len()
            )
        });
        (c.arrived > 0).then(|| {
            format!(
                "event=served arrived={} passed={} quota={} box={} no_backend={} failed={} repeats={} unknown={}{}",
                c.arrived,
                c.passed,
                c.quota,
                c.boxed,
                c.no_backend,
                c.failed,
                c.repeats,
                c.unknown,
                worst.unwrap_or_default()
            )
        })
    }

    // ---- Quotas -------------------------------------------------------------------------------------

    fn name(&mut self, tenant: &str) -> Rc<str> {
        if let Some(name) = self.names.get(tenant) {
            return name.clone();
        }
        let name: Rc<str> = tenant.into();
        self.names.insert(tenant.to_owned(), name.clone());
        name
    }

    fn quota(&self, now: Millis, tenant: &Tenant, aim: Millis) -> Quota {
        quota(
            &self.bounds,
            tenant.rate,
            tenant.burst,
            self.purse.fraction(now, &tenant.name),
            aim,
        )
    }

    fn demand(&self, now: Millis) -> Vec<Demand> {
        let told = |(who, rate): (&Rc<str>, f64)| Demand {
            tenant: who.to_string(),
            milli_rps: (rate * 1000.0).min(1e9) as u32,
            starved: self.short.get(who).is_some_and(|at| now - at < SHORT),
        };
        self.tenants.demand(now).map(told).collect()
    }

    fn report(&mut self, now: Millis, out: &mut Vec<Output>) {
        let demand = self.demand(now);
        for lender in self.connected.clone() {
            let report = self.purse.next_request(now, &lender, demand.clone());
            out.push(Output::SendToController(
                lender,
                Frame::LeaseRequest(report),
            ));
        }
    }

    /// Asks the lenders for more of a tenant's quota, and tells for how long their answers are worth waiting for.
    fn await_loan(&mut self, now: Millis, who: &Rc<str>, out: &mut Vec<Output>) -> Option<Millis> {
        let (soon, later) = LENDERS_ANSWER;
        self.short.insert(who.clone(), now);
        let asked = self.asked.get(who).copied();
        if asked.is_none_or(|asked| now - asked >= later) && !self.connected.is_empty() {
            self.asked.insert(who.clone(), now);
            self.urgent = now;
            self.report(now, out);
            return Some(soon);
        }
        self.ask_now(now, out);
        asked
            .map(|asked| asked + soon - now)
            .filter(|left| *left > 0.0)
    }

    /// Tells the lenders at once what is wanted, unless they have just been told.
    fn ask_now(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now - self.urgent >= URGENT {
            self.urgent = now;
            self.report(now, out);
        }
    }

    // ---- Exchanges ----------------------------------------------------------------------------------

    /// Addresses of the exchanges that are known.
    pub fn exchanges(&self) -> &BTreeSet<String> {
        &self.controllers
    }

    /// There is a new connection to an exchange.
    pub fn controller_connected(&mut self, now: Millis, exchange: &str, out: &mut Vec<Output>) {
        self.connected.insert(exchange.to_owned());
        self.purse.connected(exchange);
        let report = self.purse.next_request(now, exchange, Vec::new());
        out.push(Output::SendToController(
            exchange.to_owned(),
            Frame::LeaseRequest(report),
        ));
    }

    /// The connection to an exchange has ended.
    pub fn controller_disconnected(&mut self, exchange: &str) {
        self.connected.remove(exchange);
    }

    /// All is answered and nothing more is spent: what is held may go to others.
    pub fn release_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        for lender in self.connected.clone() {
            let report = self.purse.next_request(now, &lender, Vec::new());
            let report = maplefall_quota_lease::LeaseRequest {
                release: true,
                ..report
            };
            out.push(Output::SendToController(
                lender,
                Frame::LeaseRequest(report),
            ));
        }
    }

    /// An exchange says something.
    pub fn receive(&mut self, now: Millis, exchange: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::ConfigUpdate(plans) => self.plans(now, plans, out),
            Frame::InstanceUpdates(words) => {
                for word in &words.records {
                    if let Applied::Changed(word) = self.directory.apply(now, word.clone()) {
                        self.apply(now, &word, out);
                    }
                }
                if words.complete {
                    let named = words.records.iter().map(|word| word.id.as_str()).collect();
                    for word in self.directory.reconcile(now, &named, UNNAMED) {
                        out.push(Output::Log(format!("event=unnamed backend={}", word.id)));
                        self.apply(now, &word, out);
                    }
                }
            }
            Frame::LeaseGrant(lent) => {
                let effect = self.purse.handle_grant(now, exchange, &lent);
                let (less, more) = (effect.decreased, effect.increased);
                if less {
                    // What is taken back is somebody else's only once this is told.
                    let report = self.purse.next_request(now, exchange, self.demand(now));
                    out.push(Output::SendToController(
                        exchange.to_owned(),
                        Frame::LeaseRequest(report),
                    ));
                }
                if more {
                    out.push(Output::StateChanged);
                }
            }
            _ => {}
        }
    }

    fn plans(&mut self, now: Millis, plans: ConfigUpdate, out: &mut Vec<Output>) {
        let known = self.controllers.len();
        self.controllers.extend(plans.controllers.iter().cloned());
        if self.controllers.len() > known {
            out.push(Output::ControllersChanged(
                self.controllers.iter().cloned().collect(),
            ));
        }
        // The index only rises: whoever is behind has nothing to say.
        if plans.index <= self.config_index || (plans.after > self.config_index) {
            return;
        }
        if plans.after == 0 {
            self.board = ItemSet::from_items(plans.items);
            self.numbers = Rc::new(Numbers::from_items(&self.board));
        } else {
            let new = plans
                .changes
                .into_iter()
                .filter(|one| one.index > self.config_index);
            let changes: Vec<Change> = new.filter_map(|one| one.change).collect();
            changes.iter().for_each(|change| {
                self.board.apply(change);
            });
            // Nobody else holds the plan between two inputs, so it is changed where it is.
            Rc::make_mut(&mut self.numbers).patch(&self.board, changes.iter());
        }
        self.config_index = plans.index;
        out.push(Output::Log(format!(
            "event=plan index={} routes={} tenants={}",
            self.config_index,
            self.numbers.routes.len(),
            self.numbers.tenants.len()
        )));
        let numbers = self.numbers.clone();
        for tenant in numbers.tenants.values() {
            let (who, quota) = (self.name(&tenant.name), self.quota(now, tenant, 0.0));
            self.tenants.hold(now, &who, quota);
        }
        self.asked.clear();
        self.short.clear();
        // Tenants that are new have nothing here yet.
        self.report(now, out);
        self.names.retain(|_, name| Rc::strong_count(name) > 1);
        out.push(Output::StateChanged);
    }

    fn apply(&mut self, now: Millis, word: &InstanceRecord, out: &mut Vec<Output>) {
        if let Some((service, entry, pool)) = self.services.hear(now, word) {
            out.push(Output::Pool(pool));
            out.push(Output::StateChanged);
            self.post(
                now,
                service,
                Event::Backends(ListKind::Changes, vec![entry]),
                out,
            );
        }
    }
}
