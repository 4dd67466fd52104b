//! Synthetic data. Names and fields have the length and number that the platform's own examples
//! have.

use bytes::Bytes;
use maplefall_gateway_config::{parse_amend, Item};
use maplefall_node_settings::Settings;
use maplefall_service_registry::InstanceRecord;
use std::fmt::Write;
use std::ops::Range;
use std::path::Path;

const PATHS_PER_HOST: usize = 8;
/// Items in one configuration call, below the limit of a call.
const ITEMS_PER_CALL: usize = 50_000;

/// The size of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routes.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Services.
    pub services: usize,
}

/// Returns the name of service `n`.
pub fn service_name(n: usize) -> String {
    format!("svc{n:05}a")
}

/// Returns the name of tenant `n`.
pub fn tenant_name(n: usize) -> String {
    format!("tn{n:06}")
}

/// Returns the API key of tenant `n`.
pub fn api_key(n: usize) -> String {
    format!("xd9dnn2ctnfzs9{n:06}")
}

/// Returns the host and path of route `n`.
pub fn host_and_path(n: usize) -> (String, String) {
    (
        format!("host{:05}.example", n / PATHS_PER_HOST),
        format!("/path{:02}/", n % PATHS_PER_HOST),
    )
}

/// Returns the body of an operator's call that sets these items. Route `n` uses service
/// `n % service_count`.
pub fn upsert_body(
    routes: Range<usize>,
    tenants: Range<usize>,
    services: Range<usize>,
    service_count: usize,
    version: u32,
) -> String {
    let mut text = String::from("{\"Upsert\":{");
    let comma = |n: usize, range: &Range<usize>| if n > range.start { "," } else { "" };
    text.push_str("\"RouteTable\":{\"ColumnNames\":[\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"SetpointS\",\"Priority\",\"MaxAttempts\",\"Public\",\"Version\",\"Service\"],\"DataRows\":[");
    for n in routes.clone() {
        let (host, path) = host_and_path(n);
        let kind = if n % 3 == 0 { "nonidempotent" } else { "safe" };
        let _ = write!(
            text,
            "{}[\"r-{n:06}\",\"{host}\",\"{path}\",\"{kind}\",1.2,0.5,{},2,false,\"{version:08x}\",\"{}\"]",
            comma(n, &routes),
            n % 3,
            service_name(n % service_count.max(1))
        );
    }
    text.push_str("]},\"Tenants\":{\"ColumnNames\":[\"Name\",\"ApiKeys\",\"Priority\",\"RatePerS\",\"BurstSize\",\"Version\"],\"DataRows\":[");
    for n in tenants.clone() {
        let (name, key) = (tenant_name(n), api_key(n));
        let _ = write!(
            text,
            "{}[\"{name}\",[\"{key}\"],0,94,94,\"{version:08x}\"]",
            comma(n, &tenants)
        );
    }
    text.push_str("]},\"Services\":{\"ColumnNames\":[\"Name\",\"HealthPath\",\"ConnLimit\",\"Protocol\",\"Tls\",\"Version\"],\"DataRows\":[");
    for n in services.clone() {
        let _ = write!(
            text,
            "{}[\"{}\",\"/health\",130,\"h1\",false,\"{version:08x}\"]",
            comma(n, &services),
            service_name(n)
        );
    }
    text.push_str("]}}}");
    text
}

/// Returns the calls that set up a configuration of this size, services first.
pub fn config_calls(size: Size) -> Vec<String> {
    let ranges = |all: usize| {
        (0..all)
            .step_by(ITEMS_PER_CALL)
            .map(move |from| from..(from + ITEMS_PER_CALL).min(all))
    };
    let services =
        ranges(size.services).map(|range| upsert_body(0..0, 0..0, range, size.services, 7));
    let routes = ranges(size.routes).map(|range| upsert_body(range, 0..0, 0..0, size.services, 7));
    let tenants =
        ranges(size.tenants).map(|range| upsert_body(0..0, range, 0..0, size.services, 7));
    services.chain(routes).chain(tenants).collect()
}

/// Returns the items of a configuration of this size.
pub fn items(size: Size) -> Vec<Item> {
    config_calls(size)
        .iter()
        .flat_map(|call| {
            parse_amend(call.as_bytes())
                .map(|c| c.items)
                .unwrap_or_default()
        })
        .collect()
}

/// Returns the ID of backend `n`.
pub fn backend_id(n: usize) -> String {
    format!("i-{:08x}", (n as u32).wrapping_mul(2_654_435_761))
}

/// Returns the address on which backend `n` listens.
pub fn address(n: usize) -> String {
    format!("10.{}.{}.{}:8080", 128 + n / 65_536, n / 256 % 256, n % 256)
}

/// Returns the zone of backend or proxy `n`, one of eight.
pub fn zone(n: usize) -> String {
    format!("zone-{}", n % 8)
}

/// Returns the registry record of backend `n`, an instance of service `n % services`.
pub fn instance_record(n: usize, services: usize, seq: u64) -> InstanceRecord {
    InstanceRecord {
        id: backend_id(n),
        service: service_name(n % services.max(1)),
        address: address(n),
        zone: zone(n),
        capacity: 2,
        state: 0,
        seq,
        warmup_left_ms: 0,
    }
}

/// Returns the body of a heartbeat call of backend `n`.
pub fn heartbeat_body(n: usize, services: usize, seq: u64, state: &str) -> Bytes {
    let (address, service, zone) = (address(n), service_name(n % services.max(1)), zone(n));
    Bytes::from(format!("{{\"Address\":\"{address}\",\"Details\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"{zone}\",\"Capacity\":2}},\"Observed\":{{\"State\":\"{state}\",\"CallSeq\":{seq},\"WarmupLeftS\":0}}}}"))
}

/// Returns the settings of a process at `ip`, with the controllers as seeds.
pub fn settings(node: &str, ip: &str, controller_ips: &[String]) -> Settings {
    let seeds: Vec<String> = controller_ips
        .iter()
        .map(|ip| format!("\"{ip}:8381\""))
        .collect();
    let text = format!(
        "Node = \"{node}\"\nIp = \"{ip}\"\nZone = \"zone-0\"\nRegion = \"region-0\"\nInternalPorts = [7560,7575]\nSeedAddrs = [{}]\nBootstrap = true\nQuorumMember = true\nHeartbeatS = 1.5\n",
        seeds.join(",")
    );
    Settings::parse(&text, Path::new("made")).expect("synthetic settings are valid")
}
