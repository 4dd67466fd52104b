//! A fleet whose controllers need processor time: each [`Core`] has one processor, which handles
//! inputs in order of arrival, each for as long as it costs. Proxies are either models that request
//! leases as `crates/proxy` does ([`Fleet::new`]) or real proxy cores with clients
//! ([`Fleet::with_gateways`]). Time is simulated, and there are no sockets.
//!
//! The cost of an input is what the bench charged on grown deployments (journal 793e3ba3):
//! [`INPUT_COST`] for each input, and [`RECORD_COST`] for each client record that the lease server
//! visits for a lease request.

#![allow(dead_code, reason = "every test uses a part of it")]

mod controller;
mod gateway_proxy;
mod proxy;

pub use gateway_proxy::{GatewayProxy, TenantRequests, Traffic};

use controller::{Controller, Input};
use maplefall_control_messages::Frame;
use maplefall_controller::core::TICK;
use maplefall_controller::{Call, CallResponse, Output};
use proxy::Proxy;
use std::collections::BTreeMap;

/// A proxy of the fleet, as its controllers see it.
pub trait FleetProxy {
    /// Handles a new connection to a controller; returns the frames to send, each with its
    /// controller.
    fn connected(&mut self, now: f64, controller: usize) -> Vec<(usize, Frame)>;
    /// Handles a frame from a controller; returns the frames to send, each with its controller.
    fn receive(&mut self, now: f64, controller: usize, frame: Frame) -> Vec<(usize, Frame)>;
    /// Handles the proxy's timer; returns the frames to send, each with its controller.
    fn tick(&mut self, now: f64) -> Vec<(usize, Frame)>;
    /// Returns the delay until the timer is due next.
    fn next_tick_delay(&mut self, now: f64) -> f64;
    /// Returns the fraction of a tenant's quota that the proxy holds.
    fn fraction(&self, now: f64, tenant: usize) -> f64;
    /// Returns the outcome of the clients' requests by tenant, empty for a proxy without clients.
    fn requests(&self) -> &[TenantRequests] {
        &[]
    }
}

/// One-way network delay, in milliseconds.
const NETWORK_DELAY: f64 = 1.0;
const DISK_DELAY: f64 = 2.0;
/// Fraction of a processor that each controller gets.
const PROCESSOR_SHARE: f64 = 0.3;
/// Processor time of each input, in milliseconds.
const INPUT_COST: f64 = 0.05;
/// Processor time per visited client record, in milliseconds.
const RECORD_COST: f64 = 0.0001;
/// Time without a response after which a caller moves on to another controller.
const CALLER_TIMEOUT: f64 = 1000.0;
/// Delay before a caller calls again.
const CALLER_RETRY_DELAY: f64 = 100.0;

enum Event {
    /// An input arrives at a controller.
    Arrive(usize, Input),
    /// A controller has finished an input.
    Finished(usize),
    /// A controller may answer the next lease request.
    LeaseRequestsDue(usize),
    /// A frame from a controller arrives at a proxy.
    ToProxy {
        controller: usize,
        proxy: usize,
        frame: Frame,
    },
    /// A proxy's connection to a controller is established.
    ProxyConnected { controller: usize, proxy: usize },
    /// A proxy's timer is due.
    ProxyTick(usize),
}

/// Size of a fleet, and the cost of its lease requests.
pub struct FleetSize {
    pub controllers: usize,
    pub proxies: usize,
    pub tenants: usize,
    /// Processor time of answering a lease request, in addition to that of an input and of the
    /// visited client records, in milliseconds.
    pub lease_request_cost: f64,
}

pub struct Fleet {
    pub now: f64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    controllers: Vec<Controller>,
    proxies: Vec<Box<dyn FleetProxy>>,
    responses: BTreeMap<u64, CallResponse>,
    last_call: u64,
    lease_request_cost: f64,
}

impl Fleet {
    /// Starts all controllers, with empty disks, and all model proxies.
    pub fn new(size: &FleetSize) -> Fleet {
        Fleet::with_proxies(size, |number| Box::new(Proxy::new(number, size)))
    }

    /// Starts a fleet as [`Fleet::new`] does, but with real proxy cores and clients that send
    /// `traffic`.
    pub fn with_gateways(size: &FleetSize, traffic: &Traffic) -> Fleet {
        Fleet::with_proxies(size, |number| {
            Box::new(GatewayProxy::new(number, size, *traffic))
        })
    }

    fn with_proxies(size: &FleetSize, proxy: impl Fn(usize) -> Box<dyn FleetProxy>) -> Fleet {
        let mut fleet = Fleet {
            now: 0.0,
            events: BTreeMap::new(),
            last_event: 0,
            controllers: Vec::new(),
            proxies: Vec::new(),
            responses: BTreeMap::new(),
            last_call: 0,
            lease_request_cost: size.lease_request_cost,
        };
        for node in 0..size.controllers {
            let (controller, out) = Controller::new(node, size.controllers);
            fleet.controllers.push(controller);
            fleet.handle_outputs(node, out);
            fleet.schedule(TICK, Event::Arrive(node, Input::Tick));
        }
        for node in 0..size.controllers {
            for peer in (0..size.controllers).filter(|peer| *peer != node) {
                fleet.schedule(1.0, Event::Arrive(node, Input::PeerConnected(peer)));
            }
        }
        for number in 0..size.proxies {
            fleet.proxies.push(proxy(number));
            // Machines start within 0.3 s of each other.
            let start = 300.0 * number as f64 / size.proxies as f64;
            for node in 0..size.controllers {
                fleet.schedule(start, Event::Arrive(node, Input::ProxyConnected(number)));
                let connected = Event::ProxyConnected {
                    controller: node,
                    proxy: number,
                };
                fleet.schedule(start, connected);
            }
            fleet.schedule(start + 5.0, Event::ProxyTick(number));
        }
        fleet
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        self.last_event += 1;
        let at_us = ((self.now + delay) * 1000.0) as u64;
        self.events.insert((at_us, self.last_event), event);
    }

    /// Advances the time by `duration` milliseconds.
    pub fn run(&mut self, duration: f64) {
        let until = self.now + duration;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(node, input) => {
                self.controllers[node].inputs.push_back(input);
                self.start_next(node);
            }
            Event::Finished(node) => {
                self.controllers[node].is_processing = false;
                self.start_next(node);
            }
            Event::LeaseRequestsDue(node) => self.start_next(node),
            Event::ToProxy {
                controller,
                proxy,
                frame,
            } => {
                let frames = self.proxies[proxy].receive(self.now, controller, frame);
                self.send_to_controllers(proxy, frames);
            }
            Event::ProxyConnected { controller, proxy } => {
                let frames = self.proxies[proxy].connected(self.now, controller);
                self.send_to_controllers(proxy, frames);
            }
            Event::ProxyTick(proxy) => {
                let frames = self.proxies[proxy].tick(self.now);
                self.send_to_controllers(proxy, frames);
                let delay = self.proxies[proxy].next_tick_delay(self.now);
                self.schedule(delay, Event::ProxyTick(proxy));
            }
        }
    }

    fn send_to_controllers(&mut self, proxy: usize, frames: Vec<(usize, Frame)>) {
        for (controller, frame) in frames {
            let input = Input::ProxyFrame(proxy, frame);
            self.schedule(NETWORK_DELAY, Event::Arrive(controller, input));
        }
    }

    /// Lets the controller handle its next input, if it is idle.
    fn start_next(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        if controller.is_processing {
            return;
        }
        let Some(input) = controller.next_input(self.now) else {
            return;
        };
        let is_tick = matches!(input, Input::Tick);
        let is_lease = matches!(input, Input::AnswerLeaseRequest);
        let (out, records) = controller.handle(self.now, input);
        controller.is_processing = true;
        let own_cost = if is_lease {
            self.lease_request_cost
        } else {
            0.0
        };
        let cost = (INPUT_COST + own_cost + RECORD_COST * records as f64) / PROCESSOR_SHARE;
        if is_tick {
            self.schedule(TICK, Event::Arrive(node, Input::Tick));
        }
        self.schedule(cost, Event::Finished(node));
        if is_lease {
            let wait = self.controllers[node].charge_lease_request(self.now + cost, cost);
            self.schedule(cost + wait, Event::LeaseRequestsDue(node));
        }
        self.handle_outputs(node, out);
    }

    fn handle_outputs(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, _) => {
                    self.schedule(DISK_DELAY, Event::Arrive(node, Input::Persisted(number)));
                }
                Output::SendToPeer(to, bytes) => {
                    let frame = controller::decode(&bytes);
                    if let Some(to) = controller::node_by_ip(&to) {
                        self.send_to_peer(node, to, frame);
                    }
                }
                Output::SendToAllPeers(bytes) => {
                    for to in (0..self.controllers.len()).filter(|to| *to != node) {
                        self.send_to_peer(node, to, controller::decode(&bytes));
                    }
                }
                Output::SendToProxy(connection, bytes) => {
                    let event = Event::ToProxy {
                        controller: node,
                        proxy: connection as usize - 1,
                        frame: controller::decode(&bytes),
                    };
                    self.schedule(NETWORK_DELAY, event);
                }
                Output::Respond(call, response) => {
                    self.responses.insert(call, response);
                }
                Output::LeaseRequestsQueued => self.controllers[node].has_lease_requests = true,
                Output::Log(line) | Output::Debug(line) => {
                    self.controllers[node].log_lines.push((self.now, line));
                }
            }
        }
    }

    fn send_to_peer(&mut self, from: usize, to: usize, frame: Frame) {
        let input = Input::PeerFrame(from, frame);
        self.schedule(NETWORK_DELAY, Event::Arrive(to, input));
    }

    /// Calls controllers as an operator does until one of them responds with 200. Returns how long
    /// that took, or `None` if it took longer than `timeout`.
    pub fn call_until_ok(&mut self, call: &Call, timeout: f64) -> Option<f64> {
        let started_at = self.now;
        let mut node = 0;
        while self.now - started_at < timeout {
            match self.call(node, call.clone()) {
                Some(CallResponse::Ok(_)) => return Some(self.now - started_at),
                Some(CallResponse::Redirect(to)) => {
                    node = controller::node_by_ip(&to).expect("a controller");
                    continue;
                }
                Some(CallResponse::Unavailable) | None => {}
                Some(CallResponse::Rejected(status, why)) => panic!("rejected: {status} {why}"),
            }
            node = (node + 1) % self.controllers.len();
            self.run(CALLER_RETRY_DELAY);
        }
        None
    }

    /// Makes one call; returns `None` if there is no response within a second.
    fn call(&mut self, node: usize, call: Call) -> Option<CallResponse> {
        self.last_call += 1;
        let number = self.last_call;
        let input = Input::Call(number, call);
        self.schedule(NETWORK_DELAY, Event::Arrive(node, input));
        let until = self.now + CALLER_TIMEOUT;
        while self.now < until && !self.responses.contains_key(&number) {
            self.run(1.0);
        }
        self.responses.remove(&number)
    }

    /// Returns the log lines of all controllers after `since` that contain this text.
    pub fn logged_since(&self, since: f64, text: &str) -> Vec<String> {
        self.controllers
            .iter()
            .flat_map(|controller| &controller.log_lines)
            .filter(|(at, line)| *at > since && line.contains(text))
            .map(|(at, line)| format!("{at:.0} ms: {line}"))
            .collect()
    }

    /// Returns the length of the longest input queue of any controller.
    pub fn max_queue_length(&self) -> usize {
        let lengths = self.controllers.iter().map(|node| node.inputs.len());
        lengths.max().unwrap_or(0)
    }

    /// Returns the outcome of all clients' requests, by tenant.
    pub fn requests(&self) -> Vec<TenantRequests> {
        let mut sums: Vec<TenantRequests> = Vec::new();
        for proxy in &self.proxies {
            sums.resize_with(proxy.requests().len(), TenantRequests::default);
            for (sum, of_proxy) in sums.iter_mut().zip(proxy.requests()) {
                sum.sent += of_proxy.sent;
                sum.served_at.extend(&of_proxy.served_at);
            }
        }
        sums
    }

    /// Returns the fraction of a tenant's quota that all proxies together hold.
    pub fn leased_fraction(&self, tenant: usize) -> f64 {
        self.proxies
            .iter()
            .map(|proxy| proxy.fraction(self.now, tenant))
            .sum()
    }
}
