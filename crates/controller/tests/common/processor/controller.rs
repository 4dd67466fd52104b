//! A controller and the inputs that wait for its processor.

use super::proxy;
use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, Frame, Hello, PROTOCOL_VERSION};
use maplefall_controller::core::{MAX_LEASE_CREDIT, MAX_LEASE_LOAD};
use maplefall_controller::store::StoredState;
use maplefall_controller::{Call, Core, Output};
use maplefall_node_settings::Settings;
use maplefall_quota_lease::Pacer;
use std::collections::VecDeque;
use std::path::Path;

/// An input of a controller.
pub enum Input {
    Tick,
    Persisted(u64),
    PeerConnected(usize),
    PeerFrame(usize, Frame),
    ProxyConnected(usize),
    ProxyFrame(usize, Frame),
    Call(u64, Call),
    /// Answers a queued lease request; chosen only while no other input is queued.
    AnswerLeaseRequest,
}

pub struct Controller {
    core: Core,
    pub inputs: VecDeque<Input>,
    pub is_processing: bool,
    pub has_lease_requests: bool,
    pacer: Pacer,
    pub log_lines: Vec<(f64, String)>,
}

pub fn ip(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

/// Returns the index of the controller with this address.
pub fn node_by_ip(ip: &str) -> Option<usize> {
    let last = ip.rsplit('.').next()?;
    last.parse::<usize>().ok()?.checked_sub(1)
}

pub fn decode(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(bytes.as_ref()))
        .expect("a frame")
        .expect("a complete frame")
}

fn settings(node: usize, controllers: usize) -> Settings {
    let seeds: Vec<String> = (0..controllers)
        .map(|node| format!("\"{}:8381\"", ip(node)))
        .collect();
    let text = format!(
        "Node = \"core-{node}\"\nIp = \"{}\"\nInternalPorts = [7560, 7575]\nSeedAddrs = [{}]\nBootstrap = true\n\
         QuorumMember = true\nHeartbeatS = 1.5\n[Tolerance]\nMachineLosses = 1\n",
        ip(node),
        seeds.join(", ")
    );
    Settings::parse(&text, Path::new("local.toml")).expect("settings")
}

impl Controller {
    pub fn new(node: usize, controllers: usize) -> (Controller, Vec<Output>) {
        let mut out = Vec::new();
        let settings = settings(node, controllers);
        let stored = StoredState::default();
        let core = Core::new(&settings, 0.0, node as u64 + 7, stored, &mut out);
        let controller = Controller {
            core,
            inputs: VecDeque::new(),
            is_processing: false,
            has_lease_requests: false,
            pacer: Pacer::new(0.0, MAX_LEASE_CREDIT),
            log_lines: Vec::new(),
        };
        (controller, out)
    }

    /// Returns the next input: queued ones first, then lease requests, limited to a fraction of the
    /// time.
    pub fn next_input(&mut self, now: f64) -> Option<Input> {
        let next = self.inputs.pop_front();
        let is_lease_due = self.has_lease_requests && self.pacer.is_due(now);
        next.or(is_lease_due.then_some(Input::AnswerLeaseRequest))
    }

    /// Charges the pacer with a lease request that took `cost` and ended at `now`; returns how long
    /// the next lease request has to wait.
    pub fn charge_lease_request(&mut self, now: f64, cost: f64) -> f64 {
        self.pacer.charge(now, cost / MAX_LEASE_LOAD);
        self.pacer.wait(now)
    }

    /// Handles an input; returns the outputs and the number of client records that the lease server
    /// visited.
    pub fn handle(&mut self, now: f64, input: Input) -> (Vec<Output>, u64) {
        let before = self.core.visited_lease_records();
        let mut out = Vec::new();
        let core = &mut self.core;
        match input {
            Input::Tick => core.tick(now, &mut out),
            Input::Persisted(number) => core.persisted(now, number, &mut out),
            Input::PeerConnected(peer) => core.peer_connected(now, &ip(peer), &mut out),
            Input::PeerFrame(peer, frame) => {
                core.receive_from_peer(now, &ip(peer), frame, &mut out);
            }
            Input::ProxyConnected(proxy) => {
                core.proxy_connected(now, proxy as u64 + 1, &hello(proxy), &mut out);
            }
            Input::ProxyFrame(proxy, frame) => {
                core.receive_from_proxy(now, proxy as u64 + 1, frame, &mut out);
            }
            Input::AnswerLeaseRequest => {
                self.has_lease_requests = core.answer_lease_request(now, &mut out);
            }
            Input::Call(number, call) => core.call(now, number, call, &mut out),
        }
        (out, self.core.visited_lease_records() - before)
    }
}

fn hello(proxy: usize) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        ip: format!("10.1.{}.{}", proxy / 250, proxy % 250 + 1),
        node: proxy::name(proxy),
        incarnation: proxy::incarnation(proxy),
        is_controller: false,
        config_index: 0,
        may_have_missed_updates: false,
    }
}
