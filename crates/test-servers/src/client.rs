//! Clients that keep connections and retry on their own, and the front that deals their requests out among the front
//! doors and notices only late that one has died.

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

/// Longest time to open a connection.
const DIAL: Duration = Duration::from_millis(1000);
/// Time beyond a client's own, and the slack of the rule, for which an answer is still waited for, so that a late one
/// is told from none.
const LISTEN_ON: Millis = 40.0;
/// Connections that are kept to one front door at most.
const MOST_KEPT: usize = 256;

/// A first try, drawn ahead.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// When it is made.
    pub at: Millis,
    /// Its number.
    pub item: u64,
    /// Whose it is.
    pub customer: u64,
    /// The customer's plan, by number.
    pub plan: usize,
    /// Its class, by number.
    pub class: usize,
    /// Units that it counts.
    pub units: f64,
    /// Front doors of the customer's set, in a row from `first`.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
}

/// A class as clients know it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name on the wire.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// For how long a keyed one may be tried again.
    pub memory_ms: Millis,
    /// How long a client waits at most, over all its tries.
    pub give_up_ms: Millis,
}

/// How long a client waits before it tries again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Backoff {
    /// Not at all.
    AtOnce,
    /// Always as long.
    Fixed(Millis),
    /// Twice as long each time.
    Doubling(Millis),
}

/// What clients do.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientBehavior {
    /// Tries after the first one.
    pub retries: u32,
    /// The wait before each.
    pub backoff: Backoff,
    /// Part of the clients that come back when they were told to, and not before.
    pub honour: f64,
    /// Longest advice that these follow.
    pub max_wait_ms: Millis,
    /// Least and most part of the class's time for which one try waits.
    pub patience: [f64; 2],
    /// How long the front goes on sending to a front door that is dead.
    pub notice_ms: Millis,
    /// How long it sends new connections to one that was told to stop.
    pub stop_ms: Millis,
    /// After how long another front door of a set gets the most requests.
    pub busiest_ms: Millis,
    /// Slack of the rule on final answers.
    pub answer_slack_ms: Millis,
}

/// How a front door is, as its driver tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayState {
    /// Whether it has answered its readiness check since its last start.
    pub ready: bool,
    /// When it died or was told to stop, if it did since; and whether it was told.
    pub left: Option<(Millis, bool)>,
}

/// The front doors as their driver sees them; shared between threads.
#[derive(Clone, Debug)]
pub struct GatewayStates(Arc<Mutex<Vec<GatewayState>>>);

impl GatewayStates {
    /// So many front doors, none of them ready.
    pub fn new(doors: usize) -> GatewayStates {
        GatewayStates(Arc::new(Mutex::new(vec![GatewayState::default(); doors])))
    }

    /// Tells how one is.
    pub fn set(&self, door: usize, seen: GatewayState) {
        if let Some(slot) = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(door)
        {
            *slot = seen;
        }
    }

    fn get(&self, door: usize) -> GatewayState {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(door)
            .copied()
            .unwrap_or_default()
    }
}

/// A connection that is kept.
struct Kept {
    link: Link,
    number: u64,
    last: String,
}

/// What clients are and whom they ask.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Seed of their habits.
    pub seed: u64,
    /// The classes, by number.
    pub kinds: Vec<RequestClass>,
    /// The plans' names, by number.
    pub plans: Vec<String>,
    /// What they do.
    pub behavior: ClientBehavior,
    /// Where the front doors listen, by number.
    pub gateways: Vec<SocketAddr>,
    /// How the front doors are.
    pub states: GatewayStates,
    /// Whether they send credentials.
    pub credentials: bool,
}

/// The credential that a customer's clients send.
pub fn credential(customer: u64) -> String {
    format!("Bearer {customer:x}")
}

/// All clients, and the front.
pub struct Clients {
    crowd: ClientOptions,
    recorder: Recorder,
    lateness: Lateness,
    kept: Vec<RefCell<Vec<Kept>>>,
    links: Cell<u64>,
    open: Cell<usize>,
}

/// How a try ended, for the client.
enum Try {
    Served,
    Refused(Option<Millis>),
    Failed,
    /// Its credential does not pass: asking again is of no use.
    Denied,
    NotTaken,
}

impl Clients {
    /// Clients that write what they see to this record.
    pub fn new(crowd: ClientOptions, recorder: Recorder, lateness: Lateness) -> Rc<Clients> {
        let kept = crowd.gateways.iter().map(|_| RefCell::default()).collect();
        let (links, open) = (Cell::new(0), Cell::new(0));
        Rc::new(Clients {
            crowd,
            recorder,
            lateness,
            kept,
            links,
            open,
        })
    }

    /// Makes all these first tries, each at its time, and returns when the last is over.
    pub async fn run(self: &Rc<Self>, asks: impl IntoIterator<Item = Ask>) {
        let mut tasks = tokio::task::JoinSet::new();
        for ask in asks {
            tokio::time::sleep_until(self.recorder.instant(ask.at).into()).await;
            self.lateness.record(ask.at, self.recorder.now());
            tasks.spawn_local(self.clone().ask(ask));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        self.look_over();
    }

    /// Looks whether anything came that nobody asked for, on all connections that are kept.
    fn look_over(&self) {
        for (door, kept) in self.kept.iter().enumerate() {
            for mut kept in kept.borrow_mut().drain(..) {
                if kept.link.unasked() == Some(true) {
                    self.surplus(door, kept.number, &kept.last);
                }
            }
        }
    }

    fn surplus(&self, door: usize, link: u64, last: &str) {
        self.recorder.record(EventKind::UnexpectedBytes {
            proxy: door as u32,
            connection: link,
            id: last.to_owned(),
        });
    }

    /// Requests that are out.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    async fn ask(self: Rc<Self>, ask: Ask) {
        let _open = Count::up(&self.open);
        let Some(kind) = self.crowd.kinds.get(ask.class) else {
            return;
        };
        let begun = self.recorder.now();
        let end = begun + kind.give_up_ms;
        for retry in 0..=self.crowd.behavior.retries {
            let now = self.recorder.now();
            let lot = |what| draw(self.crowd.seed, ask.item, what + 10 * u64::from(retry));
            let [least, most] = self.crowd.behavior.patience;
            let patience = kind.give_up_ms * (least + (most - least) * lot(1));
            let timeout = patience.min(end - now);
            // A client with a hair left does not ask any more.
            if timeout < 20.0 {
                return;
            }
            let honours = draw(self.crowd.seed, ask.customer, 3) < self.crowd.behavior.honour;
            let ended = self.attempt(&ask, kind, retry, timeout).await;
            let harmless = match ended {
                Try::Served | Try::Denied => return,
                Try::Refused(_) | Try::NotTaken => true,
                Try::Failed => match kind.effect {
                    Effect::Safe => true,
                    Effect::Keyed => self.recorder.now() - begun < kind.memory_ms * 0.9,
                    Effect::Unsafe => false,
                },
            };
            if !harmless {
                return;
            }
            let mut wait = match self.crowd.behavior.backoff {
                Backoff::AtOnce => 0.0,
                Backoff::Fixed(ms) => ms,
                Backoff::Doubling(ms) => ms * f64::from(1 << retry.min(8)),
            };
            if let Try::Refused(Some(advice)) = ended {
                if honours {
                    wait = wait.max(advice.min(self.crowd.behavior.max_wait_ms));
                }
            }
            // Nobody waits for a moment that comes after the end.
            if self.recorder.now() + wait >= end {
                return;
            }
            if wait > 0.0 {
                tokio::time::sleep_until(self.recorder.instant(self.recorder.now() + wait).into())
                    .await;
            }
        }
    }

    /// The front door that a try goes to: the busiest of the set gets most, and the dead ones none once the front has
    /// noticed.
    fn deal(&self, ask: &Ask, retry: u32) -> Option<usize> {
        let now = self.recorder.now();
        let count = self.crowd.gateways.len();
        let set: Vec<usize> = (0..ask.spread.max(1) as usize)
            .map(|i| (ask.first as usize + i) % count.max(1))
            .collect();
        let usable = |door: &usize| {
            let seen = self.crowd.states.get(*door);
            let stays = if seen.left.is_some_and(|(_, told)| told) {
                self.crowd.behavior.stop_ms
            } else {
                self.crowd.behavior.notice_ms
            };
            seen.ready && seen.left.is_none_or(|(at, _)| now < at + stays)
        };
        let usable: Vec<usize> = set.iter().copied().filter(usable).collect();
        let doors = if usable.is_empty() { &set } else { &usable };
        let turn = (now / self.crowd.behavior.busiest_ms.max(1.0)) as u64;
        let busiest =
            (draw(self.crowd.seed, ask.customer, 1000 + turn) * set.len() as f64) as usize;
        let lot = draw(self.crowd.seed, ask.item, 500 + u64::from(retry));
        if lot < 0.5 && doors.contains(&set[busiest]) {
            return Some(set[busiest]);
        }
        let pick =
            (draw(self.crowd.seed, ask.item, 700 + u64::from(retry)) * doors.len() as f64) as usize;
        doors.get(pick).copied()
    }

    fn next_link(&self) -> u64 {
        self.links.set(self.links.get() + 1);
        self.links.get()
    }

    /// A kept connection on which nothing waits.
    fn keep_alive(&self, door: usize) -> Option<Kept> {
        loop {
            let mut kept = self.kept[door].borrow_mut().pop()?;
            match kept.link.unasked() {
                None => return Some(kept),
                Some(false) => {}
                Some(true) => self.surplus(door, kept.number, &kept.last),
            }
        }
    }

    async fn fresh(&self, door: usize) -> Option<Kept> {
        let link = tokio::time::timeout(DIAL, Link::open(self.crowd.gateways[door]))
            .await
            .ok()?
            .ok()?;
        Some(Kept {
            link,
            number: self.next_link(),
            last: String::new(),
        })
    }

    /// One try, to its end.
    async fn attempt(&self, ask: &Ask, kind: &RequestClass, retry: u32, timeout: Millis) -> Try {
        // Ids look like any others: 16 hex digits that tell nothing.
        let id = format!(
            "{:016x}",
            hash(&format!("{}/{}/{retry}", self.crowd.seed, ask.item))
        );
        let Some(door) = self.deal(ask, retry) else {
            return Try::NotTaken;
        };
        let mut kept = self.keep_alive(door);
        loop {
            let reused = kept.is_some();
            let connection = match kept.take() {
                Some(kept) => Some(kept),
                None => self.fresh(door).await,
            };
            let Some(mut connection) = connection else {
                let lost = EventKind::RequestFailed {
                    id: id.clone(),
                    proxy: door as u32,
                    connection: 0,
                    reason: FailureReason::NotAccepted,
                };
                self.recorder.record(lost);
                return Try::NotTaken;
            };
            let link = connection.number;
            let lost = |why| {
                self.recorder.record(EventKind::RequestFailed {
                    id: id.clone(),
                    proxy: door as u32,
                    connection: link,
                    reason: why,
                })
            };
            let (text, form) = self.request(&id, ask, kind, retry, timeout);
            if connection.link.write(text.as_bytes()).await.is_err() {
                lost(FailureReason::NotAccepted);
                // A connection that was closed between two requests: once more on a new one.
                if reused {
                    continue;
                }
                return Try::NotTaken;
            }
            let deadline = self.recorder.now() + timeout;
            self.recorder.record(EventKind::RequestSent {
                id: id.clone(),
                original_request: ask.item,
                retry,
                proxy: door as u32,
                connection: link,
                customer: ask.customer,
                plan: ask.plan,
                class: ask.class,
                units: ask.units,
                deadline,
                fingerprint: form,
            });
            connection.last = id.clone();
            let end = deadline + self.crowd.behavior.answer_slack_ms + LISTEN_ON;
            let answer = tokio::time::timeout_at(
                self.recorder.instant(end).into(),
                connection.link.message(),
            )
            .await;
            match answer {
                Ok(Ok(answer)) => return self.answered(door, connection, &id, &answer),
                Ok(Err(NoMessage::Closed)) => {
                    lost(FailureReason::Closed);
                    if reused {
                        continue;
                    }
                    return Try::Failed;
                }
                Ok(Err(NoMessage::Cut(_) | NoMessage::Garbage(_))) => {
                    lost(FailureReason::Truncated);
                    return Try::Failed;
                }
                Err(_) => {
                    lost(FailureReason::TimedOut);
                    return Try::Failed;
                }
            }
        }
    }

    fn answered(&self, door: usize, connection: Kept, id: &str, answer: &Message) -> Try {
        let retry_after = answer
            .header("retry-after")
            .and_then(|text| text.parse::<f64>().ok());
        let retry_after_ms = retry_after.map(|seconds| seconds * 1000.0);
        let mut words = std::str::from_utf8(&answer.body)
            .unwrap_or_default()
            .split(' ');
        let attempt = match (words.next() == Some(id), words.next()) {
            (true, Some(number)) => number.parse().ok(),
            _ => None,
        };
        self.recorder.record(EventKind::ResponseReceived {
            id: id.to_owned(),
            connection: connection.number,
            status: answer.status,
            attempt,
            retry_after_ms,
        });
        if connection.link.pending() > 0 {
            self.surplus(door, connection.number, id);
        } else if !answer.closes() && self.kept[door].borrow().len() < MOST_KEPT {
            self.kept[door].borrow_mut().push(connection);
        }
        match answer.status {
            200 => Try::Served,
            429 | 503 => Try::Refused(retry_after_ms),
            401 | 403 => Try::Denied,
            _ => Try::Failed,
        }
    }

    /// What a try sends that must come to a node unchanged.
    fn content(&self, ask: &Ask, kind: &RequestClass) -> Content {
        let safe = kind.effect == Effect::Safe;
        Content {
            method: if safe { "GET" } else { "POST" },
            target: format!(
                "/{}/v1?k={:x}&u={}&p={}",
                kind.name, ask.customer, ask.units, ask.plan
            ),
            // The key is that of the first try: nodes drop a client's own repeat too.
            key: (kind.effect == Effect::Keyed).then(|| {
                format!(
                    "{:016x}",
                    hash(&format!("{}/{}/key", self.crowd.seed, ask.item))
                )
            }),
            body: if safe {
                String::new()
            } else {
                format!("plate=PBA-{:06}", ask.item)
            },
        }
    }

    /// The whole text of a try.
    fn request(
        &self,
        id: &str,
        ask: &Ask,
        kind: &RequestClass,
        retry: u32,
        timeout: Millis,
    ) -> (String, u64) {
        let plan = self.crowd.plans.get(ask.plan).map_or("", String::as_str);
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
        // A string takes any text; the errors are those of a writer that can fail.
        if retry > 0 {
            text.push_str("Client-Retry: 1\r\n");
        }
        if self.crowd.credentials {
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

/// What of a try must come to a node unchanged.
struct Content {
    method: &'static str,
    target: String,
    key: Option<String>,
    body: String,
}

/// Counts one up for as long as it is held.
struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn up(of: &'a Cell<usize>) -> Count<'a> {
        of.set(of.get() + 1);
        Count(of)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
