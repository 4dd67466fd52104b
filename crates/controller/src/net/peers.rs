//! Connections that this controller opens to the others. Each controller sends on the connections
//! that it has opened, and receives on those that it has accepted.

use super::controller::Controller;
use super::load::InputKind;
use bytes::Bytes;
use maplefall_control_transport::{
    connect, run_connection, ConnectionError, Event, Handshake, ReconnectBackoff,
    OUTGOING_QUEUE_FRAMES,
};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::mpsc;

/// How a connection to a peer has ended.
struct Disconnected {
    /// Whether the connection had been established.
    was_established: bool,
    error: ConnectionError,
}

/// Returns a closed queue, for a peer without a connection.
fn closed_queue() -> mpsc::Sender<Bytes> {
    mpsc::channel(1).0
}

impl Controller {
    pub(super) fn send_to_peer(&self, peer: &str, bytes: Bytes) {
        let is_full = self
            .peers
            .borrow()
            .get(peer)
            .is_some_and(|queue| queue.try_send(bytes).is_err());
        if is_full {
            if let Some(queue) = self.peers.borrow_mut().get_mut(peer) {
                // Dropping a full send queue closes the connection, which is then reopened.
                *queue = closed_queue();
            }
        }
    }

    pub(super) fn send_to_all_peers(&self, bytes: &Bytes) {
        let peers: Vec<String> = self.peers.borrow().keys().cloned().collect();
        for peer in &peers {
            self.send_to_peer(peer, bytes.clone());
        }
    }

    /// Connects to the voters that are not yet known as peers.
    pub(super) fn connect_to_voters(self: &Rc<Self>) {
        let unknown: Vec<IpAddr> = self.inspect(|core| {
            let peers = self.peers.borrow();
            core.voters()
                .iter()
                .filter(|voter| !peers.contains_key(*voter))
                .filter_map(|voter| voter.parse().ok())
                .collect()
        });
        for ip in unknown {
            self.connect_to_peer(ip);
        }
    }

    /// Keeps a connection to a peer until the process ends.
    pub(super) fn connect_to_peer(self: &Rc<Self>, ip: IpAddr) {
        let peer = ip.to_string();
        if peer == self.hello.ip || self.peers.borrow().contains_key(&peer) {
            return;
        }
        self.close_peer_queue(&peer);
        let controller = self.clone();
        tokio::task::spawn_local(async move { controller.keep_peer_connected(ip, peer).await });
    }

    fn close_peer_queue(&self, peer: &str) {
        self.peers
            .borrow_mut()
            .insert(peer.to_owned(), closed_queue());
    }

    async fn keep_peer_connected(self: Rc<Self>, ip: IpAddr, peer: String) {
        let address = SocketAddr::new(ip, self.internal_port);
        // Only the first of several failures is logged until the connection has been established
        // again.
        let mut log_next_failure = true;
        let mut backoff = ReconnectBackoff::default();
        loop {
            let Disconnected {
                was_established,
                error,
            } = self.run_peer_connection(address, &peer).await;
            if was_established {
                log_next_failure = true;
                backoff = ReconnectBackoff::default();
            }
            if std::mem::take(&mut log_next_failure) {
                log::info!("event=peer_disconnected peer={peer} {error}");
            }
            self.close_peer_queue(&peer);
            if was_established {
                self.peer_disconnected(&peer);
            }
            backoff.wait().await;
        }
    }

    async fn run_peer_connection(self: &Rc<Self>, address: SocketAddr, peer: &str) -> Disconnected {
        let stream = match connect(self.ip, address).await {
            Ok(stream) => stream,
            Err(error) => {
                return Disconnected {
                    was_established: false,
                    error,
                }
            }
        };
        let (sender, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
        let mut sender = Some(sender);
        let mut was_established = false;
        let handshake = Handshake::Initiator(self.hello.clone());
        let error = run_connection(stream, outgoing, handshake, |event| {
            // The peer sends no frames on this connection, only liveness messages.
            if let (Event::Established, Some(sender)) = (event, sender.take()) {
                was_established = true;
                self.peer_connected(peer, sender);
            }
            true
        })
        .await;
        Disconnected {
            was_established,
            error,
        }
    }

    fn peer_connected(self: &Rc<Self>, peer: &str, queue: mpsc::Sender<Bytes>) {
        self.peers.borrow_mut().insert(peer.to_owned(), queue);
        log::info!("event=peer_connected peer={peer}");
        self.drive(InputKind::Connection, |core, now, out| {
            core.peer_connected(now, peer, out)
        });
    }
}
