//! Clients: reads requests whole, and writes the one final answer of each.

use crate::connection_state::{CloseMode, ConnectionState};
use crate::core::{IncomingRequest, LocalResponse, Rejection};
use crate::driver::{tenant_value, Answer, Proxy};
use crate::forward::{ForwardedRequest, ATTEMPT_ID, TENANT, TIME_REMAINING};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderValue, AUTHORIZATION, CONNECTION, HOST, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use maplefall_policy::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Pause when the system has no descriptor for a new connection.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
/// How long after SIGTERM connections are still taken: the platform asks every second and believes the second no.
const LINGER: Duration = Duration::from_millis(2400);
/// Bytes that a connection buffers, on either side: a head as long as may be, within these.
const BUFFERS: (usize, usize) = (8 << 10, 1 << 20);
/// How long a full house waits for one that is asked to leave.
const MAKE_ROOM: Duration = Duration::from_millis(20);
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
    door: Rc<Proxy>,
    most: usize,
    /// Bytes of bodies that may be held at a time, and those that are.
    room: usize,
    held: Cell<usize>,
    /// The open connections, at most `most`.
    guests: RefCell<HashMap<u64, Rc<Guest>>>,
    last: Cell<u64>,
    closed: Notify,
    /// Whether the house is full and nobody rests: answers then close their connections.
    crowded: Cell<bool>,
    accepting: RefCell<Option<JoinHandle<()>>>,
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
    pub fn new(door: Rc<Proxy>, sockets: usize, room: usize) -> Rc<Clients> {
        Rc::new(Clients {
            door,
            most: maplefall_upstream::downstream_budget(sockets),
            room,
            held: Cell::new(0),
            guests: RefCell::default(),
            last: Cell::new(0),
            closed: Notify::new(),
            crowded: Cell::new(false),
            accepting: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
        })
    }

    /// Accepts connections until the planned stop is over.
    pub fn open(self: &Rc<Self>, listener: TcpListener) {
        let task = tokio::task::spawn_local(self.clone().accept(listener));
        *self.accepting.borrow_mut() = Some(task);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.make_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let number = self.last.get() + 1;
                    self.last.set(number);
                    let guest = Rc::new(Guest::new(ConnectionState::new(self.door.clock.now())));
                    self.guests.borrow_mut().insert(number, guest.clone());
                    tokio::task::spawn_local(self.clone().serve(stream, number, guest));
                }
                Err(_) => tokio::time::sleep(NO_DESCRIPTOR).await,
            }
        }
    }

    /// Waits until there is room for one more. Who has rested longest is asked to leave: usual clients come again sooner.
    async fn make_room(&self) {
        while self.guests.borrow().len() >= self.most {
            let longest = {
                let guests = self.guests.borrow();
                let resting = guests
                    .values()
                    .filter_map(|guest| Some((guest.visit.borrow().resting()?, guest)));
                resting
                    .min_by(|a, b| a.0.total_cmp(&b.0))
                    .map(|(_, guest)| guest.clone())
            };
            match longest {
                Some(guest) => guest.leave(),
                None => self.crowded.set(true),
            }
            let _ = tokio::time::timeout(MAKE_ROOM, self.closed.notified()).await;
        }
        self.crowded.set(false);
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u64, guest: Rc<Guest>) {
        let _open = Open {
            clients: &self,
            number,
        };
        // Without it answers are late, not wrong.
        let _ = stream.set_nodelay(true);
        let longest = self
            .door
            .ask(|core| core.limits().header_bytes)
            .clamp(BUFFERS.0, BUFFERS.1);
        let io = TokioIo::new(Watched {
            stream,
            guest: guest.clone(),
            door: self.door.clone(),
        });
        let service = service_fn(|request| {
            let (clients, guest) = (self.clone(), guest.clone());
            async move { Ok::<_, Infallible>(clients.answer(request, &guest).await) }
        });
        let builder = hyper::server::conn::http1::Builder::new()
            .max_buf_size(longest)
            .clone();
        let mut connection = std::pin::pin!(builder.serve_connection(io, service));
        let mut phase = self.phase.subscribe();
        let mut leaving = false;
        loop {
            let due = |guest: &Guest| {
                guest
                    .visit
                    .borrow()
                    .due(&self.door.ask(|core| core.limits()))
            };
            let at = due(&guest).map(|(at, _)| self.door.clock.instant(at));
            tokio::select! {
                // An error is a client that went away or wrote no HTTP; the library has answered the latter.
                _ = connection.as_mut() => return,
                _ = phase.wait_for(|phase| *phase == Phase::Sweeping), if !leaving => leaving = true,
                () = tokio::time::sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {
                    // By now more may have come, and the limits may be others.
                    match due(&guest).filter(|(at, _)| *at <= self.door.clock.now()) {
                        Some((_, CloseMode::Immediate)) => return,
                        Some((_, CloseMode::Graceful)) => guest.leave(),
                        None => continue,
                    }
                }
                () = guest.changed.notified() => if !guest.left.get() { continue },
            }
            connection.as_mut().graceful_shutdown();
        }
    }

    /// The planned stop: goes on accepting, answers what has come, and returns when all is answered. From then on nothing is taken
    /// that could not be, and who comes is refused and tries another door.
    pub async fn stop(&self, grace: Duration) {
        let end = Instant::now() + grace.saturating_sub(SPARE);
        self.stop_by(LINGER.min(grace / 2), end).await;
    }

    /// The same, with how long idle connections are kept and when the last answer must be out.
    pub async fn stop_by(&self, linger: Duration, end: Instant) {
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(linger).await;
        self.phase.send_replace(Phase::Sweeping);
        while !self.guests.borrow().is_empty() || self.door.ask(|core| core.has_pending_requests())
        {
            if tokio::time::timeout_at(end, self.closed.notified())
                .await
                .is_err()
            {
                log::warn!("event=cut_short open={}", self.guests.borrow().len());
                break;
            }
        }
        // Guards what would be accepted and cut while the door says its last words: the listener is closed when this returns.
        if let Some(accepting) = self.close() {
            let _ = accepting.await;
        }
    }

    /// Accepts nothing more; the listener is closed when what comes back has ended.
    pub fn close(&self) -> Option<JoinHandle<()>> {
        self.accepting
            .borrow_mut()
            .take()
            .inspect(|accepting| accepting.abort())
    }

    async fn answer(&self, request: Request<Incoming>, guest: &Guest) -> Response<Full<Bytes>> {
        guest.visit.borrow_mut().asked();
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
                let last = LocalResponse {
                    status,
                    retry_after: (status == 503).then_some(200.0),
                    prefer_backend_response: false,
                };
                let mut response = own(&last, id);
                *response.body_mut() = Full::new(Bytes::from(format!("step=read field={why}\n")));
                // Nothing that follows on such a connection can be trusted to be a request.
                (response, true)
            }
        };
        if close || self.crowded.get() || *self.phase.borrow() != Phase::Serving {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        guest.visit.borrow_mut().answered(self.door.clock.now());
        guest.changed.notify_one();
        response
    }

    async fn decide(&self, request: Request<Incoming>) -> Result<Answer, Bad> {
        let at = self.door.clock.now();
        let (head, body) = request.into_parts();
        let host = one(&head.headers, &HOST)?
            .ok_or(Bad::Request("host"))?
            .to_owned();
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
        if head
            .uri
            .authority()
            .is_some_and(|named| !named.as_str().eq_ignore_ascii_case(&host))
        {
            return Err(Bad::Request("host"));
        }
        if head.method == Method::CONNECT {
            return Err(Bad::Request("method"));
        }
        let path = head
            .uri
            .path_and_query()
            .cloned()
            .ok_or(Bad::Request("path"))?;
        let end = self
            .door
            .clock
            .instant(at + remaining.unwrap_or(LONGEST_BODY_TIME));
        let (body, _held) = self.read_body(body, end).await?;
        let key =
            one(&head.headers, &AUTHORIZATION)?.and_then(|value| value.strip_prefix("Token "));
        let key = key.map(|key| key.trim().to_owned());
        let mut arrival = IncomingRequest {
            host: &host,
            path: path.path(),
            api_key: key.as_deref(),
            remaining,
            received_at: at,
            is_retry: false,
        };
        // What is missing may come in a moment, as after a start: within this the client is not worse off than by coming again.
        let most = at + remaining.map_or(0.0, |ms| (ms * MOMENT).min(LONGEST_MOMENT));
        let mut whole = Some((head.method, head.headers, body));
        let (id, answer) = loop {
            let changed = self.door.changed.notified();
            let taken = self.door.arrive(&arrival, |accepted| {
                let (method, headers, body) = whole.take().unwrap_or_default();
                let mut order =
                    ForwardedRequest::new(method, Uri::from(path.clone()), headers, body);
                if let Some(tenant) = tenant_value(accepted) {
                    order.headers.insert(TENANT, tenant);
                }
                order
            });
            match taken {
                Ok(taken) => break taken,
                Err(Rejection::Rejected(last)) => return Ok(Answer::Own(last)),
                Err(Rejection::RejectedUnless(last, moment)) => {
                    arrival.is_retry = true;
                    let moment = self
                        .door
                        .clock
                        .instant(most.min(self.door.clock.now() + moment));
                    if tokio::time::timeout_at(moment, changed).await.is_err() {
                        return Ok(Answer::Own(last));
                    }
                }
            }
        };
        let mut waiting = Waiting {
            door: &self.door,
            id: Some(id),
        };
        let answer = answer.await;
        waiting.id = None;
        Ok(answer.unwrap_or(Answer::Own(LocalResponse {
            status: 502,
            retry_after: None,
            prefer_backend_response: false,
        })))
    }

    async fn read_body(
        &self,
        body: Incoming,
        end: tokio::time::Instant,
    ) -> Result<(Bytes, Held<'_>), Bad> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), Held(self, 0)));
        }
        let longest = self
            .door
            .ask(|core| core.limits().body_bytes)
            .min(self.room);
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
fn one<'a>(
    headers: &'a HeaderMap,
    name: &hyper::header::HeaderName,
) -> Result<Option<&'a str>, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| Bad::Request("header")),
        _ => Err(Bad::Request("header")),
    }
}

fn own(last: &LocalResponse, id: Option<HeaderValue>) -> Response<Full<Bytes>> {
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
struct Open<'a> {
    clients: &'a Clients,
    number: u64,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.clients.guests.borrow_mut().remove(&self.number);
        self.clients.closed.notify_waiters();
        self.clients.closed.notify_one();
    }
}

/// A client's connection as its task and the library's see it.
struct Guest {
    visit: RefCell<ConnectionState>,
    /// Whether it has been asked to leave.
    left: Cell<bool>,
    /// Told when it may have another time to end at.
    changed: Notify,
}

impl Guest {
    fn new(visit: ConnectionState) -> Guest {
        Guest {
            visit: RefCell::new(visit),
            left: Cell::new(false),
            changed: Notify::new(),
        }
    }

    fn leave(&self) {
        self.visit.borrow_mut().leaves();
        self.left.set(true);
        self.changed.notify_one();
    }
}

/// A client's socket, which tells what comes on it.
struct Watched {
    stream: TcpStream,
    guest: Rc<Guest>,
    door: Rc<Proxy>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && self.guest.visit.borrow_mut().heard(self.door.clock.now())
        {
            self.guest.changed.notify_one();
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
    door: &'a Rc<Proxy>,
    id: Option<RequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.door.client_gone(id);
        }
    }
}
