//! Control of an attempt from outside its task: aborting it, and finding out whether it may have
//! run.

use crate::socket::UpstreamSocket;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use tokio::task::AbortHandle;

/// A handle with which the driver controls an attempt in flight. Clones control the same attempt.
#[derive(Clone, Default)]
pub struct AttemptHandle {
    /// The socket of the connection that currently carries the attempt.
    socket: Rc<RefCell<Option<Rc<UpstreamSocket>>>>,
    /// Whether the attempt was sent on a multiplexed connection, which carries other requests too.
    multiplexed: Rc<Cell<bool>>,
    task: Rc<RefCell<Option<AbortHandle>>>,
    /// The connections that have carried this attempt so far.
    used: Rc<RefCell<Vec<Weak<UpstreamSocket>>>>,
    /// The connections that carried earlier attempts of the same request.
    used_before: Rc<Vec<Weak<UpstreamSocket>>>,
}

impl AttemptHandle {
    /// Returns the handle of a further attempt of the same request. A late response to an earlier
    /// attempt has the same id, but can only arrive on the connection on which that attempt was
    /// sent, so no further attempt is sent there.
    pub fn for_retry(&self) -> AttemptHandle {
        let used_before = self
            .used_before
            .iter()
            .chain(self.used.borrow().iter())
            .cloned()
            .collect();
        AttemptHandle {
            used_before: Rc::new(used_before),
            ..AttemptHandle::default()
        }
    }

    /// Returns whether a connection has carried an earlier attempt of this request.
    pub(crate) fn was_sent_on(&self, socket: &Rc<UpstreamSocket>) -> bool {
        self.used_before
            .iter()
            .any(|used| std::ptr::eq(used.as_ptr(), Rc::as_ptr(socket)))
    }

    /// Sets the connection that carries the attempt.
    pub fn attach_socket(&self, socket: &Rc<UpstreamSocket>) {
        self.used.borrow_mut().push(Rc::downgrade(socket));
        *self.socket.borrow_mut() = Some(socket.clone());
    }

    /// Sets the task that runs the attempt.
    pub fn attach_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Records that a call was sent on a multiplexed connection: from now on it may run.
    pub fn record_multiplexed_send(&self) {
        self.multiplexed.set(true);
    }

    /// Returns whether the request may have run: a backend may have its complete head.
    pub fn may_have_run(&self) -> bool {
        self.multiplexed.get() || self.is_on_socket(UpstreamSocket::may_have_run)
    }

    /// Returns whether the request has been completely written.
    pub fn fully_written(&self) -> bool {
        self.multiplexed.get() || self.is_on_socket(UpstreamSocket::fully_written)
    }

    /// Returns whether a socket carries the attempt, and this holds for it.
    fn is_on_socket(&self, holds: impl Fn(&UpstreamSocket) -> bool) -> bool {
        let socket = self.socket.borrow();
        socket.as_ref().is_some_and(|socket| holds(socket))
    }

    /// Aborts the attempt: its connection is closed before this returns.
    pub fn abort(&self) {
        if let Some(socket) = self.socket.borrow_mut().take() {
            socket.close();
        }
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }
}
