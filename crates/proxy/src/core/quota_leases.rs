//! Quota: the fraction of each tenant's quota that controllers lease to this proxy, and the requests for more of it.
//! QUOTA: over any window the requests that run are at most what all buckets contain and what refills them meanwhile.

use super::{Core, Output};
use maplefall_control_messages::Frame;
use maplefall_gateway_config::Tenant;
use maplefall_node_settings::Bounds;
use maplefall_policy::{Millis, Quota};
use maplefall_quota_lease::{Demand, LeaseGrant, LeaseRequest, TenantQuota};
use std::rc::Rc;

/// Time that a lease request beyond those of the ticks costs, for each proxy that the controllers know: together the proxies ask a
/// controller 500 times a second at most, however many they are. A controller moves leases among all of them no more often.
const URGENT_INTERVAL_PER_PROXY: Millis = 2.0;
/// Time for which urgent requests go out without a pause after a while with fewer.
pub(super) const MAX_URGENT_CREDIT: Millis = 200.0;
/// Shortest time between two lease requests to one controller beyond those of the ticks, for tenants that it was asked for before.
const MIN_LEASE_REQUEST_INTERVAL: Millis = 60.0;
/// Controllers grant a lease within this time, or are taken not to.
const LEASE_GRANT_TIMEOUT: Millis = 30.0;
/// A controller that has not granted a lease is asked again for that tenant after this time.
const LEASE_RETRY_INTERVAL: Millis = 1000.0;
/// Fraction of its latency target for which a request may wait for a token that is sure to come.
const TOKEN_WAIT_LATENCY_TARGETS: f64 = 0.2;
/// A tenant counts as starved for this long after a request of it was rejected.
const STARVED_DURATION: Millis = 300.0;

/// What a tenant may use, and the fraction `share` of it that is leased to this proxy. In any window the runs are at most what all
/// buckets contain together and what refills them meanwhile: that is kept within the window's bound. A fifth of the overshoot is kept
/// for requests that wait for tokens: if all leases ended while they do, they would run without.
pub fn quota(bounds: &Bounds, rate: f64, burst: f64, share: f64, latency_target: Millis) -> Quota {
    let whole = whole_quota(bounds, rate, burst);
    let spare = 1000.0 * 0.2 * bounds.quota_overshoot * bounds.quota_window_s;
    let max_wait = spare.min(TOKEN_WAIT_LATENCY_TARGETS * latency_target);
    Quota {
        rate: whole.rate,
        burst,
        depth: whole.depth,
        share,
        max_wait,
    }
}

/// The whole quota of a tenant with this rate and burst.
pub(super) fn whole_quota(bounds: &Bounds, rate: f64, burst: f64) -> TenantQuota {
    TenantQuota::new(rate, burst, bounds.quota_overshoot, bounds.quota_slack)
}

impl Core {
    /// The shared name of a tenant: one allocation a tenant, not one a request.
    pub(super) fn intern_tenant(&mut self, tenant: &str) -> Rc<str> {
        if let Some(name) = self.tenant_names.get(tenant) {
            return name.clone();
        }
        let name: Rc<str> = tenant.into();
        self.tenant_names.insert(tenant.to_owned(), name.clone());
        name
    }

    pub(super) fn tenant_quota(
        &self,
        now: Millis,
        tenant: &Tenant,
        latency_target: Millis,
    ) -> Quota {
        quota(
            &self.bounds,
            tenant.rate,
            tenant.burst,
            self.lease_client.fraction(now, &tenant.name),
            latency_target,
        )
    }

    /// Brings every tenant's bucket up to its present quota.
    pub(super) fn refresh_quotas(&mut self, now: Millis) {
        let route_table = self.route_table.clone();
        for tenant in route_table.tenants.values() {
            let name = self.intern_tenant(&tenant.name);
            let quota = self.tenant_quota(now, tenant, 0.0);
            self.tenants.hold(now, &name, quota);
        }
    }

    fn demand(&self, now: Millis) -> Vec<Demand> {
        let is_starved = |tenant: &Rc<str>| {
            self.rejected_at
                .get(tenant)
                .is_some_and(|at| now - at < STARVED_DURATION)
        };
        self.tenants
            .demand(now)
            .map(|(tenant, rate)| Demand {
                tenant: tenant.to_string(),
                milli_rps: (rate * 1000.0).min(1e9) as u32,
                starved: is_starved(tenant),
            })
            .collect()
    }

    /// Sends the present demand to every connected controller.
    pub(super) fn request_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        let demand = self.demand(now);
        for controller in self.connected_controllers.clone() {
            let request = self
                .lease_client
                .next_request(now, &controller, demand.clone());
            out.push(lease_request(controller, request));
        }
    }

    /// Asks the controllers for more of a tenant's quota; returns how long their grants are worth waiting for.
    pub(super) fn request_more_quota(
        &mut self,
        now: Millis,
        tenant: &Rc<str>,
        out: &mut Vec<Output>,
    ) -> Option<Millis> {
        self.rejected_at.insert(tenant.clone(), now);
        let requested_at = self.more_requested_at.get(tenant).copied();
        let may_ask = self.urgent_requests.is_due(now) && !self.connected_controllers.is_empty();
        if may_ask && requested_at.is_none_or(|at| now - at >= LEASE_RETRY_INTERVAL) {
            self.more_requested_at.insert(tenant.clone(), now);
            self.request_leases_urgently(now, out);
            return Some(LEASE_GRANT_TIMEOUT);
        }
        if may_ask && now - self.last_urgent_request >= MIN_LEASE_REQUEST_INTERVAL {
            self.request_leases_urgently(now, out);
        }
        requested_at
            .map(|at| at + LEASE_GRANT_TIMEOUT - now)
            .filter(|left| *left > 0.0)
    }

    fn request_leases_urgently(&mut self, now: Millis, out: &mut Vec<Output>) {
        let proxies = f64::from(self.lease_client.client_count());
        self.urgent_requests
            .charge(now, URGENT_INTERVAL_PER_PROXY * proxies);
        self.last_urgent_request = now;
        self.request_leases(now, out);
    }

    pub(super) fn handle_lease_grant(
        &mut self,
        now: Millis,
        controller: &str,
        grant: &LeaseGrant,
        out: &mut Vec<Output>,
    ) {
        let effect = self.lease_client.handle_grant(now, controller, grant);
        self.token_client
            .set_grants_tokens(controller, grant.grants_tokens);
        if effect.decreased {
            // The controller may lease what was taken back to others only once this is acknowledged.
            let demand = self.demand(now);
            let request = self.lease_client.next_request(now, controller, demand);
            out.push(lease_request(controller.to_owned(), request));
        }
        if effect.increased {
            out.push(Output::StateChanged);
        }
    }

    /// A connection to a controller is established.
    pub fn controller_connected(&mut self, now: Millis, controller: &str, out: &mut Vec<Output>) {
        self.connected_controllers.insert(controller.to_owned());
        self.lease_client.connected(controller);
        self.token_client.connected(controller);
        let request = self.lease_client.next_request(now, controller, Vec::new());
        out.push(lease_request(controller.to_owned(), request));
    }

    /// The connection to a controller has ended.
    pub fn controller_disconnected(&mut self, controller: &str) {
        self.connected_controllers.remove(controller);
        self.token_client.disconnected(controller);
    }

    /// All requests have their responses and no more tokens are taken: controllers may lease the quota to others.
    pub fn release_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        for controller in self.connected_controllers.clone() {
            let request = self.lease_client.next_request(now, &controller, Vec::new());
            let request = LeaseRequest {
                release: true,
                ..request
            };
            out.push(lease_request(controller, request));
        }
    }
}

fn lease_request(controller: String, request: LeaseRequest) -> Output {
    Output::SendToController(controller, Frame::LeaseRequest(request))
}
