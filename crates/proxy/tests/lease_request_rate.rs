//! The rate of lease requests of proxies whose tenants find no token: a few proxies may request
//! often, many together may not (incident ACKS, `docs/incidents/2026-12-acks-grown.md`).

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
const DURATION_MS: usize = 10_000;
/// Interval between two ticks of a proxy, in milliseconds.
const TICK_MS: usize = 500;
/// Seed and incarnation of the proxy.
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

/// Returns a proxy with a backend and a controller that leases nothing to it and reports
/// `client_count` proxies.
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

/// Returns the lease requests per second that a proxy sends while every millisecond a request of
/// some tenant arrives.
fn lease_request_rate(client_count: u32) -> f64 {
    let mut core = proxy_without_leases(client_count);
    let mut count = 0;
    for ms in 1..=DURATION_MS {
        let now = ms as f64;
        let key = format!("k{}", ms * 7 % TENANTS);
        let incoming = IncomingRequest {
            host: "h.example",
            path: "/safe/1",
            api_key: Some(&key),
            remaining: Some(2000.0),
            received_at: now,
            is_repeated_admission: false,
        };
        let mut out = Vec::new();
        let admitted = core.admit(now, &incoming, &mut out);
        assert!(
            admitted.is_err(),
            "a request was admitted without a token at {now} ms"
        );
        if ms % TICK_MS == 0 {
            core.tick(now, &mut out);
        }
        count += count_lease_requests(&out);
    }
    count as f64 * 1000.0 / DURATION_MS as f64
}

/// Starved proxies send a controller some 500 lease requests per second in total, whatever their
/// number, besides the requests that they send at each tick.
#[test]
fn lease_requests_of_starved_proxies_are_bounded_in_total() {
    let ticks = 1000.0 / TICK_MS as f64;
    for client_count in [50, 87, 300, 1000] {
        let urgent_rate = lease_request_rate(client_count) - ticks;
        let total = urgent_rate * f64::from(client_count);
        // Each proxy may start with a credit of 200 ms of unused intervals between urgent requests.
        assert!(
            total < 500.0 * 1.05 + f64::from(client_count),
            "{client_count} proxies send {total} lease requests per second"
        );
    }
}

/// A starved proxy of a small deployment requests again as soon as 60 ms after its last request.
#[test]
fn a_starved_proxy_of_a_small_fleet_requests_leases_often() {
    let rate = lease_request_rate(11);
    assert!(rate > 15.0, "only {rate} lease requests per second");
}
