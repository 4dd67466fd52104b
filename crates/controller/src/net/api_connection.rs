//! A connection of a backend or of the operator, and which one is closed at the connection limit.

use crate::core::Millis;
use maplefall_downstream::{
    ConnectionTable, HasTransfer, HeadCharge, HeadMemory, MemoryTenant, SocketObserver, Transfer,
};
use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Age of a head without an end from which its connection may be closed for a new one.
const MIN_SLOW_HEAD_AGE: Millis = 1000.0;

/// An API connection, shared by its task, its socket and the accept loop.
pub(super) struct ApiConnection {
    started_at: Instant,
    /// Whom the memory of its calls is held for: its address.
    pub(super) tenant: MemoryTenant,
    pub(super) transfer: Transfer,
    heads: HeadCharge,
    /// When the connection was accepted or its last response was ready; `None` while a call is
    /// read or processed.
    idle_since: Cell<Option<Millis>>,
    /// Whether bytes of a head have arrived.
    has_begun_head: Cell<bool>,
    close: Notify,
}

impl ApiConnection {
    pub(super) fn new(started_at: Instant, from: IpAddr, heads: Rc<HeadMemory>) -> ApiConnection {
        let connection = ApiConnection {
            started_at,
            tenant: Some(from.to_string().into()),
            transfer: Transfer::new(0.0),
            heads: HeadCharge::new(heads),
            idle_since: Cell::new(None),
            has_begun_head: Cell::new(false),
            close: Notify::new(),
        };
        connection.idle_since.set(Some(connection.now()));
        connection
    }

    pub(super) fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Records that the head of a call is complete.
    pub(super) fn head_received(&self) {
        self.heads.head_complete();
        self.has_begun_head.set(false);
        self.idle_since.set(None);
    }

    /// Records that a response is written from now on.
    pub(super) fn response_ready(&self) {
        let now = self.now();
        self.transfer.begin_sending(None, now);
        self.idle_since.set(Some(now));
    }

    /// Completes when the connection has to be closed.
    pub(super) async fn closed(&self) {
        tokio::select! {
            () = self.close.notified() => {}
            () = self.transfer.send_evicted() => {}
        }
    }

    /// Returns since when the connection has been idle or its head incomplete; `None` if it is
    /// neither.
    fn dispensable_since(&self, now: Millis) -> Option<Millis> {
        let since = self
            .idle_since
            .get()
            .filter(|_| !self.transfer.is_send_blocked())?;
        let may_close = !self.has_begun_head.get() || now - since >= MIN_SLOW_HEAD_AGE;
        may_close.then_some(since)
    }
}

impl HasTransfer for ApiConnection {
    fn transfer(&self) -> &Transfer {
        &self.transfer
    }
}

impl SocketObserver for ApiConnection {
    fn bytes_received(&self, count: usize) -> io::Result<()> {
        self.transfer.bytes_received(count);
        if self.idle_since.get().is_none() {
            return Ok(());
        }
        self.has_begun_head.set(true);
        if self.heads.head_bytes_received(count) {
            Ok(())
        } else {
            Err(io::ErrorKind::OutOfMemory.into())
        }
    }

    fn bytes_sent(&self, count: usize) {
        self.transfer.bytes_sent(count);
    }

    fn send_blocked(&self) {
        self.transfer.send_blocked(self.now());
    }
}

/// Waits until a further connection is within the limit. The connection that has been idle longest
/// is closed for it; if none is idle, one whose client hardly moves a call or a response.
pub(super) async fn wait_for_capacity(connections: &ConnectionTable<ApiConnection>) {
    connections
        .wait_for_capacity(most_dispensable, |connection| {
            connection.close.notify_one();
        })
        .await;
}

fn most_dispensable(
    connections: &mut dyn Iterator<Item = &Rc<ApiConnection>>,
) -> Option<Rc<ApiConnection>> {
    let mut slow = None;
    let idle = connections
        .filter_map(|connection| {
            let now = connection.now();
            if connection.transfer.is_slow(now) {
                slow = Some(connection.clone());
            }
            Some((connection.dispensable_since(now)?, connection.clone()))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0));
    idle.map(|(_, connection)| connection).or(slow)
}
