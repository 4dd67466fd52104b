//! Tenants whose quota is small compared with the number of proxies (incident SHORT,
//! `docs/incidents/2026-12-gone-short.md`): requests within the quota are served by whichever
//! proxies they reach, and no more than the quota is served.

#[path = "common/processor/mod.rs"]
mod processor;

use maplefall_controller::Call;
use processor::{Fleet, FleetSize, TenantRequests, Traffic};

/// Requests per second that a tenant may send, and its burst size.
const QUOTA: f64 = 37.0;
/// Fraction of its quota that each tenant sends; `quota_x`, the ratio of quota to load in the
/// deployments, is 1.6.
const USED_FRACTION: f64 = 1.0 / 1.6;
/// Minimum fraction of the requests that is served: of all tenants' requests together, and of the
/// requests of each single tenant.
const MIN_SERVED: f64 = 0.95;
const MIN_SERVED_OF_TENANT: f64 = 0.8;
/// Maximum time until an amendment is acknowledged: `AckS` of the deployments, in milliseconds.
const ACK_TIMEOUT: f64 = 6000.0;
const TRAFFIC_BEGINS_AT: f64 = 10_000.0;
const TRAFFIC_MS: f64 = 15_000.0;
/// Default bounds in the settings on what a tenant is served (rule QUOTA): in any window of
/// `WINDOW_MS`, its quota times one plus `OVERSHOOT`, plus `SLACK` requests.
const WINDOW_MS: f64 = 5000.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Returns the initial amendment: all tenants, a service and a route.
fn initial_amendment(tenants: usize) -> Call {
    let rows: Vec<String> = (0..tenants)
        .map(|tenant| {
            format!("[\"tenant{tenant}\",[\"key{tenant}\"],{QUOTA},{QUOTA},\"00000001\"]")
        })
        .collect();
    let rows = rows.join(",");
    Call::Amend(
        format!(
            r#"{{"Upsert":{{"RouteTable":{{"ColumnNames":["Name","Host","PathPrefix","RouteKind","TimeoutS","SetpointS","MaxAttempts","Version","Service"],"DataRows":[["r1","h.example","/","safe",2,0.8,2,"00000001","one"]]}},"Services":{{"ColumnNames":["Name","HealthPath","Version"],"DataRows":[["one","/health","00000001"]]}},"Tenants":{{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[{rows}]}}}}}}"#
        )
        .into(),
    )
}

/// Runs a fleet whose tenants send this fraction of their quotas; returns the outcome by tenant.
fn run_fleet(size: &FleetSize, used_fraction: f64, seed: u64) -> Vec<TenantRequests> {
    let traffic = Traffic {
        rate: QUOTA * used_fraction,
        begins_at: TRAFFIC_BEGINS_AT,
        seed,
    };
    let mut fleet = Fleet::with_gateways(size, &traffic);
    fleet.run(500.0);
    let took = fleet.call_until_ok(&initial_amendment(size.tenants), ACK_TIMEOUT);
    assert!(took.is_some(), "the initial amendment is not acknowledged");
    fleet.run(TRAFFIC_BEGINS_AT + TRAFFIC_MS - fleet.now);
    fleet.requests()
}

/// Returns the maximum number of requests served in any window of [`WINDOW_MS`].
fn max_requests_in_window(served_at: &[f64]) -> usize {
    let mut times = served_at.to_vec();
    times.sort_by(f64::total_cmp);
    let in_window = |(from, at): (usize, &f64)| {
        times[from..]
            .iter()
            .take_while(|later| **later <= at + WINDOW_MS)
            .count()
    };
    times.iter().enumerate().map(in_window).max().unwrap_or(0)
}

fn assert_within_quota(requests: &[TenantRequests]) {
    let bound = (QUOTA * WINDOW_MS / 1000.0 + QUOTA) * (1.0 + OVERSHOOT) + SLACK;
    for (tenant, tenant_requests) in requests.iter().enumerate() {
        let max_served = max_requests_in_window(&tenant_requests.served_at);
        assert!(
            max_served as f64 <= bound,
            "{max_served} requests of tenant {tenant} in a window, {bound} allowed"
        );
    }
}

fn assert_small_tenants_are_served(size: &FleetSize) {
    let requests = run_fleet(size, USED_FRACTION, 1);
    assert_within_quota(&requests);
    let served_fraction =
        |tenant: &TenantRequests| tenant.served_at.len() as f64 / tenant.sent.max(1) as f64;
    let sent: usize = requests.iter().map(|tenant| tenant.sent).sum();
    let served: usize = requests.iter().map(|tenant| tenant.served_at.len()).sum();
    let min_served = requests.iter().map(served_fraction).fold(1.0, f64::min);
    let fraction = served as f64 / sent as f64;
    assert!(
        fraction >= MIN_SERVED && min_served >= MIN_SERVED_OF_TENANT,
        "{fraction:.2} of {sent} requests were served, {min_served:.2} of one tenant's"
    );
}

/// The deployment of incident SHORT: 87 proxies, 85 tenants and 4 controllers.
#[test]
fn small_tenants_are_served_by_ninety_proxies() {
    assert_small_tenants_are_served(&FleetSize {
        controllers: 4,
        proxies: 87,
        tenants: 85,
        lease_request_cost: 0.0,
    });
}

/// Three times as many proxies as in incident SHORT, with the same processor share at the
/// controllers.
#[test]
fn small_tenants_are_served_by_three_hundred_proxies() {
    assert_small_tenants_are_served(&FleetSize {
        controllers: 3,
        proxies: 260,
        tenants: 85,
        lease_request_cost: 0.0,
    });
}

/// Tenants that send four times their quota are served all of their quota, and in no window more
/// than the quota with the overshoot and the slack that the settings allow.
#[test]
fn greedy_tenants_get_their_quota_and_no_more() {
    let size = FleetSize {
        controllers: 3,
        proxies: 60,
        tenants: 20,
        lease_request_cost: 0.0,
    };
    let requests = run_fleet(&size, 4.0, 2);
    assert_within_quota(&requests);
    let quota = QUOTA * TRAFFIC_MS / 1000.0;
    for (tenant, tenant_requests) in requests.iter().enumerate() {
        let served = tenant_requests.served_at.len() as f64;
        assert!(
            served >= 0.9 * quota,
            "{served} requests of tenant {tenant} were served, its quota is {quota}"
        );
    }
}
