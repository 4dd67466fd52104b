//! Progress of what one client sends and receives, so that a connection which hardly moves can be
//! closed when others wait for what it holds. No I/O; times are in milliseconds.

use maplefall_memory_account::PoolId;
use maplefall_policy::Millis;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// A client that moves fewer bytes per second is slow.
pub const SLOW_BYTES_PER_SECOND: f64 = 16_384.0;
/// Time over which a rate is measured.
const RATE_WINDOW: Millis = 1000.0;
/// Maximum time for which a client may take no byte of a response, whether others wait or not.
const MAX_SEND_STALL: Millis = 30_000.0;

/// The number of bytes moved per second, in windows that end when they are looked at.
#[derive(Debug)]
struct RateMeter {
    window_started_at: Millis,
    window_bytes: usize,
    /// The rate of the last complete window; `None` before its end.
    last_rate: Option<f64>,
}

impl RateMeter {
    fn new(now: Millis) -> RateMeter {
        RateMeter {
            window_started_at: now,
            window_bytes: 0,
            last_rate: None,
        }
    }

    fn is_slow(&mut self, now: Millis) -> bool {
        let elapsed = now - self.window_started_at;
        if elapsed >= RATE_WINDOW {
            self.last_rate = Some(self.window_bytes as f64 / (elapsed / 1000.0));
            self.window_started_at = now;
            self.window_bytes = 0;
        }
        self.last_rate
            .is_some_and(|rate| rate < SLOW_BYTES_PER_SECOND)
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Neither a body is received nor a response is held up.
    Idle,
    /// A request's body arrives, in memory of this pool.
    Receiving(PoolId),
    /// A response is written, in memory of this pool; none if it has no body.
    Sending(Option<PoolId>),
}

/// The transfers of one connection, one after the other.
#[derive(Debug)]
pub struct Transfer {
    phase: Cell<Phase>,
    meter: RefCell<RateMeter>,
    /// When the client's socket took no more of a response; `None` while it takes bytes.
    blocked_since: Cell<Option<Millis>>,
    evicted: Cell<bool>,
    receive_evicted: Notify,
    send_evicted: Notify,
}

impl Transfer {
    /// Creates the state of a connection on which nothing has been sent.
    pub fn new(now: Millis) -> Transfer {
        Transfer {
            phase: Cell::new(Phase::Idle),
            meter: RefCell::new(RateMeter::new(now)),
            blocked_since: Cell::new(None),
            evicted: Cell::new(false),
            receive_evicted: Notify::new(),
            send_evicted: Notify::new(),
        }
    }

    fn begin(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        *self.meter.borrow_mut() = RateMeter::new(now);
        self.blocked_since.set(None);
    }

    /// Records that a body is received from now on, in memory of this pool.
    pub fn begin_receiving(&self, pool: PoolId, now: Millis) {
        self.begin(Phase::Receiving(pool), now);
        self.evicted.set(false);
    }

    /// Records that the body goes on in memory of another pool.
    pub fn moved_to(&self, pool: PoolId) {
        self.phase.set(Phase::Receiving(pool));
    }

    /// Records that the body is complete or given up.
    pub fn end_receiving(&self) {
        self.phase.set(Phase::Idle);
    }

    /// Records that a response is written from now on, in memory of this pool.
    pub fn begin_sending(&self, pool: Option<PoolId>, now: Millis) {
        self.begin(Phase::Sending(pool), now);
    }

    /// Records that the client has sent bytes.
    pub fn bytes_received(&self, count: usize) {
        if matches!(self.phase.get(), Phase::Receiving(_)) {
            self.meter.borrow_mut().window_bytes += count;
        }
    }

    /// Records that the client's socket has taken bytes.
    pub fn bytes_sent(&self, count: usize) {
        self.blocked_since.set(None);
        if matches!(self.phase.get(), Phase::Sending(_)) {
            self.meter.borrow_mut().window_bytes += count;
        }
    }

    /// Records that the client's socket takes no more bytes.
    pub fn send_blocked(&self, now: Millis) {
        if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(now));
        }
    }

    /// Returns whether a response is held up by the client.
    pub fn is_send_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// Returns whether the client takes no byte of a response for longer than it may.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.blocked_since
            .get()
            .is_some_and(|since| now - since > MAX_SEND_STALL)
    }

    /// Returns whether the client holds up a body or a response and moves fewer than
    /// [`SLOW_BYTES_PER_SECOND`]. The first window has to end before it does; each call looks at
    /// the window.
    pub fn is_slow(&self, now: Millis) -> bool {
        let waits_for_client = match self.phase.get() {
            Phase::Idle => false,
            Phase::Receiving(_) => true,
            Phase::Sending(_) => self.is_send_blocked(),
        };
        waits_for_client && !self.evicted.get() && self.meter.borrow_mut().is_slow(now)
    }

    /// Returns whether the transfer has memory of this pool.
    pub fn holds(&self, pool: PoolId) -> bool {
        match self.phase.get() {
            Phase::Idle => false,
            Phase::Receiving(held) => held == pool,
            Phase::Sending(held) => held == Some(pool),
        }
    }

    /// Ends the transfer: [`receive_evicted`](Self::receive_evicted) or
    /// [`send_evicted`](Self::send_evicted) completes.
    pub fn evict(&self) {
        self.evicted.set(true);
        match self.phase.get() {
            Phase::Receiving(_) => self.receive_evicted.notify_one(),
            Phase::Idle | Phase::Sending(_) => self.send_evicted.notify_one(),
        }
    }

    /// Completes when the body that is received has to be given up.
    pub async fn receive_evicted(&self) {
        loop {
            self.receive_evicted.notified().await;
            // A notification may be left from an earlier body.
            if self.evicted.get() {
                return;
            }
        }
    }

    /// Completes when the connection has to be closed, because its client holds a response up.
    pub async fn send_evicted(&self) {
        self.send_evicted.notified().await;
    }
}
