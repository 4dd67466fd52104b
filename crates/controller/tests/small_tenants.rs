//! Tenants whose quota is small beside the number of proxies (incident SHORT, `docs/incidents/2026-12-gone-short.md`): what they
//! send within their quota is served, whichever proxies it comes to, and no more than their quota runs.

#[path = "common/processor/mod.rs"]
mod processor;

use maplefall_controller::Call;
use processor::{Fleet, FleetSize, TenantRequests, Traffic};

/// Requests a second that a tenant may send, and what it may send on top.
const QUOTA: f64 = 37.0;
/// Tenants send so much of their quota (the deployments' `quota_x` is 1.6).
const USED_FRACTION: f64 = 1.0 / 1.6;
/// Least fraction of the requests that is served, of all and of any one tenant.
const MIN_SERVED: f64 = 0.95;
const MIN_SERVED_OF_TENANT: f64 = 0.8;
/// `AckS` of the deployments, in milliseconds.
const ACK_TIMEOUT: f64 = 6000.0;
const TRAFFIC_BEGINS_AT: f64 = 10_000.0;
const TRAFFIC_MS: f64 = 15_000.0;
/// The rule QUOTA with the settings' default bounds: window, overshoot and slack.
const WINDOW_MS: f64 = 5000.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The first order: all tenants, and a route.
fn first_order(tenants: usize) -> Call {
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

/// Plays a fleet whose tenants use this fraction of their quotas.
fn play(size: &FleetSize, used_fraction: f64, seed: u64) -> Vec<TenantRequests> {
    let traffic = Traffic {
        rate: QUOTA * used_fraction,
        begins_at: TRAFFIC_BEGINS_AT,
        seed,
    };
    let mut fleet = Fleet::with_gateways(size, &traffic);
    fleet.run(500.0);
    let took = fleet.call_until_ok(&first_order(size.tenants), ACK_TIMEOUT);
    assert!(took.is_some(), "the first order is not acknowledged");
    fleet.run(TRAFFIC_BEGINS_AT + TRAFFIC_MS - fleet.now);
    fleet.requests()
}

/// The most requests that ran in any window.
fn most_in_a_window(served_at: &[f64]) -> usize {
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
    for (tenant, of_tenant) in requests.iter().enumerate() {
        let most = most_in_a_window(&of_tenant.served_at);
        assert!(
            most as f64 <= bound,
            "{most} requests of tenant {tenant} in a window, {bound} allowed"
        );
    }
}

fn small_tenants_are_served(size: &FleetSize) {
    let requests = play(size, USED_FRACTION, 1);
    assert_within_quota(&requests);
    let served_of = |of: &TenantRequests| of.served_at.len() as f64 / of.sent.max(1) as f64;
    let sent: usize = requests.iter().map(|of| of.sent).sum();
    let served: usize = requests.iter().map(|of| of.served_at.len()).sum();
    let least = requests.iter().map(served_of).fold(1.0, f64::min);
    let fraction = served as f64 / sent as f64;
    assert!(
        fraction >= MIN_SERVED && least >= MIN_SERVED_OF_TENANT,
        "{fraction:.2} of {sent} requests were served, {least:.2} of one tenant's"
    );
}

/// The deployment of the incident.
#[test]
fn small_tenants_are_served_by_ninety_proxies() {
    small_tenants_are_served(&FleetSize {
        controllers: 4,
        proxies: 87,
        tenants: 85,
        lease_request_cost: 0.0,
    });
}

/// Three times as many proxies, with as much processor at the controllers.
#[test]
fn small_tenants_are_served_by_three_hundred_proxies() {
    small_tenants_are_served(&FleetSize {
        controllers: 3,
        proxies: 260,
        tenants: 85,
        lease_request_cost: 0.0,
    });
}

/// Tenants that send four times their quota get all of it, and no more (QUOTA).
#[test]
fn greedy_tenants_get_their_quota_and_no_more() {
    let size = FleetSize {
        controllers: 3,
        proxies: 60,
        tenants: 20,
        lease_request_cost: 0.0,
    };
    let requests = play(&size, 4.0, 2);
    assert_within_quota(&requests);
    let quota = QUOTA * TRAFFIC_MS / 1000.0;
    for (tenant, of_tenant) in requests.iter().enumerate() {
        let served = of_tenant.served_at.len() as f64;
        assert!(
            served >= 0.9 * quota,
            "{served} requests of tenant {tenant} were served, its quota is {quota}"
        );
    }
}
