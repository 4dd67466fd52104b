//! The cost of changing one route, depending on the size of the configuration: the time from the
//! call to the response at a leader, excluding the disk; the memory of the configuration alone; and
//! the time to build and to patch a proxy's route table.
//!
//! `cargo bench -p maplefall-controller --bench amend` runs with a hundredth, a tenth and all of
//! 77,000 routes, 8,900 services and 480,000 tenants; `PART=0.5` runs with one fraction,
//! `TENANTS=0` with routes and services only.

use maplefall_controller::core::{Call, CallResponse, Core, Output};
use maplefall_controller::store::StoredState;
use maplefall_gateway_config::{parse_amend, ConfigState, RouteTable};
use maplefall_node_settings::Settings;
use std::path::Path;
use std::time::Instant;

const ROUTES: usize = 77_000;
const SERVICES: usize = 8_900;
const TENANTS: usize = 480_000;
/// Number of items per call while the controller is filled.
const ITEMS_PER_CALL: usize = 50_000;
/// Number of changes that are timed.
const TIMED_CHANGES: usize = 40;

const SETTINGS: &str =
    "Node = \"core\"\nServes = [\"controller\"]\nIp = \"10.0.0.1\"\nInternalPorts = [7560,7575]\n\
                        SeedAddrs = [\"10.0.0.1:8381\"]\nBootstrap = true\nQuorumMember = true\n";

struct SingleController {
    core: Core,
    now: f64,
    calls: u64,
}

impl SingleController {
    fn new() -> SingleController {
        let settings = Settings::parse(SETTINGS, Path::new("bench")).expect("settings");
        let mut out = Vec::new();
        let core = Core::new(&settings, 0.0, 7, StoredState::default(), &mut out);
        let mut controller = SingleController {
            core,
            now: 0.0,
            calls: 0,
        };
        controller.carry_out(out);
        for _ in 0..30 {
            controller.now += 100.0;
            let mut out = Vec::new();
            controller.core.tick(controller.now, &mut out);
            controller.carry_out(out);
        }
        controller
    }

    /// Carries out the outputs of a controller, with writes persisted at once; returns the
    /// response, if there is one.
    fn carry_out(&mut self, out: Vec<Output>) -> Option<CallResponse> {
        let mut response = None;
        for output in out {
            match output {
                Output::Write(number, _) => {
                    let mut more = Vec::new();
                    self.core.persisted(self.now, number, &mut more);
                    response = self.carry_out(more).or(response);
                }
                Output::Respond(_, call_response) => response = Some(call_response),
                _ => {}
            }
        }
        response
    }

    fn amend(&mut self, body: String) -> Option<CallResponse> {
        self.calls += 1;
        let mut out = Vec::new();
        self.core
            .call(self.now, self.calls, Call::Amend(body.into()), &mut out);
        self.carry_out(out)
    }
}

/// Returns the calls that fill a list.
fn fill_calls<'a>(
    list: &'a str,
    columns: &'a str,
    count: usize,
    row: impl Fn(usize) -> String + 'a,
) -> impl Iterator<Item = String> + 'a {
    (0..count).step_by(ITEMS_PER_CALL).map(move |start| {
        let rows: Vec<String> = (start..count.min(start + ITEMS_PER_CALL))
            .map(&row)
            .collect();
        let rows = rows.join(",");
        format!(
            "{{\"Upsert\":{{\"{list}\":{{\"ColumnNames\":[{columns}],\"DataRows\":[{rows}]}}}}}}"
        )
    })
}

const ROUTE_COLUMNS: &str = "\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"SetpointS\",\"Priority\",\"TrafficSplit\",\"MaxAttempts\",\"Public\",\"Version\",\"Service\"";

fn route(n: usize, services: usize, version: usize) -> String {
    let (a, b) = ((n + version) % services, (n * 7 + 1) % services);
    let split = if n.is_multiple_of(2) {
        format!("[{{\"Service\":\"svc{a}\",\"Weight\":90}},{{\"Service\":\"svc{b}\",\"Weight\":10}}],2,false,\"{version:08x}\",null")
    } else {
        format!("null,2,false,\"{version:08x}\",\"svc{a}\"")
    };
    format!(
        "[\"r-{n:06}\",\"host{}.example\",\"/lepu{n}/\",\"safe\",2.5,0.4,2,{split}]",
        n / 10
    )
}

fn memory_mib(field: &str) -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let status_line = status
        .lines()
        .find(|status_line| status_line.starts_with(field))
        .unwrap_or_default();
    let kib: f64 = status_line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    kib / 1024.0
}

/// Returns all calls that fill the configuration.
fn all_fill_calls(routes: usize, services: usize, tenants: usize) -> impl Iterator<Item = String> {
    let service = |n| format!("[\"svc{n}\",\"/health\",130,\"h1\",false,\"00000001\"]");
    let tenant = |n| {
        format!("[\"t-{n:06}\",[\"xd9dnn2ctnfzs9{n:06}\",\"wsjnbanfqasnmg{n:06}\"],0,122,122,\"00000001\"]")
    };
    let columns = "\"Name\",\"HealthPath\",\"ConnLimit\",\"Protocol\",\"Tls\",\"Version\"";
    let tenant_columns = "\"Name\",\"ApiKeys\",\"Priority\",\"RatePerS\",\"BurstSize\",\"Version\"";
    fill_calls("Services", columns, services, service)
        .chain(fill_calls("RouteTable", ROUTE_COLUMNS, routes, move |n| {
            route(n, services, 1)
        }))
        .chain(fill_calls("Tenants", tenant_columns, tenants, tenant))
}

/// Returns a call that changes one route.
fn change_route_call(change: usize, routes: usize, services: usize) -> String {
    let row = route(change * 31 % routes, services, 2 + change);
    format!("{{\"Upsert\":{{\"RouteTable\":{{\"ColumnNames\":[{ROUTE_COLUMNS}],\"DataRows\":[{row}]}}}}}}")
}

fn run(fraction: f64) {
    let scaled = |total: usize| ((total as f64 * fraction) as usize).max(1);
    let tenants = std::env::var("TENANTS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(TENANTS);
    let (routes, services, tenants) = (
        scaled(ROUTES),
        scaled(SERVICES),
        (tenants as f64 * fraction) as usize,
    );
    let before = memory_mib("VmRSS");
    let mut config = ConfigState::default();
    for body in all_fill_calls(routes, services, tenants) {
        config.apply(&parse_amend(body.as_bytes()).expect("a call"));
    }
    let config_mb = memory_mib("VmRSS") - before;
    let start = Instant::now();
    let mut table = RouteTable::from_items(&config);
    let table_ms = start.elapsed().as_secs_f64() * 1e3;
    let mut times = Vec::new();
    for change in 0..TIMED_CHANGES {
        let change =
            parse_amend(change_route_call(change, routes, services).as_bytes()).expect("a call");
        let start = Instant::now();
        config.apply(&change);
        table.patch(&config, [&change].into_iter());
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    let (routes_now, patch_us) = (table.routes.len(), times[TIMED_CHANGES / 2]);
    println!("routes={routes_now} config_mb={config_mb:.0} table_ms={table_ms:.1} patch_median_us={patch_us:.0}");
    drop((table, config));
    let mut controller = SingleController::new();
    for body in all_fill_calls(routes, services, tenants) {
        assert_eq!(
            controller.amend(body),
            Some(CallResponse::Ok("{}".to_owned()))
        );
    }
    let mut times = Vec::new();
    for change in 0..TIMED_CHANGES {
        let body = change_route_call(change, routes, services);
        let start = Instant::now();
        let response = controller.amend(body);
        times.push(start.elapsed().as_secs_f64() * 1e6);
        assert_eq!(response, Some(CallResponse::Ok("{}".to_owned())));
    }
    times.sort_by(f64::total_cmp);
    println!(
        "routes={routes} services={services} tenants={tenants} median_us={:.0} worst_us={:.0} rss_mb={:.0} peak_mb={:.0}",
        times[TIMED_CHANGES / 2],
        times[TIMED_CHANGES - 1],
        memory_mib("VmRSS"),
        memory_mib("VmHWM")
    );
}

fn main() {
    match std::env::var("PART")
        .ok()
        .and_then(|fraction| fraction.parse().ok())
    {
        Some(fraction) => run(fraction),
        None => [0.01, 0.1, 1.0].into_iter().for_each(run),
    }
}
