//! Quota leases: the fraction of each tenant's quota that controllers lease to this proxy, and the
//! requests for more of it. Rule QUOTA: in any window, the requests that run are at most the tokens
//! in all buckets plus the refill during the window.

use super::{Core, Output};
use maplefall_control_messages::Frame;
use maplefall_gateway_config::Tenant;
use maplefall_node_settings::Bounds;
use maplefall_policy::{Millis, Quota};
use maplefall_quota_lease::{Demand, LeaseGrant, LeaseRequest, TenantQuota};
use std::rc::Rc;

/// Interval between a proxy's urgent lease requests (those outside of the core's ticks), to be
/// multiplied by the number of proxies that the controllers know: together the proxies send a
/// controller at most 500 urgent requests a second, however many proxies there are. A controller
/// does not move leases among all proxies more often than that.
const URGENT_INTERVAL_PER_PROXY: Millis = 2.0;
/// Maximum credit of unused intervals between urgent lease requests: a proxy that sent fewer of
/// them for a while sends further ones without delay until the credit is used.
pub(super) const MAX_URGENT_CREDIT: Millis = 200.0;
/// Minimum time from a proxy's last urgent lease request to one for a tenant whose quota was
/// already requested within [`LEASE_RETRY_INTERVAL`].
const MIN_LEASE_REQUEST_INTERVAL: Millis = 60.0;
/// Controllers that have not granted a lease within this time are assumed not to grant it.
const LEASE_GRANT_TIMEOUT: Millis = 30.0;
/// Time after which more of a tenant's quota is requested again from controllers that have not
/// granted it.
const LEASE_RETRY_INTERVAL: Millis = 1000.0;
/// Maximum time that a request waits for a token that is certain to become available, as a fraction
/// of its latency target.
const TOKEN_WAIT_LATENCY_TARGET_FRACTION: f64 = 0.2;
/// How long a tenant counts as starved after one of its requests was rejected.
const STARVED_DURATION: Millis = 300.0;

/// Returns a tenant's quota and the fraction `share` of it that is leased to this proxy. In any
/// window, the requests that run are at most the tokens in all buckets plus the refill during the
/// window; their sum is kept within the number of requests that the quota allows in a window. A
/// fifth of the overshoot (the fraction by which a quota may be exceeded) is reserved for requests
/// that wait for tokens: if all leases ended during the wait, these requests would run without
/// tokens.
pub fn quota(bounds: &Bounds, rate: f64, burst: f64, share: f64, latency_target: Millis) -> Quota {
    let total = total_quota(bounds, rate, burst);
    let spare = 1000.0 * 0.2 * bounds.quota_overshoot * bounds.quota_window_s;
    let max_wait = spare.min(TOKEN_WAIT_LATENCY_TARGET_FRACTION * latency_target);
    Quota {
        rate: total.rate,
        burst,
        depth: total.depth,
        share,
        max_wait,
    }
}

/// Returns the total quota, over all proxies, of a tenant with this rate and burst.
pub(super) fn total_quota(bounds: &Bounds, rate: f64, burst: f64) -> TenantQuota {
    TenantQuota::new(rate, burst, bounds.quota_overshoot, bounds.quota_slack)
}

impl Core {
    /// Returns the interned name of a tenant: one allocation per tenant instead of one per request.
    pub(super) fn intern_tenant(&mut self, tenant: &str) -> Rc<str> {
        if let Some(name) = self.tenant_names.get(tenant) {
            return name.clone();
        }
        let name: Rc<str> = tenant.into();
        self.tenant_names.insert(tenant.to_owned(), name.clone());
        name
    }

    /// Returns the interned name of the tenant with this API key.
    pub fn tenant_name(&mut self, api_key: Option<&str>) -> Option<Rc<str>> {
        let route_table = self.route_table.clone();
        let tenant = route_table.tenant(api_key?)?;
        Some(self.intern_tenant(&tenant.name))
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

    /// Updates every tenant's bucket to its current quota.
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
            self.quota_rejected_at
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

    /// Sends the current demand to every connected controller.
    pub(super) fn request_leases(&mut self, now: Millis, out: &mut Vec<Output>) {
        let demand = self.demand(now);
        for controller in self.connected_controllers.clone() {
            let request = self
                .lease_client
                .next_request(now, &controller, demand.clone());
            out.push(lease_request(controller, request));
        }
    }

    /// Requests more of a tenant's quota from the controllers, unless urgent lease requests have
    /// reached their maximum rate. Returns how long to wait for grants, or `None` if no grant is
    /// expected.
    pub(super) fn request_more_quota(
        &mut self,
        now: Millis,
        tenant: &Rc<str>,
        out: &mut Vec<Output>,
    ) -> Option<Millis> {
        self.quota_rejected_at.insert(tenant.clone(), now);
        let requested_at = self.quota_requested_at.get(tenant).copied();
        let can_request =
            self.urgent_request_pacer.is_due(now) && !self.connected_controllers.is_empty();
        if can_request && requested_at.is_none_or(|at| now - at >= LEASE_RETRY_INTERVAL) {
            self.quota_requested_at.insert(tenant.clone(), now);
            self.request_leases_urgently(now, out);
            return Some(LEASE_GRANT_TIMEOUT);
        }
        if can_request && now - self.last_urgent_request >= MIN_LEASE_REQUEST_INTERVAL {
            self.request_leases_urgently(now, out);
        }
        requested_at
            .map(|at| at + LEASE_GRANT_TIMEOUT - now)
            .filter(|left| *left > 0.0)
    }

    fn request_leases_urgently(&mut self, now: Millis, out: &mut Vec<Output>) {
        let proxies = f64::from(self.lease_client.client_count());
        self.urgent_request_pacer
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
            // The controller may lease the reclaimed part of the quota to other proxies only once
            // this proxy has acknowledged the decrease, so a lease request, which does so, is sent
            // at once.
            let demand = self.demand(now);
            let request = self.lease_client.next_request(now, controller, demand);
            out.push(lease_request(controller.to_owned(), request));
        }
        if effect.increased {
            out.push(Output::StateChanged);
        }
    }

    /// Handles the establishment of a connection to a controller.
    pub fn controller_connected(&mut self, now: Millis, controller: &str, out: &mut Vec<Output>) {
        self.connected_controllers.insert(controller.to_owned());
        self.lease_client.connected(controller);
        self.token_client.connected(controller);
        let request = self.lease_client.next_request(now, controller, Vec::new());
        out.push(lease_request(controller.to_owned(), request));
    }

    /// Handles the end of the connection to a controller.
    pub fn controller_disconnected(&mut self, controller: &str) {
        self.may_have_missed_updates = true;
        self.connected_controllers.remove(controller);
        self.token_client.disconnected(controller);
    }

    /// Releases all leases, so that controllers can lease the quota to other proxies. To be called
    /// once all requests have their responses and no more tokens are taken.
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
