//! Clients: reads requests whole, and writes the one final answer of each.

use crate::core::{Arrival, Final, Not};
use crate::door::{tenant_value, Answer, Door};
use crate::forward::{Order, ATTEMPT_ID, TENANT, TIME_REMAINING};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderValue, AUTHORIZATION, CONNECTION, HOST, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use maplefall_policy::RequestId;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// Pause when the system has no descriptor for a new connection.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
/// How long after SIGTERM connections are still taken: the platform asks every second and believes the second no.
const LINGER: Duration = Duration::from_millis(2400);
/// Bytes that a connection buffers at most, on either side.
const BUFFER: usize = 64 << 10;
/// What is kept of the grace for the end.
const SPARE: Duration = Duration::from_millis(400);
/// Longest time for a body where the client does not say how long it waits.
const LONGEST_BODY_TIME: f64 = 10_000.0;

/// Part of its time for which a request may wait for what the door still lacks.
const MOMENT: f64 = 0.1;
/// The longest such time.
const LONGEST_MOMENT: f64 = 120.0;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Answers close their connections.
    Closing,
    /// Idle connections are closed too.
    Sweeping,
}

/// The clients' side of a door.
pub struct Clients {
    door: Rc<Door>,
    most: usize,
    /// Bytes of bodies that may be held at a time, and those that are.
    room: usize,
    held: Cell<usize>,
    open: Cell<usize>,
    closed: Notify,
    phase: watch::Sender<Phase>,
}

/// Why a request is not taken.
enum Bad {
    /// It is none, or not what one may be.
    Request(&'static str),
    /// Its body is too long.
    TooLong,
    /// It did not come in time.
    Slow,
    /// There is no room for it now.
    NoRoom,
}

impl Clients {
    /// The clients' side of `door` within so many descriptors and bytes.
    pub fn new(door: Rc<Door>, sockets: usize, room: usize) -> Rc<Clients> {
        Rc::new(Clients {
            door,
            most: maplefall_trunk::client_budget(sockets),
            room,
            held: Cell::new(0),
            open: Cell::new(0),
            closed: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
        })
    }

    /// Accepts connections for as long as the door runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            while self.open.get() >= self.most {
                self.closed.notified().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.open.set(self.open.get() + 1);
                    tokio::task::spawn_local(self.clone().serve(stream));
                }
                Err(_) => tokio::time::sleep(NO_DESCRIPTOR).await,
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _open = Open(&self);
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        let idle = self.door.ask(|core| core.limits().idle);
        let service = service_fn(|request| {
            let clients = self.clone();
            async move { Ok::<_, Infallible>(clients.answer(request).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs_f64(idle.max(1.0) / 1000.0))
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let mut leaving = false;
        loop {
            tokio::select! {
                // An error is a client that went away or wrote no HTTP; the library has answered the latter.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == Phase::Sweeping), if !leaving => {}
            }
            leaving = true;
            connection.as_mut().graceful_shutdown();
        }
    }

    /// The planned stop: goes on accepting, answers what has come, and returns when all is answered.
    pub async fn stop(&self, grace: Duration) {
        let end = tokio::time::Instant::now() + grace.saturating_sub(SPARE);
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(LINGER.min(grace / 2)).await;
        self.phase.send_replace(Phase::Sweeping);
        while self.open.get() > 0 || self.door.ask(|core| core.busy()) {
            if tokio::time::timeout_at(end, self.closed.notified()).await.is_err() {
                log::warn!("event=cut_short open={}", self.open.get());
                return;
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = request.headers().get(ATTEMPT_ID).cloned();
        let (mut response, close) = match self.decide(request).await {
            Ok(Answer::Reply(reply)) => {
                let mut response = Response::new(Full::new(reply.body));
                *response.status_mut() = reply.status;
                *response.headers_mut() = reply.headers;
                (response, false)
            }
            Ok(Answer::Own(last)) => (own(&last, id), false),
            Err(bad) => {
                let (status, why) = match bad {
                    Bad::Request(why) => (400, why),
                    Bad::TooLong => (413, "body"),
                    Bad::Slow => (408, "body"),
                    Bad::NoRoom => (503, "room"),
                };
                let last = Final { status, retry_after: (status == 503).then_some(200.0), backends: false };
                let mut response = own(&last, id);
                *response.body_mut() = Full::new(Bytes::from(format!("step=read field={why}\n")));
                // Nothing that follows on such a connection can be trusted to be a request.
                (response, true)
            }
        };
        if close || *self.phase.borrow() != Phase::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn decide(&self, request: Request<Incoming>) -> Result<Answer, Bad> {
        let at = self.door.clock.now();
        let (head, body) = request.into_parts();
        let host = one(&head.headers, &HOST)?.ok_or(Bad::Request("host"))?.to_owned();
        let remaining = one(&head.headers, &TIME_REMAINING)?.map(|text| text.trim().parse::<f64>());
        let remaining = match remaining {
            None => None,
            Some(Ok(ms)) if ms.is_finite() && ms > 0.0 => Some(ms),
            Some(_) => return Err(Bad::Request("x-time-remaining")),
        };
        // By it alone an answer is known to be this one's; a backend would not run a request without.
        if one(&head.headers, &ATTEMPT_ID)?.is_none_or(str::is_empty) {
            return Err(Bad::Request("x-attempt-id"));
        }
        // A target that names another host than the header asks for two routes.
        if head.uri.authority().is_some_and(|named| !named.as_str().eq_ignore_ascii_case(&host)) {
            return Err(Bad::Request("host"));
        }
        if head.method == Method::CONNECT {
            return Err(Bad::Request("method"));
        }
        let path = head.uri.path_and_query().cloned().ok_or(Bad::Request("path"))?;
        let end = self.door.clock.instant(at + remaining.unwrap_or(LONGEST_BODY_TIME));
        let (body, _held) = self.read_body(body, end).await?;
        let key = one(&head.headers, &AUTHORIZATION)?.and_then(|value| value.strip_prefix("Token "));
        let key = key.map(|key| key.trim().to_owned());
        let mut arrival =
            Arrival { host: &host, path: path.path(), key: key.as_deref(), remaining, at, again: false };
        // What is missing may come in a moment, as after a start: within this the client is not worse off than by coming again.
        let most = at + remaining.map_or(0.0, |ms| (ms * MOMENT).min(LONGEST_MOMENT));
        let mut whole = Some((head.method, head.headers, body));
        let (id, answer) = loop {
            let changed = self.door.changed.notified();
            let taken = self.door.arrive(&arrival, |accepted| {
                let (method, headers, body) = whole.take().unwrap_or_default();
                let mut order = Order::new(method, Uri::from(path.clone()), headers, body);
                if let Some(tenant) = tenant_value(accepted) {
                    order.headers.insert(TENANT, tenant);
                }
                order
            });
            match taken {
                Ok(taken) => break taken,
                Err(Not::At(last)) => return Ok(Answer::Own(last)),
                Err(Not::Yet(last, moment)) => {
                    arrival.again = true;
                    let moment = self.door.clock.instant(most.min(self.door.clock.now() + moment));
                    if tokio::time::timeout_at(moment, changed).await.is_err() {
                        return Ok(Answer::Own(last));
                    }
                }
            }
        };
        let mut waiting = Waiting { door: &self.door, id: Some(id) };
        let answer = answer.await;
        waiting.id = None;
        Ok(answer.unwrap_or(Answer::Own(Final { status: 502, retry_after: None, backends: false })))
    }

    async fn read_body(&self, body: Incoming, end: tokio::time::Instant) -> Result<(Bytes, Held<'_>), Bad> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), Held(self, 0)));
        }
        let longest = self.door.ask(|core| core.limits().body_bytes).min(self.room);
        let told = body.size_hint().exact();
        if body.size_hint().lower() > longest as u64 {
            return Err(Bad::TooLong);
        }
        // In chunks no length is told: a part of the room is set aside, and given back if it was not needed.
        let most = told.map_or(longest.min(self.room / 16), |length| length as usize);
        let held = Held::take(self, most).ok_or(Bad::NoRoom)?;
        match tokio::time::timeout_at(end, Limited::new(body, most).collect()).await {
            Err(_) => Err(Bad::Slow),
            Ok(Ok(body)) => Ok((body.to_bytes(), held)),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Bad::TooLong),
            Ok(Err(_)) => Err(Bad::Request("body")),
        }
    }
}

/// The value of a header that stands there once at most and is plain text.
fn one<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Result<Option<&'a str>, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| Bad::Request("header")),
        _ => Err(Bad::Request("header")),
    }
}

fn own(last: &Final, id: Option<HeaderValue>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::from_u16(last.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(wait) = last.retry_after {
        if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, wait);
        }
    }
    if let Some(id) = id {
        response.headers_mut().insert(ATTEMPT_ID, id);
    }
    response
}

/// Counts a connection while it is open.
struct Open<'a>(&'a Clients);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_waiters();
        self.0.closed.notify_one();
    }
}

/// Bytes of a body that are held.
struct Held<'a>(&'a Clients, usize);

impl<'a> Held<'a> {
    fn take(clients: &'a Clients, bytes: usize) -> Option<Held<'a>> {
        let held = clients.held.get() + bytes;
        (held <= clients.room).then(|| {
            clients.held.set(held);
            Held(clients, bytes)
        })
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - self.1);
    }
}

/// Tells the driver when a client goes away before its answer.
struct Waiting<'a> {
    door: &'a Rc<Door>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.door.client_gone(id);
        }
    }
}
