//! The real core of a proxy: clients send it requests of all tenants, and backends respond at once.

use super::{controller, proxy, FleetProxy, FleetSize};
use maplefall_control_messages::{Frame, InstanceUpdates};
use maplefall_node_settings::Settings;
use maplefall_policy::{Outcome, RequestId};
use maplefall_proxy::{AttemptEnd, Core, IncomingRequest, Output, Rejection};
use maplefall_service_registry::{InstanceRecord, InstanceState};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::path::Path;

/// Interval between calls of the core's tick, in milliseconds.
const TICK_INTERVAL: f64 = 500.0;
/// Minimum delay until the proxy's timer is due next, in milliseconds: the fleet's clock counts
/// whole microseconds, so a shorter delay might not advance it.
const MIN_TICK_DELAY: f64 = 0.01;
/// Timeout of the clients, in milliseconds.
const CLIENT_TIMEOUT: f64 = 2000.0;
/// Maximum time that a request waits to be admitted, as in the proxy's server.
const MAX_ADMISSION_WAIT: f64 = 120.0;

/// The load that clients send.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Requests per second of each tenant, over all proxies.
    pub rate: f64,
    /// When the first requests are sent, in milliseconds.
    pub begins_at: f64,
    pub seed: u64,
}

/// The outcome of a tenant's requests.
#[derive(Clone, Debug, Default)]
pub struct TenantRequests {
    pub sent: usize,
    /// When each served request was sent to a backend.
    pub served_at: Vec<f64>,
}

/// A request that waits to be admitted.
struct WaitingRequest {
    tenant: usize,
    received_at: f64,
    gives_up_at: f64,
}

pub struct GatewayProxy {
    core: Core,
    rng: Pcg32,
    tenants: usize,
    /// Requests per millisecond that clients of all tenants send to this proxy.
    rate: f64,
    next_tick: f64,
    next_arrival: f64,
    waiting: Vec<WaitingRequest>,
    requests: Vec<TenantRequests>,
}

fn settings(number: usize, controllers: usize) -> Settings {
    let seeds: Vec<String> = (0..controllers)
        .map(|node| format!("\"{}:8381\"", controller::ip(node)))
        .collect();
    let text = format!(
        "Node = \"{}\"\nIp = \"10.1.0.1\"\nInternalPorts = [7560, 7575]\nSeedAddrs = [{}]\nBootstrap = true\nZone = \"z\"\n\
         [Bind]\nFrontHttp = \"10.1.0.1:80\"\nReadyProbe = \"10.1.0.1:81\"\n",
        proxy::name(number),
        seeds.join(", ")
    );
    Settings::parse(&text, Path::new("edge.toml")).expect("settings")
}

fn instances() -> Frame {
    let record = InstanceRecord {
        id: "i-1".to_owned(),
        service: "one".to_owned(),
        address: "10.2.0.1:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 1000,
        state: InstanceState::Serving as i32,
        seq: 1,
        warmup_left_ms: 0,
    };
    Frame::InstanceUpdates(InstanceUpdates {
        records: vec![record],
        complete: true,
        ack_number: 0,
    })
}

impl GatewayProxy {
    pub fn new(number: usize, size: &FleetSize, traffic: Traffic) -> GatewayProxy {
        let seed = proxy::incarnation(number);
        let mut core = Core::new(&settings(number, size.controllers), seed);
        core.receive(0.0, "", instances(), &mut Vec::new());
        let mut proxy = GatewayProxy {
            core,
            rng: Pcg32::seed_from_u64(traffic.seed * 1_000_003 + seed),
            tenants: size.tenants,
            rate: traffic.rate * size.tenants as f64 / size.proxies as f64 / 1000.0,
            next_tick: 0.0,
            next_arrival: traffic.begins_at,
            waiting: Vec::new(),
            requests: vec![TenantRequests::default(); size.tenants],
        };
        proxy.draw_next_arrival();
        proxy
    }

    fn draw(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 1.0) / 4_294_967_297.0
    }

    fn draw_next_arrival(&mut self) {
        self.next_arrival -= self.draw().ln() / self.rate;
    }

    /// Tries to admit a request that has just arrived or, with `is_repeated_admission`, has waited.
    fn admit(
        &mut self,
        now: f64,
        request: &WaitingRequest,
        is_repeated_admission: bool,
        out: &mut Vec<Output>,
    ) {
        let key = format!("key{}", request.tenant);
        let incoming = IncomingRequest {
            host: "h.example",
            path: "/a",
            api_key: Some(&key),
            remaining: Some(CLIENT_TIMEOUT),
            received_at: request.received_at,
            is_repeated_admission,
        };
        match self.core.admit(now, &incoming, out) {
            Ok(_) => self.requests[request.tenant].served_at.push(now),
            Err(Rejection::Rejected(_)) => {}
            Err(Rejection::RejectedUnless(_, wait)) => {
                let wait_deadline = request.received_at + MAX_ADMISSION_WAIT;
                self.waiting.push(WaitingRequest {
                    gives_up_at: wait_deadline.min(now + wait),
                    ..*request
                });
            }
        }
    }

    fn retry_waiting(&mut self, now: f64, out: &mut Vec<Output>) {
        for request in std::mem::take(&mut self.waiting) {
            if now < request.gives_up_at {
                self.admit(now, &request, true, out);
            }
        }
    }

    /// Handles the core's outputs; returns the frames to controllers.
    fn handle_outputs(&mut self, now: f64, mut out: Vec<Output>) -> Vec<(usize, Frame)> {
        let mut frames = Vec::new();
        while !out.is_empty() {
            let mut next = Vec::new();
            for output in out {
                match output {
                    Output::Send {
                        request, attempt, ..
                    } => self.respond(now, request, attempt, &mut next),
                    Output::SendToController(ip, frame) => {
                        frames.extend(controller::node_by_ip(&ip).map(|node| (node, frame)));
                    }
                    Output::StateChanged => self.retry_waiting(now, &mut next),
                    _ => {}
                }
            }
            out = next;
        }
        frames
    }

    fn respond(&mut self, now: f64, request: RequestId, attempt: u32, out: &mut Vec<Output>) {
        let end = AttemptEnd {
            outcome: Outcome::Ok,
            connections: Default::default(),
            wrong_instance: false,
        };
        self.core.attempt_ended(now, request, attempt, end, out);
    }
}

impl FleetProxy for GatewayProxy {
    fn connected(&mut self, now: f64, node: usize) -> Vec<(usize, Frame)> {
        let mut out = Vec::new();
        let ip = controller::ip(node);
        self.core.controller_connected(now, &ip, &mut out);
        self.handle_outputs(now, out)
    }

    fn receive(&mut self, now: f64, node: usize, frame: Frame) -> Vec<(usize, Frame)> {
        let mut out = Vec::new();
        // Instance updates are ignored: the test's backends send no heartbeats, so controllers have
        // no records of them.
        if !matches!(frame, Frame::InstanceUpdates(_)) {
            self.core
                .receive(now, &controller::ip(node), frame, &mut out);
        }
        self.handle_outputs(now, out)
    }

    fn tick(&mut self, now: f64) -> Vec<(usize, Frame)> {
        let mut out = Vec::new();
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.core.tick(now, &mut out);
        }
        if now >= self.next_arrival {
            self.draw_next_arrival();
            let tenant = self.rng.next_u32() as usize % self.tenants;
            self.requests[tenant].sent += 1;
            let request = WaitingRequest {
                tenant,
                received_at: now,
                gives_up_at: now,
            };
            self.admit(now, &request, false, &mut out);
        }
        self.core.run_timers(now, &mut out);
        self.handle_outputs(now, out)
    }

    fn next_tick_delay(&mut self, now: f64) -> f64 {
        let timer = self.core.next_due().unwrap_or(f64::INFINITY);
        let next = self.next_tick.min(self.next_arrival).min(timer);
        (next - now).max(MIN_TICK_DELAY)
    }

    fn fraction(&self, _now: f64, _tenant: usize) -> f64 {
        0.0
    }

    fn requests(&self) -> &[TenantRequests] {
        &self.requests
    }
}
