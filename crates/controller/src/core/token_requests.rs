//! Requests of proxies for single tokens. They wait with the lease requests, before them: a client's request waits behind each.

use super::{Core, Millis, Output};
use maplefall_control_messages::{encode_frame, Frame};
use maplefall_gateway_config::{Item, Tenant};
use maplefall_node_settings::Bounds;
use maplefall_quota_lease::{GrantedTokens, TenantQuota, TokenGrant, TokenRequest};

/// What a proxy is to wait before it asks again a controller that may not grant anything.
const UNAVAILABLE_WAIT_MS: u32 = 500;

impl Core {
    /// Answers a request for tokens, with none while this controller may not lease.
    pub(super) fn grant_tokens(
        &mut self,
        now: Millis,
        connection: u64,
        request: &TokenRequest,
        out: &mut Vec<Output>,
    ) {
        let grant = if self.may_lease(now) {
            self.leasing.server_mut().grant_tokens(now, request)
        } else {
            refuse(request)
        };
        let bytes = encode_frame(Frame::TokenGrant(grant));
        self.send_to_proxy(connection, bytes, out);
    }

    /// The configuration of these tenants has changed.
    pub(super) fn set_quotas(&mut self, now: Millis, tenants: &[Item]) {
        let bounds = self.bounds;
        let server = self.leasing.server_mut();
        for item in tenants {
            server.set_quota(now, &item.name, quota_of(item, &bounds));
        }
    }
}

/// The quota that an item sets; `None` for one that is dropped, or that has no valid quota.
fn quota_of(item: &Item, bounds: &Bounds) -> Option<TenantQuota> {
    if item.dropped {
        return None;
    }
    let tenant = Tenant::from_item(item).ok()?;
    Some(TenantQuota::new(
        tenant.rate,
        tenant.burst,
        bounds.quota_overshoot,
        bounds.quota_slack,
    ))
}

fn refuse(request: &TokenRequest) -> TokenGrant {
    let refused = request.tokens.iter().map(|requested| GrantedTokens {
        tenant: requested.tenant.clone(),
        count: 0,
        wait_ms: UNAVAILABLE_WAIT_MS,
    });
    TokenGrant {
        request: request.sequence,
        tokens: refused.collect(),
    }
}
