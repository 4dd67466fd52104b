//! Clients: the listener, how long a connection may take, and the one final answer of each request.

use super::auth::{Auth, AuthResponse, Checked};
#[cfg(feature = "breakages")]
use super::breakages;
use super::driver::Driver;
use super::request::{read_body, read_head, Bad};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming as IncomingBody};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use maplefall_downstream::{
    retry_after_value, CloseNotification, ConnectionGuard, ConnectionTable, ShutdownPhase,
};
use maplefall_policy::{Millis, RequestId};
use maplefall_protocol::Answer;
use maplefall_upstream::{downstream_budget, MAX_BUFFER_BYTES};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
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
const DRAIN_DELAY: Duration = Duration::from_millis(550);
/// Longest time after SIGTERM beyond the longest deadline: SIGKILL comes 0.7 s beyond it.
const LAST_CALL: Duration = Duration::from_millis(550);
/// Time to accept what came just before the end.
const LAST_LOOK: Duration = Duration::from_millis(5);
/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a whole request from its first byte, and for the first one on a connection from the connect.
const READ_TIME: Millis = 2000.0;
/// What is added before a connection is closed without a word, so that an answer can tell why.
const LAST_WORD: Millis = 200.0;
/// Time for which a connection without a request is kept: usual clients come again sooner.
const IDLE_TIME: Millis = 6000.0;
/// A request that has been coming for this long may be given up where there is no room.
const UNHURRIED: Millis = 250.0;
/// How often connections are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// When a client whose caller could not be checked is told to come again: a breaker's first pause is over by then.
const UNCHECKED_WAIT: Millis = 1000.0;

/// The clients' side of a front door.
pub struct Clients {
    door: Rc<Driver>,
    /// Who checks callers, if anybody does.
    auth: Option<Rc<Auth>>,
    connections: Rc<ConnectionTable<Peer>>,
    phase: watch::Sender<ShutdownPhase>,
}

impl Clients {
    /// The clients' side of `door` within `sockets` descriptors for all.
    pub fn new(door: Rc<Driver>, auth: Option<Rc<Auth>>, sockets: usize) -> Rc<Clients> {
        Rc::new(Clients {
            door,
            auth,
            connections: ConnectionTable::new(
                downstream_budget(sockets),
                CloseNotification::Waiting,
            ),
            phase: watch::Sender::new(ShutdownPhase::Serving),
        })
    }

    /// Accepts connections for as long as the front door runs.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    self.wait_for_capacity().await;
                    let peer = Peer::new(self.door.clock.now(), address.ip());
                    let guard = self.connections.insert(peer);
                    tokio::task::spawn_local(self.clone().serve(stream, guard));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Waits for the connection limit. A connection that the kernel has accepted for us counts as ours, so it must not wait long:
    /// one other connection is closed, the one that is missed least.
    async fn wait_for_capacity(&self) {
        self.connections
            .wait_for_capacity(
                |peers| {
                    let now = self.door.clock.now();
                    peers
                        .filter_map(|peer| Some((peer.dispensable(now)?, peer.clone())))
                        .max_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
                },
                |((kind, _), peer)| match kind {
                    Spare::Idle => peer.leave(Leave::Idle),
                    _ => peer.leave(Leave::Now),
                },
            )
            .await;
    }

    /// Closes what has had its time, for as long as the front door runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = self.door.clock.now();
            self.connections.for_each(|peer| {
                if let Some(how) = peer.overdue(now) {
                    peer.leave(how);
                }
            });
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, guard: ConnectionGuard<Peer>) {
        let peer = guard.state();
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        let io = TokioIo::new(Watched {
            stream,
            peer: peer.clone(),
            door: self.door.clone(),
        });
        let service = service_fn(|request| {
            let (clients, peer) = (self.clone(), peer.clone());
            async move { Ok::<_, Infallible>(clients.answer(request, &peer).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(io, service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.phase.subscribe();
        let mut leaving = false;
        loop {
            tokio::select! {
                // An error is a client that went away or wrote no HTTP; the library has answered the latter.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == ShutdownPhase::ClosingIdle), if !leaving => {}
                () = peer.asked.notified() => if peer.left.get() == Some(Leave::Now) { return },
            }
            leaving = true;
            connection.as_mut().graceful_shutdown();
        }
    }

    /// The planned stop: goes on accepting, answers what has come, and returns when all is answered.
    pub async fn stop(&self) {
        let longest = self
            .door
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        let longest = Duration::try_from_secs_f64(longest / 1000.0).unwrap_or_default();
        let end = tokio::time::Instant::now() + longest + LAST_CALL;
        self.phase.send_replace(ShutdownPhase::ClosingAfterResponse);
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::DropsOnTerm) {
            return;
        }
        tokio::time::sleep(DRAIN_DELAY).await;
        self.phase.send_replace(ShutdownPhase::ClosingIdle);
        while !self.connections.is_empty() {
            let closed = tokio::time::timeout_at(end, self.connections.closed()).await;
            if closed.is_err() {
                eprintln!(
                    "stopped with {} requests unanswered",
                    self.door.unanswered()
                );
                return;
            }
            // One more may be waiting to be accepted.
            tokio::time::sleep(LAST_LOOK).await;
        }
    }

    async fn answer(&self, request: Request<IncomingBody>, peer: &Peer) -> Response<Full<Bytes>> {
        let mut close = self.connections.is_saturated();
        let mut response = if request.uri().path() == HEALTH {
            peer.whole();
            self.health()
        } else {
            self.decide(request, peer).await.unwrap_or_else(|bad| {
                // Nothing that follows on such a connection can be trusted to be a request.
                close = true;
                let mut response = Response::new(Full::new(Bytes::from(format!("{bad}\n"))));
                *response.status_mut() = bad.status();
                response
            })
        };
        if close || *self.phase.borrow() != ShutdownPhase::Serving {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        peer.answered(self.door.clock.now());
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
        peer: &Peer,
    ) -> Result<Response<Full<Bytes>>, Bad> {
        // Of a request that came in one read with the one before it, only that read's time is known.
        let first = peer.first.get().unwrap_or(peer.last.get());
        let (head, body) = request.into_parts();
        let mut incoming = read_head(&self.door.settings, &self.door.names, &head, first)?;
        let end = self.door.clock.instant(peer.begun() + READ_TIME);
        incoming.order.body = read_body(body, &head.method, end).await?;
        incoming.at = peer.last.get();
        peer.whole();
        let (class, plan, deadline) = (incoming.class, incoming.plan.0, incoming.deadline);
        let auth = self.auth.as_ref().filter(|auth| auth.checks_class(class));
        incoming.checked = auth.is_none();
        #[cfg(feature = "breakages")]
        let incoming_deadline = incoming.deadline;
        let (id, mut answer) = self.door.start_request(incoming).ok_or(Bad::Twice)?;
        let mut waiting = Waiting {
            door: &self.door,
            id: Some(id),
        };
        let checked = match auth.filter(|_| self.door.awaits_check(id)) {
            None => Checked::Passed,
            Some(auth) => {
                let caller = auth.caller(&head, class, plan, peer.address);
                auth.authorize(&self.door, caller, id, deadline, &mut answer)
                    .await
            }
        };
        let answer = match checked {
            Checked::Passed => answer.await.unwrap_or(Answer::Failed),
            Checked::Answered(answer) => answer,
            Checked::Denied(carried) => {
                waiting.id = None;
                return Ok(denial(&carried));
            }
            Checked::Unchecked => {
                waiting.id = None;
                return Ok(self.unchecked());
            }
        };
        waiting.id = None;
        #[cfg(feature = "breakages")]
        if matches!(answer, Answer::Refused(_)) && breakages::is(breakages::Breakage::HeldBack) {
            let late = incoming_deadline + breakages::HELD_MS;
            tokio::time::sleep_until(self.door.clock.instant(late)).await;
        }
        Ok(response(answer))
    }
}

impl Clients {
    /// The answer to a request whose caller could not be checked: nothing has run.
    fn unchecked(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let settings = &self.door.settings;
        if settings.retry_after {
            let wait = UNCHECKED_WAIT.min(settings.max_retry_after);
            if let Some(wait) = retry_after_value(wait) {
                response.headers_mut().insert(RETRY_AFTER, wait);
            }
        }
        response
    }
}

/// The service's own answer, whole.
fn denial(carried: &AuthResponse) -> Response<Full<Bytes>> {
    let AuthResponse::Denial {
        status,
        headers,
        body,
    } = carried
    else {
        // A denial that is none cannot be: the gate hands out what was handed in.
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::FORBIDDEN;
        return response;
    };
    let mut response = Response::new(Full::new(body.clone()));
    *response.status_mut() = *status;
    for (name, value) in headers {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

/// Tells the driver when a client goes away before its answer.
struct Waiting<'a> {
    door: &'a Rc<Driver>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.door.client_disconnected(id);
        }
    }
}

/// How a connection is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    /// Once what it is owed has been written.
    Idle,
    /// At once.
    Now,
}

/// A connection that may be closed to make room, the one most missed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    /// In the midst of a request that is slow in coming.
    Slow,
    /// Between two requests.
    Idle,
    /// Never said anything.
    Silent,
}

/// A client's connection: what it is at, and since when.
#[derive(Debug)]
struct Peer {
    opened: Millis,
    address: IpAddr,
    /// When the first and the last bytes came of the request that is being read.
    first: Cell<Option<Millis>>,
    last: Cell<Millis>,
    /// Whether a request has come whole and has no answer yet.
    owed: Cell<bool>,
    /// When its last answer was ready; `None` before the first.
    idle_since: Cell<Option<Millis>>,
    left: Cell<Option<Leave>>,
    asked: Notify,
}

impl Peer {
    fn new(now: Millis, address: IpAddr) -> Peer {
        Peer {
            opened: now,
            address,
            first: Cell::default(),
            last: Cell::new(now),
            owed: Cell::default(),
            idle_since: Cell::default(),
            left: Cell::default(),
            asked: Notify::new(),
        }
    }

    fn heard(&self, now: Millis) {
        self.last.set(now);
        self.first.set(self.first.get().or(Some(now)));
    }

    /// A request has come whole: what is read from now on belongs to the next one.
    fn whole(&self) {
        self.owed.set(true);
        self.first.set(None);
    }

    fn answered(&self, now: Millis) {
        self.owed.set(false);
        self.idle_since.set(Some(now));
    }

    /// When the time began in which the present request has to come. A client's first is counted from the
    /// connect: it may not say nothing first and dawdle then.
    fn begun(&self) -> Millis {
        match (self.idle_since.get(), self.first.get()) {
            (None, _) => self.opened,
            (Some(idle), Some(first)) => first.max(idle),
            (Some(idle), None) => idle,
        }
    }

    fn overdue(&self, now: Millis) -> Option<Leave> {
        let reading = self.idle_since.get().is_none() || self.first.get().is_some();
        let (most, how) = if reading {
            (READ_TIME + LAST_WORD, Leave::Now)
        } else {
            (IDLE_TIME, Leave::Idle)
        };
        (!self.owed.get() && now - self.begun() > most).then_some(how)
    }

    /// How little it would be missed: by kind, then by how long it has been so. `None` while it is owed an
    /// answer or has been asked to leave.
    fn dispensable(&self, now: Millis) -> Option<(Spare, Millis)> {
        if self.owed.get() || self.left.get().is_some() {
            return None;
        }
        let age = now - self.begun();
        match (self.idle_since.get(), self.first.get()) {
            (None, None) => Some((Spare::Silent, age)),
            (Some(_), None) => Some((Spare::Idle, age)),
            (_, Some(_)) => (age > UNHURRIED).then_some((Spare::Slow, age)),
        }
    }

    fn leave(&self, how: Leave) {
        self.left.set(Some(how));
        self.asked.notify_one();
    }
}

/// A client's socket that notes when bytes come.
struct Watched {
    stream: TcpStream,
    peer: Rc<Peer>,
    door: Rc<Driver>,
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
            self.peer.heard(self.door.clock.now());
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        #[cfg(feature = "breakages")]
        if (buf.starts_with(b"HTTP/1.1 200") && breakages::is(breakages::Breakage::SecondAnswer))
            || (buf.starts_with(b"HTTP/1.1 503")
                && breakages::is(breakages::Breakage::LateVerdictAnswers))
        {
            let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
            // Where there is no room for it, this one answer stays alone.
            let _ = self.stream.try_write(buf);
            return wrote;
        }
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
        #[cfg(feature = "breakages")]
        if breakages::is(breakages::Breakage::SecondAnswer)
            || breakages::is(breakages::Breakage::LateVerdictAnswers)
        {
            return false;
        }
        self.stream.is_write_vectored()
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
    if let Some(wait) = wait.and_then(retry_after_value) {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
