//! Clients: the listener, the reading of requests, and the one final answer of each.

use super::backends::{budget, Order, LONGEST_BODY};
use super::door::{Door, Incoming};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, COOKIE, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use maplefall::settings::plain;
use maplefall::{ClassId, CustomerId, Effect, Millis, PlanId, RequestId};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};

/// The readiness check of the front before the front doors.
const HEALTH: &str = "/_health";
/// New connections go on coming for up to 0.4 s after SIGTERM; idle ones are kept until they have come.
const LINGER: Duration = Duration::from_millis(550);
/// Longest time after SIGTERM beyond the longest deadline: SIGKILL comes 0.7 s beyond it.
const LAST_CALL: Duration = Duration::from_millis(550);
/// Time to accept what came just before the end.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// Pause when the system has no descriptor for a new connection.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);
/// A head that has been coming for this long is not a request that somebody waits for.
const STALLED: Duration = Duration::from_secs(4);
/// Bytes that a connection buffers at most; a longer head is answered 431.
pub const BUFFER: usize = 32 * 1024;
/// Time to read a body whose client tells no usable time.
const BODY_TIME: Duration = Duration::from_secs(3);
/// A customer's number is below this.
const CUSTOMERS: u64 = 1 << 33;
/// Longest id of a request.
const LONGEST_ID: usize = 128;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const REQUEST_CLASS: HeaderName = HeaderName::from_static("request-class");
const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("request-timeout");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const API_PLAN: HeaderName = HeaderName::from_static("api-plan");
const API_TERMS: HeaderName = HeaderName::from_static("api-terms");

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Bytes),
    /// Trying again is harmless; when, if advised.
    Refused(Option<Millis>),
    /// Nothing promised.
    Failed,
}

/// Why a request is turned down unread by the decisions.
#[derive(Debug, thiserror::Error)]
enum Bad {
    #[error("{0} is missing or cannot be read")]
    Header(HeaderName),
    #[error("unknown class")]
    Class,
    #[error("unknown plan")]
    Plan,
    #[error("the method does not go with the class")]
    Method,
    #[error("the body cannot be read")]
    Body,
    #[error("the body is too long")]
    TooLong,
    #[error("the body did not come in time")]
    Slow,
    #[error("a request with this id has no answer yet")]
    Twice,
}

impl Bad {
    fn status(&self) -> StatusCode {
        match self {
            Bad::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Bad::Slow => StatusCode::REQUEST_TIMEOUT,
            Bad::Twice => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Answers close their connections.
    Closing,
    /// Idle connections are closed too.
    Sweeping,
}

/// The clients' side of a front door.
pub struct Clients {
    door: Rc<Door>,
    most: usize,
    open: Cell<usize>,
    closed: Notify,
    /// Tells idle connections to make room.
    crowded: Notify,
    phase: watch::Sender<Phase>,
}

impl Clients {
    /// The clients' side of `door` within `sockets` descriptors for all.
    pub fn new(door: Rc<Door>, sockets: usize) -> Rc<Clients> {
        let phase = watch::Sender::new(Phase::Serving);
        let most = budget(sockets);
        Rc::new(Clients {
            door,
            most,
            open: Cell::new(0),
            closed: Notify::new(),
            crowded: Notify::new(),
            phase,
        })
    }

    /// Accepts connections for as long as the front door runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            // What the system has accepted for us counts as ours, so a full house must not keep it waiting:
            // idle connections close at once, busy ones with their answers.
            while self.full() {
                self.crowded.notify_waiters();
                let _ = tokio::time::timeout(STALLED, self.closed.notified()).await;
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

    fn full(&self) -> bool {
        self.open.get() >= self.most
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _open = Open(&self);
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        let seen = Rc::new(Seen::default());
        let io = TokioIo::new(Watched { stream, seen: seen.clone(), door: self.door.clone() });
        let service = service_fn(|request| {
            let (clients, seen) = (self.clone(), seen.clone());
            async move { Ok::<_, Infallible>(clients.answer(request, &seen).await) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().max_buf_size(BUFFER).serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        loop {
            tokio::select! {
                // An error is a client that went away or wrote no HTTP; the library has answered the latter.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == Phase::Sweeping) => break,
                () = self.crowded.notified() => match seen.first.get() {
                    None => break,
                    Some(first) if seen.stalled(first, self.door.clock.now()) => return,
                    Some(_) => {}
                },
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    /// The planned stop: goes on accepting, answers what has come, and returns when all is answered.
    pub async fn stop(&self) {
        let longest = self.door.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let longest = Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default();
        let end = tokio::time::Instant::now() + longest + LAST_CALL;
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(LINGER).await;
        self.phase.send_replace(Phase::Sweeping);
        while self.open.get() > 0 {
            let closed = tokio::time::timeout_at(end, self.closed.notified()).await;
            if closed.is_err() {
                eprintln!("stopped with {} requests unanswered", self.door.unanswered());
                return;
            }
            // One more may be waiting to be accepted.
            tokio::time::sleep(LAST_LOOK).await;
        }
    }

    async fn answer(&self, request: Request<IncomingBody>, seen: &Seen) -> Response<Full<Bytes>> {
        seen.owed.set(true);
        let mut response = if request.uri().path() == HEALTH {
            self.health()
        } else {
            self.decide(request, seen).await.unwrap_or_else(|bad| {
                let mut response = Response::new(Full::new(Bytes::from(format!("{bad}\n"))));
                *response.status_mut() = bad.status();
                response
            })
        };
        if self.full() || *self.phase.borrow() != Phase::Serving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        seen.first.set(None);
        seen.owed.set(false);
        response
    }

    fn health(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if !self.door.ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    async fn decide(
        &self,
        request: Request<IncomingBody>,
        seen: &Seen,
    ) -> Result<Response<Full<Bytes>>, Bad> {
        let first = seen.first.get().unwrap_or_else(|| self.door.clock.now());
        let (head, body) = request.into_parts();
        let mut incoming = self.read_head(&head, first)?;
        incoming.order.body = read_body(body, &head.method).await?;
        incoming.at = seen.last.get();
        let (id, answer) = self.door.arrive(incoming).ok_or(Bad::Twice)?;
        let mut waiting = Waiting { door: &self.door, id: Some(id) };
        let answer = answer.await.unwrap_or(Answer::Failed);
        waiting.id = None;
        Ok(response(answer))
    }

    fn read_head(&self, head: &Parts, first: Millis) -> Result<Incoming, Bad> {
        let headers = &head.headers;
        let id = text(headers, &REQUEST_ID)?;
        if id.is_empty() || id.len() > LONGEST_ID {
            return Err(Bad::Header(REQUEST_ID));
        }
        let class = self.class(head)?;
        let plan_name = plain(text(headers, &API_PLAN)?);
        let plan = self.door.names.plans.iter().position(|name| *name == plan_name).ok_or(Bad::Plan)?;
        let timeout = positive(text(headers, &REQUEST_TIMEOUT)?).ok_or(Bad::Header(REQUEST_TIMEOUT))?;
        let terms = Terms::read(text(headers, &API_TERMS)?).ok_or(Bad::Header(API_TERMS))?;
        let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        Ok(Incoming {
            at: first,
            deadline: first + timeout * 1000.0,
            customer: customer(headers).ok_or(Bad::Header(COOKIE))?,
            plan: PlanId(plan),
            class: ClassId(class),
            units: terms.units,
            spread: terms.spread,
            order: Order {
                id: id.to_owned(),
                id_value: headers[REQUEST_ID].clone(),
                host: headers.get(HOST).cloned().ok_or(Bad::Header(HOST))?,
                method: head.method.clone(),
                uri: Uri::from(path),
                key: headers.get(IDEMPOTENCY_KEY).cloned(),
                content_type: headers.get(CONTENT_TYPE).cloned(),
                body: Bytes::new(),
            },
        })
    }

    /// The class, which header, path and method must agree on.
    fn class(&self, head: &Parts) -> Result<usize, Bad> {
        let name = text(&head.headers, &REQUEST_CLASS)?;
        let part = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let plain_name = plain(name);
        let class =
            self.door.names.classes.iter().position(|known| *known == plain_name).ok_or(Bad::Class)?;
        if part != name {
            return Err(Bad::Class);
        }
        let keyed = head.headers.contains_key(IDEMPOTENCY_KEY);
        let agrees = match self.door.settings.classes[class].effect {
            Effect::Safe => head.method == Method::GET && !keyed,
            Effect::Keyed { .. } => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST && !keyed,
        };
        if agrees {
            Ok(class)
        } else {
            Err(Bad::Method)
        }
    }
}

/// Counts a connection of a client while it is open.
struct Open<'a>(&'a Clients);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed.notify_waiters();
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

/// When bytes of the request that is being read came.
#[derive(Debug, Default)]
struct Seen {
    first: Cell<Option<Millis>>,
    last: Cell<Millis>,
    /// Whether its head has been read, so that an answer is owed.
    owed: Cell<bool>,
}

impl Seen {
    fn stalled(&self, first: Millis, now: Millis) -> bool {
        !self.owed.get() && now - first > STALLED.as_secs_f64() * 1000.0
    }
}

/// A client's socket that notes when bytes come.
struct Watched {
    stream: TcpStream,
    seen: Rc<Seen>,
    door: Rc<Door>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            let now = self.door.clock.now();
            self.seen.last.set(now);
            self.seen.first.set(self.seen.first.get().or(Some(now)));
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// What a request takes from its owner's quota, and the owner's set of front doors.
struct Terms {
    units: f64,
    spread: f64,
}

impl Terms {
    fn read(text: &str) -> Option<Terms> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for (name, value) in text.split(',').filter_map(|field| field.trim().split_once('=')) {
            match name {
                "units" => units = Some(positive(value)?),
                "spread" => spread = Some(positive(value)?),
                "first" => first = Some(value.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0)?),
                _ => {}
            }
        }
        first.and(units.zip(spread)).map(|(units, spread)| Terms { units, spread })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, Bad> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.map(str::trim).ok_or_else(|| Bad::Header(name.clone()))
}

fn positive(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && *number > 0.0)
}

/// The customer that the cookie names.
fn customer(headers: &HeaderMap) -> Option<CustomerId> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let name = cookies.flat_map(|line| line.split(';')).find_map(|one| one.trim().strip_prefix("client="))?;
    let hex = name.len() == 16 && name.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(name, 16).ok().filter(|number| hex && *number < CUSTOMERS)?;
    Some(CustomerId(number))
}

async fn read_body(body: IncomingBody, method: &Method) -> Result<Bytes, Bad> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if method == Method::GET {
        return Err(Bad::Method);
    }
    if body.size_hint().lower() > LONGEST_BODY as u64 {
        return Err(Bad::TooLong);
    }
    let read = tokio::time::timeout(BODY_TIME, Limited::new(body, LONGEST_BODY).collect()).await;
    match read.map_err(|_| Bad::Slow)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Bad::TooLong),
        Err(_) => Err(Bad::Body),
    }
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let (status, body, wait) = match answer {
        Answer::Served(body) => (StatusCode::OK, body, None),
        Answer::Refused(wait) => (StatusCode::TOO_MANY_REQUESTS, Bytes::new(), wait),
        Answer::Failed => (StatusCode::BAD_GATEWAY, Bytes::new(), None),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let wait = wait.and_then(|wait| HeaderValue::try_from(format!("{:.3}", wait / 1000.0)).ok());
    if let Some(wait) = wait {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
