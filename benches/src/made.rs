//! What is made up. Names and fields have the length and number that the platform's own examples have.

use bytes::Bytes;
use maplefall_gateway_config::{parse_amend, Item};
use maplefall_node_settings::Settings;
use maplefall_service_registry::InstanceRecord;
use std::fmt::Write;
use std::ops::Range;
use std::path::Path;

/// Routes for each host.
const PATHS: usize = 8;
/// Items in one call: fewer than a call may have.
const IN_A_CALL: usize = 50_000;

/// How much of what there is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routes.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Services.
    pub services: usize,
}

/// The name of a service.
pub fn service(n: usize) -> String {
    format!("svc{n:05}a")
}

/// The name of a tenant.
pub fn tenant(n: usize) -> String {
    format!("tn{n:06}")
}

/// A tenant's key.
pub fn key(n: usize) -> String {
    format!("xd9dnn2ctnfzs9{n:06}")
}

/// Host and path of a route.
pub fn place(n: usize) -> (String, String) {
    (
        format!("host{:05}.example", n / PATHS),
        format!("/path{:02}/", n % PATHS),
    )
}

/// The body of an operator's call that sets these items.
pub fn call(
    routes: Range<usize>,
    tenants: Range<usize>,
    services: Range<usize>,
    all: usize,
    version: u32,
) -> String {
    let mut text = String::from("{\"Upsert\":{");
    let comma = |n: usize, range: &Range<usize>| if n > range.start { "," } else { "" };
    text.push_str("\"RouteTable\":{\"ColumnNames\":[\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"SetpointS\",\"Priority\",\"MaxAttempts\",\"Public\",\"Version\",\"Service\"],\"DataRows\":[");
    for n in routes.clone() {
        let (host, path) = place(n);
        let kind = if n % 3 == 0 { "nonidempotent" } else { "safe" };
        let _ = write!(
            text,
            "{}[\"r-{n:06}\",\"{host}\",\"{path}\",\"{kind}\",1.2,0.5,{},2,false,\"{version:08x}\",\"{}\"]",
            comma(n, &routes),
            n % 3,
            service(n % all.max(1))
        );
    }
    text.push_str("]},\"Tenants\":{\"ColumnNames\":[\"Name\",\"ApiKeys\",\"Priority\",\"RatePerS\",\"BurstSize\",\"Version\"],\"DataRows\":[");
    for n in tenants.clone() {
        let (name, key) = (tenant(n), key(n));
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
            service(n)
        );
    }
    text.push_str("]}}}");
    text
}

/// The calls that set up a configuration of this size, services first.
pub fn calls(size: Size) -> Vec<String> {
    let parts = |all: usize| {
        (0..all)
            .step_by(IN_A_CALL)
            .map(move |from| from..(from + IN_A_CALL).min(all))
    };
    let services = parts(size.services).map(|part| call(0..0, 0..0, part, size.services, 7));
    let routes = parts(size.routes).map(|part| call(part, 0..0, 0..0, size.services, 7));
    let tenants = parts(size.tenants).map(|part| call(0..0, part, 0..0, size.services, 7));
    services.chain(routes).chain(tenants).collect()
}

/// The items of a configuration of this size.
pub fn items(size: Size) -> Vec<Item> {
    calls(size)
        .iter()
        .flat_map(|call| {
            parse_amend(call.as_bytes())
                .map(|c| c.items)
                .unwrap_or_default()
        })
        .collect()
}

/// The id of a backend.
pub fn backend(n: usize) -> String {
    format!("i-{:08x}", (n as u32).wrapping_mul(2_654_435_761))
}

/// Where a backend listens.
pub fn address(n: usize) -> String {
    format!("10.{}.{}.{}:8080", 128 + n / 65_536, n / 256 % 256, n % 256)
}

/// The zone of a backend or door, one of eight.
pub fn zone(n: usize) -> String {
    format!("zone-{}", n % 8)
}

/// A word about a backend of one of so many services.
pub fn word(n: usize, services: usize, seq: u64) -> InstanceRecord {
    InstanceRecord {
        id: backend(n),
        service: service(n % services.max(1)),
        address: address(n),
        zone: zone(n),
        capacity: 2,
        state: 0,
        seq,
        warmup_left_ms: 0,
    }
}

/// The body of a beat.
pub fn beat(n: usize, services: usize, seq: u64, state: &str) -> Bytes {
    let (address, service, zone) = (address(n), service(n % services.max(1)), zone(n));
    Bytes::from(format!("{{\"Address\":\"{address}\",\"Details\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"{zone}\",\"Capacity\":2}},\"Observed\":{{\"State\":\"{state}\",\"CallSeq\":{seq},\"WarmupLeftS\":0}}}}"))
}

/// The settings of a process with this address, by those of the exchanges.
pub fn settings(node: &str, ip: &str, exchanges: &[String]) -> Settings {
    let seeds: Vec<String> = exchanges
        .iter()
        .map(|ip| format!("\"{ip}:8381\""))
        .collect();
    let text = format!(
        "Node = \"{node}\"\nIp = \"{ip}\"\nZone = \"zone-0\"\nRegion = \"region-0\"\nInternalPorts = [7560,7575]\nSeedAddrs = [{}]\nBootstrap = true\nQuorumMember = true\nHeartbeatS = 1.5\n",
        seeds.join(",")
    );
    Settings::parse(&text, Path::new("made")).expect("settings that are made up can be read")
}
