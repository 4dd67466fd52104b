//! A model of a proxy as controllers see it: when it requests leases, and for which demand.

use super::{FleetProxy, FleetSize};
use maplefall_control_messages::Frame;
use maplefall_quota_lease::{Demand, LeaseClient, LeaseRequest};

/// Time between two requests of a proxy whose leases suffice.
const REQUEST_INTERVAL: f64 = 500.0;
/// Time between two requests of a starved proxy: `MIN_LEASE_REQUEST_INTERVAL` of `crates/proxy`.
const URGENT_REQUEST_INTERVAL: f64 = 60.0;
/// At any time a third of the tenants have requests at a proxy; the choice of these tenants changes
/// every second.
const TENANTS_PER_DEMAND: u64 = 3;
const DEMAND_INTERVAL: f64 = 1000.0;
/// One in four of the tenants with requests at a proxy is starved: the proxy has used up the
/// tenant's lease.
const DEMANDS_PER_STARVED: u64 = 4;

pub fn name(proxy: usize) -> String {
    format!("edge-{proxy}")
}

/// Returns the incarnation of a proxy, which starts only once.
pub fn incarnation(proxy: usize) -> u64 {
    proxy as u64 + 1
}

pub fn tenant_name(tenant: usize) -> String {
    format!("tenant{tenant}")
}

pub struct Proxy {
    number: usize,
    tenants: usize,
    controllers: usize,
    lease_client: LeaseClient,
}

impl Proxy {
    pub fn new(number: usize, size: &FleetSize) -> Proxy {
        Proxy {
            number,
            tenants: size.tenants,
            controllers: size.controllers,
            lease_client: LeaseClient::new(incarnation(number)),
        }
    }

    /// Returns a pseudorandom number that depends only on the proxy and the arguments.
    fn draw(&self, now: f64, tenant: usize) -> u64 {
        let period = (now / DEMAND_INTERVAL) as u64;
        let seed = (self.number as u64 * 1_000_003 + tenant as u64) * 1_000_033 + period;
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
    }

    fn demand(&self, now: f64) -> Vec<Demand> {
        (0..self.tenants)
            .map(|tenant| (tenant, self.draw(now, tenant)))
            .filter(|(_, draw)| draw.is_multiple_of(TENANTS_PER_DEMAND))
            .map(|(tenant, draw)| Demand {
                tenant: tenant_name(tenant),
                milli_rps: 200 + (draw % 1000) as u32,
                starved: draw.is_multiple_of(TENANTS_PER_DEMAND * DEMANDS_PER_STARVED),
            })
            .collect()
    }

    fn request(&mut self, now: f64, controller: usize) -> Frame {
        let demand = self.demand(now);
        let server = controller.to_string();
        let request = self.lease_client.next_request(now, &server, demand);
        // Requests leases as proxies of earlier versions do, which request no single tokens:
        // leasing to them is a larger load than leasing to current proxies.
        Frame::LeaseRequest(LeaseRequest {
            uses_tokens: false,
            ..request
        })
    }
}

impl FleetProxy for Proxy {
    fn connected(&mut self, _now: f64, controller: usize) -> Vec<(usize, Frame)> {
        self.lease_client.connected(&controller.to_string());
        Vec::new()
    }

    fn receive(&mut self, now: f64, controller: usize, frame: Frame) -> Vec<(usize, Frame)> {
        let Frame::LeaseGrant(grant) = frame else {
            return Vec::new();
        };
        let server = controller.to_string();
        let effect = self.lease_client.handle_grant(now, &server, &grant);
        let response = effect
            .decreased
            .then(|| (controller, self.request(now, controller)));
        response.into_iter().collect()
    }

    fn tick(&mut self, now: f64) -> Vec<(usize, Frame)> {
        (0..self.controllers)
            .map(|controller| (controller, self.request(now, controller)))
            .collect()
    }

    /// Returns the delay until the next lease requests: a short one while a request of a tenant
    /// finds no token, which is half of the time.
    fn next_tick_delay(&mut self, now: f64) -> f64 {
        let is_starved = self.draw(now, self.tenants).is_multiple_of(2);
        if is_starved {
            URGENT_REQUEST_INTERVAL
        } else {
            REQUEST_INTERVAL
        }
    }

    fn fraction(&self, now: f64, tenant: usize) -> f64 {
        self.lease_client.fraction(now, &tenant_name(tenant))
    }
}
