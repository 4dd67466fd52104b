//! Token requests of proxies. They are queued with the lease requests and take precedence over
//! them, because each has a client's request waiting for it.

use super::{Core, Millis, Output};
use maplefall_control_messages::{encode_frame, Frame};
use maplefall_gateway_config::{Item, Tenant};
use maplefall_node_settings::Bounds;
use maplefall_quota_lease::{GrantedTokens, TenantQuota, TokenGrant, TokenRequest};

/// Retry delay returned to a proxy by a controller that may not grant anything.
const UNAVAILABLE_WAIT_MS: u32 = 500;

impl Core {
    /// Responds to a token request, granting no tokens while this controller may not lease.
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
            reject(request)
        };
        let bytes = encode_frame(Frame::TokenGrant(grant));
        self.send_to_proxy(connection, bytes, out);
    }

    /// Updates the quotas of tenants whose configuration has changed.
    pub(super) fn set_quotas(&mut self, now: Millis, tenants: &[Item]) {
        let bounds = self.bounds;
        let server = self.leasing.server_mut();
        for item in tenants {
            server.set_quota(now, &item.name, quota_of(item, &bounds));
        }
    }
}

/// Returns the quota that an item defines; `None` for a dropped item or one without a valid quota.
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

fn reject(request: &TokenRequest) -> TokenGrant {
    let rejected = request.tokens.iter().map(|requested| GrantedTokens {
        tenant: requested.tenant.clone(),
        count: 0,
        wait_ms: UNAVAILABLE_WAIT_MS,
    });
    TokenGrant {
        request: request.sequence,
        tokens: rejected.collect(),
    }
}
