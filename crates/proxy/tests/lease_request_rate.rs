//! How often a proxy asks a controller for leases while its tenants find no token: few proxies may ask often, many together may not
//! (incident ACKS, `docs/incidents/2026-12-acks-grown.md`).

use maplefall_control_messages::{ConfigUpdate, Frame, InstanceUpdates};
use maplefall_gateway_config::parse_amend;
use maplefall_node_settings::Settings;
use maplefall_proxy::{Core, IncomingRequest, Output};
use maplefall_quota_lease::LeaseGrant;
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::path::Path;

const CONTROLLER: &str = "10.0.0.1";
const TENANTS: usize = 40;
/// Simulated time, in milliseconds.
const DURATION: usize = 10_000;
/// Between two ticks of a proxy, in milliseconds.
const TICK: usize = 500;
/// The seed and incarnation of the proxy.
const INCARNATION: u64 = 5;

fn configuration() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| format!("[\"t{tenant}\",[\"k{tenant}\"],10,10,\"00000001\"]"))
        .collect();
    format!(
        r#"{{"Upsert":{{"RouteTable":{{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],
        "DataRows":[["r1","h.example","/safe/","safe",20,0.2,3,"00000001","one"]]}},
        "Services":{{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}},
        "Tenants":{{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[{}]}}}}}}"#,
        tenants.join(",")
    )
}

/// A proxy with a backend and a controller that leases it nothing and knows so many proxies.
fn proxy_without_leases(client_count: u32) -> Core {
    let text = "Node = \"edge\"\nIp = \"10.1.0.1\"\nInternalPorts = [1,1]\nSeedAddrs = [\"10.0.0.1:1\"]\nBootstrap = false\nZone = \"z\"\n";
    let settings = Settings::parse(text, Path::new("edge.toml")).expect("settings");
    let mut core = Core::new(&settings, INCARNATION);
    let mut out = Vec::new();
    let items = parse_amend(configuration().as_bytes())
        .expect("a configuration")
        .items;
    let config = ConfigUpdate {
        index: 1,
        items,
        ..ConfigUpdate::default()
    };
    let backend = InstanceRecord {
        id: "i-1".to_owned(),
        service: "one".to_owned(),
        address: "10.2.0.1:80".to_owned(),
        zone: "z".to_owned(),
        capacity: 8,
        state: InstanceState::Serving as i32,
        seq: 1,
        warmup_left_ms: 0,
    };
    let instances = InstanceUpdates {
        records: vec![backend],
        complete: true,
        ack_number: 0,
    };
    core.controller_connected(0.0, CONTROLLER, &mut out);
    core.receive(0.0, CONTROLLER, Frame::ConfigUpdate(config), &mut out);
    core.receive(0.0, CONTROLLER, Frame::InstanceUpdates(instances), &mut out);
    let grant = LeaseGrant {
        sequence: 1,
        request: 1,
        client_count,
        client_incarnation: INCARNATION,
        server_incarnation: 9,
        ..LeaseGrant::default()
    };
    core.receive(0.0, CONTROLLER, Frame::LeaseGrant(grant), &mut out);
    core
}

fn count_lease_requests(out: &[Output]) -> usize {
    out.iter()
        .filter(|output| matches!(output, Output::SendToController(_, Frame::LeaseRequest(_))))
        .count()
}

/// How many lease requests the proxy sends a second, while a request of some tenant arrives every millisecond.
fn lease_requests_per_second(client_count: u32) -> f64 {
    let mut core = proxy_without_leases(client_count);
    let mut count = 0;
    for ms in 1..=DURATION {
        let now = ms as f64;
        let key = format!("k{}", ms * 7 % TENANTS);
        let incoming = IncomingRequest {
            host: "h.example",
            path: "/safe/1",
            api_key: Some(&key),
            remaining: Some(2000.0),
            received_at: now,
            is_retry: false,
        };
        let mut out = Vec::new();
        let admitted = core.admit(now, &incoming, &mut out);
        assert!(admitted.is_err(), "a request without a token at {now} ms");
        if ms % TICK == 0 {
            core.tick(now, &mut out);
        }
        count += count_lease_requests(&out);
    }
    count as f64 * 1000.0 / DURATION as f64
}

/// Whatever their number, proxies that are starved ask a controller some 500 times a second together, besides their ticks.
#[test]
fn starved_proxies_ask_a_controller_at_a_bounded_rate() {
    let ticks = 1000.0 / TICK as f64;
    for client_count in [50, 87, 300, 1000] {
        let urgent = lease_requests_per_second(client_count) - ticks;
        let together = urgent * f64::from(client_count);
        // Each may begin with what it has saved up: 200 ms.
        assert!(
            together < 500.0 * 1.05 + f64::from(client_count),
            "{client_count} proxies ask {together} times a second"
        );
    }
}

/// A starved proxy of a small deployment asks as soon as 60 ms after its last request.
#[test]
fn few_proxies_ask_soon() {
    let rate = lease_requests_per_second(11);
    assert!(rate > 15.0, "{rate} a second");
}
