//! Connections to the controllers: one to each, for as long as the proxy runs. A connection that
//! ends is re-established after a backoff.

use crate::driver::Proxy;
use bytes::Bytes;
use maplefall_control_messages::Hello;
use maplefall_control_transport::{
    connect, run_connection, ConnectionError, Event, Handshake, ReconnectBackoff,
    OUTGOING_QUEUE_FRAMES,
};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Delay of the connections to all controllers but the first, so that the first one can send the
/// configuration and not all of them send it.
const FURTHER_CONNECTION_DELAY: Duration = Duration::from_millis(150);

/// Connects to every known controller, now and whenever more become known. `hello` identifies this
/// proxy; `port` is the port on which controllers listen for proxies.
pub async fn connect_to_controllers(proxy: Rc<Proxy>, hello: Hello, port: u16) {
    let mut connected_to: BTreeSet<String> = BTreeSet::new();
    loop {
        let controllers = proxy.with_core(|core| core.controllers().clone());
        // Different proxies connect to different controllers first.
        let offset = hello.incarnation as usize % controllers.len().max(1);
        let from_offset = controllers
            .iter()
            .cycle()
            .skip(offset)
            .take(controllers.len());
        for ip in from_offset {
            let Ok(address) = ip.parse::<IpAddr>() else {
                continue;
            };
            if connected_to.insert(ip.clone()) {
                let connection = ControllerConnection {
                    proxy: proxy.clone(),
                    hello: hello.clone(),
                    address: SocketAddr::new(address, port),
                    controller: address.to_string(),
                };
                let delay = if connected_to.len() > 1 {
                    FURTHER_CONNECTION_DELAY
                } else {
                    Duration::ZERO
                };
                tokio::task::spawn_local(connection.maintain(delay));
            }
        }
        proxy.controllers_changed.notified().await;
    }
}

/// The connection to one controller.
struct ControllerConnection {
    proxy: Rc<Proxy>,
    hello: Hello,
    address: SocketAddr,
    /// The controller's IP address as text, by which the core identifies it.
    controller: String,
}

impl ControllerConnection {
    /// Connects after `delay`, and reconnects whenever the connection ends. Only the first failure
    /// since the last established connection is logged.
    async fn maintain(self, delay: Duration) {
        // The proxy's own IP always parses, since the settings file has been validated.
        let Ok(local_ip) = self.hello.ip.parse::<IpAddr>() else {
            return;
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let mut log_failure = true;
        let mut backoff = ReconnectBackoff::default();
        loop {
            let mut was_established = false;
            let error = self.run(local_ip, &mut was_established).await;
            if was_established {
                log_failure = true;
                backoff = ReconnectBackoff::default();
                self.proxy
                    .controller_queues
                    .borrow_mut()
                    .remove(&self.controller);
                self.proxy
                    .with_core(|core| core.controller_disconnected(&self.controller));
            }
            if std::mem::take(&mut log_failure) {
                log::info!(
                    "event=controller_disconnected controller={} {error}",
                    self.controller
                );
            }
            backoff.wait().await;
        }
    }

    /// Runs one connection until it ends and returns the reason. Sets `established` once the
    /// handshake is complete.
    async fn run(&self, local_ip: IpAddr, established: &mut bool) -> ConnectionError {
        let stream = match connect(local_ip, self.address).await {
            Ok(stream) => stream,
            Err(error) => return error,
        };
        let (queue, outgoing) = mpsc::channel(OUTGOING_QUEUE_FRAMES);
        let mut queue = Some(queue);
        let hello = Hello {
            config_index: self.proxy.with_core(|core| core.config_index()),
            may_have_missed_updates: self.proxy.with_core(|core| core.may_have_missed_updates()),
            ..self.hello.clone()
        };
        run_connection(stream, outgoing, Handshake::Initiator(hello), |event| {
            match (event, queue.take()) {
                (Event::Established, Some(queue)) => {
                    *established = true;
                    self.established(queue);
                }
                (Event::Frame(frame), _) => self.proxy.drive(|core, now, out| {
                    core.receive(now, &self.controller, frame, out);
                }),
                _ => {}
            }
            true
        })
        .await
    }

    fn established(&self, queue: mpsc::Sender<Bytes>) {
        self.proxy
            .controller_queues
            .borrow_mut()
            .insert(self.controller.clone(), queue);
        log::info!("event=controller_connected controller={}", self.controller);
        self.proxy
            .drive(|core, now, out| core.controller_connected(now, &self.controller, out));
    }
}
