//! Connects [`Core`] to its environment: passes inputs to it, and carries out its outputs in order.

use super::disk_thread::DiskWriter;
use super::internal_connections::Remote;
use super::load::{CallSummary, InputKind, Load, Outcome};
use crate::core::{Call, CallResponse, Core, Millis, Output};
use crate::store::{StoreRecord, StoredState};
use bytes::Bytes;
use maplefall_control_messages::{Hello, PROTOCOL_VERSION};
use maplefall_control_transport::fencing::ConnectionFence;
use maplefall_node_settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot, Notify};

/// A controller with all its connections.
pub(super) struct Controller {
    core: RefCell<Core>,
    started_at: Instant,
    /// The hello that this controller sends to its peers.
    pub(super) hello: Hello,
    pub(super) ip: IpAddr,
    /// The port on which every controller listens for proxies and peers.
    pub(super) internal_port: u16,
    /// The port on which every controller listens for API calls.
    pub(super) api_port: u16,
    /// Send queues to the other controllers, by address; closed if there is no connection at the
    /// moment.
    pub(super) peers: RefCell<HashMap<String, mpsc::Sender<Bytes>>>,
    /// Send queues to the proxies, by connection number.
    pub(super) proxies: RefCell<HashMap<u64, mpsc::Sender<Bytes>>>,
    /// The latest connection of each process; frames from older ones are rejected.
    pub(super) fence: RefCell<ConnectionFence<Remote>>,
    calls: RefCell<HashMap<u64, oneshot::Sender<CallResponse>>>,
    last_call: Cell<u64>,
    load: RefCell<Load>,
    /// Wakes the task that processes lease requests.
    pub(super) lease_requests_queued: Notify,
    disk: DiskWriter,
}

impl Controller {
    /// Starts from the state on the disk, and connects to the seeds.
    pub(super) fn start(
        settings: &Settings,
        api_address: SocketAddr,
        seed: u64,
        stored: StoredState,
        disk: DiskWriter,
    ) -> Rc<Controller> {
        let mut out = Vec::new();
        let core = Core::new(settings, 0.0, seed, stored, &mut out);
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: settings.ip.to_string(),
            node: settings.node.clone(),
            incarnation: seed.max(1),
            is_controller: true,
            config_index: 0,
            may_have_missed_updates: false,
        };
        let controller = Rc::new(Controller {
            core: RefCell::new(core),
            started_at: Instant::now(),
            hello,
            ip: settings.ip,
            internal_port: settings.internal_ports.0,
            api_port: api_address.port(),
            peers: RefCell::default(),
            proxies: RefCell::default(),
            fence: RefCell::default(),
            calls: RefCell::default(),
            last_call: Cell::new(0),
            load: RefCell::new(Load::new(Instant::now())),
            lease_requests_queued: Notify::new(),
            disk,
        });
        controller.carry_out(out);
        controller.connect_to_seeds(settings);
        controller
    }

    pub(super) fn node(&self) -> &str {
        &self.hello.node
    }

    pub(super) fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Passes an input of this kind to the core, and carries out the outputs.
    pub(super) fn drive<T>(
        self: &Rc<Self>,
        kind: InputKind,
        input: impl FnOnce(&mut Core, Millis, &mut Vec<Output>) -> T,
    ) -> T {
        let started_at = Instant::now();
        let mut out = Vec::new();
        let result = input(&mut self.core.borrow_mut(), self.now(), &mut out);
        self.carry_out(out);
        self.load
            .borrow_mut()
            .handled(kind, started_at, Instant::now());
        result
    }

    /// Advances the core's time, and logs the load report when it is due.
    pub(super) fn tick(self: &Rc<Self>) {
        self.drive(InputKind::Tick, |core, now, out| core.tick(now, out));
        if let Some(line) = self.load.borrow_mut().tick(Instant::now()) {
            log::info!("{line}");
        }
    }

    /// Reads the state of the core.
    pub(super) fn inspect<T>(&self, read: impl FnOnce(&Core) -> T) -> T {
        read(&self.core.borrow())
    }

    pub(super) fn may_stop(&self) -> bool {
        let now = self.now();
        self.inspect(|core| core.may_stop(now))
    }

    /// Applies changed settings.
    pub(super) fn reload(self: &Rc<Self>, settings: &Settings) {
        self.core.borrow_mut().reload(settings);
        self.connect_to_seeds(settings);
    }

    pub(super) fn peer_disconnected(&self, peer: &str) {
        self.core.borrow_mut().peer_disconnected(peer);
    }

    fn connect_to_seeds(self: &Rc<Self>, settings: &Settings) {
        for seed in &settings.seeds {
            self.connect_to_peer(seed.ip());
        }
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, record) => self.disk.write(StoreRecord { number, ..*record }),
                Output::SendToPeer(peer, bytes) => self.send_to_peer(&peer, bytes),
                Output::SendToAllPeers(bytes) => self.send_to_all_peers(&bytes),
                Output::SendToProxy(connection, bytes) => self.send_to_proxy(connection, bytes),
                Output::Respond(call, response) => self.respond(call, response),
                Output::LeaseRequestsQueued => self.lease_requests_queued.notify_one(),
                Output::Log(line) => log::info!("{line}"),
                Output::Debug(line) => log::debug!("{line}"),
            }
        }
    }

    fn respond(&self, call: u64, response: CallResponse) {
        if let Some(response_sender) = self.calls.borrow_mut().remove(&call) {
            // The response is dropped if the client has closed its connection.
            let _ = response_sender.send(response);
        }
    }

    /// Passes a call to the core and waits for its response.
    pub(super) async fn call(self: &Rc<Self>, call: Call) -> CallResponse {
        let (sender, receiver) = oneshot::channel();
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        self.calls.borrow_mut().insert(number, sender);
        let mut registration = CallRegistration {
            controller: self,
            number,
            received_at: Instant::now(),
            summary: CallSummary::new(&call),
        };
        let kind = InputKind::of_call(&call);
        self.drive(kind, |core, now, out| core.call(now, number, call, out));
        let response = receiver.await.unwrap_or(CallResponse::Unavailable);
        registration.summary.outcome = Outcome::of(&response);
        response
    }
}

/// Removes a call once it has ended. This includes the case that the client has closed its
/// connection, in which the future that waits for the response is dropped.
struct CallRegistration<'a> {
    controller: &'a Controller,
    number: u64,
    received_at: Instant,
    summary: CallSummary,
}

impl Drop for CallRegistration<'_> {
    fn drop(&mut self) {
        self.controller.calls.borrow_mut().remove(&self.number);
        let duration = self.received_at.elapsed();
        let slow_call = self
            .controller
            .load
            .borrow_mut()
            .call_ended(&self.summary, duration);
        if let Some(line) = slow_call {
            log::info!("{line}");
        }
    }
}
