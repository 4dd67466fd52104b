//! Shared by the tests: a proxy within the test process that has its configuration and backends, a
//! plain HTTP parser, a server on a loopback port, a backend that holds requests, and a seeded random number generator.

#![allow(dead_code, reason = "each test uses only some of it")]

pub mod bulk;
pub mod http;
pub mod listener;
pub mod random;
pub mod slow_backend;

use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::parse_amend;
use maplefall_node_settings::Settings;
use maplefall_proxy::downstream::DownstreamServer;
use maplefall_proxy::driver::Proxy;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Routes to one service: `/safe/` is idempotent, `/once/` is not; `/patient/` is idempotent and
/// has a latency target of 10 s and long attempt timeouts.
pub const CONFIGURATION: &str = r#"{"Upsert":{"RouteTable":{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/safe/","safe",20,0.2,3,"00000001","one"],["r2","h.example","/once/","nonidempotent",20,0.2,3,"00000001","one"],["r3","h.example","/patient/","safe",20,10,3,"00000001","one"]]},"Services":{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}}}"#;

/// Budget of descriptors of a proxy.
const MAX_SOCKETS: usize = 4096;

/// Returns the settings of a proxy that listens at `address`, with the default bounds.
pub fn settings_of(address: SocketAddr) -> Settings {
    let text = format!(
        "Node = \"edge\"\nIp = \"127.0.0.1\"\nInternalPorts = [1,1]\nSeedAddrs = [\"127.0.0.1:1\"]\nBootstrap = true\nZone = \"z\"\n[Bind]\nFrontHttp = \"{address}\"\nReadyProbe = \"{address}\"\n"
    );
    Settings::parse(&text, Path::new("edge.toml")).expect("settings")
}

/// Returns a controller's update with a complete configuration.
pub fn config_update(configuration: &str) -> Frame {
    let amendment = parse_amend(configuration.as_bytes()).expect("a configuration");
    Frame::ConfigUpdate(ConfigUpdate {
        after: 0,
        index: 1,
        changes: Vec::new(),
        items: amendment.items,
        controllers: Vec::new(),
    })
}

/// Returns a controller's complete list of the instances of service `one`, named from `i-0` on, all
/// serving.
pub fn serving_instances(addresses: &[SocketAddr]) -> Frame {
    let records = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| InstanceRecord {
            id: format!("i-{number}"),
            service: "one".to_owned(),
            address: address.to_string(),
            zone: "z".to_owned(),
            capacity: 8,
            state: InstanceState::Serving as i32,
            seq: 1,
            warmup_left_ms: 0,
        });
    Frame::InstanceUpdates(InstanceUpdates {
        records: records.collect(),
        complete: true,
        ack_number: 0,
    })
}

/// Returns the addresses of `count` backends that no test connects to.
pub fn unused_addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|number| SocketAddr::from(([127, 0, 0, 1], 1000 + number)))
        .collect()
}

/// A proxy that serves clients on a loopback port until it is dropped.
pub struct TestProxy {
    pub proxy: Rc<Proxy>,
    pub server: Rc<DownstreamServer>,
    pub address: SocketAddr,
    tasks: Vec<AbortHandle>,
}

impl TestProxy {
    /// Starts a proxy with [`CONFIGURATION`] and these backends; its retry budget allows any retry.
    pub async fn start(seed: u64, backends: &[SocketAddr]) -> TestProxy {
        TestProxy::with_sockets(seed, backends, MAX_SOCKETS).await
    }

    /// Starts a proxy with a limit on its descriptors.
    pub async fn with_sockets(seed: u64, backends: &[SocketAddr], max_sockets: usize) -> TestProxy {
        TestProxy::with_configuration(seed, backends, max_sockets, CONFIGURATION).await
    }

    /// Starts a proxy with a configuration other than [`CONFIGURATION`].
    pub async fn with_configuration(
        seed: u64,
        backends: &[SocketAddr],
        max_sockets: usize,
        configuration: &str,
    ) -> TestProxy {
        TestProxy::with_settings(seed, backends, max_sockets, configuration, |_| {}).await
    }

    /// Starts a proxy with [`CONFIGURATION`] and this memory limit.
    pub async fn with_memory(seed: u64, backends: &[SocketAddr], memory_mb: u64) -> TestProxy {
        let change = |settings: &mut Settings| settings.limits.memory_mb = memory_mb;
        TestProxy::with_settings(seed, backends, MAX_SOCKETS, CONFIGURATION, change).await
    }

    async fn with_settings(
        seed: u64,
        backends: &[SocketAddr],
        max_sockets: usize,
        configuration: &str,
        change: impl FnOnce(&mut Settings),
    ) -> TestProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut settings = settings_of(address);
        change(&mut settings);
        (
            settings.bounds.retry_budget_ratio,
            settings.bounds.retry_slack,
        ) = (50.0, 10_000.0);
        let proxy = Proxy::new(&settings, seed);
        let config = config_update(configuration);
        let instances = serving_instances(backends);
        proxy.drive(|core, now, out| {
            core.receive(now, "x", config, out);
            core.receive(now, "x", instances, out);
        });
        let server = DownstreamServer::new(proxy.clone(), max_sockets);
        server.serve(listener);
        let tasks = vec![
            tokio::task::spawn_local(proxy.clone().run_timers()).abort_handle(),
            tokio::task::spawn_local(proxy.clone().close_idle_periodically()).abort_handle(),
        ];
        TestProxy {
            proxy,
            server,
            address,
            tasks,
        }
    }
}

impl Drop for TestProxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.server.close_listener();
    }
}
