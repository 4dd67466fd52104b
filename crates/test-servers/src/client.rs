//! Fake clients that keep connections open and retry, and the load balancer in front of the
//! gateways: it distributes requests among them and detects only late that one has died.

use crate::lateness::Lateness;
use crate::wire::{Link, Message, NoMessage};
use crate::{draw, hash};
use maplefall_event_trace::{
    request_fingerprint, Effect, EventKind, FailureReason, Millis, Recorder,
};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time to wait for a response beyond the client's timeout and the rule's slack, so that a late
/// response can be distinguished from a missing one.
const LATE_RESPONSE_WAIT_MS: Millis = 40.0;
/// Maximum number of idle connections kept per gateway.
const MAX_IDLE: usize = 256;

/// A request to make, drawn in advance; the client may retry it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// When its first attempt is made.
    pub at: Millis,
    /// The request's number.
    pub item: u64,
    /// The customer whose request it is.
    pub customer: u64,
    /// The number of the customer's plan.
    pub plan: usize,
    /// The number of the request's class.
    pub class: usize,
    /// Units that the request counts for.
    pub units: f64,
    /// Number of gateways in the customer's set; they are consecutive, from `first`.
    pub spread: u32,
    /// The first gateway of the set.
    pub first: u32,
}

/// What clients know of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The class's name on the wire.
    pub name: String,
    /// Whether a request of the class may run more than once.
    pub effect: Effect,
    /// Time for which a request with an idempotency key may be retried.
    pub memory_ms: Millis,
    /// Maximum time that a client waits, over all attempts.
    pub give_up_ms: Millis,
}

/// The wait of a client before a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Backoff {
    /// No wait.
    AtOnce,
    /// The same wait each time.
    Fixed(Millis),
    /// A wait that doubles with each retry.
    Doubling(Millis),
}

/// How clients and the load balancer behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientBehavior {
    /// Maximum number of retries.
    pub retries: u32,
    /// The wait before each retry.
    pub backoff: Backoff,
    /// Fraction of the customers whose clients honour `Retry-After`.
    pub honour: f64,
    /// Maximum `Retry-After` that they honour; they wait this long for a greater one.
    pub max_wait_ms: Millis,
    /// Minimum and maximum timeout of an attempt, as fractions of the class's `give_up_ms`.
    pub patience: [f64; 2],
    /// Time for which the load balancer still sends requests to a gateway that died.
    pub notice_ms: Millis,
    /// Time for which it still sends requests to a gateway that was told to stop.
    pub stop_ms: Millis,
    /// Interval at which another gateway of a set becomes the one with the most requests.
    pub busiest_ms: Millis,
    /// Slack of the rule on the latest time of a final response.
    pub answer_slack_ms: Millis,
}

/// State of a gateway, as reported by its driver.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayState {
    /// Whether its readiness check has succeeded since its last start.
    pub ready: bool,
    /// When it died or was told to stop since then, if it did, and whether it was told to stop.
    pub left: Option<(Millis, bool)>,
}

/// The state of each gateway, set by its driver and shared between threads.
#[derive(Clone, Debug)]
pub struct GatewayStates(Arc<Mutex<Vec<GatewayState>>>);

impl GatewayStates {
    /// Creates the state of `gateways` gateways, none of them ready.
    pub fn new(gateways: usize) -> GatewayStates {
        GatewayStates(Arc::new(Mutex::new(vec![
            GatewayState::default();
            gateways
        ])))
    }

    /// Sets the state of a gateway.
    pub fn set(&self, gateway: usize, state: GatewayState) {
        if let Some(slot) = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(gateway)
        {
            *slot = state;
        }
    }

    fn get(&self, gateway: usize) -> GatewayState {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(gateway)
            .copied()
            .unwrap_or_default()
    }
}

/// A connection with its number and the id of the last request sent on it.
struct Connection {
    link: Link,
    number: u64,
    last_id: String,
}

/// Configuration of the clients.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Seed of all random draws.
    pub seed: u64,
    /// The request classes, by number.
    pub kinds: Vec<RequestClass>,
    /// The plans' names, by number.
    pub plans: Vec<String>,
    /// How clients and the load balancer behave.
    pub behavior: ClientBehavior,
    /// The addresses of the gateways, by number.
    pub gateways: Vec<SocketAddr>,
    /// The states of the gateways.
    pub states: GatewayStates,
    /// Whether requests carry credentials.
    pub credentials: bool,
}

/// Returns the credential of a customer's clients.
pub fn credential(customer: u64) -> String {
    format!("Bearer {customer:x}")
}

/// All clients and the load balancer.
pub struct Clients {
    options: ClientOptions,
    recorder: Recorder,
    lateness: Lateness,
    idle: Vec<RefCell<Vec<Connection>>>,
    connections: Cell<u64>,
    in_flight: Cell<usize>,
}

/// How an attempt ended, for the client.
enum AttemptResult {
    Served,
    /// Rejected with 429 or 503; holds `Retry-After` in milliseconds.
    Rejected(Option<Millis>),
    Failed,
    /// The credential is not accepted, so a retry would be useless.
    Denied,
    /// No connection could be opened, or the request could not be written.
    NotAccepted,
}

impl Clients {
    /// Creates clients that write events to `recorder`.
    pub fn new(options: ClientOptions, recorder: Recorder, lateness: Lateness) -> Rc<Clients> {
        let idle = options
            .gateways
            .iter()
            .map(|_| RefCell::default())
            .collect();
        let (connections, in_flight) = (Cell::new(0), Cell::new(0));
        Rc::new(Clients {
            options,
            recorder,
            lateness,
            idle,
            connections,
            in_flight,
        })
    }

    /// Makes all requests, each at its time, and returns when the last one has ended.
    pub async fn run(self: &Rc<Self>, asks: impl IntoIterator<Item = Ask>) {
        let mut tasks = tokio::task::JoinSet::new();
        for ask in asks {
            tokio::time::sleep_until(self.recorder.instant(ask.at).into()).await;
            self.lateness.record(ask.at, self.recorder.now());
            tasks.spawn_local(self.clone().request_with_retries(ask));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        self.check_idle_connections();
    }

    /// Closes all idle connections and records the ones on which unexpected bytes arrived.
    fn check_idle_connections(&self) {
        for (gateway, idle) in self.idle.iter().enumerate() {
            for mut connection in idle.borrow_mut().drain(..) {
                if connection.link.poll_idle() == Some(true) {
                    self.record_unexpected_bytes(gateway, connection.number, &connection.last_id);
                }
            }
        }
    }

    fn record_unexpected_bytes(&self, gateway: usize, connection: u64, last_id: &str) {
        self.recorder.record(EventKind::UnexpectedBytes {
            proxy: gateway as u32,
            connection,
            id: last_id.to_owned(),
        });
    }

    /// Returns the number of requests in flight.
    pub fn open(&self) -> usize {
        self.in_flight.get()
    }

    async fn request_with_retries(self: Rc<Self>, ask: Ask) {
        let _guard = InFlightGuard::new(&self.in_flight);
        let Some(kind) = self.options.kinds.get(ask.class) else {
            return;
        };
        let begun = self.recorder.now();
        let end = begun + kind.give_up_ms;
        for retry in 0..=self.options.behavior.retries {
            let now = self.recorder.now();
            let sample =
                |purpose| draw(self.options.seed, ask.item, purpose + 10 * u64::from(retry));
            let [min, max] = self.options.behavior.patience;
            let attempt_timeout = kind.give_up_ms * (min + (max - min) * sample(1));
            let timeout = attempt_timeout.min(end - now);
            // With less than 20 ms left, a client gives up.
            if timeout < 20.0 {
                return;
            }
            let honours_retry_after =
                draw(self.options.seed, ask.customer, 3) < self.options.behavior.honour;
            let result = self.attempt(&ask, kind, retry, timeout).await;
            let may_retry = match result {
                AttemptResult::Served | AttemptResult::Denied => return,
                AttemptResult::Rejected(_) | AttemptResult::NotAccepted => true,
                AttemptResult::Failed => match kind.effect {
                    Effect::Safe => true,
                    Effect::Keyed => self.recorder.now() - begun < kind.memory_ms * 0.9,
                    Effect::Unsafe => false,
                },
            };
            if !may_retry {
                return;
            }
            let mut wait = match self.options.behavior.backoff {
                Backoff::AtOnce => 0.0,
                Backoff::Fixed(ms) => ms,
                Backoff::Doubling(ms) => ms * f64::from(1 << retry.min(8)),
            };
            if let AttemptResult::Rejected(Some(retry_after)) = result {
                if honours_retry_after {
                    wait = wait.max(retry_after.min(self.options.behavior.max_wait_ms));
                }
            }
            // No retry if the wait would end after the client's deadline.
            if self.recorder.now() + wait >= end {
                return;
            }
            if wait > 0.0 {
                tokio::time::sleep_until(self.recorder.instant(self.recorder.now() + wait).into())
                    .await;
            }
        }
    }

    /// Returns the gateway for an attempt, as the load balancer chooses: the busiest of the set
    /// gets most requests, and a dead one gets none once the load balancer has noticed.
    fn choose_gateway(&self, ask: &Ask, retry: u32) -> Option<usize> {
        let now = self.recorder.now();
        let count = self.options.gateways.len();
        let set: Vec<usize> = (0..ask.spread.max(1) as usize)
            .map(|i| (ask.first as usize + i) % count.max(1))
            .collect();
        let usable = |gateway: &usize| {
            let state = self.options.states.get(*gateway);
            let detection_ms = if state.left.is_some_and(|(_, told_to_stop)| told_to_stop) {
                self.options.behavior.stop_ms
            } else {
                self.options.behavior.notice_ms
            };
            state.ready && state.left.is_none_or(|(at, _)| now < at + detection_ms)
        };
        let usable: Vec<usize> = set.iter().copied().filter(usable).collect();
        let candidates = if usable.is_empty() { &set } else { &usable };
        let interval = (now / self.options.behavior.busiest_ms.max(1.0)) as u64;
        let busiest =
            (draw(self.options.seed, ask.customer, 1000 + interval) * set.len() as f64) as usize;
        let sample = draw(self.options.seed, ask.item, 500 + u64::from(retry));
        if sample < 0.5 && candidates.contains(&set[busiest]) {
            return Some(set[busiest]);
        }
        let pick = (draw(self.options.seed, ask.item, 700 + u64::from(retry))
            * candidates.len() as f64) as usize;
        candidates.get(pick).copied()
    }

    fn next_connection(&self) -> u64 {
        self.connections.set(self.connections.get() + 1);
        self.connections.get()
    }

    /// Takes an idle connection that is still open and has no unexpected bytes.
    fn take_idle(&self, gateway: usize) -> Option<Connection> {
        loop {
            let mut connection = self.idle[gateway].borrow_mut().pop()?;
            match connection.link.poll_idle() {
                None => return Some(connection),
                Some(false) => {}
                Some(true) => {
                    self.record_unexpected_bytes(gateway, connection.number, &connection.last_id)
                }
            }
        }
    }

    async fn connect(&self, gateway: usize) -> Option<Connection> {
        let link =
            tokio::time::timeout(CONNECT_TIMEOUT, Link::open(self.options.gateways[gateway]))
                .await
                .ok()?
                .ok()?;
        Some(Connection {
            link,
            number: self.next_connection(),
            last_id: String::new(),
        })
    }

    /// Makes one attempt and waits for its end.
    async fn attempt(
        &self,
        ask: &Ask,
        kind: &RequestClass,
        retry: u32,
        timeout: Millis,
    ) -> AttemptResult {
        // Ids look like those of other clients: 16 hex digits without a meaning.
        let id = format!(
            "{:016x}",
            hash(&format!("{}/{}/{retry}", self.options.seed, ask.item))
        );
        let Some(gateway) = self.choose_gateway(ask, retry) else {
            return AttemptResult::NotAccepted;
        };
        let mut idle = self.take_idle(gateway);
        loop {
            let reused = idle.is_some();
            let connection = match idle.take() {
                Some(connection) => Some(connection),
                None => self.connect(gateway).await,
            };
            let Some(mut connection) = connection else {
                let failed = EventKind::RequestFailed {
                    id: id.clone(),
                    proxy: gateway as u32,
                    connection: 0,
                    reason: FailureReason::NotAccepted,
                };
                self.recorder.record(failed);
                return AttemptResult::NotAccepted;
            };
            let number = connection.number;
            let record_failure = |reason| {
                self.recorder.record(EventKind::RequestFailed {
                    id: id.clone(),
                    proxy: gateway as u32,
                    connection: number,
                    reason,
                })
            };
            let (text, fingerprint) = self.request(&id, ask, kind, retry, timeout);
            if connection.link.write(text.as_bytes()).await.is_err() {
                record_failure(FailureReason::NotAccepted);
                // The idle connection was closed between two requests: send again on a new one.
                if reused {
                    continue;
                }
                return AttemptResult::NotAccepted;
            }
            let deadline = self.recorder.now() + timeout;
            self.recorder.record(EventKind::RequestSent {
                id: id.clone(),
                original_request: ask.item,
                retry,
                proxy: gateway as u32,
                connection: number,
                customer: ask.customer,
                plan: ask.plan,
                class: ask.class,
                units: ask.units,
                deadline,
                fingerprint,
            });
            connection.last_id = id.clone();
            let end = deadline + self.options.behavior.answer_slack_ms + LATE_RESPONSE_WAIT_MS;
            let response = tokio::time::timeout_at(
                self.recorder.instant(end).into(),
                connection.link.message(),
            )
            .await;
            match response {
                Ok(Ok(response)) => {
                    return self.handle_response(gateway, connection, &id, &response)
                }
                Ok(Err(NoMessage::Closed)) => {
                    record_failure(FailureReason::Closed);
                    if reused {
                        continue;
                    }
                    return AttemptResult::Failed;
                }
                Ok(Err(NoMessage::Truncated(_) | NoMessage::Malformed(_))) => {
                    record_failure(FailureReason::Truncated);
                    return AttemptResult::Failed;
                }
                Err(_) => {
                    record_failure(FailureReason::TimedOut);
                    return AttemptResult::Failed;
                }
            }
        }
    }

    fn handle_response(
        &self,
        gateway: usize,
        connection: Connection,
        id: &str,
        response: &Message,
    ) -> AttemptResult {
        let retry_after = response
            .header("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        let retry_after_ms = retry_after.map(|seconds| seconds * 1000.0);
        let mut fields = std::str::from_utf8(&response.body)
            .unwrap_or_default()
            .split(' ');
        let attempt = match (fields.next() == Some(id), fields.next()) {
            (true, Some(number)) => number.parse().ok(),
            _ => None,
        };
        self.recorder.record(EventKind::ResponseReceived {
            id: id.to_owned(),
            connection: connection.number,
            status: response.status,
            attempt,
            retry_after_ms,
        });
        if connection.link.pending() > 0 {
            self.record_unexpected_bytes(gateway, connection.number, id);
        } else if !response.closes() && self.idle[gateway].borrow().len() < MAX_IDLE {
            self.idle[gateway].borrow_mut().push(connection);
        }
        match response.status {
            200 => AttemptResult::Served,
            429 | 503 => AttemptResult::Rejected(retry_after_ms),
            401 | 403 => AttemptResult::Denied,
            _ => AttemptResult::Failed,
        }
    }

    /// Returns the parts of a request that must reach a backend unchanged.
    fn content(&self, ask: &Ask, kind: &RequestClass) -> Content {
        let safe = kind.effect == Effect::Safe;
        Content {
            method: if safe { "GET" } else { "POST" },
            target: format!(
                "/{}/v1?k={:x}&u={}&p={}",
                kind.name, ask.customer, ask.units, ask.plan
            ),
            // All attempts share one key, so backends also deduplicate the client's own retries.
            key: (kind.effect == Effect::Keyed).then(|| {
                format!(
                    "{:016x}",
                    hash(&format!("{}/{}/key", self.options.seed, ask.item))
                )
            }),
            body: if safe {
                String::new()
            } else {
                format!("plate=PBA-{:06}", ask.item)
            },
        }
    }

    /// Returns the text of an attempt's request and its fingerprint.
    fn request(
        &self,
        id: &str,
        ask: &Ask,
        kind: &RequestClass,
        retry: u32,
        timeout: Millis,
    ) -> (String, u64) {
        let plan = self.options.plans.get(ask.plan).map_or("", String::as_str);
        let Content {
            method,
            target,
            key,
            body,
        } = self.content(ask, kind);
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {}\r\n\
             Api-Plan: {plan}\r\nCookie: client={:016x}\r\nRequest-Timeout: {:.3}\r\n\
             Api-Terms: units={},spread={},first={}\r\n",
            kind.name,
            ask.customer,
            timeout / 1000.0,
            ask.units,
            ask.spread,
            ask.first,
        );
        // Writing to a string can't fail.
        if retry > 0 {
            text.push_str("Client-Retry: 1\r\n");
        }
        if self.options.credentials {
            let _ = write!(text, "Authorization: {}\r\n", credential(ask.customer));
        }
        if let Some(key) = &key {
            let _ = write!(text, "Idempotency-Key: {key}\r\n");
        }
        if kind.effect != Effect::Safe {
            let _ = write!(text, "Content-Length: {}\r\n", body.len());
        }
        let _ = write!(text, "\r\n{body}");
        (
            text,
            request_fingerprint(method, &target, key.as_deref(), body.as_bytes()),
        )
    }
}

/// The parts of a request that must reach a backend unchanged.
struct Content {
    method: &'static str,
    target: String,
    key: Option<String>,
    body: String,
}

/// Counts a request as in flight while it exists.
struct InFlightGuard<'a>(&'a Cell<usize>);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a Cell<usize>) -> InFlightGuard<'a> {
        count.set(count.get() + 1);
        InFlightGuard(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
