//! Stops and replaces proxies, drains backends and changes the configuration, without waiting for
//! one of these to end before the next.

use super::common::random::Random;
use super::common::{TestProxy, CONFIGURATION};
use super::World;
use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::parse_amend;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const PROXIES: usize = 3;
const MAX_STEP_DELAY_MS: usize = 60;
const MAX_DRAIN_DELAY_MS: usize = 120;
const MIN_GRACE_MS: usize = 300;
const MAX_GRACE_MS: usize = 900;
/// Timeout of the routes in seconds, in place of the 20 s of the tests' configuration: less than
/// the longest grace period, more than the shortest.
const ROUTE_TIMEOUT_S: &str = "0.4";
/// Part of the grace period that a process reserves for its exit.
const EXIT_RESERVE: Duration = Duration::from_millis(100);
const MAX_SOCKETS: usize = 4096;

pub struct Operator {
    world: Rc<World>,
    random: Random,
    backends: Vec<SocketAddr>,
    proxies: Vec<TestProxy>,
    stopping: Vec<JoinHandle<()>>,
    stops: usize,
    changes: u32,
    seed: u64,
    /// Whether clients go on connecting to stopping proxies, as they do if most proxies of a zone
    /// stop at once.
    publishes_stopping_proxies: bool,
    /// Addresses of stopping proxies that may still accept.
    stopping_addresses: Vec<SocketAddr>,
}

fn configuration(version: u32) -> String {
    CONFIGURATION
        .replace(",20,", &format!(",{ROUTE_TIMEOUT_S},"))
        .replace("\"00000001\"", &format!("\"{version:08x}\""))
}

impl Operator {
    pub async fn start(world: Rc<World>, seed: u64, backends: Vec<SocketAddr>) -> Operator {
        let mut operator = Operator {
            world,
            random: Random::new(seed),
            backends,
            proxies: Vec::new(),
            stopping: Vec::new(),
            stops: 0,
            changes: 1,
            seed,
            publishes_stopping_proxies: seed.is_multiple_of(2),
            stopping_addresses: Vec::new(),
        };
        for _ in 0..PROXIES {
            operator.start_proxy().await;
        }
        operator
    }

    /// Takes one step, and waits for a random time that may be 0.
    pub async fn step(&mut self) {
        match self.random.below(10) {
            0..4 => self.replace_proxy().await,
            4..7 => self.change_configuration(),
            _ => self.drain_or_restore_backend(),
        }
        let delay = self.random.below(MAX_STEP_DELAY_MS) as u64;
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }

    pub async fn stop_all(&mut self) {
        while let Some(proxy) = self.proxies.pop() {
            self.stop(proxy);
        }
        for stopping in self.stopping.drain(..) {
            stopping.await.expect("a shutdown");
        }
    }

    /// Whether clients go on connecting to stopping proxies.
    pub fn publishes_stopping_proxies(&self) -> bool {
        self.publishes_stopping_proxies
    }

    pub fn summary(&self) -> String {
        format!("stops={} changes={}", self.stops, self.changes)
    }

    async fn start_proxy(&mut self) {
        self.seed += 1;
        let proxy = TestProxy::with_configuration(
            self.seed,
            &self.backends,
            MAX_SOCKETS,
            &configuration(1),
        )
        .await;
        self.proxies.push(proxy);
        self.publish_proxies();
    }

    /// Starts the new proxy before it stops the old one, whose connections stay in use until it
    /// closes them.
    async fn replace_proxy(&mut self) {
        self.start_proxy().await;
        let chosen = self.random.below(self.proxies.len() - 1);
        let proxy = self.proxies.remove(chosen);
        if self.publishes_stopping_proxies {
            self.stopping_addresses.push(proxy.address);
            let excess = self.stopping_addresses.len().saturating_sub(PROXIES);
            self.stopping_addresses.drain(..excess);
        }
        self.publish_proxies();
        self.stop(proxy);
    }

    fn publish_proxies(&self) {
        let addresses = self.proxies.iter().map(|proxy| proxy.address);
        let stopping = self.stopping_addresses.iter().copied();
        *self.world.proxies.borrow_mut() = addresses.chain(stopping).collect();
    }

    fn stop(&mut self, proxy: TestProxy) {
        self.stops += 1;
        let drain = Duration::from_millis(self.random.below(MAX_DRAIN_DELAY_MS) as u64);
        let grace_ms = MIN_GRACE_MS + self.random.below(MAX_GRACE_MS - MIN_GRACE_MS);
        self.stopping.push(tokio::task::spawn_local(async move {
            proxy.proxy.with_core(|core| core.shut_down());
            let deadline = Instant::now() + Duration::from_millis(grace_ms as u64);
            proxy.server.shut_down_by(drain, deadline).await;
            tokio::time::sleep_until(deadline + EXIT_RESERVE).await;
            assert!(
                !proxy.proxy.with_core(|core| core.has_pending_requests()),
                "requests are pending when their process ends, after {grace_ms} ms"
            );
        }));
    }

    /// Sends all items of the configuration to all proxies, with a newer version.
    fn change_configuration(&mut self) {
        let previous = self.changes;
        self.changes += 1;
        let text = configuration(self.changes);
        let items = parse_amend(text.as_bytes()).expect("a configuration").items;
        let update = ConfigUpdate {
            after: 0,
            index: u64::from(previous) + 1,
            changes: Vec::new(),
            items,
            controllers: Vec::new(),
        };
        self.send_to_all(&Frame::ConfigUpdate(update));
    }

    /// Sets one of the backends to draining or to serving.
    fn drain_or_restore_backend(&mut self) {
        self.changes += 1;
        let number = self.random.below(self.backends.len());
        let state = if self.random.percent(40) {
            InstanceState::Draining
        } else {
            InstanceState::Serving
        };
        let record = InstanceRecord {
            id: format!("i-{number}"),
            service: "one".to_owned(),
            address: self.backends[number].to_string(),
            zone: "z".to_owned(),
            capacity: 8,
            state: state as i32,
            seq: u64::from(self.changes),
            warmup_left_ms: 0,
        };
        let updates = InstanceUpdates {
            records: vec![record],
            complete: false,
            ack_number: 0,
        };
        self.send_to_all(&Frame::InstanceUpdates(updates));
    }

    fn send_to_all(&self, frame: &Frame) {
        for proxy in &self.proxies {
            proxy
                .proxy
                .drive(|core, now, out| core.receive(now, "x", frame.clone(), out));
        }
    }
}
