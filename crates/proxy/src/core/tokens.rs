//! Tenants whose quota is too small to be leased to every proxy: each request takes a single token, which a controller grants.

use super::quota_leases::whole_quota;
use super::{Core, LocalResponse, Output, Rejection, RETRY_AFTER_LATENCY_TARGETS};
use maplefall_control_messages::Frame;
use maplefall_gateway_config::{Route, Tenant};
use maplefall_node_settings::Bounds;
use maplefall_policy::Millis;
use maplefall_quota_lease::{token_lifetime, TokenGrant, TokenStatus};
use std::rc::Rc;

/// How long a token may be spent after it was requested.
pub(super) fn lifetime(bounds: &Bounds) -> Millis {
    token_lifetime(bounds.quota_overshoot, bounds.quota_window_s)
}

impl Core {
    /// Whether controllers keep a tenant's quota and grant single tokens of it.
    pub(super) fn uses_tokens(&self, tenant: &Tenant) -> bool {
        let client_count = self.lease_client.client_count() as usize;
        let quota = whole_quota(&self.bounds, tenant.rate, tenant.burst);
        quota.is_pooled(client_count) && self.token_client.has_servers()
    }

    /// Takes a token that a controller has granted. If there is none, a request that comes for the first time asks for one, and waits
    /// until it comes or all controllers have refused it.
    pub(super) fn take_single_token(
        &mut self,
        now: Millis,
        is_retry: bool,
        route: &Route,
        tenant: &Rc<str>,
        out: &mut Vec<Output>,
    ) -> Result<Millis, Rejection> {
        if self.token_client.take(now, tenant) {
            return Ok(0.0);
        }
        let expectation = if is_retry {
            self.token_client.status(now, tenant)
        } else {
            self.stats.tokens_requested += 1;
            self.token_client.request_token(now, tenant)
        };
        self.send_token_requests(now, out);
        let retry_after = RETRY_AFTER_LATENCY_TARGETS * route.latency_target;
        match expectation {
            TokenStatus::Requested => {
                let response = LocalResponse::not_run(429, retry_after);
                let longest = self.token_client.lifetime();
                Err(Rejection::RejectedUnless(response, longest))
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

    /// A controller's answer: requests that wait may try again.
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
