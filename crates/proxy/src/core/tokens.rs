//! Single tokens for tenants whose quota is too small to be leased to every proxy: each request
//! takes one token, which a controller grants.

use super::quota_leases::total_quota;
use super::{Core, LocalResponse, Output, Rejection, RETRY_AFTER_LATENCY_TARGET_FRACTION};
use maplefall_control_messages::Frame;
use maplefall_gateway_config::{Route, Tenant};
use maplefall_node_settings::Bounds;
use maplefall_policy::Millis;
use maplefall_quota_lease::{token_lifetime, TokenGrant, TokenStatus};
use std::rc::Rc;

/// Returns how long after the token request a granted token may be used.
pub(super) fn lifetime(bounds: &Bounds) -> Millis {
    token_lifetime(bounds.quota_overshoot, bounds.quota_window_s)
}

impl Core {
    /// Returns whether controllers keep a tenant's quota themselves and grant single tokens of it.
    pub(super) fn uses_tokens(&self, tenant: &Tenant) -> bool {
        let client_count = self.lease_client.client_count() as usize;
        let quota = total_quota(&self.bounds, tenant.rate, tenant.burst);
        quota.is_pooled(client_count) && self.token_client.has_servers()
    }

    /// Takes a token that a controller has granted. If there is none, a token is requested on the
    /// first call for a request, which then waits until a token arrives or all controllers have
    /// rejected the token request.
    pub(super) fn take_single_token(
        &mut self,
        now: Millis,
        is_repeated_admission: bool,
        route: &Route,
        tenant: &Rc<str>,
        out: &mut Vec<Output>,
    ) -> Result<Millis, Rejection> {
        if self.token_client.take(now, tenant) {
            return Ok(0.0);
        }
        let token_status = if is_repeated_admission {
            self.token_client.status(now, tenant)
        } else {
            self.stats.tokens_requested += 1;
            self.token_client.request_token(now, tenant)
        };
        self.send_token_requests(now, out);
        let retry_after = RETRY_AFTER_LATENCY_TARGET_FRACTION * route.latency_target;
        match token_status {
            TokenStatus::Requested => {
                let response = LocalResponse::not_run(429, retry_after);
                let max_wait = self.token_client.lifetime();
                Err(Rejection::RejectedUnless(response, max_wait))
            }
            TokenStatus::Unavailable(wait) => {
                self.stats.quota_rejected += 1;
                let rejected = &mut self.stats.quota_rejected_by_tenant;
                *rejected.entry(tenant.clone()).or_default() += 1;
                let response = LocalResponse::not_run(429, wait.max(retry_after));
                Err(Rejection::Rejected(response))
            }
        }
    }

    /// Handles a controller's response to a token request, after which the admission of waiting
    /// requests can be repeated.
    pub(super) fn handle_token_grant(
        &mut self,
        now: Millis,
        controller: &str,
        grant: &TokenGrant,
        out: &mut Vec<Output>,
    ) {
        if self.token_client.handle_grant(now, controller, grant) {
            out.push(Output::StateChanged);
        }
        self.send_token_requests(now, out);
    }

    fn send_token_requests(&mut self, now: Millis, out: &mut Vec<Output>) {
        for (controller, request) in self.token_client.next_requests(now) {
            out.push(Output::SendToController(
                controller,
                Frame::TokenRequest(request),
            ));
        }
    }
}
