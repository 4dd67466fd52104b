//! Admission of a request: route and tenant, deadline, service, quota token. A rejection for lack
//! of a configuration, a backend, a lease or a token carries a wait time ([`MAX_ADMISSION_WAIT`]
//! for the first two) for which the caller may let the request wait and repeat the call of `admit`.

use super::requests::{PendingRequest, MAX_PENDING_REQUESTS};
use super::timers::Timer;
use super::{
    AdmittedRequest, Core, IncomingRequest, LocalResponse, Output, Rejection,
    RESPONSE_TRANSIT_TIME, RETRY_AFTER_LATENCY_TARGET_FRACTION,
};
use maplefall_gateway_config::{Route, RouteMatch, Tenant};
use maplefall_policy::{
    ClassId, CustomerId, Event, Millis, PlanId, QuotaRejection, Request, RequestId,
};
use rand_core::RngCore;
use std::rc::Rc;

/// `Retry-After` of a proxy that has no configuration yet.
const RETRY_AFTER_WITHOUT_CONFIG: Millis = 300.0;
/// How long a request may wait for a configuration or a ready backend, which a proxy that has just
/// started may lack. The listener's constant of this name (`downstream/request.rs`) has the same
/// value and counts from the receipt of the request, so the wait never lasts beyond that limit.
const MAX_ADMISSION_WAIT: Millis = 120.0;

impl Core {
    /// Admits a request, or rejects it with its response.
    pub fn admit(
        &mut self,
        now: Millis,
        incoming: &IncomingRequest<'_>,
        out: &mut Vec<Output>,
    ) -> Result<AdmittedRequest, Rejection> {
        if self.config_index == 0 {
            // Without a configuration, the proxy cannot tell whether the request's route and key
            // exist, so it rejects the request for neither.
            return Err(Rejection::RejectedUnless(
                LocalResponse::not_run(503, RETRY_AFTER_WITHOUT_CONFIG),
                MAX_ADMISSION_WAIT,
            ));
        }
        let route_table = self.route_table.clone();
        let (route, tenant) =
            match route_table.resolve(incoming.host, incoming.path, incoming.api_key) {
                RouteMatch::Matched(route, tenant) => (route, tenant),
                RouteMatch::NoRoute => return Err(self.unroutable(404)),
                RouteMatch::UnknownKey => return Err(self.unroutable(401)),
            };
        let unavailable = || {
            LocalResponse::not_run(
                503,
                RETRY_AFTER_LATENCY_TARGET_FRACTION * route.latency_target,
            )
        };
        let deadline = response_deadline(incoming, route);
        let has_time = now < deadline && deadline <= self.last_response_at;
        if self.requests.len() >= MAX_PENDING_REQUESTS || !has_time {
            return Err(Rejection::Rejected(unavailable()));
        }
        let service = self.choose_service(route);
        if !self.services.has_ready_backend(service) {
            return Err(Rejection::RejectedUnless(unavailable(), MAX_ADMISSION_WAIT));
        }
        self.stats.arrived += 1;
        let tenant_name = tenant.map(|tenant| self.intern_tenant(&tenant.name));
        let token_wait = match (tenant, &tenant_name) {
            (Some(tenant), Some(name)) => self.take_quota_token(
                now,
                incoming.is_repeated_admission,
                route,
                tenant,
                name,
                out,
            )?,
            _ => 0.0,
        };
        let class = self.services.class(service, route);
        let id = self.next_request_id();
        let pending = PendingRequest {
            service,
            idempotent: route.idempotent,
            tenant: tenant_name.clone(),
            latency_target: route.latency_target,
            deadline,
            attempts: 0,
            in_flight: None,
            may_have_run: false,
            responded: false,
            sent: false,
            waiting_for_token: None,
        };
        self.start_request(now, id, pending, class, token_wait, out);
        Ok(AdmittedRequest {
            id,
            tenant: tenant_name,
        })
    }

    fn unroutable(&mut self, status: u16) -> Rejection {
        self.stats.unroutable += 1;
        Rejection::Rejected(LocalResponse::with_status(status))
    }

    /// Passes an admitted request to the policy, immediately or once its quota token is available.
    fn start_request(
        &mut self,
        now: Millis,
        id: RequestId,
        pending: PendingRequest,
        class: ClassId,
        token_wait: Millis,
        out: &mut Vec<Output>,
    ) {
        let request = Request {
            id,
            customer: CustomerId(0),
            plan: PlanId(0),
            class,
            units: 1.0,
            deadline: pending.deadline,
            authorized: true,
            gateways: 1.0,
        };
        if token_wait > 0.0 {
            let pending = PendingRequest {
                waiting_for_token: Some(request),
                ..pending
            };
            self.requests.insert(id, pending);
            self.timers.set(now + token_wait, Timer::QuotaToken(id));
        } else {
            let service = pending.service;
            self.requests.insert(id, pending);
            self.handle_policy_event(now, service, Event::Arrival(request), out);
        }
    }

    /// Takes a token from the tenant's bucket; returns how long the request has to wait for it.
    fn take_quota_token(
        &mut self,
        now: Millis,
        is_repeated_admission: bool,
        route: &Route,
        tenant: &Tenant,
        name: &Rc<str>,
        out: &mut Vec<Output>,
    ) -> Result<Millis, Rejection> {
        let quota = self.tenant_quota(now, tenant, route.latency_target);
        let taken = if is_repeated_admission {
            self.tenants.take(now, name, 1.0, quota)
        } else {
            self.tenants.arrived(now, name, 1.0, quota)
        };
        let response = |wait: Millis| LocalResponse::not_run(429, wait.min(route.timeout));
        match taken {
            Ok(wait) => Ok(wait),
            Err(QuotaRejection::PenaltyBox(wait)) => {
                self.stats.penalty_box_rejected += 1;
                Err(Rejection::Rejected(response(wait)))
            }
            Err(QuotaRejection::Bucket(_)) if self.uses_tokens(tenant) => {
                self.take_single_token(now, is_repeated_admission, route, name, out)
            }
            Err(QuotaRejection::Bucket(wait)) => {
                self.stats.quota_rejected += 1;
                *self
                    .stats
                    .quota_rejected_by_tenant
                    .entry(name.clone())
                    .or_default() += 1;
                Err(match self.request_more_quota(now, name, out) {
                    Some(lease_wait) => Rejection::RejectedUnless(response(wait), lease_wait),
                    None => Rejection::Rejected(response(wait)),
                })
            }
        }
    }

    /// Chooses the service of a request at random, by the weights of the route's traffic split.
    fn choose_service(&mut self, route: &Route) -> usize {
        let destinations = &route.destinations;
        let total: f64 = destinations
            .iter()
            .map(|destination| destination.weight)
            .sum();
        let mut drawn = f64::from(self.rng.next_u32()) / 4_294_967_296.0 * total;
        let mut chosen = "";
        for destination in destinations
            .iter()
            .filter(|destination| destination.weight > 0.0)
        {
            chosen = &destination.service;
            drawn -= destination.weight;
            if drawn < 0.0 {
                break;
            }
        }
        self.services.index_of(chosen)
    }
}

/// Returns the time by which the response has to leave the proxy: the client's remaining time, at
/// most the route's timeout, less the time that the response takes to reach the client.
fn response_deadline(incoming: &IncomingRequest<'_>, route: &Route) -> Millis {
    let timeout = incoming
        .remaining
        .unwrap_or(route.timeout)
        .min(route.timeout);
    incoming.received_at + timeout - RESPONSE_TRANSIT_TIME
}
