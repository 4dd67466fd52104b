//! The client side of a proxy: accepts connections within the descriptor limit, reads requests
//! completely, and writes exactly one final response to each, in order.

mod body;
mod connection;
pub mod connection_state;
mod listener;
mod request;
mod response;
mod shutdown;

use crate::driver::Proxy;
use connection::ClientConnection;
use maplefall_downstream::{CloseNotification, ConnectionTable, ShutdownPhase};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// The server that clients connect to.
pub struct DownstreamServer {
    proxy: Rc<Proxy>,
    connections: Rc<ConnectionTable<ClientConnection>>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
    /// Notified to end the accept task.
    stop_accepting: Notify,
    phase: watch::Sender<ShutdownPhase>,
}

impl DownstreamServer {
    /// Creates a server without a listener. `max_sockets` is the process's budget of descriptors,
    /// part of which is for connections to backends.
    pub fn new(proxy: Rc<Proxy>, max_sockets: usize) -> Rc<Self> {
        Rc::new(DownstreamServer {
            proxy,
            connections: ConnectionTable::new(
                maplefall_upstream::downstream_budget(max_sockets),
                CloseNotification::Remembered,
            ),
            accept_task: RefCell::default(),
            stop_accepting: Notify::new(),
            phase: watch::Sender::new(ShutdownPhase::Serving),
        })
    }
}
