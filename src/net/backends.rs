//! Attempts: pools of connections to backends, and what the end of an attempt means.

use super::clients::BUFFER;
use super::request::{IDEMPOTENCY_KEY, REQUEST_ID, REQUEST_TIMEOUT};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use maplefall::settings::{self, Links, Metric, Told};
use maplefall::{BackendId, Millis, Outcome, Report};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

/// Longest body of a request, and of an answer that is taken in without asking for room.
pub const LONGEST_BODY: usize = 64 * 1024;
/// Longest body of an answer at all. Backends are met that send far more than the agreed 64 KiB, and their good
/// answers are worth passing on; one that is said to be longer than this is none.
const LONGEST_ANSWER: u64 = 1 << 20;
/// Part of the memory that long answers may take together, from the first byte read to the last one written.
const ROOM_PART: usize = 4;
/// Part of the backends' idle time for which a connection is kept: one closed there costs a request.
const IDLE_PART: f64 = 0.6;
/// How often idle connections are looked through.
const TIDY: Duration = Duration::from_millis(500);
/// A use over this many percent of a rate is no figure to go by.
const MOST_USAGE: f64 = 100_000.0;
/// A connection is taken again rather after than before this time since its last answer: what a backend sends
/// behind an answer has come by then.
const SETTLED: Duration = Duration::from_millis(3);
/// A request sent with caution has its last byte held back for this long: within one data centre a reset is back by
/// then. Where the way is longer, caution finds less and costs no more.
const PROOF: Duration = Duration::from_millis(2);
/// Descriptors kept for discovery, listening and the runtime.
const SPARE_SOCKETS: usize = 24;

const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");
const API_USAGE: HeaderName = HeaderName::from_static("api-usage");
const API_CHARGE: HeaderName = HeaderName::from_static("api-charge");
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Connections to backends that `sockets` descriptors leave room for. Clients hold a third of the descriptors
/// for requests at most, and a request has one attempt out.
pub fn budget(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) * 2 / 5
}

/// Connections of clients that there is room for, besides: also of such that ask nothing.
pub fn client_budget(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) - budget(sockets)
}

/// What goes on to a backend, the same with every attempt.
#[derive(Clone, Debug)]
pub struct Order {
    /// The id on the wire.
    pub id: Rc<str>,
    /// The id as it came.
    pub id_value: HeaderValue,
    /// The host that the client named.
    pub host: HeaderValue,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The key of a keyed request.
    pub key: Option<HeaderValue>,
    /// The content type, if the client named one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl Order {
    fn request(&self, limit: Millis) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert(REQUEST_ID, self.id_value.clone());
        if let Ok(limit) = HeaderValue::try_from(format!("{:.3}", limit / 1000.0)) {
            headers.insert(REQUEST_TIMEOUT, limit);
        }
        if let Some(key) = &self.key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        if let Some(kind) = &self.content_type {
            headers.insert(hyper::header::CONTENT_TYPE, kind.clone());
        }
        request
    }
}

/// How an attempt ended and what its answer told.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// The whole body of a good answer.
    pub body: Bytes,
    /// The customer's use, as a part of its rate.
    pub used: Option<f64>,
    /// The true units.
    pub charge: Option<f64>,
    /// The backend's load.
    pub report: Report,
    /// Connections that had come up and broke under it.
    pub broken: u32,
}

impl Ended {
    /// An end without an answer.
    pub fn of(outcome: Outcome) -> Ended {
        Ended { outcome, body: Bytes::new(), used: None, charge: None, report: Report::default(), broken: 0 }
    }
}

/// The memory that long answers may still take.
#[derive(Clone)]
struct Room(Arc<AtomicUsize>);

impl Room {
    /// Sets `length` bytes aside; `None` if there is no room for them.
    fn take(&self, length: usize) -> Option<Share> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(length)?;
        self.0.store(left, Ordering::Relaxed);
        Some(Share { length, room: self.clone(), body: Bytes::new() })
    }
}

/// A long answer with the room that it takes, given back when the last byte of it is dropped.
struct Share {
    length: usize,
    room: Room,
    body: Bytes,
}

impl AsRef<[u8]> for Share {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.length, Ordering::Relaxed);
    }
}

/// How answers are read.
pub struct Reading {
    /// Names of their values.
    pub names: Vec<String>,
    /// What the values are.
    pub metrics: Vec<Metric>,
    /// Most units of a request, by the settings.
    pub max_units: f64,
    room: Room,
}

impl Reading {
    /// Reads as the settings tell, within `memory` bytes for all.
    pub fn new(told: &Told, memory: usize) -> Reading {
        Reading {
            names: told.names.metrics.clone(),
            metrics: told.metrics.clone(),
            max_units: told.settings.max_units,
            room: Room(Arc::new(AtomicUsize::new(memory / ROOM_PART))),
        }
    }

    fn report(&self, text: &str) -> Report {
        let mut report = Report::default();
        for (name, value) in text.split(',').filter_map(|field| field.trim().split_once('=')) {
            let place = self.names.iter().position(|known| known == name);
            if let (Some(place), Ok(value)) = (place, value.parse::<f32>()) {
                settings::tell(&mut report, self.metrics[place], value);
            }
        }
        report
    }
}

// ---- One connection ---------------------------------------------------------------------------------

/// How much of a request has been written, as seen below the HTTP library.
#[derive(Clone, Debug, Default)]
struct Written {
    /// How much of the empty line that ends the head has been seen.
    matched: usize,
    head_done: bool,
    body_left: usize,
}

impl Written {
    fn begin(body: usize) -> Written {
        Written { body_left: body, ..Written::default() }
    }

    fn note(&mut self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        for (at, byte) in bytes.iter().enumerate() {
            if self.head_done {
                self.body_left = self.body_left.saturating_sub(bytes.len() - at);
                return;
            }
            self.matched = match *byte {
                byte if byte == END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            self.head_done = self.matched == END.len();
        }
    }

    fn whole(&self) -> bool {
        self.head_done && self.body_left == 0
    }

    /// Whether these bytes would make the request whole.
    fn ends_with(&self, bytes: &[u8]) -> bool {
        let mut then = self.clone();
        then.note(bytes);
        then.whole()
    }
}

/// A socket that can be closed at once from outside, and that counts towards the budget until it is.
struct Wire {
    socket: RefCell<Option<(TcpStream, Slot)>>,
    written: RefCell<Written>,
    /// Whether the last byte of the request is held back, and until when.
    cautious: Cell<bool>,
    proof: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl Wire {
    /// A request with a body of this length is about to be written.
    fn begin(&self, body: usize, cautious: bool) {
        *self.written.borrow_mut() = Written::begin(body);
        self.cautious.set(cautious);
        self.proof.borrow_mut().take();
    }

    /// How many of these bytes may be written now. Guards requests against connections that are dead unseen: all
    /// but the last byte goes first, and that one only if nothing but silence came back. A backend begins with the
    /// last byte, so what breaks before has not run, and may go out again whatever its class.
    fn may_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if !self.cautious.get() || !self.written.borrow().ends_with(bytes) {
            return Poll::Ready(Ok(bytes.len()));
        }
        if bytes.len() > 1 {
            return Poll::Ready(Ok(bytes.len() - 1));
        }
        let mut proof = self.proof.borrow_mut();
        let sleep = proof.get_or_insert_with(|| Box::pin(tokio::time::sleep(PROOF)));
        ready!(sleep.as_mut().poll(cx));
        // The reset may have come with the time; only the system knows yet.
        Poll::Ready(if self.quiet() { Ok(1) } else { Err(io::ErrorKind::ConnectionReset.into()) })
    }

    fn close(&self) {
        self.socket.borrow_mut().take();
    }

    /// Guards against an answer to nobody: whether the socket is open and nothing waits in it to be read. The system
    /// is asked, since the runtime learns only between two tasks of what has come.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket.as_ref().map(|(stream, _)| SockRef::from(stream).peek(&mut byte));
        matches!(peeked, Some(Err(error)) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A place in the budget of connections, held from the dial on and given back with the socket.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn take(open: &Rc<Cell<usize>>) -> Slot {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The library's end of a [`Wire`].
struct WireIo(Rc<Wire>);

impl AsyncRead for WireIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match self.0.socket.borrow_mut().as_mut() {
            Some((stream, _)) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let most = ready!(self.0.may_write(cx, buf))?;
        let mut socket = self.0.socket.borrow_mut();
        let Some((stream, _)) = socket.as_mut() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let wrote = Pin::new(stream).poll_write(cx, &buf[..most]);
        if let Poll::Ready(Ok(count)) = &wrote {
            self.0.written.borrow_mut().note(&buf[..*count]);
        }
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.close();
        Poll::Ready(Ok(()))
    }
}

/// A connection to a backend; dropped, it is closed at once.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<Wire>,
    task: AbortHandle,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.wire.close();
        self.task.abort();
    }
}

/// The hold that the driver has on an attempt that is out.
#[derive(Clone, Default)]
pub struct Line {
    wire: Rc<RefCell<Option<Rc<Wire>>>>,
    task: Rc<RefCell<Option<AbortHandle>>>,
}

impl Line {
    /// Names the task that carries the attempt.
    pub fn tie(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Whether the request has been written whole: before that, it cannot have run.
    pub fn whole(&self) -> bool {
        self.wire.borrow().as_ref().is_some_and(|wire| wire.written.borrow().whole())
    }

    /// Gives the attempt up: its connection is closed before this returns.
    pub fn give_up(&self) {
        if let Some(wire) = self.wire.borrow_mut().take() {
            wire.close();
        }
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

// ---- Pools ------------------------------------------------------------------------------------------

struct Pool {
    dial: SocketAddr,
    born_ms: f64,
    ready: bool,
    /// The most recently used last.
    idle: Vec<Connection>,
}

/// The connections to all backends.
pub struct Pools {
    links: Links,
    budget: usize,
    reading: Reading,
    open: Rc<Cell<usize>>,
    pools: RefCell<HashMap<BackendId, Pool>>,
}

impl Pools {
    /// No backends yet, and at most `budget` connections.
    pub fn new(links: Links, budget: usize, reading: Reading) -> Pools {
        Pools { links, budget, reading, open: Rc::default(), pools: RefCell::default() }
    }

    /// A backend that may be sent to.
    pub fn open(&self, id: BackendId, dial: SocketAddr, born_ms: f64) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(id).or_insert_with(|| Pool { dial, born_ms, ready: true, idle: Vec::new() });
        // What was open to another address or an earlier process leads nowhere.
        if pool.dial != dial || pool.born_ms != born_ms {
            (pool.dial, pool.born_ms) = (dial, born_ms);
            pool.idle.clear();
        }
        pool.ready = true;
    }

    /// A backend that wants nothing new.
    pub fn drain(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.ready = false;
            pool.idle.clear();
        }
    }

    /// A backend that is gone.
    pub fn remove(&self, id: BackendId) {
        self.pools.borrow_mut().remove(&id);
    }

    /// Closes idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&id) {
            pool.idle.clear();
        }
    }

    fn takes_new(&self, id: BackendId) -> bool {
        self.pools.borrow().get(&id).is_some_and(|pool| pool.ready)
    }

    fn dial_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.pools.borrow().get(&id).filter(|pool| pool.ready).map(|pool| pool.dial)
    }

    /// The most recently used connection that is still good, rather one whose last answer is not just over.
    fn take_idle(&self, id: BackendId) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&id)?;
        loop {
            let settled = pool.idle.iter().rposition(|c| c.idle_since.elapsed() >= SETTLED);
            let connection = pool.idle.remove(settled.or(pool.idle.len().checked_sub(1))?);
            let young = connection.idle_since.elapsed() < self.longest_idle();
            if young && !connection.sender.is_closed() && connection.wire.quiet() {
                return Some(connection);
            }
        }
    }

    fn put_back(&self, id: BackendId, dial: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut pools = self.pools.borrow_mut();
        let same = pools.get_mut(&id).filter(|pool| pool.ready && pool.dial == dial);
        if let Some(pool) = same.filter(|_| !connection.sender.is_closed()) {
            pool.idle.push(connection);
        }
    }

    fn longest_idle(&self) -> Duration {
        Duration::try_from_secs_f64(self.links.idle_close * IDLE_PART / 1000.0).unwrap_or_default()
    }

    /// Closes the connection that has been idle longest, wherever it leads; tells whether there was one.
    fn close_oldest(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools
            .values_mut()
            .filter(|pool| !pool.idle.is_empty())
            .min_by_key(|pool| pool.idle[0].idle_since);
        oldest.map(|pool| pool.idle.remove(0)).is_some()
    }

    /// Disposes of idle connections well before the backends do.
    pub async fn tidy(&self) {
        loop {
            tokio::time::sleep(TIDY).await;
            let longest = self.longest_idle();
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|c| !c.sender.is_closed() && c.idle_since.elapsed() < longest);
            }
        }
    }

    /// A new connection of this backend.
    async fn fresh(&self, dial: SocketAddr) -> Result<Connection, NoConnection> {
        if self.open.get() >= self.budget && !self.close_oldest() {
            return Err(NoConnection::Own);
        }
        let limit = Duration::try_from_secs_f64(self.links.dial_timeout / 1000.0).unwrap_or_default();
        tokio::time::timeout(limit, self.dial(dial)).await.unwrap_or(Err(NoConnection::Theirs))
    }

    async fn dial(&self, address: SocketAddr) -> Result<Connection, NoConnection> {
        // A connection that comes up slowly holds a descriptor too.
        let slot = Slot::take(&self.open);
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let wire = Rc::new(Wire {
            socket: RefCell::new(Some((stream, slot))),
            written: RefCell::default(),
            cautious: Cell::default(),
            proof: RefCell::default(),
        });
        let io = TokioIo::new(WireIo(wire.clone()));
        let hands = Builder::new().max_buf_size(BUFFER).handshake(io).await;
        let (sender, connection) = hands.map_err(|_| NoConnection::Theirs)?;
        let closing = wire.clone();
        let task = tokio::task::spawn_local(async move {
            // How it ended is told to the attempt on it, if there is one.
            let _ = connection.await;
            closing.close();
        });
        Ok(Connection { sender, wire, task: task.abort_handle(), idle_since: Instant::now() })
    }
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoConnection {
    /// This front door has no room or no descriptor for one: no fault of the backend.
    Own,
    /// The backend refuses, is silent or cannot be reached.
    Theirs,
}

impl From<io::Error> for NoConnection {
    fn from(error: io::Error) -> NoConnection {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut | HostUnreachable
            | NetworkUnreachable | BrokenPipe | NotConnected | UnexpectedEof | InvalidInput => {
                NoConnection::Theirs
            }
            _ => NoConnection::Own,
        }
    }
}

// ---- Attempts ---------------------------------------------------------------------------------------

/// Carries out one attempt and tells how it ended.
pub async fn attempt(
    pools: &Pools,
    backend: BackendId,
    order: &Order,
    limit: Millis,
    cautious: bool,
    line: &Line,
) -> Ended {
    let begun = Instant::now();
    let mut broken = 0;
    let Some(dial) = pools.dial_address(backend) else { return Ended::of(Outcome::NotSent) };
    loop {
        let pooled = pools.take_idle(backend);
        let again = pooled.is_some();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match pools.fresh(dial).await {
                Ok(connection) => connection,
                Err(NoConnection::Own) => return Ended { broken, ..Ended::of(Outcome::NotSent) },
                // Refused: that says more than what broke before.
                Err(NoConnection::Theirs) => return Ended::of(Outcome::ConnectFailed),
            },
        };
        // The wait for a connection may have outlasted the backend's place in the list.
        if !pools.takes_new(backend) {
            return Ended { broken, ..Ended::of(Outcome::NotSent) };
        }
        *line.wire.borrow_mut() = Some(connection.wire.clone());
        connection.wire.begin(order.body.len(), cautious);
        let left = limit - begun.elapsed().as_secs_f64() * 1000.0;
        let sent = match connection.sender.ready().await {
            Ok(()) => connection.sender.send_request(order.request(left.max(1.0))).await.ok(),
            Err(_) => None,
        };
        let answer = match sent {
            Some(answer) => read(&pools.reading, answer).await,
            None => None,
        };
        let whole = connection.wire.written.borrow().whole();
        // What is answered before it was written whole was answered unseen, and its connection is of no more use.
        if let Some(ended) = answer.filter(|ended| whole || ended.outcome == Outcome::Full) {
            if whole {
                pools.put_back(backend, dial, connection);
            }
            return Ended { broken, ..ended };
        }
        broken += 1;
        // A connection from the pool that broke before the request was whole tells little of the backend, and
        // nothing ran: the next one stands in. Each turn takes one out of the pool, so this ends.
        if !whole && again {
            continue;
        }
        // Only what was written whole may have run.
        return Ended { broken, ..Ended::of(if whole { Outcome::Reset } else { Outcome::ConnectFailed }) };
    }
}

/// Reads a whole answer; `None` if the connection ends before it does, or if nobody could tell that it is whole: an
/// answer that ends with its connection may have been cut. After 101 the connection speaks something else.
async fn read(reading: &Reading, answer: Response<Incoming>) -> Option<Ended> {
    let (head, body) = answer.into_parts();
    let measured = head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !measured || head.status.is_informational() {
        return None;
    }
    let body = whole_body(&reading.room, body).await?;
    let outcome = outcome(head.status, &head.headers);
    Some(Ended {
        outcome,
        body: if outcome == Outcome::Ok { body } else { Bytes::new() },
        used: number(&head.headers, &API_USAGE, MOST_USAGE).map(|percent| percent / 100.0),
        charge: number(&head.headers, &API_CHARGE, reading.max_units),
        report: text(&head.headers, &SERVER_LOAD).map(|text| reading.report(text)).unwrap_or_default(),
        broken: 0,
    })
}

/// Reads a body to its end, within the bounds on one answer and on all.
async fn whole_body(room: &Room, mut body: Incoming) -> Option<Bytes> {
    let told = body.size_hint().exact();
    if told.is_some_and(|length| length > LONGEST_ANSWER) {
        return None;
    }
    // In chunks no length is told: once it proves long, the whole bound is set aside.
    let most = usize::try_from(told.unwrap_or(LONGEST_ANSWER)).ok()?;
    if told.is_some() && most <= LONGEST_BODY {
        return Some(body.collect().await.ok()?.to_bytes());
    }
    let mut share = None;
    let mut held = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = held.len() + data.len();
        if length > most {
            return None;
        }
        if length > LONGEST_BODY && share.is_none() {
            share = Some(room.take(most)?);
        }
        held.extend_from_slice(&data);
    }
    let body = Bytes::from(held);
    Some(match share {
        Some(mut share) => {
            share.body = body;
            Bytes::from_owner(share)
        }
        None => body,
    })
}

fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unavailable = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    match status {
        StatusCode::OK => Outcome::Ok,
        _ if unavailable && text(headers, &NOT_STARTED) == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// The first figure under this name that can be read and makes sense. One that does not spoils no answer.
fn number(headers: &HeaderMap, name: &HeaderName, most: f64) -> Option<f64> {
    let mut values =
        headers.get_all(name).iter().filter_map(|value| value.to_str().ok()?.trim().parse().ok());
    values.find(|number: &f64| number.is_finite() && (0.0..=most).contains(number))
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nhost: x\r\n\r\n";

    /// Guards the line between "could not connect" and "reset": only the last byte makes a request whole,
    /// however the writes are cut.
    #[test]
    fn a_request_is_whole_with_its_last_byte_and_not_before() {
        let bytes = [HEAD, b"\r\n\r\nbody"].concat();
        for cut in 1..bytes.len() {
            let mut written = Written::begin(8);
            written.note(&bytes[..cut]);
            assert!(!written.whole(), "whole after {cut} bytes");
            written.note(&bytes[cut..]);
            assert!(written.whole(), "not whole when cut after {cut} bytes");
        }
    }

    /// Guards requests without a body: they are whole with the empty line, written byte by byte too.
    #[test]
    fn a_request_without_a_body_is_whole_with_its_head() {
        let mut written = Written::begin(0);
        for byte in &HEAD[..HEAD.len() - 1] {
            written.note(&[*byte]);
            assert!(!written.whole());
        }
        written.note(b"\n");
        assert!(written.whole());
    }

    /// Guards load reports: the values that the settings name are read, whatever stands between them.
    #[test]
    fn a_load_report_is_read_by_its_names() {
        let names = vec!["depth".to_owned(), "load_share".to_owned()];
        let metrics = vec![Metric::Queue, Metric::Utilisation];
        let reading = Reading { names, metrics, max_units: 8.0, room: Room(Arc::default()) };
        let report = reading.report("other=3, depth=2,load_share=0.61,broken");
        assert_eq!((report.queue, report.in_flight), (Some(2.0), None));
        assert!((report.utilisation.unwrap() - 0.61).abs() < 1e-6);
    }

    const CAREFUL: Duration = Duration::from_secs(20);

    fn pools() -> Pools {
        let links = Links { dial_timeout: 20_000.0, idle_close: 600_000.0 };
        let reading =
            Reading { names: Vec::new(), metrics: Vec::new(), max_units: 8.0, room: Room(Arc::default()) };
        Pools::new(links, 8, reading)
    }

    fn order() -> Order {
        let value = HeaderValue::from_static("id-1");
        Order {
            id: "id-1".into(),
            id_value: value.clone(),
            host: value,
            method: Method::POST,
            uri: Uri::from_static("/charge"),
            key: None,
            content_type: None,
            body: Bytes::from_static(b"hello"),
        }
    }

    /// Reads until the request has come up to its last byte but one, or whole.
    async fn receive(stream: &mut TcpStream, to: &[u8]) {
        let mut got = Vec::new();
        while !got.ends_with(to) {
            assert!(stream.read_buf(&mut got).await.expect("a request") > 0, "ended");
        }
    }

    /// Guards requests that must not run twice against connections that are dead unseen, kept or new: the reset
    /// answers the bytes before the last, so nothing ran. A kept one has the next connection stand in for it
    /// within the attempt; a new one ends it as never run.
    #[test]
    fn what_a_dead_connection_swallows_has_not_run() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        let scene = async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let backend = tokio::task::spawn_local(async move {
                let (mut kept, _) = listener.accept().await.expect("a connection");
                receive(&mut kept, b"hello").await;
                kept.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none").await.expect("a reader");
                receive(&mut kept, b"hell").await;
                reset(kept);
                let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
                receive(&mut fresh, b"hello").await;
                fresh.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo").await.expect("a reader");
                receive(&mut fresh, b"hell").await;
                reset(fresh);
                let (mut fresh, _) = listener.accept().await.expect("a connection in its place");
                receive(&mut fresh, b"hell").await;
                reset(fresh);
            });
            let (pools, order, id) = (pools(), order(), BackendId(1));
            pools.open(id, address, 0.0);
            let mut ends = Vec::new();
            for _ in 0..3 {
                ends.push(attempt(&pools, id, &order, 20_000.0, true, &Line::default()).await);
            }
            backend.await.expect("a backend that saw what it waited for");
            ends
        };
        let all = runtime.block_on(local.run_until(async { tokio::time::timeout(CAREFUL, scene).await }));
        let ends = all.expect("an end in time");
        let told: Vec<_> = ends.iter().map(|end| (end.outcome, end.body.as_ref(), end.broken)).collect();
        assert_eq!(
            told,
            [(Outcome::Ok, &b"one"[..], 0), (Outcome::Ok, b"two", 1), (Outcome::ConnectFailed, b"", 2)]
        );
    }

    fn reset(stream: TcpStream) {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    }
}
