//! Connections to backends: pools, how far kept ones are trusted, and how much of a request has been written.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use maplefall_policy::{BackendId, Care};
use maplefall_settings::Links;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

/// Bytes that a connection buffers at most, on either side; a longer head of a request is answered 431.
pub const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Part of the backends' idle time for which a connection is kept: one closed there costs a request.
const IDLE_PART: f64 = 0.6;
/// How often idle connections are looked through.
const TIDY: Duration = Duration::from_millis(500);
/// A connection is taken again rather after than before this time since its last answer: what a backend sends
/// behind an answer has come by then.
const SETTLED: Duration = Duration::from_millis(3);
/// A request sent with caution has its last byte held back for this long: within one data centre a reset is back by
/// then. Where the way is longer, caution finds less and costs no more.
const PROOF: Duration = Duration::from_millis(2);
/// Descriptors kept for discovery, listening and the runtime.
const SPARE_SOCKETS: usize = 24;
/// Connections to backends that `sockets` descriptors leave room for. Clients hold a third of the descriptors
/// for requests at most, and a request has one attempt out.
pub fn upstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) * 2 / 5
}

/// Connections of clients that there is room for, besides: also of such that ask nothing.
pub fn downstream_budget(sockets: usize) -> usize {
    sockets.saturating_sub(SPARE_SOCKETS) - upstream_budget(sockets)
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
        Written {
            body_left: body,
            ..Written::default()
        }
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
pub struct UpstreamSocket {
    socket: RefCell<Option<(TcpStream, Slot)>>,
    written: RefCell<Written>,
    /// Whether the last byte of the request is held back, and until when.
    cautious: Cell<bool>,
    proof: RefCell<Option<Pin<Box<Sleep>>>>,
}

impl UpstreamSocket {
    /// Whether the request has been written whole: before that, it cannot have run.
    pub fn fully_written(&self) -> bool {
        self.written.borrow().whole()
    }

    /// A request with a body of this length is about to be written.
    pub fn begin_request(&self, body: usize, cautious: bool) {
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
        Poll::Ready(if self.quiet() {
            Ok(1)
        } else {
            Err(io::ErrorKind::ConnectionReset.into())
        })
    }

    fn close(&self) {
        self.socket.borrow_mut().take();
    }

    /// Guards against an answer to nobody: whether the socket is open and nothing waits in it to be read. The system
    /// is asked, since the runtime learns only between two tasks of what has come.
    fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket
            .as_ref()
            .map(|(stream, _)| SockRef::from(stream).peek(&mut byte));
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
struct WireIo(Rc<UpstreamSocket>);

impl AsyncRead for WireIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.0.socket.borrow_mut().as_mut() {
            Some((stream, _)) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
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
pub struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Its socket.
    pub wire: Rc<UpstreamSocket>,
    task: AbortHandle,
    idle_since: Instant,
}

impl Connection {
    /// How long it has been idle.
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.wire.close();
        self.task.abort();
    }
}

/// The hold that the driver has on an attempt that is out.
#[derive(Clone, Default)]
pub struct AttemptHandle {
    wire: Rc<RefCell<Option<Rc<UpstreamSocket>>>>,
    /// Whether a call has gone to a connection that carries others too.
    begun: Rc<Cell<bool>>,
    task: Rc<RefCell<Option<AbortHandle>>>,
    /// The connections that have carried this attempt so far, and those that carried earlier ones of the same request.
    carried: Rc<RefCell<Vec<Weak<UpstreamSocket>>>>,
    earlier: Rc<Vec<Weak<UpstreamSocket>>>,
}

impl AttemptHandle {
    /// The hold on a further attempt of the same request. Guards against a second answer to the first attempt, which bears the
    /// same id: it can only come where the first attempt went, so no further one goes there.
    pub fn for_retry(&self) -> AttemptHandle {
        let earlier = self
            .earlier
            .iter()
            .chain(self.carried.borrow().iter())
            .cloned()
            .collect();
        AttemptHandle {
            earlier: Rc::new(earlier),
            ..AttemptHandle::default()
        }
    }

    /// Whether a connection has carried an earlier attempt of this request.
    fn has_been_on(&self, wire: &Rc<UpstreamSocket>) -> bool {
        self.earlier
            .iter()
            .any(|earlier| std::ptr::eq(earlier.as_ptr(), Rc::as_ptr(wire)))
    }

    /// Names the connection that carries the attempt.
    pub fn attach_socket(&self, wire: &Rc<UpstreamSocket>) {
        self.carried.borrow_mut().push(Rc::downgrade(wire));
        *self.wire.borrow_mut() = Some(wire.clone());
    }

    /// Names the task that carries the attempt.
    pub fn attach_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// A call has gone to a connection that carries others too: from now on it may run.
    pub fn mark_multiplexed(&self) {
        self.begun.set(true);
    }

    /// Whether the request has been written whole: before that, it cannot have run.
    pub fn fully_written(&self) -> bool {
        self.begun.get()
            || self
                .wire
                .borrow()
                .as_ref()
                .is_some_and(|wire| wire.fully_written())
    }

    /// Gives the attempt up: its connection is closed before this returns.
    pub fn abort(&self) {
        if let Some(wire) = self.wire.borrow_mut().take() {
            wire.close();
        }
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}

// ---- How old a kept connection may be ---------------------------------------------------------------

/// Shortest idle age told apart from younger ones, in milliseconds; each band of ages is twice as old as the one before.
const YOUNGEST: f64 = 4.0;
/// Bands of idle ages: the last begins at about 16 s.
const BANDS: usize = 13;
/// What was seen of a band counts half after this.
const AGES_HALFLIFE: Duration = Duration::from_secs(4);
/// Broken connections from which a band of ages is taken to fail, if they are this part of those used.
const FAILING: f64 = 2.0;
const FAILING_PART: f64 = 0.2;

#[derive(Clone, Copy, Default)]
struct Band {
    used: f64,
    broken: f64,
    at: Option<Instant>,
}

impl Band {
    fn kept(&self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        (-age / AGES_HALFLIFE.as_secs_f64()).exp2()
    }
}

/// Up to what idle age kept connections turn out to be alive. Backends close earlier than they say, and what lies
/// between forgets connections unseen. It learns from every request on a kept connection; those that may be repeated
/// go on using old ones, so a recovery is learnt too. It covers no backend that alone breaks young connections, and
/// hurts, by new connections that were not needed, where breaks that have nothing to do with age pass the part.
#[derive(Default)]
struct Ages([Band; BANDS]);

impl Ages {
    fn band(idle: Duration) -> usize {
        let doublings = (idle.as_secs_f64() * 1000.0 / YOUNGEST).log2();
        (doublings.max(-1.0) as isize + 1).clamp(0, BANDS as isize - 1) as usize
    }

    /// What became of a request on a connection that had been idle so long.
    fn learn(&mut self, now: Instant, idle: Duration, broke: bool) {
        let band = &mut self.0[Self::band(idle)];
        let kept = band.kept(now);
        band.used = band.used * kept + 1.0;
        band.broken = band.broken * kept + f64::from(u8::from(broke));
        band.at = Some(now);
    }

    /// Whether connections of this idle age, and of every lower one, hold.
    fn hold(&self, now: Instant, idle: Duration) -> bool {
        let fails = |band: &Band| {
            band.broken * band.kept(now) >= FAILING && band.broken >= FAILING_PART * band.used
        };
        !self.0[..=Self::band(idle)].iter().any(fails)
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
    open: Rc<Cell<usize>>,
    pools: RefCell<HashMap<BackendId, Pool>>,
    ages: RefCell<Ages>,
}

impl Pools {
    /// No backends yet, and at most `budget` connections.
    pub fn new(links: Links, budget: usize) -> Pools {
        Pools {
            links,
            budget,
            open: Rc::default(),
            pools: RefCell::default(),
            ages: RefCell::default(),
        }
    }

    /// A backend that may be sent to.
    pub fn open(&self, id: BackendId, dial: SocketAddr, born_ms: f64) {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(id).or_insert_with(|| Pool {
            dial,
            born_ms,
            ready: true,
            idle: Vec::new(),
        });
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

    /// Whether a backend may be sent to.
    pub fn accepts_requests(&self, id: BackendId) -> bool {
        self.pools.borrow().get(&id).is_some_and(|pool| pool.ready)
    }

    /// Where to dial a backend that may be sent to.
    pub fn dial_address(&self, id: BackendId) -> Option<SocketAddr> {
        self.pools
            .borrow()
            .get(&id)
            .filter(|pool| pool.ready)
            .map(|pool| pool.dial)
    }

    /// The most recently used connection that is still good, rather one whose last answer is not just over. For what
    /// must not run twice, none of an age at which connections have broken of late; and none that has carried an earlier
    /// attempt of this line's request.
    pub fn take_idle(&self, id: BackendId, care: Care, line: &AttemptHandle) -> Option<Connection> {
        self.take(id, care, false, line)
    }

    /// The same, but never one whose last answer is just over: what was sent behind that answer has come by now and shows,
    /// and cannot be taken for the answer to somebody else's question.
    pub fn take_settled(&self, id: BackendId) -> Option<Connection> {
        self.take(id, Care::Usual, true, &AttemptHandle::default())
    }

    fn take(
        &self,
        id: BackendId,
        care: Care,
        only_settled: bool,
        line: &AttemptHandle,
    ) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&id)?;
        let now = Instant::now();
        loop {
            let new_to_it = |c: &Connection| !line.has_been_on(&c.wire);
            let settled = pool
                .idle
                .iter()
                .rposition(|c| c.idle(now) >= SETTLED && new_to_it(c));
            let any = pool
                .idle
                .iter()
                .rposition(new_to_it)
                .filter(|_| !only_settled);
            let next = settled.or(any)?;
            let idle = pool.idle[next].idle(now);
            if care == Care::Once && !self.ages.borrow().hold(now, idle) {
                return None;
            }
            let connection = pool.idle.remove(next);
            if idle < self.longest_idle()
                && !connection.sender.is_closed()
                && connection.wire.quiet()
            {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection whose answer has come whole.
    pub fn put_back(&self, id: BackendId, dial: SocketAddr, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut pools = self.pools.borrow_mut();
        let same = pools
            .get_mut(&id)
            .filter(|pool| pool.ready && pool.dial == dial);
        if let Some(pool) = same.filter(|_| !connection.sender.is_closed()) {
            pool.idle.push(connection);
        }
    }

    /// Makes idle connections older, for tests.
    #[doc(hidden)]
    pub fn age(&self, by: Duration) {
        for connection in self
            .pools
            .borrow_mut()
            .values_mut()
            .flat_map(|pool| &mut pool.idle)
        {
            connection.idle_since -= by;
        }
    }

    /// Learns whether a connection that had been idle so long has borne another request.
    pub fn record_reuse(&self, idle: Duration, broke: bool) {
        self.ages.borrow_mut().learn(Instant::now(), idle, broke);
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
    pub async fn close_idle_periodically(&self) {
        loop {
            tokio::time::sleep(TIDY).await;
            let longest = self.longest_idle();
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle
                    .retain(|c| !c.sender.is_closed() && c.idle_since.elapsed() < longest);
            }
        }
    }

    /// A new connection of this backend.
    pub async fn connect(&self, dial: SocketAddr) -> Result<Connection, ConnectError> {
        if self.open.get() >= self.budget && !self.close_oldest() {
            return Err(ConnectError::LocalLimit);
        }
        let limit =
            Duration::try_from_secs_f64(self.links.dial_timeout / 1000.0).unwrap_or_default();
        tokio::time::timeout(limit, self.dial(dial))
            .await
            .unwrap_or(Err(ConnectError::Unreachable))
    }

    async fn dial(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        // A connection that comes up slowly holds a descriptor too.
        let slot = Slot::take(&self.open);
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let wire = Rc::new(UpstreamSocket {
            socket: RefCell::new(Some((stream, slot))),
            written: RefCell::default(),
            cautious: Cell::default(),
            proof: RefCell::default(),
        });
        let io = TokioIo::new(WireIo(wire.clone()));
        let hands = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await;
        let (sender, connection) = hands.map_err(|_| ConnectError::Unreachable)?;
        let closing = wire.clone();
        let task = tokio::task::spawn_local(async move {
            // How it ended is told to the attempt on it, if there is one.
            let _ = connection.await;
            closing.close();
        });
        Ok(Connection {
            sender,
            wire,
            task: task.abort_handle(),
            idle_since: Instant::now(),
        })
    }
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This front door has no room or no descriptor for one: no fault of the backend.
    LocalLimit,
    /// The backend refuses, is silent or cannot be reached.
    Unreachable,
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> ConnectError {
        use io::ErrorKind::*;
        match error.kind() {
            ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut
            | HostUnreachable | NetworkUnreachable | BrokenPipe | NotConnected | UnexpectedEof
            | InvalidInput => ConnectError::Unreachable,
            _ => ConnectError::LocalLimit,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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

    /// Guards what is learnt of idle ages: failures of old connections speak against those and older ones, not
    /// against younger; a break now and then speaks against none; and what recovers is trusted again.
    #[test]
    fn ages_at_which_connections_break_are_told_from_those_that_hold() {
        let [young, old, older] = [20, 200, 2000].map(Duration::from_millis);
        let (mut ages, start) = (Ages::default(), Instant::now());
        for i in 0..20 {
            ages.learn(start, young, i % 10 == 0);
            assert!(ages.hold(start, older), "a tenth broken");
        }
        for _ in 0..3 {
            ages.learn(start, old, true);
            ages.learn(start, old, false);
        }
        assert_eq!(
            [young, old, older].map(|age| ages.hold(start, age)),
            [true, false, false]
        );
        let later = start + Duration::from_secs(8);
        for _ in 0..10 {
            ages.learn(later, old, false);
        }
        assert_eq!(
            [young, old, older].map(|age| ages.hold(later, age)),
            [true; 3]
        );
        // Silence too lets them be tried again.
        assert!(ages.hold(start + Duration::from_secs(60), older));
    }
}
